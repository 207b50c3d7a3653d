// Package soak runs the real daemons as separate processes on loopback, with the
// stand-ins of meshsim for the platform, and injects faults from outside them in
// overlapping series drawn from a seed. It checks the promises from what callers
// and upstreams see.
package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"fuchsiavane.org/lab/meshsim"
)

// Config is one run of the soak.
type Config struct {
	// Seed draws the faults.
	Seed uint64
	// Instances is the number of daemons, at least 4, and Callers that of clients
	// at each.
	Instances, Callers int
	// Length is the time in which faults come.
	Length time.Duration
	// Folder gets the program, settings and logs.
	Folder string
	// Program is the daemon; empty to build it.
	Program string
}

// Report is what a run found.
type Report struct {
	// Whole, Refused, Failed and Cut count the requests by what their callers got:
	// a success, a refusal as not run, another failure, no whole answer.
	Succeeded, Refused, Failed, Incomplete int
	// Faults lists what was injected.
	Faults []string
	// Broken lists the promises that did not hold.
	Violations []string
}

const (
	// recovery bounds the time after the last fault in which all instances serve.
	recovery = 15 * time.Second
	// drainBound is the time after an acknowledged leaving in which requests may
	// still reach the upstream.
	drainBound = 2500 * time.Millisecond
	// work is the mean time of a run.
	work = 20 * time.Millisecond
)

// host is the host of every route.
const host = "soak.example"

// soak is a run in progress.
type soak struct {
	config    Config
	random    *rand.Rand
	store     *meshsim.Store
	storeWay  *proxy
	instances []*instance
	proxies   []*proxy
	version   atomic.Int64
	ids       atomic.Int64
	lossy     atomic.Bool // upstreams run requests and lose the answers
	began     time.Time

	mu       sync.Mutex
	report   Report
	requests map[string]*request
}

// request is what is known of one request.
type request struct {
	unsafe  bool
	service string
	runs    int
	status  int // 0 while it is open, or without a whole answer
}

// Run plays one soak.
func Run(c Config) (Report, error) {
	s := &soak{
		config: c, random: rand.New(rand.NewPCG(c.Seed, 1)), store: meshsim.NewStore(),
		requests: map[string]*request{}, began: time.Now(),
	}
	if err := s.setUp(); err != nil {
		s.tearDown()
		return s.report, err
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for _, i := range s.instances {
		for range c.Callers {
			callers.Go(func() { s.call(i, stop) })
		}
	}
	s.inject()
	s.awaitRecovery()
	close(stop)
	callers.Wait()
	s.tearDown()
	s.judge()
	return s.report, nil
}

func (s *soak) broken(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Violations = append(s.report.Violations, fmt.Sprintf("%.3f s: ", time.Since(s.began).Seconds())+fmt.Sprintf(format, args...))
}

func (s *soak) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Faults = append(s.report.Faults, fmt.Sprintf("%.3f s: ", time.Since(s.began).Seconds())+fmt.Sprintf(format, args...))
}

// setUp starts the store, the upstreams and the daemons, and waits until all
// serve.
func (s *soak) setUp() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "store")
	}
	go func() { _ = http.Serve(l, s.store) }() // ends with the process
	if s.storeWay, err = newProxy(l.Addr().String()); err != nil {
		return err
	}
	program := s.config.Program
	if program == "" {
		if program, err = buildProgram(s.config.Folder); err != nil {
			return err
		}
	}
	s.configure()
	for n := range s.config.Instances {
		if err := s.addInstance(n, program); err != nil {
			return err
		}
	}
	if !s.allServe(recovery) {
		return errors.New("the instances did not serve at the start")
	}
	return nil
}

// services are the names of the services; instances have them in turn.
var services = []string{"desk", "registry"}

// configure writes the next configuration: a route to each service for requests
// that may run once and more than once, and one route that is new.
func (s *soak) configure() {
	version := s.version.Add(1)
	routes := ""
	for _, service := range services {
		for _, kind := range []string{"safe", "unsafe"} {
			routes += fmt.Sprintf(`{"host":%q,"prefix":"/%s/%s/","kind":%q,"timeout":"1500ms","target_latency":"500ms","priority":1,"service":%q,"max_attempts":2},`,
				host, service, kind, kind, service)
		}
	}
	routes += fmt.Sprintf(`{"host":%q,"prefix":"/version-%d/","kind":"safe","timeout":"1500ms","priority":0,"service":"desk","max_attempts":2}`, host, version)
	if err := s.store.Configure([]byte(fmt.Sprintf(`{"version":"%08x","routes":[%s],"services":[]}`, version, routes))); err != nil {
		s.broken("the store in memory refused a configuration: %v", err)
	}
}

func (s *soak) addInstance(n int, program string) error {
	i := &instance{
		name: fmt.Sprintf("instance-%d", n), service: services[n%len(services)], centre: fmt.Sprintf("south-%d", n/len(services)%2+1),
		program: program,
	}
	i.file = filepath.Join(s.config.Folder, i.name+".conf")
	var err error
	if i.log, err = os.Create(filepath.Join(s.config.Folder, i.name+".log")); err != nil {
		return errors.Wrap(err, "log")
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "upstream")
	}
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(i, w, r) }))
	}()
	way, err := newProxy(l.Addr().String())
	if err != nil {
		return err
	}
	s.proxies = append(s.proxies, way)
	if err := i.settingsFile(way.addr(), s.storeWay.addr()); err != nil {
		return err
	}
	s.replaceUpstream(i, way.addr())
	s.instances = append(s.instances, i)
	return i.start()
}

// serve runs a request at the upstream that the instance has now.
func (s *soak) serve(i *instance, w http.ResponseWriter, r *http.Request) {
	i.mu.Lock()
	current := i.current
	drained := current.drained
	i.mu.Unlock()
	if expected := r.Header.Get("X-Expected-Instance"); expected != current.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !drained.IsZero() && time.Since(drained) > drainBound {
		s.broken("DRAIN: %s reached %s %v after its leaving was acknowledged", r.Header.Get("X-Request-Id"), current.ID, time.Since(drained))
	}
	if r.Header.Get("X-Caller-Service") == "" {
		s.broken("UNASKED: %s came without the caller's service", r.Header.Get("X-Request-Id"))
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // the request did not come whole, and doesn't run
	}
	s.ran(r.Header.Get("X-Request-Id"), i.service)
	time.Sleep(time.Duration(rand.ExpFloat64() * float64(work)))
	if s.lossy.Load() && rand.IntN(4) == 0 {
		panic(http.ErrAbortHandler)
	}
	current.Whole(w, r)
	_, _ = io.WriteString(w, " to "+r.Header.Get("X-Request-Id"))
}

func (s *soak) ran(id, service string) {
	s.mu.Lock()
	r := s.requests[id]
	if r != nil {
		r.runs++
	}
	s.mu.Unlock()
	switch {
	case r == nil:
		s.broken("UNASKED: %s ran, and nobody sent it", id)
	case r.service != service:
		s.broken("ROUTE: %s is of %s and ran at %s", id, r.service, service)
	}
}

// judge checks what must hold of each request.
func (s *soak) judge() {
	for id, r := range s.requests {
		if r.unsafe && r.runs > 1 {
			s.broken("TWICE: %s ran %d times", id, r.runs)
		}
		if r.unsafe && r.runs > 0 && r.status == http.StatusServiceUnavailable {
			s.broken("REFUSED: %s was answered 503 and ran", id)
		}
	}
	if s.report.Succeeded == 0 {
		s.broken("no request was served")
	}
}

func (s *soak) tearDown() {
	var ends sync.WaitGroup
	for _, i := range s.instances {
		ends.Go(func() {
			if i.process != nil && i.end() {
				s.broken("%s was still there after its grace time", i.name)
			}
			i.current.stop()
			_ = i.log.Close()
		})
	}
	ends.Wait()
	for _, p := range s.proxies {
		p.close()
	}
}

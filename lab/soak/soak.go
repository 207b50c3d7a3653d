// Package soak runs real daemons as separate processes on loopback, with meshsim
// as the platform, and injects faults from outside the processes in overlapping
// series drawn from a seed. It checks guarantees by what callers and upstreams see.
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

	"fuchsiavane.org/lab/faultproxy"
	"fuchsiavane.org/lab/meshsim"
)

// Config configures a soak run.
type Config struct {
	// Seed seeds the random faults.
	Seed uint64
	// Instances is the number of daemons, at least 4, and Callers the number of
	// clients of each.
	Instances, Callers int
	// Length is the time during which faults are injected.
	Length time.Duration
	// Folder receives the program, the process settings and the logs.
	Folder string
	// Program is the path of the daemon; empty to build it.
	Program string
}

// Report holds the results of a run.
type Report struct {
	// Succeeded, Refused, Failed and Incomplete count the requests by what their
	// callers got: 200, a refusal as not run (503), another status, or no complete
	// response.
	Succeeded, Refused, Failed, Incomplete int
	// Faults lists the injected faults.
	Faults []string
	// Violations lists the violated guarantees.
	Violations []string
}

const (
	// recoveryTimeout is the maximum time from the last fault until all instances
	// serve.
	recoveryTimeout = 15 * time.Second
	// drainLimit is the time after an acknowledged drain during which requests may
	// still reach the upstream.
	drainLimit = 2500 * time.Millisecond
	// meanRunTime is the mean time that an upstream works on a request, and the wait of
	// a client before each request.
	meanRunTime = 20 * time.Millisecond
)

// host is the host name of every route.
const host = "soak.example"

// harness is a soak run in progress.
type harness struct {
	config        Config
	random        *rand.Rand
	store         *meshsim.Store
	storeProxy    *faultproxy.Proxy
	instances     []*instance
	proxies       []*faultproxy.Proxy // before the upstreams, by instance
	version       atomic.Int64        // of the newest configuration
	ids           atomic.Int64        // the last number drawn for a request or an upstream
	dropResponses atomic.Bool         // upstreams run requests and drop some responses
	startedAt     time.Time

	mu       sync.Mutex
	report   Report
	requests map[string]*request
}

// request records what is known of one request.
type request struct {
	unsafe  bool
	service string
	runs    int
	status  int // 0 without a complete response
}

// Run executes one soak run. It returns an error if the instances do not start or do
// not serve at the start.
func Run(c Config) (Report, error) {
	s := &harness{
		config: c, random: rand.New(rand.NewPCG(c.Seed, 1)), store: meshsim.NewStore(),
		requests: map[string]*request{}, startedAt: time.Now(),
	}
	if err := s.setUp(); err != nil {
		s.tearDown()
		return s.report, err
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for _, i := range s.instances {
		for range c.Callers {
			callers.Go(func() { s.runClient(i, stop) })
		}
	}
	s.inject()
	s.awaitRecovery()
	close(stop)
	callers.Wait()
	s.tearDown()
	s.checkRequests()
	return s.report, nil
}

// addViolation adds a violated guarantee to the report.
func (s *harness) addViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Violations = append(s.report.Violations, fmt.Sprintf("%.3f s: ", time.Since(s.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

// recordFault adds an injected fault to the report.
func (s *harness) recordFault(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Faults = append(s.report.Faults, fmt.Sprintf("%.3f s: ", time.Since(s.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

// setUp starts the store, the upstreams and the daemons, and waits until all
// instances serve.
func (s *harness) setUp() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "store")
	}
	go func() { _ = http.Serve(l, s.store) }() // ends with the process
	if s.storeProxy, err = faultproxy.New(l.Addr().String()); err != nil {
		return err
	}
	program := s.config.Program
	if program == "" {
		if program, err = BuildProgram(s.config.Folder); err != nil {
			return err
		}
	}
	s.configure()
	for n := range s.config.Instances {
		if err := s.addInstance(n, program); err != nil {
			return err
		}
	}
	if !s.awaitServing(recoveryTimeout) {
		return errors.New("the instances did not serve at the start")
	}
	return nil
}

// services are the names of the services, assigned to the instances in turn.
var services = []string{"desk", "registry"}

// configure writes the next configuration: routes for safe and unsafe requests to
// each service, and one route that names the version.
func (s *harness) configure() {
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
		s.addViolation("the store in memory refused a configuration: %v", err)
	}
}

// addInstance starts the nth instance, with its upstream behind a proxy.
func (s *harness) addInstance(n int, program string) error {
	i := &instance{
		number: n, name: fmt.Sprintf("instance-%d", n), service: services[n%len(services)], dataCentre: fmt.Sprintf("south-%d", n/len(services)%2+1),
		program: program,
	}
	i.settingsPath = filepath.Join(s.config.Folder, i.name+".conf")
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
	upstreamProxy, err := faultproxy.New(l.Addr().String())
	if err != nil {
		return err
	}
	s.proxies = append(s.proxies, upstreamProxy)
	if err := i.choosePorts(); err != nil {
		return err
	}
	if err := i.settingsFile(upstreamProxy.Addr(), s.storeProxy.Addr()); err != nil {
		return err
	}
	s.replaceUpstream(i, upstreamProxy.Addr())
	s.instances = append(s.instances, i)
	return i.start()
}

// serve handles a request as the current upstream of an instance.
func (s *harness) serve(i *instance, w http.ResponseWriter, r *http.Request) {
	i.mu.Lock()
	current := i.current
	drained := current.drained
	i.mu.Unlock()
	if expected := r.Header.Get("X-Expected-Instance"); expected != current.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !drained.IsZero() && time.Since(drained) > drainLimit {
		s.addViolation("DRAIN: %s reached %s %v after its leaving was acknowledged", r.Header.Get("X-Request-Id"), current.ID, time.Since(drained))
	}
	if r.Header.Get("X-Caller-Service") == "" {
		s.addViolation("UNASKED: %s came without the caller's service", r.Header.Get("X-Request-Id"))
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // an incomplete request does not run
	}
	s.recordRun(r.Header.Get("X-Request-Id"), current)
	time.Sleep(time.Duration(rand.ExpFloat64() * float64(meanRunTime)))
	if s.dropResponses.Load() && rand.IntN(4) == 0 {
		panic(http.ErrAbortHandler)
	}
	current.WriteResponse(w, r)
	_, _ = io.WriteString(w, " to "+r.Header.Get("X-Request-Id"))
}

// recordRun counts a run and checks that a client sent the request to the service.
func (s *harness) recordRun(id string, at *upstream) {
	s.mu.Lock()
	r := s.requests[id]
	if r != nil {
		r.runs++
	}
	s.mu.Unlock()
	switch {
	case r == nil:
		s.addViolation("UNASKED: %s ran, and nobody sent it", id)
	case r.service != at.Service:
		s.addViolation("ROUTE: %s is of %s and ran at %s of %s", id, r.service, at.ID, at.Service)
	}
}

// checkRequests checks, after the run, that no unsafe request ran twice or ran after
// a refusal, and that some request succeeded.
func (s *harness) checkRequests() {
	for id, r := range s.requests {
		if r.unsafe && r.runs > 1 {
			s.addViolation("TWICE: %s ran %d times", id, r.runs)
		}
		if r.unsafe && r.runs > 0 && r.status == http.StatusServiceUnavailable {
			s.addViolation("REFUSED: %s was answered 503 and ran", id)
		}
	}
	if s.report.Succeeded == 0 {
		s.addViolation("no request was served")
	}
}

// tearDown ends the processes and the proxies.
func (s *harness) tearDown() {
	var group sync.WaitGroup
	for _, i := range s.instances {
		group.Go(func() {
			if i.process != nil && i.terminate() {
				s.addViolation("%s was still there after its grace time", i.name)
			}
			i.current.stop()
			_ = i.log.Close()
		})
	}
	group.Wait()
	for _, p := range s.proxies {
		p.Close()
	}
}

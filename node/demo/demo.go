// Package demo runs a small whole system in one process: a store, two services
// of two upstreams each with their daemons, callers, and a short flood.
package demo

import (
	"context"
	_ "embed"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"fuchsiavane.org/core/callctx"
	"fuchsiavane.org/node/config"
	"fuchsiavane.org/node/daemon"
	"fuchsiavane.org/node/edit"
	"fuchsiavane.org/node/event"
	"fuchsiavane.org/node/freeport"
	"fuchsiavane.org/node/kv/memstore"
)

//go:embed settings.json
var document []byte

const (
	// startTimeout bounds the start of the system.
	startTimeout = 10 * time.Second
	// pollPause is the pause between looks at the start.
	pollPause = 50 * time.Millisecond
	// calmTime and floodTime are the lengths of the two parts of the run.
	calmTime  = 2 * time.Second
	floodTime = 4 * time.Second
	// workTime is what the deep service spends on a call.
	workTime = 20 * time.Millisecond
)

const (
	introduction = `Two services of two upstreams each, every upstream with its daemon, in one process.
Callers ask bench, which asks registry for each request; registry has 8 slots at
each upstream and takes 20 ms. Ranks: ruling (protected), lookup, bulk.
`
	legend = `
whole:        complete answers
not run:      refused before any upstream was given a byte; safe to send again
refused deep: ran at bench, refused at registry
p50, p99:     time to a complete answer
`
)

// system is what the demo has started.
type system struct {
	stop     context.CancelFunc
	group    sync.WaitGroup
	servers  []*http.Server
	entries  []string // caller addresses of the bench service
	admins   []string
	failures chan error
}

// Run runs the demo and prints what each rank got.
func Run(ctx context.Context, out io.Writer) error {
	store := memstore.New()
	if _, err := edit.Apply(ctx, store, document, "demo", nil); err != nil {
		return err
	}
	s, err := start(ctx, store)
	if err != nil {
		return err
	}
	defer s.close()
	if err := s.ready(ctx); err != nil {
		return err
	}
	if err := s.warm(ctx); err != nil {
		return err
	}
	fmt.Fprint(out, introduction)
	calm := load(ctx, s.entries, calmTime, false)
	flood := load(ctx, s.entries, floodTime, true)
	report(out, "calm", calm, calmTime)
	report(out, "flood of bulk", flood, floodTime)
	fmt.Fprint(out, legend)
	return ctx.Err()
}

func start(ctx context.Context, store *memstore.Store) (*system, error) {
	ctx, stop := context.WithCancel(ctx)
	s := &system{stop: stop, failures: make(chan error, 8)}
	for _, service := range []string{"registry", "bench"} {
		for i := range 2 {
			if err := s.instance(ctx, store, service, i); err != nil {
				s.close()
				return nil, err
			}
		}
	}
	return s, nil
}

// instance starts one upstream and its daemon.
func (s *system) instance(ctx context.Context, store *memstore.Store, service string, i int) error {
	addrs, err := freeport.Addrs(5)
	if err != nil {
		return err
	}
	c := config.Config{
		InstanceID: fmt.Sprintf("%s-%d", service, i), Service: service,
		Region: "south", DataCentre: "south-1",
		CallerListen: addrs[0], LocalListen: addrs[1], PeerListen: addrs[2], AdminListen: addrs[3],
		Upstream: "http://" + addrs[4], Platform: "http://in-process", LogLevel: "error",
	}
	handler := http.HandlerFunc(registry)
	if service == "bench" {
		handler = bench("http://" + c.LocalListen)
		s.entries = append(s.entries, c.CallerListen)
	}
	s.admins = append(s.admins, c.AdminListen)
	listener, err := net.Listen("tcp", addrs[4])
	if err != nil {
		return errors.WithStack(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	d, err := daemon.New(c, store, event.Discard())
	if err != nil {
		return err
	}
	s.group.Go(func() {
		if err := d.Run(ctx); err != nil {
			s.failures <- err
		}
	})
	return nil
}

// registry is the deep upstream.
func registry(w http.ResponseWriter, _ *http.Request) {
	time.Sleep(workTime)
	_, _ = io.WriteString(w, "certificate\n")
}

// bench is the upstream that calls registry through its daemon's local port.
func bench(local string) http.HandlerFunc {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	return func(w http.ResponseWriter, r *http.Request) {
		call, err := http.NewRequestWithContext(r.Context(), http.MethodGet, local+"/certificates", http.NoBody)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		call.Host = "registry"
		call.Header.Set(callctx.Header, r.Header.Get(callctx.Header))
		response, err := client.Do(call)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		defer response.Body.Close()
		w.WriteHeader(response.StatusCode)
		_, _ = io.Copy(w, response.Body)
	}
}

// ready waits until every daemon knows all four.
func (s *system) ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, addr := range s.admins {
		for !s.knowsAll(addr) {
			select {
			case err := <-s.failures:
				return err
			case <-ctx.Done():
				return errors.Errorf("daemon at %s did not find its peers within %v", addr, startTimeout)
			case <-time.After(pollPause):
			}
		}
	}
	return nil
}

// warm calls each kind at each entry until it is answered whole: new daemons
// first claim the keys of non-idempotent requests.
func (s *system) warm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	client := &http.Client{}
	for _, entry := range s.entries {
		for i, k := range calmKinds {
			if err := warmOne(ctx, client, entry, k, i); err != nil {
				return err
			}
		}
	}
	return nil
}

func warmOne(ctx context.Context, client *http.Client, entry string, k kind, i int) error {
	for {
		if status, _ := send(client, entry, k, i); status == http.StatusOK {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("%s %s at %s was not answered within %v", k.method, k.path, entry, startTimeout)
		case <-time.After(pollPause):
		}
	}
}

func (s *system) close() {
	s.stop()
	s.group.Wait()
	for _, server := range s.servers {
		_ = server.Close()
	}
}

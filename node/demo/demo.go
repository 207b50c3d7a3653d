// Package demo runs a small system in one process: a store, two services with two
// upstreams each and a daemon per upstream, callers, and a short flood.
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
	// pollInterval is the interval between checks during the start.
	pollInterval = 50 * time.Millisecond
	// normalDuration and floodDuration are the durations of the two phases.
	normalDuration = 2 * time.Second
	floodDuration  = 4 * time.Second
	// serviceTime is the time that registry takes for a request.
	serviceTime = 20 * time.Millisecond
)

const (
	introduction = `Two services, bench and registry, run in one process, with two upstreams each and a
daemon per upstream. Each request to bench makes one call to registry, whose upstreams
have 8 slots each and take 20 ms. Ranks: ruling (protected), lookup, bulk.
`
	legend = `
whole:        complete answers
not run:      refused before any upstream was given a byte; safe to send again
refused deep: ran at bench, refused at registry
p50, p99:     time to a complete answer
`
)

// system holds the processes that the demo started.
type system struct {
	stop         context.CancelFunc
	daemons      sync.WaitGroup
	servers      []*http.Server
	callerAddrs  []string // caller ports of the daemons of bench
	adminAddrs   []string
	daemonErrors chan error
}

// Run runs the demo and prints a report per rank.
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
	if err := s.waitReady(ctx); err != nil {
		return err
	}
	if err := s.warmUp(ctx); err != nil {
		return err
	}
	fmt.Fprint(out, introduction)
	normal := runLoad(ctx, s.callerAddrs, normalDuration, false)
	flood := runLoad(ctx, s.callerAddrs, floodDuration, true)
	report(out, "calm", normal, normalDuration)
	report(out, "flood of bulk", flood, floodDuration)
	fmt.Fprint(out, legend)
	return ctx.Err()
}

// start starts two instances of each service.
func start(ctx context.Context, store *memstore.Store) (*system, error) {
	ctx, stop := context.WithCancel(ctx)
	s := &system{stop: stop, daemonErrors: make(chan error, 8)}
	for _, service := range []string{"registry", "bench"} {
		for i := range 2 {
			if err := s.startInstance(ctx, store, service, i); err != nil {
				s.close()
				return nil, err
			}
		}
	}
	return s, nil
}

// startInstance starts an upstream and its daemon.
func (s *system) startInstance(ctx context.Context, store *memstore.Store, service string, i int) error {
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
		s.callerAddrs = append(s.callerAddrs, c.CallerListen)
	}
	s.adminAddrs = append(s.adminAddrs, c.AdminListen)
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
	s.daemons.Go(func() {
		if err := d.Run(ctx); err != nil {
			s.daemonErrors <- err
		}
	})
	return nil
}

// registry is the handler of the upstream that bench calls.
func registry(w http.ResponseWriter, _ *http.Request) {
	time.Sleep(serviceTime)
	_, _ = io.WriteString(w, "certificate\n")
}

// bench returns the handler of the upstream that calls registry through the local
// port of its daemon.
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

// waitReady waits until every daemon knows all daemons.
func (s *system) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, addr := range s.adminAddrs {
		for !s.knowsAllPeers(addr) {
			select {
			case err := <-s.daemonErrors:
				return err
			case <-ctx.Done():
				return errors.Errorf("daemon at %s did not find all peers within %v", addr, startTimeout)
			case <-time.After(pollInterval):
			}
		}
	}
	return nil
}

// warmUp sends each kind of request to each entry daemon until it succeeds, because new
// daemons first have to claim the keys of non-idempotent requests.
func (s *system) warmUp(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	client := &http.Client{}
	for _, entry := range s.callerAddrs {
		for i, k := range normalKinds {
			if err := warmUpRequest(ctx, client, entry, k, i); err != nil {
				return err
			}
		}
	}
	return nil
}

// warmUpRequest sends one kind of request until it succeeds.
func warmUpRequest(ctx context.Context, client *http.Client, entry string, k requestKind, i int) error {
	for {
		if status, _ := send(client, entry, k, i); status == http.StatusOK {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("%s %s at %s did not succeed within %v", k.method, k.path, entry, startTimeout)
		case <-time.After(pollInterval):
		}
	}
}

// close stops the daemons and upstreams.
func (s *system) close() {
	s.stop()
	s.daemons.Wait()
	for _, server := range s.servers {
		_ = server.Close()
	}
}

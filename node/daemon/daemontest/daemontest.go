// Package daemontest starts daemons with their upstreams in one process, on
// loopback ports, for tests.
package daemontest

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"fuchsiavane.org/node/admin"
	"fuchsiavane.org/node/call"
	"fuchsiavane.org/node/config"
	"fuchsiavane.org/node/daemon"
	"fuchsiavane.org/node/edit"
	"fuchsiavane.org/node/event"
	"fuchsiavane.org/node/freeport"
	"fuchsiavane.org/node/kv"
)

const (
	// waitTimeout bounds each wait of this package.
	waitTimeout = 20 * time.Second
	// pollInterval is the interval of status requests while waiting.
	pollInterval = 10 * time.Millisecond
)

// Options describes an instance. Region defaults to "south" and DataCentre to the
// region with the suffix "-1".
type Options struct {
	ID, Service, Region, DataCentre string
	// Upstream is the handler of the instance's upstream.
	Upstream http.Handler
	// Log receives the daemon's events; nil discards them.
	Log *event.Logger
	// Edit changes the process settings before the start; it may be nil.
	Edit func(*config.Config)
}

// Instance is a running daemon with its upstream.
type Instance struct {
	Config   config.Config
	Daemon   *daemon.Daemon
	Upstream *httptest.Server

	t      testing.TB
	stop   context.CancelFunc
	result chan error
}

// Start starts an instance, waits until its admin port responds and stops the
// instance when the test ends.
func Start(t testing.TB, store kv.Store, o Options) *Instance {
	t.Helper()
	upstream := httptest.NewServer(o.Upstream)
	i := &Instance{Config: newConfig(t, o, upstream.URL), Upstream: upstream, t: t, result: make(chan error, 1)}
	if o.Edit != nil {
		o.Edit(&i.Config)
	}
	log := o.Log
	if log == nil {
		log = event.Discard()
	}
	var err error
	if i.Daemon, err = daemon.New(i.Config, store, log); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	i.stop = stop
	go func() { i.result <- i.Daemon.Run(ctx) }()
	addToFleet(t, i)
	i.Await("its own status", func(s admin.Status) bool { return s.Instance == i.Config.InstanceID })
	return i
}

func newConfig(t testing.TB, o Options, upstream string) config.Config {
	if o.Region == "" {
		o.Region = "south"
	}
	if o.DataCentre == "" {
		o.DataCentre = o.Region + "-1"
	}
	addrs := FreeAddrs(t, 4)
	return config.Config{
		InstanceID: o.ID, Service: o.Service, Region: o.Region, DataCentre: o.DataCentre,
		CallerListen: addrs[0], LocalListen: addrs[1], PeerListen: addrs[2], AdminListen: addrs[3],
		Upstream: upstream, Platform: "http://127.0.0.1:1", LogLevel: "error",
	}
}

// FreeAddrs returns n free loopback addresses.
func FreeAddrs(t testing.TB, n int) []string {
	t.Helper()
	addrs, err := freeport.Addrs(n)
	if err != nil {
		t.Fatal(err)
	}
	return addrs
}

// Apply writes a settings document to the store.
func Apply(t testing.TB, store kv.Store, document string) {
	t.Helper()
	if _, err := edit.Apply(context.Background(), store, []byte(document), "test", nil); err != nil {
		t.Fatal(err)
	}
}

// Stop drains the daemon and waits for its end.
func (i *Instance) Stop() {
	i.t.Helper()
	i.stop()
	err := <-i.result
	i.result <- err // for the cleanup
	if err != nil {
		i.t.Fatal(err)
	}
}

// Status requests the daemon's status from its admin port.
func (i *Instance) Status() (admin.Status, error) {
	var s admin.Status
	response, err := http.Get("http://" + i.Config.AdminListen + "/status")
	if err != nil {
		return s, err
	}
	defer response.Body.Close()
	return s, json.NewDecoder(response.Body).Decode(&s)
}

// Await waits until ok accepts the daemon's status. what names the condition in the
// failure message.
func (i *Instance) Await(what string, ok func(admin.Status) bool) {
	i.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for time.Now().Before(deadline) {
		if s, err := i.Status(); err == nil && ok(s) {
			return
		}
		time.Sleep(pollInterval)
	}
	i.t.Fatalf("%s: no %s within %v", i.Config.InstanceID, what, waitTimeout)
}

// AwaitPeers waits until the daemon knows the given instances and has settings of at
// least the given revision in force.
func (i *Instance) AwaitPeers(revision uint64, ids ...string) {
	i.t.Helper()
	i.Await("peers "+strings.Join(ids, " "), func(s admin.Status) bool {
		known := map[string]bool{}
		for _, p := range s.Peers {
			known[p.ID] = true
		}
		for _, id := range ids {
			if !known[id] {
				return false
			}
		}
		return s.SettingsRevision >= revision
	})
}

// Response is the response to a call.
type Response struct {
	Status  int
	Outcome call.Outcome
	Header  http.Header
	Body    []byte
	// Err is set if the response was truncated or missing.
	Err error
}

// Call makes a call through the daemon's caller port. headers are pairs of a name and
// a value.
func (i *Instance) Call(method, service, target, body string, headers ...string) Response {
	request, err := http.NewRequest(method, "http://"+i.Config.CallerListen+target, strings.NewReader(body))
	if err != nil {
		return Response{Err: err}
	}
	request.Host = service
	for n := 0; n+1 < len(headers); n += 2 {
		request.Header.Set(headers[n], headers[n+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return Response{Err: err}
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	return Response{response.StatusCode, call.Outcome(response.Header.Get(call.HeaderOutcome)), response.Header, answer, err}
}

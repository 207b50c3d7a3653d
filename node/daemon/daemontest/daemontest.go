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
	// waitLimit bounds the waits of the package.
	waitLimit = 20 * time.Second
	// pollInterval is the pause between looks.
	pollInterval = 10 * time.Millisecond
)

// Options describes an instance. Region and DataCentre have defaults.
type Options struct {
	ID, Service, Region, DataCentre string
	// Upstream serves the instance's requests.
	Upstream http.Handler
	// Log gets the daemon's events; nil discards them.
	Log *event.Logger
	// Edit changes the process settings before the start; may be nil.
	Edit func(*config.Config)
}

// Instance is a running daemon with its upstream.
type Instance struct {
	Config   config.Config
	Daemon   *daemon.Daemon
	Upstream *httptest.Server

	t    testing.TB
	stop context.CancelFunc
	done chan error
}

// Start starts an instance and stops it when the test ends.
func Start(t testing.TB, store kv.Store, o Options) *Instance {
	t.Helper()
	upstream := httptest.NewServer(o.Upstream)
	i := &Instance{Config: configOf(t, o, upstream.URL), Upstream: upstream, t: t, done: make(chan error, 1)}
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
	go func() { i.done <- i.Daemon.Run(ctx) }()
	join(t, i)
	i.Await("its own status", func(s admin.Status) bool { return s.Instance == i.Config.InstanceID })
	return i
}

func configOf(t testing.TB, o Options, upstream string) config.Config {
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

// FreeAddrs returns free loopback addresses.
func FreeAddrs(t testing.TB, n int) []string {
	t.Helper()
	addrs, err := freeport.Addrs(n)
	if err != nil {
		t.Fatal(err)
	}
	return addrs
}

// Apply makes a document the settings in the store.
func Apply(t testing.TB, store kv.Store, document string) {
	t.Helper()
	if _, err := edit.Apply(context.Background(), store, []byte(document), "test", nil); err != nil {
		t.Fatal(err)
	}
}

// Stop begins a planned stop and waits for its end.
func (i *Instance) Stop() {
	i.t.Helper()
	i.stop()
	err := <-i.done
	i.done <- err // for the cleanup
	if err != nil {
		i.t.Fatal(err)
	}
}

// Status returns the daemon's status.
func (i *Instance) Status() (admin.Status, error) {
	var s admin.Status
	response, err := http.Get("http://" + i.Config.AdminListen + "/status")
	if err != nil {
		return s, err
	}
	defer response.Body.Close()
	return s, json.NewDecoder(response.Body).Decode(&s)
}

// Await waits until the daemon's status satisfies a condition.
func (i *Instance) Await(what string, ok func(admin.Status) bool) {
	i.t.Helper()
	end := time.Now().Add(waitLimit)
	for time.Now().Before(end) {
		if s, err := i.Status(); err == nil && ok(s) {
			return
		}
		time.Sleep(pollInterval)
	}
	i.t.Fatalf("%s: no %s within %v", i.Config.InstanceID, what, waitLimit)
}

// AwaitPeers waits until the daemon knows the given instances and revision.
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

// Response is what a call got.
type Response struct {
	Status  int
	Outcome call.Outcome
	Header  http.Header
	Body    []byte
	// Err is set when the answer was cut or none came.
	Err error
}

// Call makes a call through the daemon's caller port. Headers are given as
// name, value pairs.
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

package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"fuchsiavane.org/node/admin"
	"fuchsiavane.org/node/call"
	"fuchsiavane.org/node/config"
	"fuchsiavane.org/node/edit"
	"fuchsiavane.org/node/event"
	"fuchsiavane.org/node/platform"
	"fuchsiavane.org/node/platform/memstore"
)

// readyTimeout bounds the start of a fleet, also on a busy machine.
const readyTimeout = 30 * time.Second

// switchable is a store that can be taken away.
type switchable struct {
	*memstore.Store
	mu   sync.Mutex
	away bool
}

func (s *switchable) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

func (s *switchable) err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return platform.ErrUnavailable
	}
	return nil
}

func (s *switchable) Get(ctx context.Context, key string) (platform.Entry, error) {
	if err := s.err(); err != nil {
		return platform.Entry{}, err
	}
	return s.Store.Get(ctx, key)
}

func (s *switchable) Put(ctx context.Context, key string, value []byte, ifRevision uint64, lease string) (uint64, error) {
	if err := s.err(); err != nil {
		return 0, err
	}
	return s.Store.Put(ctx, key, value, ifRevision, lease)
}

// fleet is one service's instances on real ports, with the upstream's runs.
type fleet struct {
	store   *switchable
	configs []config.Config
	daemons []*Daemon
	ended   []chan error

	mu   sync.Mutex
	runs map[string]int
}

// newFleet starts n instances and waits until they own every key. serve is the
// upstream's handler after a run was counted.
func newFleet(t *testing.T, n int, document string, serve http.HandlerFunc) *fleet {
	is := is.New(t)
	f := &fleet{store: &switchable{Store: memstore.New()}, runs: map[string]int{}}
	_, err := edit.Apply(t.Context(), f.store, []byte(document), "test", nil)
	is.NoErr(err)
	for i := range n {
		f.start(t, i, serve)
	}
	f.await(t, func(s []admin.Status) bool {
		for _, one := range s {
			if len(one.Peers) != n || one.SettingsRevision == 0 {
				return false
			}
		}
		return true
	})
	f.awaitOwners(t)
	return f
}

func (f *fleet) start(t *testing.T, i int, serve http.HandlerFunc) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		f.runs[r.Header.Get(call.HeaderKey)]++
		f.mu.Unlock()
		serve(w, r)
	}))
	t.Cleanup(server.Close)
	addrs := freeAddrs(t, 4)
	c := config.Config{
		InstanceID: fmt.Sprint("registry-", i), Service: "registry", Region: "south", DataCentre: "south-1",
		CallerListen: addrs[0], LocalListen: addrs[1], PeerListen: addrs[2], AdminListen: addrs[3],
		Upstream: server.URL, Platform: "http://in-process", LogLevel: "error",
	}
	d, err := New(c, f.store, event.Discard())
	is.NoErr(err)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		<-ended
	})
	f.configs = append(f.configs, c)
	f.daemons = append(f.daemons, d)
	f.ended = append(f.ended, ended)
}

func freeAddrs(t *testing.T, n int) []string {
	addrs := make([]string, n)
	for i := range addrs {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.New(t).NoErr(err)
		defer l.Close()
		addrs[i] = l.Addr().String()
	}
	return addrs
}

func (f *fleet) await(t *testing.T, reached func([]admin.Status) bool) {
	end := time.Now().Add(readyTimeout)
	for {
		var all []admin.Status
		for _, c := range f.configs {
			var s admin.Status
			response, err := http.Get("http://" + c.AdminListen + "/status")
			if err == nil {
				_ = json.NewDecoder(response.Body).Decode(&s)
				_ = response.Body.Close()
			}
			all = append(all, s)
		}
		if reached(all) {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("not reached within %v: %+v", readyTimeout, all)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// awaitOwners waits until a key of every instance can run.
func (f *fleet) awaitOwners(t *testing.T) {
	f.await(t, func([]admin.Status) bool {
		owned := 0
		for _, d := range f.daemons {
			owned += d.keeper.Status().Shards
		}
		return owned >= 128
	})
}

// result is an answer as the caller saw it.
type result struct {
	status  int
	outcome string
	body    string
}

// post lodges a ruling through an instance.
func (f *fleet) post(t *testing.T, entry int, target, key, body string) result {
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+f.configs[entry].CallerListen+target, strings.NewReader(body))
	if err != nil {
		t.Error(err)
		return result{}
	}
	request.Host = "registry"
	if key != "" {
		request.Header.Set(call.HeaderKey, key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Error(err)
		return result{}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Error(err)
	}
	return result{response.StatusCode, response.Header.Get(call.HeaderOutcome), string(text)}
}

func (f *fleet) runsOf(key string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[key]
}

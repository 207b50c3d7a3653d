package daemon_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"fuchsiavane.org/core/once"
	"fuchsiavane.org/node/call"
	"fuchsiavane.org/node/daemon/daemontest"
	"fuchsiavane.org/node/kv"
	"fuchsiavane.org/node/kv/memstore"
)

// ownersLimit bounds the wait until every key has an owner.
const ownersLimit = 30 * time.Second

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
		return kv.ErrUnavailable
	}
	return nil
}

func (s *switchable) Get(ctx context.Context, key string) (kv.Entry, error) {
	if err := s.err(); err != nil {
		return kv.Entry{}, err
	}
	return s.Store.Get(ctx, key)
}

func (s *switchable) Put(ctx context.Context, key string, value []byte, ifRevision uint64, lease string) (uint64, error) {
	if err := s.err(); err != nil {
		return 0, err
	}
	return s.Store.Put(ctx, key, value, ifRevision, lease)
}

// fleet is the instances of one service, with the runs of its upstreams.
type fleet struct {
	store     *switchable
	instances []*daemontest.Instance

	mu   sync.Mutex
	runs map[string]int
}

// newFleet starts n instances and waits until every key has an owner. serve is
// the upstreams' handler after a run was counted.
func newFleet(t *testing.T, n int, document string, serve http.HandlerFunc) *fleet {
	f := &fleet{store: &switchable{Store: memstore.New()}, runs: map[string]int{}}
	daemontest.Apply(t, f.store, document)
	counted := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		f.runs[r.Header.Get(call.HeaderKey)]++
		f.mu.Unlock()
		serve(w, r)
	})
	var ids []string
	for i := range n {
		ids = append(ids, fmt.Sprint("registry-", i))
		f.instances = append(f.instances, daemontest.Start(t, f.store, daemontest.Options{ID: ids[i], Service: "registry", Upstream: counted}))
	}
	for _, instance := range f.instances {
		instance.AwaitPeers(1, ids...)
	}
	f.awaitOwners(t)
	return f
}

// apply makes another document the settings in force.
func (f *fleet) apply(t *testing.T, document string) {
	daemontest.Apply(t, f.store, document)
	for _, instance := range f.instances {
		instance.AwaitPeers(2)
	}
}

func (f *fleet) awaitOwners(t *testing.T) {
	for end := time.Now().Add(ownersLimit); ; time.Sleep(20 * time.Millisecond) {
		owned := 0
		for _, instance := range f.instances {
			owned += instance.Daemon.Claims().Shards
		}
		if owned >= once.Shards {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d of %d shards owned within %v", owned, once.Shards, ownersLimit)
		}
	}
}

// result is an answer as the caller saw it.
type result struct {
	status  int
	outcome call.Outcome
	body    string
}

// post lodges a ruling through an instance.
func (f *fleet) post(t *testing.T, entry int, target, key, body string) result {
	var headers []string
	if key != "" {
		headers = []string{call.HeaderKey, key}
	}
	r := f.instances[entry].Call(http.MethodPost, "registry", target, body, headers...)
	if r.Err != nil {
		t.Error(r.Err)
	}
	return result{r.Status, r.Outcome, string(r.Body)}
}

func (f *fleet) runsOf(key string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[key]
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

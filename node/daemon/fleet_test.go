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

// ownersTimeout bounds the wait until every shard has an owner.
const ownersTimeout = 30 * time.Second

// switchableStore is a store that a test can make unavailable for reads and writes.
type switchableStore struct {
	*memstore.Store
	mu          sync.Mutex
	unavailable bool
}

func (s *switchableStore) setUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
}

func (s *switchableStore) err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return kv.ErrUnavailable
	}
	return nil
}

func (s *switchableStore) Get(ctx context.Context, key string) (kv.Entry, error) {
	if err := s.err(); err != nil {
		return kv.Entry{}, err
	}
	return s.Store.Get(ctx, key)
}

func (s *switchableStore) Put(ctx context.Context, key string, value []byte, ifRevision uint64, lease string) (uint64, error) {
	if err := s.err(); err != nil {
		return 0, err
	}
	return s.Store.Put(ctx, key, value, ifRevision, lease)
}

// fleet holds the instances of one service and counts the runs of its upstreams by
// idempotency key.
type fleet struct {
	store     *switchableStore
	instances []*daemontest.Instance

	mu   sync.Mutex
	runs map[string]int
}

// newFleet starts n instances and waits until every shard has an owner. The
// upstreams count each run and then call serve.
func newFleet(t *testing.T, n int, document string, serve http.HandlerFunc) *fleet {
	f := &fleet{store: &switchableStore{Store: memstore.New()}, runs: map[string]int{}}
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

// apply writes a second settings document and waits until it is in force on all
// instances.
func (f *fleet) apply(t *testing.T, document string) {
	daemontest.Apply(t, f.store, document)
	for _, instance := range f.instances {
		instance.AwaitPeers(2)
	}
}

func (f *fleet) awaitOwners(t *testing.T) {
	for deadline := time.Now().Add(ownersTimeout); ; time.Sleep(20 * time.Millisecond) {
		owned := 0
		for _, instance := range f.instances {
			owned += instance.Daemon.Claims().Shards
		}
		if owned >= once.Shards {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d of %d shards owned within %v", owned, once.Shards, ownersTimeout)
		}
	}
}

// result is a response as the caller received it.
type result struct {
	status  int
	outcome call.Outcome
	body    string
}

// post sends a POST request through an instance, with an idempotency key unless key
// is empty.
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

package daemon_test

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"fuchsiavane.org/node/daemon/daemontest"
	"fuchsiavane.org/node/kv"
	"fuchsiavane.org/node/kv/memstore"
)

// settingsTarget is the time within which an accepted edit must be in force on every
// instance, as CONTRIBUTING.md requires.
const settingsTarget = 6 * time.Second

// instanceStore is one instance's access to the store, which a test can make
// unavailable for this instance alone.
type instanceStore struct {
	*memstore.Store
	watches     atomic.Int64
	unavailable atomic.Bool
}

func (w *instanceStore) Get(ctx context.Context, key string) (kv.Entry, error) {
	if w.unavailable.Load() {
		return kv.Entry{}, kv.ErrUnavailable
	}
	return w.Store.Get(ctx, key)
}

func (w *instanceStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]kv.Change, uint64, error) {
	w.watches.Add(1)
	if w.unavailable.Load() {
		return nil, 0, kv.ErrUnavailable
	}
	return w.Store.Watch(ctx, prefix, after, min(wait, 50*time.Millisecond)) // short waits, so that unavailable is checked again
}

// TestStoreTurnsTheWatchersAway makes the store unavailable for just the instances that
// watch it for the others. An edit must still come into force on all instances. Seen
// on day cut-off of tpwax-mesh-grown, seed 15684346966: the store refused all eight
// watchers for 7 s.
func TestStoreTurnsTheWatchersAway(t *testing.T) {
	t.Parallel()
	store := memstore.New()
	daemontest.Apply(t, store, `{"settings": {"timeout_ms": 1000}}`)
	const instances = 5
	stores := make([]*instanceStore, instances)
	fleet := make([]*daemontest.Instance, instances)
	var ids []string
	for i := range fleet {
		ids = append(ids, fmt.Sprint("registry-", i))
		stores[i] = &instanceStore{Store: store}
		fleet[i] = daemontest.Start(t, stores[i], daemontest.Options{
			ID: ids[i], Service: "registry", Upstream: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
		})
	}
	for _, instance := range fleet {
		instance.AwaitPeers(1, ids...)
	}
	time.Sleep(time.Second) // until the watchers are stable
	for _, s := range stores {
		s.watches.Store(0)
	}
	time.Sleep(time.Second)
	watchers := 0
	for _, s := range stores {
		if s.watches.Load() > 0 {
			s.unavailable.Store(true)
			watchers++
		}
	}
	if watchers == 0 || watchers == instances {
		t.Fatalf("%d of %d instances watch", watchers, instances)
	}
	time.Sleep(500 * time.Millisecond) // until watches that started before have ended
	daemontest.Apply(t, store, `{"settings": {"timeout_ms": 2000}}`)
	edited := time.Now()
	for _, instance := range fleet {
		for {
			status, err := instance.Status()
			if err == nil && status.SettingsRevision >= 2 {
				break
			}
			if time.Since(edited) > settingsTarget {
				t.Fatalf("revision 2 is not in force after %v, with the store unavailable to %d of %d instances", settingsTarget, watchers, instances)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

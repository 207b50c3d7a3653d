package departure

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"fuchsiavane.org/node/event"
	"fuchsiavane.org/node/kv"
	"fuchsiavane.org/node/kv/memstore"
	"fuchsiavane.org/node/presence"
)

// failingStore is a store whose calls fail while failing is set, after they took effect.
type failingStore struct {
	*memstore.Store
	failing atomic.Bool
}

func (s *failingStore) Get(ctx context.Context, key string) (kv.Entry, error) {
	entry, err := s.Store.Get(ctx, key)
	if s.failing.Load() {
		return kv.Entry{}, kv.ErrUnavailable
	}
	return entry, err
}

func (s *failingStore) Put(ctx context.Context, key string, value []byte, ifRevision uint64, lease string) (uint64, error) {
	revision, err := s.Store.Put(ctx, key, value, ifRevision, lease)
	if s.failing.Load() {
		return 0, kv.ErrUnavailable
	}
	return revision, err
}

// startProcess starts a process of the daemon "d": a Presence and its Keeper.
func startProcess(t *testing.T, store kv.Store) (p *presence.Presence, k *Keeper, kill func()) {
	p = presence.New(time.Second)
	k = NewKeeper(store, "d", p, event.Discard())
	ctx, cancel := context.WithCancel(t.Context())
	go k.Run(ctx)
	return p, k, cancel
}

func ready(instance string, startedAt int64, sequence uint64) presence.Heartbeat {
	return presence.Heartbeat{Instance: instance, StartedAt: startedAt, Sequence: sequence, Phase: presence.PhaseReady, Slots: 1}
}

// TestNextProcessKnowsDepartures guards against a restart that forgets an acknowledged
// departure, also if the store fails around the departure or the restart.
func TestNextProcessKnowsDepartures(t *testing.T) {
	for _, c := range []struct {
		name                       string
		failsAtLeave, failsAtStart bool
	}{{"store works", false, false}, {"answers lost at the departure", true, false}, {"store away at the start", false, true}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := &failingStore{Store: memstore.New()}
				p, k, kill := startProcess(t, store)
				synctest.Wait()
				is.NoErr(p.RecordHeartbeat(time.Now(), ready("a", 1, 3)))
				is.Equal(p.Current(time.Now()).Phase, presence.PhaseReady) // nothing to recall
				store.failing.Store(c.failsAtLeave)
				is.NoErr(p.MarkLeaving(time.Now(), "a"))
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				k.Save(ctx)
				cancel()
				store.failing.Store(false)
				kill()
				synctest.Wait()

				store.failing.Store(c.failsAtStart)
				p, _, kill = startProcess(t, store)
				defer kill()
				synctest.Wait()
				_ = p.RecordHeartbeat(time.Now(), ready("a", 1, 4)) // late
				is.Equal(p.Current(time.Now()).Phase, presence.PhaseAbsent)
				store.failing.Store(false)
				time.Sleep(maxBackoff)
				is.Equal(p.Current(time.Now()).Phase, presence.PhaseAbsent)
				is.NoErr(p.RecordHeartbeat(time.Now(), ready("a", 2, 1))) // a new start
				is.Equal(p.Current(time.Now()).Phase, presence.PhaseReady)
			})
		})
	}
}

// TestDeparturesOfTwoProcesses checks that a process adds to the departures that it
// recalls, and that only the latest stay in the store.
func TestDeparturesOfTwoProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memstore.New()
		for start := range int64(maxStored + 2) {
			p, k, kill := startProcess(t, store)
			synctest.Wait()
			instance := string(rune('a' + start))
			is.NoErr(p.RecordHeartbeat(time.Now(), ready(instance, start+1, 1)))
			is.NoErr(p.MarkLeaving(time.Now(), instance))
			k.Save(t.Context())
			kill()
			time.Sleep(time.Second)
		}
		entry, err := store.Get(t.Context(), keyPrefix+"d")
		is.NoErr(err)
		stored := decode(entry.Value)
		is.Equal(len(stored), maxStored)
		is.Equal(stored[0].Instance, string(rune('a'+maxStored+1)))
	})
}

// TestUnreadableDepartures checks that a value of another writer costs only what can't be
// read of it.
func TestUnreadableDepartures(t *testing.T) {
	is := is.New(t)
	is.Equal(len(decode(nil)), 0)
	is.Equal(len(decode([]byte("\\xff{"))), 0)
	list := decode([]byte(`[{"instance":7},{"instance":""},{"instance":"a","at_ms":5,"started_ms":3,"new":1},{"instance":"b","at_ms":6}]`))
	is.Equal(list, []presence.Departure{
		{Instance: "a", At: time.UnixMilli(5), StartedAt: 3, StartKnown: true},
		{Instance: "b", At: time.UnixMilli(6)},
	})
}

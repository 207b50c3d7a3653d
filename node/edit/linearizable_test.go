package edit

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/pkg/errors"

	"fuchsiavane.org/node/kv"
	"fuchsiavane.org/node/kv/memstore"
)

// flakyStore loses requests and responses; a write whose response was lost may
// take effect later.
type flakyStore struct {
	kv.Store
	mu            sync.Mutex
	random        *rand.Rand
	delayedWrites sync.WaitGroup
	// ignoreRevision makes writes without compare-and-swap.
	ignoreRevision bool
}

func (s *flakyStore) draw(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

func (s *flakyStore) delay() { time.Sleep(time.Duration(s.draw(300)) * time.Millisecond) }

func (s *flakyStore) Get(ctx context.Context, key string) (kv.Entry, error) {
	s.delay()
	if s.draw(10) == 0 {
		return kv.Entry{}, errConnectionReset
	}
	return s.Store.Get(ctx, key)
}

func (s *flakyStore) Put(ctx context.Context, key string, value []byte, ifRevision uint64, lease string) (uint64, error) {
	s.delay()
	if s.ignoreRevision {
		if entry, err := s.Store.Get(ctx, key); err == nil {
			ifRevision = entry.Revision
		}
	}
	switch s.draw(6) {
	case 0:
		return 0, errConnectionReset
	case 1:
		_, _ = s.Store.Put(ctx, key, value, ifRevision, lease)
		return 0, errConnectionReset
	case 2:
		s.delayedWrites.Go(func() {
			s.delay()
			_, _ = s.Store.Put(ctx, key, value, ifRevision, lease)
		})
		return 0, errConnectionReset
	}
	return s.Store.Put(ctx, key, value, ifRevision, lease)
}

// outcome is the result of an edit or read as the operator saw it.
type outcome struct {
	// accepted is true if the edit was accepted as revision.
	accepted bool
	// uncertain is true if the edit may have been accepted.
	uncertain bool
	revision  uint64
}

// operation is a read of the settings, or an edit based on a revision.
type operation struct {
	isRead bool
	base   uint64
}

// headModel models the settings as a register that holds a revision: an edit is
// accepted only if its base is the current revision, and increments it.
var headModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(0)} },
	Step: func(state, input, output any) []any {
		revision, in, out := state.(uint64), input.(operation), output.(outcome)
		accepted := revision == in.base
		switch {
		case in.isRead && out.revision == revision:
			return []any{revision}
		case in.isRead:
			return nil
		case out.uncertain && accepted:
			return []any{revision, revision + 1}
		case out.uncertain:
			return []any{revision}
		case out.accepted && accepted && out.revision == revision+1:
			return []any{out.revision}
		case !out.accepted && !accepted:
			return []any{revision}
		}
		return nil
	},
}).ToModel()

// recordHistory runs concurrent operators and returns their operations.
func recordHistory(t *testing.T, seed uint64, ignoreRevision bool) []porcupine.Operation {
	store := &flakyStore{Store: memstore.New(), random: rand.New(rand.NewPCG(seed, 0)), ignoreRevision: ignoreRevision}
	var mu sync.Mutex
	var clock atomic.Int64
	var operations []porcupine.Operation
	record := func(client int, in operation, call int64, out outcome) {
		mu.Lock()
		defer mu.Unlock()
		returned := clock.Add(1)
		if out.uncertain {
			returned = math.MaxInt64 // it may take effect at any later time
		}
		operations = append(operations, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: returned})
	}
	var operators sync.WaitGroup
	for client := range 4 {
		operators.Go(func() {
			for range 6 {
				call := clock.Add(1)
				head, _, err := Read(t.Context(), store)
				if err != nil && !errors.Is(err, kv.ErrNotFound) {
					continue
				}
				base := head.Revision
				record(client, operation{isRead: true}, call, outcome{revision: base})
				call = clock.Add(1)
				head, err = Apply(t.Context(), store, document(client+1), "operator", &base)
				if out, known := outcomeOf(head, err); known {
					record(client, operation{base: base}, call, out)
				}
			}
		})
	}
	operators.Wait()
	store.delayedWrites.Wait()
	return operations
}

// outcomeOf returns the outcome of an edit, or false if it failed before its
// write.
func outcomeOf(head Head, err error) (outcome, bool) {
	var uncertain *UncertainError
	switch {
	case err == nil:
		return outcome{accepted: true, revision: head.Revision}, true
	case errors.As(err, &uncertain):
		return outcome{uncertain: true}, true
	case errors.Is(err, ErrConflict):
		return outcome{}, true
	}
	return outcome{}, false
}

// TestRacingEditsAreLinearizable checks that concurrent edits are linearizable when
// requests and responses are lost or delayed: each is accepted only on the revision
// that it is based on.
func TestRacingEditsAreLinearizable(t *testing.T) {
	for seed := range uint64(200) {
		synctest.Test(t, func(t *testing.T) {
			if !porcupine.CheckOperations(headModel, recordHistory(t, seed, false)) {
				t.Errorf("seed %d: the history is not linearizable", seed)
			}
		})
	}
}

// TestLinearizabilityCheckCanFail checks that the check of
// TestRacingEditsAreLinearizable detects a store that ignores compare-and-swap.
func TestLinearizabilityCheckCanFail(t *testing.T) {
	found := false
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			found = found || !porcupine.CheckOperations(headModel, recordHistory(t, seed, true))
		})
	}
	if !found {
		t.Error("no lost update was found in 20 histories")
	}
}

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

// flakyStore loses requests and answers, and lets writes whose answer was lost
// take effect late.
type flakyStore struct {
	kv.Store
	mu     sync.Mutex
	random *rand.Rand
	late   sync.WaitGroup
	// careless writes without the compare-and-swap.
	careless bool
}

func (s *flakyStore) draw(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

func (s *flakyStore) pause() { time.Sleep(time.Duration(s.draw(300)) * time.Millisecond) }

func (s *flakyStore) Get(ctx context.Context, key string) (kv.Entry, error) {
	s.pause()
	if s.draw(10) == 0 {
		return kv.Entry{}, errLost
	}
	return s.Store.Get(ctx, key)
}

func (s *flakyStore) Put(ctx context.Context, key string, value []byte, ifRevision uint64, lease string) (uint64, error) {
	s.pause()
	if s.careless {
		if entry, err := s.Store.Get(ctx, key); err == nil {
			ifRevision = entry.Revision
		}
	}
	switch s.draw(6) {
	case 0:
		return 0, errLost
	case 1:
		_, _ = s.Store.Put(ctx, key, value, ifRevision, lease)
		return 0, errLost
	case 2:
		s.late.Go(func() {
			s.pause()
			_, _ = s.Store.Put(ctx, key, value, ifRevision, lease)
		})
		return 0, errLost
	}
	return s.Store.Put(ctx, key, value, ifRevision, lease)
}

// outcome is what an operator saw of an edit or a look at the settings.
type outcome struct {
	// made is set if the edit was accepted, as revision.
	made bool
	// open is set if the edit may have been accepted.
	open     bool
	revision uint64
}

// operation is an edit that builds on a revision, or a look.
type operation struct {
	look bool
	base uint64
}

// headModel is the settings as one register of revisions: an edit is accepted
// only on the revision that it builds on, and makes the next one.
var headModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(0)} },
	Step: func(state, input, output any) []any {
		revision, in, out := state.(uint64), input.(operation), output.(outcome)
		accepted := revision == in.base
		switch {
		case in.look && out.revision == revision:
			return []any{revision}
		case in.look:
			return nil
		case out.open && accepted:
			return []any{revision, revision + 1}
		case out.open:
			return []any{revision}
		case out.made && accepted && out.revision == revision+1:
			return []any{out.revision}
		case !out.made && !accepted:
			return []any{revision}
		}
		return nil
	},
}).ToModel()

// history runs operators that race each other, and returns what they saw.
func history(t *testing.T, seed uint64, careless bool) []porcupine.Operation {
	store := &flakyStore{Store: memstore.New(), random: rand.New(rand.NewPCG(seed, 0)), careless: careless}
	var mu sync.Mutex
	var clock atomic.Int64
	var operations []porcupine.Operation
	note := func(client int, in operation, call int64, out outcome) {
		mu.Lock()
		defer mu.Unlock()
		returned := clock.Add(1)
		if out.open {
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
				note(client, operation{look: true}, call, outcome{revision: base})
				call = clock.Add(1)
				head, err = Apply(t.Context(), store, document(client+1), "operator", &base)
				if out, seen := outcomeOf(head, err); seen {
					note(client, operation{base: base}, call, out)
				}
			}
		})
	}
	operators.Wait()
	store.late.Wait()
	return operations
}

// outcomeOf returns what an edit's result says; nothing if the edit failed
// before its write.
func outcomeOf(head Head, err error) (outcome, bool) {
	var uncertain *UncertainError
	switch {
	case err == nil:
		return outcome{made: true, revision: head.Revision}, true
	case errors.As(err, &uncertain):
		return outcome{open: true}, true
	case errors.Is(err, ErrConflict):
		return outcome{}, true
	}
	return outcome{}, false
}

// However requests and answers are lost or late, racing edits look as if made
// one after the other, each accepted only on the revision that it builds on.
func TestRacingEditsAreLinearizable(t *testing.T) {
	for seed := range uint64(200) {
		synctest.Test(t, func(t *testing.T) {
			if !porcupine.CheckOperations(headModel, history(t, seed, false)) {
				t.Errorf("seed %d: the history is not linearizable", seed)
			}
		})
	}
}

// The check finds a store that ignores the compare-and-swap.
func TestLinearizabilityCheckCanFail(t *testing.T) {
	found := false
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			found = found || !porcupine.CheckOperations(headModel, history(t, seed, true))
		})
	}
	if !found {
		t.Error("no lost update was found in 20 histories")
	}
}

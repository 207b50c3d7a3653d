// Package runs tracks the requests that run at this daemon's upstream. Calls that the
// upstream makes for a run use the run's retry budget, deadline and cancellation.
package runs

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"fuchsiavane.org/core/retry"
)

// Run is one execution of a request by the upstream.
type Run struct {
	// ID identifies the run and RequestID the root request. CallerRequestID is the
	// caller's own ID of the request; empty if it set none.
	ID, RequestID, CallerRequestID string
	Caller, Rank                   string
	Deadline                       time.Time
	// Timestamp is when the root request entered the fleet.
	Timestamp time.Time
	// Repeat is set if the request was sent to an upstream before.
	Repeat bool
	Budget *retry.Budget
	// Context ends when the run is cancelled or has finished.
	Context context.Context

	level   atomic.Uint32
	refused atomic.Bool
}

// RecordNestedCall records the answer to a nested call of the run: its admission
// level, and whether a daemon refused the call. It is safe for concurrent use.
func (r *Run) RecordNestedCall(level uint32, refused bool) {
	for {
		strictest := r.level.Load()
		if level <= strictest || r.level.CompareAndSwap(strictest, level) {
			break
		}
	}
	if refused {
		r.refused.Store(true)
	}
}

// Level returns the strictest admission level of the run's nested calls.
func (r *Run) Level() uint32 { return r.level.Load() }

// NestedCallRefused reports whether a daemon refused a nested call of the run. A
// failure of the run is then not the upstream's own.
func (r *Run) NestedCallRefused() bool { return r.refused.Load() }

// Table holds the runs in progress at one daemon. It is safe for concurrent use.
type Table struct {
	mu   sync.RWMutex
	runs map[string]*Run
	// byCallerRequestID holds the runs that have a CallerRequestID.
	byCallerRequestID map[string]*Run
}

// NewTable returns an empty Table.
func NewTable() *Table { return &Table{runs: map[string]*Run{}, byCallerRequestID: map[string]*Run{}} }

// Begin adds a run.
func (t *Table) Begin(r *Run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs[r.ID] = r
	if r.CallerRequestID != "" {
		t.byCallerRequestID[r.CallerRequestID] = r
	}
}

// End removes a run. Calls that it makes afterwards have no retry budget.
func (t *Table) End(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.runs[id]
	if r == nil {
		return
	}
	delete(t.runs, id)
	if t.byCallerRequestID[r.CallerRequestID] == r {
		delete(t.byCallerRequestID, r.CallerRequestID)
	}
}

// Find returns the run in progress with the given ID, or nil.
func (t *Table) Find(id string) *Run {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.runs[id]
}

// FindByCallerRequestID returns the run in progress with the given CallerRequestID, or
// nil.
func (t *Table) FindByCallerRequestID(id string) *Run {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.byCallerRequestID[id]
}

// Len returns the number of runs in progress.
func (t *Table) Len() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.runs)
}

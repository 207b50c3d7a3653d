// Package runs holds the requests that run at this daemon's upstream, so that
// the calls that the upstream makes find their parent's retry budget, deadline
// and cancellation.
package runs

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"fuchsiavane.org/core/retry"
)

// Run is one request at the upstream.
type Run struct {
	// ID names the run; RequestID names the root request, and CallerRequestID the one
	// request by the name that its caller gave it, if any.
	ID, RequestID, CallerRequestID string
	Caller, Rank         string
	Deadline             time.Time
	// Timestamp is when the root request entered the fleet.
	Timestamp  time.Time
	Budget *retry.Budget
	// Context ends when the run is cancelled or over.
	Context context.Context

	level   atomic.Uint32
	refused atomic.Bool
}

// RecordNestedCall takes in what the answer to a call of the run tells: its level, and
// whether the system refused the call. It is safe for concurrent use.
func (r *Run) RecordNestedCall(level uint32, refused bool) {
	for {
		worst := r.level.Load()
		if level <= worst || r.level.CompareAndSwap(worst, level) {
			break
		}
	}
	if refused {
		r.refused.Store(true)
	}
}

// Level returns the worst admission level of the run's calls.
func (r *Run) Level() uint32 { return r.level.Load() }

// NestedCallRefused reports whether the system refused a call of the run, so that a
// failure of the run is not the upstream's own.
func (r *Run) NestedCallRefused() bool { return r.refused.Load() }

// Table holds the runs of one daemon. It is safe for concurrent use.
type Table struct {
	mu   sync.RWMutex
	runs map[string]*Run
	// labelled holds the runs that have a label, by it.
	labelled map[string]*Run
}

// NewTable returns an empty Table.
func NewTable() *Table { return &Table{runs: map[string]*Run{}, labelled: map[string]*Run{}} }

// Begin adds a run.
func (t *Table) Begin(r *Run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs[r.ID] = r
	if r.CallerRequestID != "" {
		t.labelled[r.CallerRequestID] = r
	}
}

// End removes a run. Calls that it makes later find no budget.
func (t *Table) End(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.runs[id]
	if r == nil {
		return
	}
	delete(t.runs, id)
	if t.labelled[r.CallerRequestID] == r {
		delete(t.labelled, r.CallerRequestID)
	}
}

// Find returns a run in progress, or nil.
func (t *Table) Find(id string) *Run {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.runs[id]
}

// FindByCallerRequestID returns a run in progress by its label, or nil.
func (t *Table) FindByCallerRequestID(label string) *Run {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.labelled[label]
}

// Len returns the number of runs in progress.
func (t *Table) Len() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.runs)
}

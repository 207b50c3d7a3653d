// Package runs holds the requests that run at this daemon's upstream, so that
// the calls that the upstream makes find their parent's retry budget, deadline
// and cancellation.
package runs

import (
	"context"
	"sync"
	"time"

	"fuchsiavane.org/core/retry"
)

// Run is one request at the upstream.
type Run struct {
	// ID names the run; RequestID names the root request.
	ID, RequestID string
	Caller, Rank  string
	Deadline      time.Time
	Budget        *retry.Budget
	// Context ends when the run is cancelled or over.
	Context context.Context
}

// Table holds the runs of one daemon. It is safe for concurrent use.
type Table struct {
	mu   sync.RWMutex
	runs map[string]*Run
}

// NewTable returns an empty Table.
func NewTable() *Table { return &Table{runs: map[string]*Run{}} }

// Begin adds a run.
func (t *Table) Begin(r *Run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs[r.ID] = r
}

// End removes a run. Calls that it makes later find no budget.
func (t *Table) End(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.runs, id)
}

// Find returns a run in progress, or nil.
func (t *Table) Find(id string) *Run {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.runs[id]
}

// Len returns the number of runs in progress.
func (t *Table) Len() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.runs)
}

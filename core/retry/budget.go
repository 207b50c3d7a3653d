// Package retry bounds retries and resends. Budget bounds the retries in the call
// tree of one root request, Allowances those that one daemon makes to each service,
// and Resends the requests that callers resend.
//
// The entry daemon gives a request a number of retries for its whole call tree.
// Each first send of a nested call is free; each further send takes one retry
// from the budget of the parent run. A run lends a part of its budget with each
// nested call and takes back what the answer reports as unspent. If the
// answer is lost, all retries lent with the call count as spent, so the retries in
// the tree never exceed the number given to the root request, whatever answers are
// lost.
package retry

import "sync"

// Budget is the retry budget of one run. It is safe for concurrent use.
type Budget struct {
	mu        sync.Mutex
	remaining int
}

// NewBudget returns a budget of the given number of retries. A negative number
// counts as 0.
func NewBudget(retries int) *Budget {
	return &Budget{remaining: max(retries, 0)}
}

// Take removes one retry and reports whether there was one.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.remaining == 0 {
		return false
	}
	b.remaining--
	return true
}

// Lend removes retries from the budget for one nested call and returns their
// number: half, rounded up, so that parallel calls each get some.
func (b *Budget) Lend() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	lent := (b.remaining + 1) / 2
	b.remaining -= lent
	return lent
}

// Return gives back the retries that a nested call left unspent of those lent to
// it. A call can't return more than it was lent.
func (b *Budget) Return(lent, unspent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remaining += min(max(unspent, 0), lent)
}

// Remaining returns the number of retries in the budget.
func (b *Budget) Remaining() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.remaining
}

// TakeAll empties the budget and returns the number of retries it had.
func (b *Budget) TakeAll() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	remaining := b.remaining
	b.remaining = 0
	return remaining
}

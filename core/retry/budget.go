// Package retry bounds the retries that one request causes.
//
// The entry daemon gives a request a number of retries for its whole call tree.
// Each first send of a child call is free; each further send takes one retry
// from the budget that the parent run holds. A run lends a part of its budget
// with each child call and takes back what the answer says was unspent. A lost
// answer counts as all spent, so retries in the tree can't pass the root's
// number whatever is lost.
package retry

import "sync"

// Budget is the retries that one run holds. It is safe for concurrent use.
type Budget struct {
	mu   sync.Mutex
	held int
}

// NewBudget returns a budget of the given number of retries.
func NewBudget(retries int) *Budget {
	return &Budget{held: max(retries, 0)}
}

// Take removes one retry and reports whether there was one.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.held == 0 {
		return false
	}
	b.held--
	return true
}

// Lend removes a part of the budget for one child call and returns it: the
// larger half, so that parallel children each find some.
func (b *Budget) Lend() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	part := (b.held + 1) / 2
	b.held -= part
	return part
}

// Return gives back what a child left unspent of a part lent to it. A child
// can't return more than it was lent.
func (b *Budget) Return(lent, unspent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held += min(max(unspent, 0), lent)
}

// Remaining returns the retries left.
func (b *Budget) Remaining() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Drain removes and returns all that is held.
func (b *Budget) Drain() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	held := b.held
	b.held = 0
	return held
}

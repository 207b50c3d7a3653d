// Package bodies bounds the memory that request bodies take in a daemon.
//
// It is for bursts of uploads: a daemon buffers each body, since it may have to send the
// request to another peer, and its instance has little memory. A body that does not fit
// is refused before it is read. Small bodies have a part of the memory to themselves, so
// that large ones don't crowd them out.
package bodies

import (
	"math"
	"sync"
)

const (
	// largeBytes is the size above which a body counts as large.
	largeBytes = 64 << 10
	// largeFraction is the fraction of the memory that large bodies may take together
	// with small ones.
	largeFraction = 0.75
)

// Budget is the memory for the request bodies of one daemon. The nil Budget has no
// bound. It is safe for concurrent use.
type Budget struct {
	capacity int

	mu         sync.Mutex
	used, peak int
}

// NewBudget returns a Budget of a capacity in bytes.
func NewBudget(capacity int) *Budget { return &Budget{capacity: capacity} }

// MaxBody returns the size of the largest body that could be held if the Budget were
// unused; the size of an int without a bound.
func (b *Budget) MaxBody() int {
	if b == nil {
		return math.MaxInt
	}
	return max(b.limit(largeBytes+1), min(b.capacity, largeBytes))
}

// Fits reports whether a body of a size could be held if the Budget were unused.
func (b *Budget) Fits(size int) bool { return b == nil || size <= b.limit(size) }

// limit returns the number of bytes that may be in use with a body of a size.
func (b *Budget) limit(size int) int {
	if size > largeBytes {
		return int(float64(b.capacity) * largeFraction)
	}
	return b.capacity
}

// Reservation is the memory that one body holds. It is safe for concurrent use.
type Reservation struct {
	budget *Budget
	// size and released are guarded by the budget's lock.
	size     int
	released bool
}

// Reserve reserves memory for a body. It returns false if there is not enough.
func (b *Budget) Reserve(size int) (*Reservation, bool) {
	r := &Reservation{budget: b}
	return r, r.Grow(size)
}

// Grow reserves more memory for the body. It returns false, and reserves nothing, if
// there is not enough or the Reservation was released.
func (r *Reservation) Grow(n int) bool {
	b := r.budget
	if b == nil || n <= 0 {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.released || b.used+n > b.limit(r.size+n) {
		return false
	}
	b.used += n
	b.peak = max(b.peak, b.used)
	r.size += n
	return true
}

// Release frees the memory of the body. Later calls have no effect.
func (r *Reservation) Release() {
	if r == nil || r.budget == nil {
		return
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.budget.used -= r.size
	r.size, r.released = 0, true
}

// Used returns the bytes in use, and their highest number so far.
func (b *Budget) Used() (used, peak int) {
	if b == nil {
		return 0, 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used, b.peak
}

// Package backoff spaces out repeated tries: the pause doubles up to a bound,
// and each is drawn at random so that many daemons don't try together.
package backoff

import "time"

// Backoff is the state of one series of tries. It is not safe for concurrent
// use.
type Backoff struct {
	first, most, bound time.Duration
	random             func() float64
}

// New returns a Backoff whose pauses are drawn below first at the start and
// below most at the end. random returns numbers from 0 up to 1.
func New(first, most time.Duration, random func() float64) *Backoff {
	return &Backoff{first: first, most: most, bound: first, random: random}
}

// Next returns the pause before the next try: between half of the present bound
// and the whole. The bound doubles.
func (b *Backoff) Next() time.Duration {
	pause := b.bound/2 + time.Duration(b.random()*float64(b.bound/2))
	b.bound = min(2*b.bound, b.most)
	return pause
}

// Reset begins anew after a success.
func (b *Backoff) Reset() { b.bound = b.first }

// Package backoff spaces out repeated tries: the pause doubles up to a bound,
// and each is drawn at random so that many daemons don't try together.
package backoff

import "time"

// Backoff is the state of one series of tries. It is not safe for concurrent
// use.
type Backoff struct {
	initial, maximum, current time.Duration
	random             func() float64
}

// New returns a Backoff whose pauses are drawn below first at the start and
// below most at the end. random returns numbers from 0 up to 1.
func New(initial, maximum time.Duration, random func() float64) *Backoff {
	return &Backoff{initial: initial, maximum: maximum, current: initial, random: random}
}

// Next returns the pause before the next try: between half of the present bound
// and the whole. The bound doubles.
func (b *Backoff) Next() time.Duration {
	interval := b.current/2 + time.Duration(b.random()*float64(b.current/2))
	b.current = min(2*b.current, b.maximum)
	return interval
}

// Reset begins anew after a success.
func (b *Backoff) Reset() { b.current = b.initial }

// Package backoff spaces out retries with exponential backoff. Intervals double up to
// a maximum and are randomized so that many daemons don't retry at the same time.
package backoff

import "time"

// Backoff is the state of one series of retries. It is not safe for concurrent use.
type Backoff struct {
	initial, maximum, current time.Duration
	random                    func() float64
}

// New returns a Backoff whose intervals are below initial at first and never above
// maximum. random returns numbers in [0, 1).
func New(initial, maximum time.Duration, random func() float64) *Backoff {
	return &Backoff{initial: initial, maximum: maximum, current: initial, random: random}
}

// Next returns the interval before the next retry, at random between half of the
// current bound and the bound, and doubles the bound.
func (b *Backoff) Next() time.Duration {
	interval := b.current/2 + time.Duration(b.random()*float64(b.current/2))
	b.current = min(2*b.current, b.maximum)
	return interval
}

// Reset restores the initial interval after a success.
func (b *Backoff) Reset() { b.current = b.initial }

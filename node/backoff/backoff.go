// Package backoff implements exponential backoff with jitter: the waits double up
// to a maximum, and each is random so that many daemons don't retry at the same
// time.
package backoff

import "time"

// Backoff is the state of one series of attempts. It is not safe for concurrent
// use.
type Backoff struct {
	initial, maxWait, current time.Duration
	random                    func() float64
}

// New returns a Backoff whose first wait is at most initial, and whose later waits
// are at most maxWait. random returns numbers in [0, 1).
func New(initial, maxWait time.Duration, random func() float64) *Backoff {
	return &Backoff{initial: initial, maxWait: maxWait, current: initial, random: random}
}

// Next returns the wait before the next attempt, between half of the current bound
// and the whole bound. It then doubles the bound.
func (b *Backoff) Next() time.Duration {
	wait := b.current/2 + time.Duration(b.random()*float64(b.current/2))
	b.current = min(2*b.current, b.maxWait)
	return wait
}

// Reset makes the next wait an initial one again, after a success.
func (b *Backoff) Reset() { b.current = b.initial }

// Package rate bounds the requests that an upstream gets in a time.
//
// A Bucket is pure: the time is an argument. It is not safe for concurrent use.
package rate

import (
	"math"
	"time"
)

const (
	// burstTime is the time whose requests may come at once after a pause.
	burstTime = 500 * time.Millisecond
	// MinPerSecond is the lowest limit, in requests per second. A few requests must get
	// through, since only their answers show that a limit has ended.
	MinPerSecond = 0.5
)

// Bucket is a token bucket. The zero value allows any number of requests.
type Bucket struct {
	perSecond float64 // 0 if there is no limit
	tokens    float64
	updated   time.Time
}

// SetLimit bounds the requests to a number per second from now on, at least
// MinPerSecond.
func (b *Bucket) SetLimit(now time.Time, perSecond float64) {
	if !b.Limited() {
		b.updated = now
	}
	b.refill(now)
	b.perSecond = max(perSecond, MinPerSecond)
	b.tokens = min(b.tokens, b.depth())
}

// Clear ends the limit.
func (b *Bucket) Clear() { *b = Bucket{} }

// Limited reports whether there is a limit.
func (b *Bucket) Limited() bool { return b.perSecond > 0 }

// PerSecond returns the limit in requests per second, 0 if there is none.
func (b *Bucket) PerSecond() float64 { return b.perSecond }

// Available reports whether there is a token.
func (b *Bucket) Available(now time.Time) bool {
	b.refill(now)
	return !b.Limited() || b.tokens >= 1
}

// Take takes the token of one request, and returns false if there is none.
func (b *Bucket) Take(now time.Time) bool {
	if !b.Available(now) {
		return false
	}
	b.tokens--
	return true
}

// Wait returns the time until there are tokens for a number of requests.
func (b *Bucket) Wait(now time.Time, requests int) time.Duration {
	if !b.Limited() || requests <= 0 {
		return 0
	}
	b.refill(now)
	missing := float64(requests) - b.tokens
	return time.Duration(math.Ceil(max(missing, 0) / b.perSecond * float64(time.Second)))
}

// depth returns the largest number of tokens: those of burstTime, and the fraction of one
// that a request has to wait for.
func (b *Bucket) depth() float64 { return b.perSecond*burstTime.Seconds() + 1 }

func (b *Bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.updated); elapsed > 0 {
		b.tokens = min(b.tokens+b.perSecond*elapsed.Seconds(), b.depth())
		b.updated = now
	}
}

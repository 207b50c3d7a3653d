package route

import (
	"sync"
	"time"
)

const (
	// usableFraction is the fraction of the region link that calls may use. The
	// rest is for control traffic and the overhead of the lower protocol layers.
	usableFraction = 0.8
	// burstTime is how long a daemon's unused share accumulates.
	burstTime = time.Second
	// reserveFraction is the fraction of the burst that only urgent work may
	// use (see LinkBudget.Allow).
	reserveFraction = 0.5
	// startupPeriod is the time after the start in which a daemon's share doesn't
	// rise, since it may not know all daemons of its region yet.
	startupPeriod = 10 * time.Second
	// initialDaemons is the number of daemons that a starting daemon assumes in
	// its region.
	initialDaemons = 64
)

// LinkBudget is one daemon's share of one direction of the region link. Every
// daemon takes usableFraction of the link divided by the number of daemons that
// it knows in its region. Once all know each other, the shares add up to less
// than the link without a coordinator. It is safe for concurrent use.
//
// Work is charged when its size is known, which may be after it was done. The
// budget then goes into debt, and no new work starts until the debt is paid.
type LinkBudget struct {
	mu      sync.Mutex
	rate    float64 // bytes per second
	tokens  float64 // bytes; negative in debt
	last    time.Time
	started time.Time
	// daemons is the number of daemons that the share is computed with.
	daemons int
}

// NewLinkBudget returns a LinkBudget without tokens, whose rate is 0 until
// SetShare.
func NewLinkBudget(now time.Time) *LinkBudget {
	return &LinkBudget{last: now, started: now, daemons: initialDaemons}
}

// SetShare sets the budget's rate, the daemon's share, from the link's rate in bytes per second and
// the number of daemons of the region that share the link, this one included.
func (b *LinkBudget) SetShare(now time.Time, linkBytes float64, daemons int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if daemons > b.daemons || now.Sub(b.started) >= startupPeriod {
		b.daemons = max(daemons, 1)
	}
	b.rate = linkBytes * usableFraction / float64(b.daemons)
	b.tokens = min(b.tokens, b.burst())
}

// Allow reports whether new work may start. Work that is not urgent leaves
// reserveFraction of the burst untouched. The caller decides what is urgent; the
// gateway counts all ranks but the least urgent one.
func (b *LinkBudget) Allow(now time.Time, urgent bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if urgent {
		return b.tokens > 0
	}
	return b.tokens > b.burst()*reserveFraction
}

// Charge takes bytes from the budget and returns the time until its debt is
// paid, 0 if it has none.
func (b *LinkBudget) Charge(now time.Time, bytes int) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens -= float64(bytes)
	if b.tokens >= 0 || b.rate == 0 {
		return 0
	}
	return time.Duration(-b.tokens / b.rate * float64(time.Second))
}

// Rate returns the daemon's share in bytes per second, as SetShare set it.
func (b *LinkBudget) Rate() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rate
}

func (b *LinkBudget) burst() float64 { return b.rate * burstTime.Seconds() }

// refill adds the tokens accrued since the last call. A clock that steps back
// adds none.
func (b *LinkBudget) refill(now time.Time) {
	passed := now.Sub(b.last)
	b.last = now
	if passed <= 0 {
		return
	}
	b.tokens = min(b.tokens+b.rate*passed.Seconds(), b.burst())
}

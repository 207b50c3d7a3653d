package route

import (
	"sync"
	"time"
)

const (
	// usablePart is the part of the narrow link that calls may fill; the rest is
	// for control traffic and the overhead of the protocols below.
	usablePart = 0.8
	// budgetBurst is the time whose share a daemon may save up.
	budgetBurst = time.Second
	// reservePart is the part of the burst that only urgent work may use.
	reservePart = 0.5
	// settleTime is the time after the start in which a daemon's share does not
	// rise, since it may not know all its neighbours yet.
	settleTime = 10 * time.Second
	// startCount is the neighbours that a starting daemon reckons with.
	startCount = 64
)

// LinkBudget is one daemon's share of one direction of the narrow link between
// regions. Every daemon of a region takes an equal share of the link by the
// neighbours that it knows, so that the shares add up to less than the link
// without a coordinator. It is safe for concurrent use.
//
// Work is charged when it is known, which may be after the fact: the budget then
// goes into debt, and no new work starts until the debt is paid.
type LinkBudget struct {
	mu      sync.Mutex
	rate    float64 // bytes per second
	tokens  float64 // bytes; negative in debt
	last    time.Time
	started time.Time
	// count is the neighbours that the share is worked out with.
	count int
}

// NewLinkBudget returns an empty budget.
func NewLinkBudget(now time.Time) *LinkBudget {
	return &LinkBudget{last: now, started: now, count: startCount}
}

// SetShare sets the budget's rate from the link's rate in bytes per second and the
// daemons of the region that share it, this one included.
func (b *LinkBudget) SetShare(now time.Time, linkBytes float64, daemons int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if daemons > b.count || now.Sub(b.started) >= settleTime {
		b.count = max(daemons, 1)
	}
	b.rate = linkBytes * usablePart / float64(b.count)
	b.tokens = min(b.tokens, b.burst())
}

// Allow reports whether new work may start. Work that is not urgent leaves a
// reserve.
func (b *LinkBudget) Allow(now time.Time, urgent bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if urgent {
		return b.tokens > 0
	}
	return b.tokens > b.burst()*reservePart
}

// Charge takes bytes from the budget and returns the time until its debt is
// paid; 0 if there is none.
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

// Rate returns the share in bytes per second.
func (b *LinkBudget) Rate() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rate
}

func (b *LinkBudget) burst() float64 { return b.rate * budgetBurst.Seconds() }

// refill adds what has accrued. A clock that steps back adds nothing.
func (b *LinkBudget) refill(now time.Time) {
	passed := now.Sub(b.last)
	b.last = now
	if passed <= 0 {
		return
	}
	b.tokens = min(b.tokens+b.rate*passed.Seconds(), b.burst())
}

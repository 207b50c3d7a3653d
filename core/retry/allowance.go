package retry

import (
	"sync"
	"time"
)

const (
	// windowParts is the parts of a window in which sends are counted; the oldest
	// part counts until all of it is over.
	windowParts = 10
	// reserved is the part of an allowance that calls of runs leave to roots. A retry
	// answers a root; a run needs one for each of its calls that fails, and is lost
	// with the first that finds none.
	reserved = 0.25
)

// Limits bound the retries of a service in the whole fleet.
type Limits struct {
	// Ratio is the part of the first sends in a window that may be sent again.
	Ratio float64
	// Burst is the retries in a window beyond that, in the whole fleet.
	Burst int
	// Window is the time over which both are counted.
	Window time.Duration
}

// Allowances bounds the retries that one daemon makes, for each service: in any
// window its own part of the burst, and the ratio times its first sends, so that the
// sums over all daemons keep the terms. It is safe for concurrent use.
//
// It answers the load in which upstreams turn a large part of their requests away,
// however little they do: what was not used before the trouble is there when it begins.
type Allowances struct {
	mu sync.Mutex
	// began is the time from which windows are counted, by the monotonic clock.
	began    time.Time
	daemons  int // 0 while the fleet is not known
	services map[string]*sends
}

// sends counts the sends to a service in the parts of a window.
type sends struct {
	length        time.Duration // of a part
	part          int           // the part that is counted now
	first, again  [windowParts + 1]int
	sumFirst, sum int // over all parts: first sends, and sends once more
}

// NewAllowances returns Allowances that have seen nothing. Until Share is called the
// fleet is not known and the own part of the burst is one retry.
func NewAllowances(now time.Time) *Allowances {
	return &Allowances{began: now, services: map[string]*sends{}}
}

// SetDaemons sets the number of daemons among which the burst is shared.
func (a *Allowances) SetDaemons(daemons int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.daemons = max(daemons, 1)
}

// CountFirstSend counts a first send to a service.
func (a *Allowances) CountFirstSend(now time.Time, service string, t Limits) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.known(now, service, t)
	s.first[s.index()]++
	s.sumFirst++
}

// Usage is what decided about a retry: the first sends and retries of the window, and
// the retries that it allows.
type Usage struct {
	FirstSends, Retries int
	Allowed      float64
}

// Take asks for one retry of a root, or of a nested call, and reports whether it may be
// made. A ratio of 0 allows none.
func (a *Allowances) Take(now time.Time, service string, nested bool, t Limits) (Usage, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.known(now, service, t)
	allowed := t.Ratio*float64(s.sumFirst) + a.burstPart(t.Burst)
	if nested {
		allowed *= 1 - reserved
	}
	account := Usage{s.sumFirst, s.sum, allowed}
	if t.Ratio <= 0 || float64(s.sum+1) > allowed {
		return account, false
	}
	s.again[s.index()]++
	s.sum++
	return account, true
}

// burstPart returns the own part of a burst. The caller holds the lock.
func (a *Allowances) burstPart(burst int) float64 {
	if a.daemons == 0 {
		return min(float64(burst), 1)
	}
	return float64(burst) / float64(a.daemons)
}

// known returns the counts of a service, moved on to the present part of the window.
// The caller holds the lock.
func (a *Allowances) known(now time.Time, service string, t Limits) *sends {
	length := max(t.Window/windowParts, 1)
	s := a.services[service]
	if s == nil || s.length != length {
		if len(a.services) >= maxNames {
			clear(a.services)
		}
		s = &sends{length: length}
		a.services[service] = s
	}
	s.advance(int(now.Sub(a.began) / length))
	return s
}

// advance forgets the parts that are over. Parts before the present one are ignored.
func (s *sends) advance(part int) {
	if part-s.part > windowParts {
		*s = sends{length: s.length, part: part}
	}
	for s.part < part {
		s.part++
		i := s.index()
		s.sumFirst -= s.first[i]
		s.sum -= s.again[i]
		s.first[i], s.again[i] = 0, 0
	}
}

// index returns the place of the present part.
func (s *sends) index() int { return s.part % (windowParts + 1) }

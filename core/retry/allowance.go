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

// Terms bound the retries of a service in the whole fleet.
type Terms struct {
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
	mu       sync.Mutex
	daemons  int
	services map[string]*sends
}

// sends counts the sends to a service in the parts of a window.
type sends struct {
	part          int64 // the part that is counted now, since the zero time
	first, again  [windowParts + 1]int
	sumFirst, sum int // over all parts: first sends, and sends once more
}

// NewAllowances returns Allowances that have seen nothing, for a fleet of one daemon.
func NewAllowances() *Allowances { return &Allowances{daemons: 1, services: map[string]*sends{}} }

// Share sets the number of daemons among which the burst is shared.
func (a *Allowances) Share(daemons int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.daemons = max(daemons, 1)
}

// First counts a first send to a service.
func (a *Allowances) First(now time.Time, service string, t Terms) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.known(now, service, t)
	s.first[s.index()]++
	s.sumFirst++
}

// Take asks for one retry of a root, or of a nested call. A ratio of 0 allows none.
func (a *Allowances) Take(now time.Time, service string, nested bool, t Terms) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.known(now, service, t)
	allowed := t.Ratio*float64(s.sumFirst) + float64(t.Burst)/float64(a.daemons)
	if nested {
		allowed *= 1 - reserved
	}
	if t.Ratio <= 0 || float64(s.sum+1) > allowed {
		return false
	}
	s.again[s.index()]++
	s.sum++
	return true
}

// known returns the counts of a service, moved on to the present part of the window.
// The caller holds the lock.
func (a *Allowances) known(now time.Time, service string, t Terms) *sends {
	s := a.services[service]
	if s == nil {
		if len(a.services) >= maxNames {
			clear(a.services)
		}
		s = &sends{}
		a.services[service] = s
	}
	s.advance(now.UnixNano() / max(int64(t.Window)/windowParts, 1))
	return s
}

// advance forgets the parts that are over. Parts before the present one are ignored.
func (s *sends) advance(part int64) {
	if part-s.part > windowParts {
		*s = sends{part: part}
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
func (s *sends) index() int { return int(s.part % (windowParts + 1)) }

package retry

import (
	"sync"
	"time"
)

const (
	// windowSlices is the number of slices of a window in which sends are counted.
	// The oldest slice counts until all of it has expired.
	windowSlices = 10
	// rootReserve is the fraction of an allowance that nested calls leave to root
	// requests. One retry saves a root request; a run needs a retry for each of its
	// nested calls that fails, and is lost with the first that gets none.
	rootReserve = 0.25
)

// Limits bounds the retries of a service in the whole fleet.
type Limits struct {
	// Ratio is the number of retries allowed for each first send in a window.
	Ratio float64
	// Burst is the number of retries allowed in a window beyond Ratio, in the whole
	// fleet.
	Burst int
	// Window is the time over which first sends and retries are counted.
	Window time.Duration
}

// Allowances bounds the retries that one daemon makes to each service: in any
// window to its share of the burst plus the ratio times its first sends, so that all
// daemons together stay within the Limits. It is safe for concurrent use.
//
// It is for upstreams that refuse a large fraction of their requests at any load:
// an allowance that was not used before the refusals begin is there when they do.
type Allowances struct {
	mu sync.Mutex
	// epoch is the time from which windows are counted, by the monotonic clock.
	epoch    time.Time
	daemons  int // 0 while the fleet is not known
	services map[string]*sends
}

// sends counts the sends to a service in the slices of a window.
type sends struct {
	length               time.Duration // of a slice
	slice                int           // the number of the current slice
	first, retries       [windowSlices + 1]int
	sumFirst, sumRetries int // over all slices
}

// NewAllowances returns Allowances without any counts. Until SetDaemons is called
// the fleet is not known, and this daemon's share of the burst is one retry.
func NewAllowances(now time.Time) *Allowances {
	return &Allowances{epoch: now, services: map[string]*sends{}}
}

// SetDaemons sets the number of daemons among which the burst is shared.
func (a *Allowances) SetDaemons(daemons int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.daemons = max(daemons, 1)
}

// CountFirstSend counts a first send to a service.
func (a *Allowances) CountFirstSend(now time.Time, service string, limits Limits) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.current(now, service, limits)
	s.first[s.index()]++
	s.sumFirst++
}

// Usage is what a decision about a retry was based on: the first sends and retries
// in the window, and the retries allowed in it.
type Usage struct {
	FirstSends, Retries int
	Allowed             float64
}

// Take asks for one retry of a root request, or of a nested call, and reports whether
// it may be made. A ratio of 0 allows none.
func (a *Allowances) Take(now time.Time, service string, nested bool, limits Limits) (Usage, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.current(now, service, limits)
	allowed := limits.Ratio*float64(s.sumFirst) + a.burstShare(limits.Burst)
	if nested {
		allowed *= 1 - rootReserve
	}
	usage := Usage{s.sumFirst, s.sumRetries, allowed}
	if limits.Ratio <= 0 || float64(s.sumRetries+1) > allowed {
		return usage, false
	}
	s.retries[s.index()]++
	s.sumRetries++
	return usage, true
}

// burstShare returns this daemon's share of a burst. The caller holds the lock.
func (a *Allowances) burstShare(burst int) float64 {
	if a.daemons == 0 {
		return min(float64(burst), 1)
	}
	return float64(burst) / float64(a.daemons)
}

// current returns the counts of a service, advanced to the current slice. The
// caller holds the lock.
func (a *Allowances) current(now time.Time, service string, limits Limits) *sends {
	length := max(limits.Window/windowSlices, 1)
	s := a.services[service]
	if s == nil || s.length != length {
		if len(a.services) >= maxNames {
			clear(a.services)
		}
		s = &sends{length: length}
		a.services[service] = s
	}
	s.advance(int(now.Sub(a.epoch) / length))
	return s
}

// advance makes a slice the current one and drops those that have expired. An
// earlier slice than the current one changes nothing.
func (s *sends) advance(slice int) {
	if slice-s.slice > windowSlices {
		*s = sends{length: s.length, slice: slice}
	}
	for s.slice < slice {
		s.slice++
		i := s.index()
		s.sumFirst -= s.first[i]
		s.sumRetries -= s.retries[i]
		s.first[i], s.retries[i] = 0, 0
	}
}

// index returns the index of the current slice in the count arrays.
func (s *sends) index() int { return s.slice % (windowSlices + 1) }

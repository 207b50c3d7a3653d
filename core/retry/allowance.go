package retry

import (
	"sync"
	"time"
)

const (
	// windowBuckets is the number of buckets of a window in which sends are counted.
	// The oldest bucket counts until all of it has expired.
	windowBuckets = 10
	// rootReserve is the fraction of an allowance that nested calls leave to root
	// requests, also while no root request asks for retries.
	rootReserve = 0.05
)

// Limits bounds the retries of a service by all daemons together. Allowances applies
// them.
type Limits struct {
	// Ratio is the number of retries allowed for each first send in a window.
	Ratio float64
	// Burst is the number of retries allowed in a window beyond Ratio, by all
	// daemons together.
	Burst int
	// Window is the time over which first sends and retries are counted.
	Window time.Duration
}

// Allowances bounds the retries that one daemon makes to each service: in any
// window to an equal share of the burst plus the ratio times the daemon's first sends,
// so that all daemons together stay within the Limits. It is safe for concurrent use.
//
// It is for upstreams that may refuse a large fraction of their requests whatever
// the load: an allowance that was not used before the refusals begin is available
// when they do. The retries then don't suffice for everybody. They go to the most
// urgent requests: a retry is granted if it leaves what more urgent requests are going
// to ask for in a window, at the rate at which they ask now. Spread evenly, they would
// be lost with runs that end without success all the same.
//
// A call made by a run that is itself a retry counts as a retry of the service that it
// goes to. So the bound holds for whole call trees, and nothing has to be kept back for
// them.
type Allowances struct {
	mu sync.Mutex
	// epoch is the time from which windows are counted, by the monotonic clock.
	epoch    time.Time
	daemons  int // 0 while their number is unknown
	services map[string]*sends
}

// sends counts the sends to a service in the buckets of a window.
type sends struct {
	length               time.Duration // of a bucket
	bucket               int           // the number of the current bucket
	first, retries       [windowBuckets + 1]int
	sumFirst, sumRetries int // over all buckets
	demands              demands
}

// NewAllowances returns Allowances without any counts. Until SetDaemons is called
// the number of daemons is unknown, and this daemon's share of the burst is one retry.
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

// Take asks for one retry and reports whether it may be made. A ratio of 0 allows
// none.
func (a *Allowances) Take(now time.Time, service string, claim Claim, limits Limits) (Usage, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.current(now, service, limits)
	s.demands.count(now, claim.class(), s.length)
	allowed := limits.Ratio*float64(s.sumFirst) + a.burstShare(limits.Burst)
	if claim.Nested {
		allowed *= 1 - rootReserve
	}
	allowed -= s.demands.ofMoreUrgent(now, claim.class(), s.length)
	usage := Usage{s.sumFirst, s.sumRetries, max(allowed, 0)}
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

// current returns the counts of a service, advanced to the current bucket. The
// caller holds the lock.
func (a *Allowances) current(now time.Time, service string, limits Limits) *sends {
	length := max(limits.Window/windowBuckets, 1)
	s := a.services[service]
	if s == nil || s.length != length {
		if len(a.services) >= maxNames {
			clear(a.services)
		}
		s = &sends{length: length, demands: demands{}}
		a.services[service] = s
	}
	s.advance(int(now.Sub(a.epoch) / length))
	return s
}

// advance makes a bucket the current one and drops those that have expired. An
// earlier bucket than the current one changes nothing.
func (s *sends) advance(bucket int) {
	if bucket-s.bucket > windowBuckets {
		*s = sends{length: s.length, bucket: bucket, demands: s.demands}
	}
	for s.bucket < bucket {
		s.bucket++
		i := s.index()
		s.sumFirst -= s.first[i]
		s.sumRetries -= s.retries[i]
		s.first[i], s.retries[i] = 0, 0
	}
}

// index returns the index of the current bucket in the count arrays.
func (s *sends) index() int { return s.bucket % (windowBuckets + 1) }

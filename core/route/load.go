package route

import (
	"maps"
	"time"
)

// Load is the load that a peer reports of its upstream.
type Load struct {
	// Outstanding is the number of requests that run or wait at the upstream,
	// and Slots the number that run at a time. Slots is 0 if the load is not
	// known.
	Outstanding, Slots int
	// ServiceTime is the mean time of a run.
	ServiceTime time.Duration
	// RateLimit is the number of requests per second that the upstream takes, 0 if it
	// names no limit.
	RateLimit float64
}

const (
	// maxLoadAge is the age from which a reported load is ignored: in that time
	// a full upstream serves the requests that were queued at the report.
	maxLoadAge = time.Second
	// sameRegionMinSaving and crossRegionMinSaving are the waiting times that
	// a call must save to go to another data centre of the same region and to
	// another region. Traffic between them is paid for by volume. Both are below
	// the queue wait at which the admission level begins to refuse calls (package
	// admission), so calls are sent farther before they are refused.
	sameRegionMinSaving  = 15 * time.Millisecond
	crossRegionMinSaving = 25 * time.Millisecond
)

// minSaving returns the waiting time that a call to a tier must save.
func (t tier) minSaving() time.Duration {
	switch t {
	case tierRegion:
		return sameRegionMinSaving
	case tierCrossRegion:
		return crossRegionMinSaving
	}
	return 0
}

// loadReport is the last load that a peer reported, and the number of this
// daemon's calls in flight to it then.
type loadReport struct {
	Load
	at       time.Time
	inFlight int
}

// estimatedWait estimates how long one more call waits for a slot. It adds the
// calls that this daemon has started since the peer's last report to the reported
// load.
func (s *peerState) estimatedWait(now time.Time) time.Duration {
	r := &s.load
	age := now.Sub(r.at)
	if r.Slots == 0 || age >= maxLoadAge {
		return 0
	}
	queued := r.Outstanding + max(s.inFlight-r.inFlight, 0) + 1 - r.Slots
	if queued <= 0 {
		return 0
	}
	wait := float64(queued) * r.ServiceTime.Seconds() / float64(r.Slots)
	fresh := 1 - float64(age)/float64(maxLoadAge)
	return time.Duration(wait * fresh * float64(time.Second))
}

// recordLoad stores the load that a peer reports, unless it is unknown.
func (s *peerState) recordLoad(now time.Time, l Load) {
	if l.Slots > 0 {
		s.load = loadReport{l, now, s.inFlight}
	}
}

// preferNearer returns the peer for a call: the farther one only if the
// waiting that it saves exceeds the difference of the tiers' minSaving. This
// moves work out of a data centre that has more than its upstreams can take
// while others have free slots. Either peer may be nil.
func preferNearer(now time.Time, nearer, farther *peerState) *peerState {
	if nearer == nil {
		return farther
	}
	if farther == nil {
		return nearer
	}
	saved := nearer.estimatedWait(now) - farther.estimatedWait(now)
	if saved > farther.tier.minSaving()-nearer.tier.minSaving() {
		return farther
	}
	return nearer
}

// rateLimitMemory is the time for which the rate limit of a peer's upstream is
// remembered after the peer reported it. A daemon that restarts learns it in that time.
const rateLimitMemory = 10 * time.Second

// upstreamKey identifies a peer's upstream. An instance may return under the same id
// beside an upstream of another service.
type upstreamKey struct {
	service, instance string
}

// rateLimit is a rate limit that a peer reported.
type rateLimit struct {
	perSecond float64
	at        time.Time
}

// recordRateLimit remembers the rate limit that a peer reports, also beyond the end of
// its process.
func (p *Picker) recordRateLimit(now time.Time, upstream upstreamKey, l Load) {
	switch {
	case l.Slots == 0:
	case l.RateLimit > 0:
		p.rateLimits[upstream] = rateLimit{l.RateLimit, now}
	default:
		delete(p.rateLimits, upstream)
	}
}

// knownRateLimit returns the rate limit of a peer's upstream, 0 if none is known.
func (p *Picker) knownRateLimit(now time.Time, upstream upstreamKey) float64 {
	if r, known := p.rateLimits[upstream]; known && now.Sub(r.at) < rateLimitMemory {
		return r.perSecond
	}
	return 0
}

// forgetRateLimits removes the rate limits that are no longer remembered.
func (p *Picker) forgetRateLimits(now time.Time) {
	maps.DeleteFunc(p.rateLimits, func(_ upstreamKey, r rateLimit) bool { return now.Sub(r.at) >= rateLimitMemory })
}

package route

import (
	"math"
	"time"
)

// Peer is one daemon that can serve a service.
type Peer struct {
	// ID is the instance id.
	ID string
	// Service, Region and DataCentre locate the peer.
	Service, Region, DataCentre string
	// Addr is the host:port of its peer port.
	Addr string
	// Admin is the host:port of its admin port, for operators.
	Admin string
	// Started is the start time of the peer's process, as Unix time in
	// nanoseconds. It distinguishes successive processes of one instance.
	Started int64
	// Leaving is set for peers that get no new calls because they are leaving.
	Leaving bool
}

const (
	// latencyWindow is the time constant of the latency average.
	latencyWindow = 2 * time.Second
	// maxLatencyAge is the age above which a measured latency is ignored, so
	// that a peer that was slow once is tried again.
	maxLatencyAge = 10 * time.Second
	// minRate is the failure or refusal rate below which decayed returns 0.
	minRate = 0.01
	// outcomeWindow is the time constant of the failure and refusal rates.
	outcomeWindow = 2 * time.Second
	// minLatency is the lowest latency used in a cost, so that very fast peers
	// stay comparable.
	minLatency = 100 * time.Microsecond
	// failurePenalty and refusalPenalty scale the cost of a peer whose calls all
	// fail or are all refused.
	failurePenalty = 10
	refusalPenalty = 10
	// minSlowStartWeight is the minimum weight of a new peer.
	minSlowStartWeight = 0.05
	// leavingBackoff is how long a peer gets no new calls after it refused one
	// because it is leaving, even if the membership doesn't show it as leaving.
	leavingBackoff = 5 * time.Second
	// noUpstreamBackoff is how long a peer without an upstream gets no new
	// calls: as long as the peer's own update takes to arrive.
	noUpstreamBackoff = 500 * time.Millisecond
)

// peerState is what this daemon has observed of one peer.
type peerState struct {
	Peer
	tier          tier
	slowStartFrom time.Time // start of the slow start
	inFlight      int
	latency       average // seconds
	failures      average // 0 to 1
	refusals      average // 0 to 1
	ejection      ejection
	load          loadReport
	// backoffUntil is the end of the backoff after a refusal by a peer that is
	// leaving or has no upstream.
	backoffUntil time.Time
}

// sameProcess reports whether a peer is the process seen before, and not
// another one started under the same name.
func (s *peerState) sameProcess(peer Peer) bool {
	return s.Addr == peer.Addr && s.Started == peer.Started && (peer.Leaving || !s.Leaving)
}

// usable reports whether the peer may get new calls.
func (s *peerState) usable(now time.Time) bool {
	return !s.Leaving && !now.Before(s.backoffUntil) && !s.ejection.active(now)
}

// cost estimates what one more call to the peer costs in comparison with
// another peer; the peer with the lower cost is chosen. A peer whose latency
// is unknown or too old is assumed to be as fast as the other.
func (s *peerState) cost(now time.Time, slowStart time.Duration, other *peerState) float64 {
	latency := s.latency.value
	if s.latency.stale(now, maxLatencyAge) {
		latency = other.latency.value
	}
	latency = max(latency, minLatency.Seconds())
	penalty := 1 + failurePenalty*s.failures.decayed(now, outcomeWindow) + refusalPenalty*s.refusals.decayed(now, outcomeWindow)
	return float64(s.inFlight+1) * latency * penalty / s.weight(now, slowStart)
}

// weight returns the peer's weight, which rises from minSlowStartWeight to 1
// over the slow start.
func (s *peerState) weight(now time.Time, slowStart time.Duration) float64 {
	age := now.Sub(s.slowStartFrom)
	if slowStart <= 0 || age >= slowStart {
		return 1
	}
	return max(minSlowStartWeight, float64(age)/float64(slowStart))
}

// average is an exponentially weighted moving average over time.
type average struct {
	value float64
	last  time.Time
}

// add adds a sample, weighted by the time since the last one and by at least
// minWeight.
func (a *average) add(now time.Time, window time.Duration, sample, minWeight float64) {
	if a.last.IsZero() {
		a.value, a.last = sample, now
		return
	}
	oldWeight := math.Exp(-float64(now.Sub(a.last)) / float64(window))
	oldWeight = min(oldWeight, 1-minWeight)
	a.value = a.value*oldWeight + sample*(1-oldWeight)
	a.last = now
}

// stale reports whether the last sample is older than maxAge or there is none.
func (a *average) stale(now time.Time, maxAge time.Duration) bool {
	return a.last.IsZero() || now.Sub(a.last) > maxAge
}

// decayed returns the average, reduced exponentially for the time since the
// last sample, or 0 if it is below minRate.
func (a *average) decayed(now time.Time, window time.Duration) float64 {
	if a.value < minRate {
		return 0
	}
	rate := a.value * math.Exp(-float64(now.Sub(a.last))/float64(window))
	if rate < minRate {
		return 0
	}
	return rate
}

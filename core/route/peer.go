package route

import (
	"math"
	"time"
)

// Peer is one daemon that can serve a service.
type Peer struct {
	// ID is the instance id.
	ID string
	// Service, Region and DataCentre place the peer.
	Service, Region, DataCentre string
	// Addr is the host:port of its peer port.
	Addr string
	// Admin is the host:port of its admin port, for operators.
	Admin string
	// Started tells two lives of an instance apart: Unix time in nanoseconds.
	Started int64
	// Leaving peers get no new calls.
	Leaving bool
}

const (
	// latencyWindow is the time constant of the latency average.
	latencyWindow = 2 * time.Second
	// latencyMemory is the age at which a latency is no longer believed, so that
	// a peer that was slow once is tried again.
	latencyMemory = 10 * time.Second
	// rateFloor is the faded rate that counts as none.
	rateFloor = 0.01
	// outcomeWindow is the time constant of the failure and refusal rates.
	outcomeWindow = 2 * time.Second
	// latencyFloor keeps very fast peers comparable.
	latencyFloor = 100 * time.Microsecond
	// failurePenalty and refusalPenalty scale the cost of a peer whose calls all
	// fail or are all refused.
	failurePenalty = 10
	refusalPenalty = 10
	// slowStartFloor is the least weight of a new peer.
	slowStartFloor = 0.05
	// drainingHold is how long a peer that refused as leaving gets nothing new,
	// whatever the directory says.
	drainingHold = 5 * time.Second
	// absentHold is the same for a peer that has no upstream: as long as the
	// peer's own word of it takes to come.
	absentHold = 500 * time.Millisecond
)

// peerState is what this daemon has seen of one peer.
type peerState struct {
	Peer
	tier     tier
	since    time.Time // start of the slow start
	inFlight int
	latency  average // seconds
	failures average // 0 to 1
	refusals average // 0 to 1
	ejection ejection
	load     reported
	// leavingUntil holds back new calls after a refusal as leaving.
	leavingUntil time.Time
}

// sameLife reports whether a peer is the one seen before, and not another that
// was started with its name.
func (s *peerState) sameLife(peer Peer) bool {
	return s.Addr == peer.Addr && s.Started == peer.Started && (peer.Leaving || !s.Leaving)
}

// usable reports whether the peer may get new calls.
func (s *peerState) usable(now time.Time) bool {
	return !s.Leaving && !now.Before(s.leavingUntil) && !s.ejection.active(now)
}

// cost estimates what one more call to the peer costs, in comparison with
// another peer; the lower is chosen. A peer whose latency is not known, or was
// seen too long ago, is taken to be as fast as the other.
func (s *peerState) cost(now time.Time, slowStart time.Duration, other *peerState) float64 {
	latency := s.latency.value
	if s.latency.stale(now, latencyMemory) {
		latency = other.latency.value
	}
	latency = max(latency, latencyFloor.Seconds())
	trouble := 1 + failurePenalty*s.failures.at(now, outcomeWindow) + refusalPenalty*s.refusals.at(now, outcomeWindow)
	return float64(s.inFlight+1) * latency * trouble / s.weight(now, slowStart)
}

// weight rises from slowStartFloor to 1 over the slow start.
func (s *peerState) weight(now time.Time, slowStart time.Duration) float64 {
	age := now.Sub(s.since)
	if slowStart <= 0 || age >= slowStart {
		return 1
	}
	return max(slowStartFloor, float64(age)/float64(slowStart))
}

// average is an exponentially weighted average over time.
type average struct {
	value float64
	last  time.Time
}

// add mixes a sample in, weighted by the time since the last one.
func (a *average) add(now time.Time, window time.Duration, sample, least float64) {
	if a.last.IsZero() {
		a.value, a.last = sample, now
		return
	}
	keep := math.Exp(-float64(now.Sub(a.last)) / float64(window))
	keep = min(keep, 1-least)
	a.value = a.value*keep + sample*(1-keep)
	a.last = now
}

// stale reports whether there was no sample in the given time.
func (a *average) stale(now time.Time, memory time.Duration) bool {
	return a.last.IsZero() || now.Sub(a.last) > memory
}

// at returns a rate that fades while there are no samples.
func (a *average) at(now time.Time, window time.Duration) float64 {
	if a.value < rateFloor {
		return 0
	}
	rate := a.value * math.Exp(-float64(now.Sub(a.last))/float64(window))
	if rate < rateFloor {
		return 0
	}
	return rate
}

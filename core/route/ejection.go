package route

import "time"

const (
	// ejectAfter is the failures in a row at which a peer is ejected.
	ejectAfter = 3
	// ejectRate is the failure rate above which a peer is ejected if the other
	// peers do better.
	ejectRate = 0.5
	// ejectFactor is how many times the others' failure rate that must be.
	ejectFactor = 3
	// ejectBase is the length of a first ejection; it doubles each time.
	ejectBase = time.Second
	// ejectMost bounds the length of an ejection.
	ejectMost = 30 * time.Second
	// ejectCap is the largest part of the peers of a service that may be ejected
	// at once.
	ejectCap = 0.5
)

// ejection is the outlier state of one peer.
type ejection struct {
	inRow int
	times int
	until time.Time
}

func (e *ejection) active(now time.Time) bool { return now.Before(e.until) }

// begin ejects, for longer each time.
func (e *ejection) begin(now time.Time) {
	length := min(ejectBase<<min(e.times, 10), ejectMost)
	e.times++
	e.inRow = 0
	e.until = now.Add(length)
}

// answered forgets failures after an answer.
func (e *ejection) answered() {
	e.inRow = 0
	e.times = max(e.times-1, 0)
}

// consider ejects a peer that fails, unless so many are ejected that the fault
// must lie elsewhere.
func (s *service) consider(now time.Time, peer *peerState) {
	if peer.ejection.active(now) || !s.outlier(now, peer) {
		return
	}
	if float64(s.ejected(now)+1) > ejectCap*float64(len(s.peers)) {
		return
	}
	peer.ejection.begin(now)
	peer.since = peer.ejection.until
}

// outlier reports whether a peer fails and the others don't.
func (s *service) outlier(now time.Time, peer *peerState) bool {
	rate := peer.failures.at(now, outcomeWindow)
	if peer.ejection.inRow < ejectAfter && rate < ejectRate {
		return false
	}
	var sum float64
	var n int
	for _, other := range s.peers {
		if other != peer && !other.failures.last.IsZero() {
			sum += other.failures.at(now, outcomeWindow)
			n++
		}
	}
	return n == 0 || rate > ejectFactor*sum/float64(n)
}

func (s *service) ejected(now time.Time) int {
	n := 0
	for _, peer := range s.peers {
		if peer.ejection.active(now) {
			n++
		}
	}
	return n
}

package route

import "time"

const (
	// ejectFailures is the number of consecutive failures at which a peer is
	// ejected.
	ejectFailures = 3
	// ejectFailureRate is the failure rate above which a peer is ejected if the
	// other peers do better.
	ejectFailureRate = 0.5
	// ejectRateRatio is the minimum ratio of the peer's failure rate to the mean
	// rate of the other peers.
	ejectRateRatio = 3
	// baseEjectionTime is the length of the first ejection. The length doubles
	// with each further one; each success in between undoes one doubling.
	baseEjectionTime = time.Second
	// maxEjectionTime bounds the length of an ejection.
	maxEjectionTime = 30 * time.Second
	// maxEjectedFraction is the largest fraction of a service's peers that may
	// be ejected at the same time.
	maxEjectedFraction = 0.5
)

// ejection is the outlier detection state of one peer.
type ejection struct {
	consecutiveFailures int
	count               int // ejections, less one for each success since
	until               time.Time
}

func (e *ejection) active(now time.Time) bool { return now.Before(e.until) }

// start ejects the peer. The more ejections without successes in between, the
// longer, up to maxEjectionTime.
func (e *ejection) start(now time.Time) {
	length := min(baseEjectionTime<<min(e.count, 10), maxEjectionTime)
	e.count++
	e.consecutiveFailures = 0
	e.until = now.Add(length)
}

// recordSuccess records a response: it resets the consecutive failures and
// lowers count by 1.
func (e *ejection) recordSuccess() {
	e.consecutiveFailures = 0
	e.count = max(e.count-1, 0)
}

// ejectIfOutlier ejects a peer that fails. It does nothing at
// maxEjectedFraction: when that many peers fail, the cause is not in the single
// peers.
func (s *service) ejectIfOutlier(now time.Time, peer *peerState) {
	if peer.ejection.active(now) || !s.isOutlier(now, peer) {
		return
	}
	if float64(s.ejectedCount(now)+1) > maxEjectedFraction*float64(len(s.peers)) {
		return
	}
	peer.ejection.start(now)
	peer.slowStartFrom = peer.ejection.until
}

// isOutlier reports whether a peer fails much more often than the other peers.
func (s *service) isOutlier(now time.Time, peer *peerState) bool {
	rate := peer.failures.decayed(now, outcomeWindow)
	if peer.ejection.consecutiveFailures < ejectFailures && rate < ejectFailureRate {
		return false
	}
	var sum float64
	var n int
	for _, other := range s.peers {
		if other != peer && !other.failures.last.IsZero() {
			sum += other.failures.decayed(now, outcomeWindow)
			n++
		}
	}
	return n == 0 || rate > ejectRateRatio*sum/float64(n)
}

func (s *service) ejectedCount(now time.Time) int {
	n := 0
	for _, peer := range s.peers {
		if peer.ejection.active(now) {
			n++
		}
	}
	return n
}

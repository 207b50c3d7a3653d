package admission

import (
	"math"
	"time"
)

const (
	// fastPart is the part of runs that are faster than the estimate. A request
	// is doomed only if even a fast run would end after its deadline.
	fastPart = 0.25
	// estimateStep is the relative step by which the estimate follows runs.
	estimateStep = 0.05
	// estimateHalving is the time in which an estimate without runs halves, so
	// that requests refused by it are tried again.
	estimateHalving = 2 * time.Second
	// meanWeight is the weight of one run in the mean.
	meanWeight = 0.05
)

// serviceTime estimates how long the runs of a rank take.
type serviceTime struct {
	seconds float64 // of a fast run
	mean    float64 // seconds
	seen    time.Time
}

func (s *serviceTime) observe(now time.Time, latency time.Duration) {
	sample := latency.Seconds()
	s.seen = now
	if s.seconds == 0 {
		s.seconds, s.mean = sample, sample
		return
	}
	s.mean += meanWeight * (sample - s.mean)
	if sample < s.seconds {
		s.seconds *= 1 - estimateStep*(1-fastPart)
		return
	}
	s.seconds *= 1 + estimateStep*fastPart
}

func (s *serviceTime) estimate(now time.Time) time.Duration {
	if s.seconds == 0 {
		return 0
	}
	faded := s.seconds * math.Exp2(-float64(now.Sub(s.seen))/float64(estimateHalving))
	return time.Duration(faded * float64(time.Second))
}

// served returns the runs that a number of slots ends in a time, 0 if the service
// time is not known.
func (s *serviceTime) served(slots float64, in time.Duration) float64 {
	if s.mean == 0 {
		return 0
	}
	return slots * in.Seconds() / s.mean
}

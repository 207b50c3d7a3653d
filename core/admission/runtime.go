package admission

import (
	"math"
	"time"
)

const (
	// fastFraction is the fraction of runs that are faster than the estimated time of a
	// fast run. A request is refused only if even a fast run would end after its
	// deadline.
	fastFraction = 0.25
	// fastRunStep is the relative step by which a run moves the estimated time of a
	// fast run.
	fastRunStep = 0.05
	// fastRunHalfLife is the time in which the estimated time of a fast run halves
	// without runs, so that requests refused by the estimate are admitted again.
	fastRunHalfLife = 2 * time.Second
	// meanWeight is the weight of one run in the moving average of the run time.
	meanWeight = 0.05
)

// runTime estimates how long runs take, those of one rank or of all ranks.
type runTime struct {
	fastSeconds float64 // estimate of the fastFraction quantile
	meanSeconds float64 // moving average
	lastRun     time.Time
}

// observe adds the latency of a run.
func (s *runTime) observe(now time.Time, latency time.Duration) {
	sample := latency.Seconds()
	s.lastRun = now
	if s.fastSeconds == 0 {
		s.fastSeconds, s.meanSeconds = sample, sample
		return
	}
	s.meanSeconds += meanWeight * (sample - s.meanSeconds)
	if sample < s.fastSeconds {
		s.fastSeconds *= 1 - fastRunStep*(1-fastFraction)
		return
	}
	s.fastSeconds *= 1 + fastRunStep*fastFraction
}

// estimate returns the time of a fast run, or 0 if unknown.
func (s *runTime) estimate(now time.Time) time.Duration {
	if s.fastSeconds == 0 {
		return 0
	}
	decayed := s.fastSeconds * math.Exp2(-float64(now.Sub(s.lastRun))/float64(fastRunHalfLife))
	return time.Duration(decayed * float64(time.Second))
}

// expectedRuns returns how many runs a number of slots completes in an interval, or 0
// if the run time is unknown.
func (s *runTime) expectedRuns(slots float64, interval time.Duration) float64 {
	if s.meanSeconds == 0 {
		return 0
	}
	return slots * interval.Seconds() / s.meanSeconds
}

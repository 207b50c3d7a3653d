// Package limit finds how many requests one upstream instance can run concurrently.
//
// A Limiter watches the finished runs that the daemon sees: their latency compared
// with the latency without queueing, and the runs that the upstream refused. It
// lowers the limit when either shows that the upstream is overloaded, and then
// checks the effect: if fewer requests didn't help, their number is not the cause,
// and the cut is taken back. It reads no load endpoint and no clock. A Limiter is
// not safe for concurrent use; the caller holds a lock around each call.
package limit

import (
	"math"
	"time"
)

const (
	// tolerance is the accepted latency as a multiple of the base latency.
	tolerance = 1.5
	// windowTime and windowSamples are the minimum length of a window and its
	// minimum number of samples; windowTimeout closes a window with fewer samples.
	windowTime    = 100 * time.Millisecond
	windowSamples = 60
	windowTimeout = time.Second
	// minSamples is the minimum number of latencies, or of refusals, to evaluate a
	// window by.
	minSamples = 5
	// minCutFactor and maxCutFactor bound the factor by which a cut multiplies the
	// limit after the latency rose. With a factor closer to 1 the effect of the cut
	// could not be evaluated.
	minCutFactor = 0.6
	maxCutFactor = 0.65
	// growth is the relative rise, per window, of a limit that is reached.
	growth = 0.1
	// reachedFraction is the fraction of the limit from which it counts as reached.
	reachedFraction = 0.8
	// baseWeight is the weight that a full window of a rank has in the base latency
	// of the rank.
	baseWeight = 0.25
	// lowerFactor is the fraction of the base below which a latency counts as lower,
	// and not as noise.
	lowerFactor = 0.9
	// overloadRefusals is the fraction of refused runs above which the upstream
	// counts as overloaded.
	overloadRefusals = 0.01
	// refusalCutFactor is the factor by which a cut multiplies the limit after the
	// upstream refused runs.
	refusalCutFactor = 0.8
	// unrelatedRefusals is the fraction of the refusals that must remain after the
	// limit was halved for the refusals to have another cause.
	unrelatedRefusals = 0.8
	// raiseWait is the wait before the ceiling is first raised, by one run.
	// nextRaiseWait is the wait before each further raise. Each raise is twice the one
	// before it, as long as no run is refused.
	raiseWait     = 2 * time.Second
	nextRaiseWait = 500 * time.Millisecond
	// ignoreTime is how long refusals with another cause are ignored.
	ignoreTime = 10 * time.Second
	// coldFraction is the fraction of Config.Max that a new upstream may run at first.
	coldFraction = 0.2
)

// Config configures a Limiter.
type Config struct {
	// Max is the maximum of the limit.
	Max int
	// Announced is set if the upstream itself announced Max as the number of requests
	// that it runs at a time. Latency is then ignored: it includes the calls that a
	// run makes, and changes with the mix of requests.
	Announced bool
	// SlowStart is the time from New over which the maximum of the limit rises to Max.
	SlowStart time.Duration
	// Ranks is the number of ranks. Each has its own base latency.
	Ranks int
}

// Sample describes one finished run.
type Sample struct {
	// Rank is the index of the run's rank.
	Rank int
	// Latency is the time that the upstream took.
	Latency time.Duration
	// Running is the number of runs when this one ended, itself included.
	Running int
	// Overloaded is set if the upstream itself refused the run.
	Overloaded bool
}

// Limiter holds the limit of one upstream. It is not safe for concurrent use.
type Limiter struct {
	config  Config
	created time.Time
	limit   float64
	base    []float64 // latency without queueing in seconds, by rank; 0 if unknown
	window  window
	trial   *trial // the cut whose effect is not known yet, or nil
	refused refusalState
}

// window collects samples.
type window struct {
	opened   time.Time
	peak     int // the largest number of concurrent runs
	samples  int
	refused  int
	latency  []float64 // sums in seconds, by rank
	counts   []int
	settling bool // its runs started under an older limit
	// minLength is the minimum length, long enough to contain complete runs.
	minLength time.Duration
}

// trial is a cut of the limit whose effect is not known yet.
type trial struct {
	// limit and allowed are the limits before the cut, without and with the bounds
	// of slow start and the ceiling. ratio is the latency before the cut, as a multiple
	// of the base.
	limit, allowed, ratio float64
}

// refusalState is the state of the limit that follows the upstream's refusals.
type refusalState struct {
	ceiling     float64 // the bound of the limit found by refusals, 0 if none is known
	startLimit  float64 // the limit before the present cuts, 0 if there are none
	startRate   float64 // the fraction refused before the present cuts
	changed     time.Time
	step        float64 // the last change of the ceiling if it was a raise, else 0
	ignoreUntil time.Time
}

// New returns a Limiter for an upstream that starts now.
func New(now time.Time, config Config) *Limiter {
	l := &Limiter{created: now}
	l.Configure(now, config)
	return l
}

// Configure replaces the configuration. A new Max resets the limit, and a new number
// of ranks the base latencies; all else that was measured stays.
func (l *Limiter) Configure(now time.Time, config Config) {
	config.Max = max(config.Max, 1)
	config.Ranks = max(config.Ranks, 1)
	if config == l.config {
		return
	}
	if config.Max != l.config.Max {
		l.limit = float64(config.Max)
		l.trial = nil
	}
	if config.Ranks != l.config.Ranks {
		l.base = make([]float64, config.Ranks)
	}
	l.config = config
	l.openWindow(now, false)
}

// Limit returns the number of runs allowed at a time, at least 1.
func (l *Limiter) Limit(now time.Time) int {
	return max(1, int(min(l.limit, l.bound(now))))
}

// bound returns the maximum of the limit at a time: Config.Max, lowered by slow start and
// by the ceiling.
func (l *Limiter) bound(now time.Time) float64 {
	bound := float64(l.config.Max)
	if age := now.Sub(l.created); age < l.config.SlowStart {
		bound *= coldFraction + (1-coldFraction)*float64(age)/float64(l.config.SlowStart)
	}
	if l.refused.ceiling > 0 {
		bound = min(bound, l.refused.ceiling)
	}
	return max(bound, 1)
}

// Record records a finished run.
func (l *Limiter) Record(now time.Time, s Sample) {
	w := &l.window
	w.peak = max(w.peak, s.Running)
	w.samples++
	l.raiseCeiling(now)
	if s.Overloaded {
		w.refused++
		l.undoRaise(now)
	} else {
		rank := min(max(s.Rank, 0), len(l.base)-1)
		w.latency[rank] += s.Latency.Seconds()
		w.counts[rank]++
	}
	if l.windowFull(now) {
		l.closeWindow(now)
	}
}

// windowFull reports whether the window holds enough samples or is old enough.
func (l *Limiter) windowFull(now time.Time) bool {
	age := now.Sub(l.window.opened)
	if age >= windowTimeout {
		return true
	}
	if l.window.refused >= minSamples && age >= windowTime {
		return true
	}
	return age >= l.window.minLength && (l.window.settling || l.window.samples >= windowSamples)
}

// openWindow starts an empty window. settling says that its runs started under an
// older limit.
func (l *Limiter) openWindow(now time.Time, settling bool) {
	l.window = window{
		opened:    now,
		minLength: max(windowTime, l.window.mean()),
		latency:   make([]float64, len(l.base)),
		counts:    make([]int, len(l.base)),
		settling:  settling,
	}
}

// mean returns the mean latency of a window's runs.
func (w window) mean() time.Duration {
	sum, count := 0.0, 0
	for i, n := range w.counts {
		sum += w.latency[i]
		count += n
	}
	if count == 0 {
		return 0
	}
	return time.Duration(sum / float64(count) * float64(time.Second))
}

// closeWindow evaluates the window and opens the next.
func (l *Limiter) closeWindow(now time.Time) {
	w := l.window
	cut := false
	if !w.settling {
		cut = l.evaluateRefusals(now, w)
		if !cut && !l.config.Announced {
			cut = l.evaluateLatency(now, w)
		}
	}
	l.openWindow(now, cut)
}

// evaluateLatency compares the window's latency with the base and reports whether it
// lowered the limit.
func (l *Limiter) evaluateLatency(now time.Time, w window) bool {
	ratio, known := l.ratio(w)
	if !known {
		return false
	}
	allowed := float64(l.Limit(now))
	reached := float64(w.peak) >= reachedFraction*allowed
	if l.trial != nil {
		l.endTrial(ratio)
		l.updateBase(w, false)
		return false
	}
	if ratio > tolerance && reached && allowed > 1 {
		l.trial = &trial{limit: l.limit, allowed: allowed, ratio: ratio}
		l.limit = max(1, math.Floor(allowed*min(max(minCutFactor, 1/ratio), maxCutFactor)))
		return true
	}
	l.updateBase(w, !reached)
	if reached && ratio <= tolerance {
		l.limit = min(l.limit+max(1, growth*l.limit), float64(l.config.Max))
	}
	return false
}

// endTrial keeps a cut that lowered the latency and takes back one that did not:
// then requests have become slower whatever their number.
func (l *Limiter) endTrial(ratio float64) {
	t := l.trial
	l.trial = nil
	cut := l.limit / t.allowed
	if ratio <= t.ratio*(1+cut)/2 {
		return
	}
	l.limit = t.limit
	for i := range l.base {
		l.base[i] *= ratio
	}
}

// ratio returns the window's latency as a multiple of the base, comparing each rank
// with its own base, and whether there are enough samples to rely on it.
func (l *Limiter) ratio(w window) (float64, bool) {
	sum, count := 0.0, 0
	for i, n := range w.counts {
		if n == 0 || l.base[i] == 0 {
			continue
		}
		sum += w.latency[i] / l.base[i]
		count += n
	}
	if count == 0 {
		return 1, w.samples > w.refused
	}
	return sum / float64(count), count >= minSamples
}

// updateBase moves the base latencies towards lower latencies, and towards any
// latency of a window in which the limit was not reached.
func (l *Limiter) updateBase(w window, unreached bool) {
	for i, n := range w.counts {
		if n == 0 {
			continue
		}
		mean := w.latency[i] / float64(n)
		switch {
		case l.base[i] == 0:
			l.base[i] = mean
		case unreached || mean < lowerFactor*l.base[i]:
			weight := baseWeight * min(1, float64(n)/windowSamples)
			l.base[i] += weight * (mean - l.base[i])
		}
	}
}

// undoRaise takes back the last raise of the ceiling at the first refusal.
func (l *Limiter) undoRaise(now time.Time) {
	if l.refused.step > 0 {
		l.refused.lowerCeiling(now, 0)
		l.openWindow(now, true)
	}
}

// evaluateRefusals searches the limit at which the upstream refuses runs and reports
// whether it lowered the ceiling.
func (l *Limiter) evaluateRefusals(now time.Time, w window) bool {
	s := &l.refused
	rate := float64(w.refused) / float64(w.samples)
	if rate <= overloadRefusals || now.Before(s.ignoreUntil) {
		s.startLimit = 0
		return false
	}
	if s.startLimit == 0 {
		s.startLimit, s.startRate = float64(l.Limit(now)), rate
	}
	if float64(l.Limit(now)) <= s.startLimit/2 && rate >= unrelatedRefusals*s.startRate {
		*s = refusalState{ignoreUntil: now.Add(ignoreTime)}
		return false
	}
	s.lowerCeiling(now, min(w.peak, l.Limit(now)))
	return true
}

// lowerCeiling sets the ceiling below the number of runs at which the upstream
// refused some. After a raise it returns to the ceiling before, at which no run was
// refused.
func (s *refusalState) lowerCeiling(now time.Time, running int) {
	if s.step > 0 {
		s.ceiling = max(1, s.ceiling-s.step)
	} else {
		s.ceiling = max(1, math.Floor(refusalCutFactor*float64(running)))
	}
	s.step = 0
	s.changed = now
}

// raiseCeiling raises the ceiling when its wait is over, by steps that double.
func (l *Limiter) raiseCeiling(now time.Time) {
	s := &l.refused
	if s.ceiling == 0 {
		return
	}
	wait := raiseWait
	if s.step > 0 {
		wait = nextRaiseWait
	}
	if now.Sub(s.changed) < wait {
		return
	}
	s.step = max(1, 2*s.step)
	s.ceiling += s.step
	s.changed = now
	if s.ceiling >= float64(l.config.Max) {
		s.ceiling = 0
	}
}

// Package limit finds how many requests one upstream instance can run at once.
//
// A Limiter watches what the daemon itself sees of finished runs: their latency
// against the latency without queueing, and the runs that the upstream refused.
// It lowers the limit when either says that the upstream has too much, and then
// checks its own step: if fewer requests didn't help, the cause is not their
// number, and the step is taken back. It reads no load endpoint and no clock. A
// Limiter is not safe for concurrent use; the caller holds a lock around each
// call.
package limit

import (
	"math"
	"time"
)

const (
	// tolerance is the latency, as a multiple of the base, that is accepted.
	tolerance = 1.5
	// windowTime and windowSamples are what a window holds at least;
	// windowTimeout closes a window of few samples.
	windowTime    = 100 * time.Millisecond
	windowSamples = 60
	windowTimeout = time.Second
	// fewSamples is the least that a window's latency is judged by.
	fewSamples = 5
	// leastCut and mostCut bound one cut of the limit. A smaller cut could not be
	// judged by its effect.
	leastCut = 0.6
	mostCut  = 0.65
	// growth is the rise of a limit that binds, per window.
	growth = 0.1
	// binding is the part of the limit from which it counts as reached.
	binding = 0.8
	// baseWeight is the weight of a whole window of a rank in its base latency.
	baseWeight = 0.25
	// lower is the part of the base from which a latency counts as lower than it,
	// and not as chance.
	lower = 0.9
	// shedShare is the part of refused runs that counts as overload.
	shedShare = 0.01
	// shedCut is the cut for runs that the upstream refused.
	shedCut = 0.8
	// unhelped is the part of refusals that must stay after the limit was halved
	// for the refusals to have another cause.
	unhelped = 0.8
	// raiseWait is the wait before a limit found by refusals is raised by one,
	// and raiseNext that before the next step, twice as large, if it held.
	raiseWait = 2 * time.Second
	raiseNext = 500 * time.Millisecond
	// ignoreTime is how long refusals with another cause are ignored.
	ignoreTime = 10 * time.Second
	// coldPart is the part of Most that a new upstream may run at first.
	coldPart = 0.2
)

// Config bounds a Limiter.
type Config struct {
	// Max bounds the limit.
	Max int
	// Announced says that Most is the number of requests that the upstream itself
	// says it runs at a time. Latency then tells nothing of it: it holds the calls
	// that a run makes, and changes with the mix of requests.
	Announced bool
	// SlowStart is the time from New over which the bound rises to Most.
	SlowStart time.Duration
	// Ranks is the number of ranks, which have a base latency each.
	Ranks int
}

// Sample is what one finished run tells.
type Sample struct {
	// Rank is the index of the run's rank.
	Rank int
	// Latency is the time that the upstream took.
	Latency time.Duration
	// Running is the number of runs when this one ended, itself included.
	Running int
	// Overloaded is set when the upstream refused the run.
	Overloaded bool
}

// Limiter holds the limit of one upstream. See the package comment for
// concurrency.
type Limiter struct {
	config Config
	born   time.Time
	limit  float64
	base   []float64 // seconds by rank, 0 if unknown
	window window
	trial  *trial
	shed   shedding
}

// window collects samples.
type window struct {
	began    time.Time
	peak     int
	samples  int
	refused  int
	latency  []float64 // sums in seconds, by rank
	counts   []int
	settling bool // its runs began under an older limit
	// least is the least length, so that it holds whole runs.
	least time.Duration
}

// trial is a cut whose effect is awaited.
type trial struct {
	// limit and allowed are the limits before the cut, without and with the
	// bounds of slow start and refusals; ratio is the latency then.
	limit, allowed, ratio float64
}

// shedding is what is known of refusals by the upstream.
type shedding struct {
	ceiling     float64 // 0 if none is known
	began       float64 // the limit when the present cuts began, 0 if none
	rate        float64
	changed     time.Time
	step        float64 // the last change if it was upwards, else 0
	ignoreUntil time.Time
}

// New returns a Limiter for an upstream that starts now.
func New(now time.Time, config Config) *Limiter {
	l := &Limiter{born: now}
	l.Configure(now, config)
	return l
}

// Configure replaces the bounds. What was learned stays.
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
	l.open(now, false)
}

// Limit returns the number of runs allowed at a time, at least 1.
func (l *Limiter) Limit(now time.Time) int {
	return max(1, int(min(l.limit, l.bound(now))))
}

// bound returns the bound of the slow start and of the upstream's refusals.
func (l *Limiter) bound(now time.Time) float64 {
	most := float64(l.config.Max)
	if age := now.Sub(l.born); age < l.config.SlowStart {
		most *= coldPart + (1-coldPart)*float64(age)/float64(l.config.SlowStart)
	}
	if l.shed.ceiling > 0 {
		most = min(most, l.shed.ceiling)
	}
	return max(most, 1)
}

// Record takes a finished run in.
func (l *Limiter) Record(now time.Time, s Sample) {
	w := &l.window
	w.peak = max(w.peak, s.Running)
	w.samples++
	l.raise(now)
	if s.Overloaded {
		w.refused++
		l.stepBack(now)
	} else {
		rank := min(max(s.Rank, 0), len(l.base)-1)
		w.latency[rank] += s.Latency.Seconds()
		w.counts[rank]++
	}
	if l.full(now) {
		l.close(now)
	}
}

func (l *Limiter) full(now time.Time) bool {
	age := now.Sub(l.window.began)
	if age >= windowTimeout {
		return true
	}
	if l.window.refused >= fewSamples && age >= windowTime {
		return true
	}
	return age >= l.window.least && (l.window.settling || l.window.samples >= windowSamples)
}

func (l *Limiter) open(now time.Time, settling bool) {
	l.window = window{
		began:    now,
		least:    max(windowTime, l.window.mean()),
		latency:  make([]float64, len(l.base)),
		counts:   make([]int, len(l.base)),
		settling: settling,
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

// close judges a window and opens the next.
func (l *Limiter) close(now time.Time) {
	w := l.window
	cut := false
	if !w.settling {
		cut = l.judgeRefusals(now, w)
		if !cut && !l.config.Announced {
			cut = l.judgeLatency(now, w)
		}
	}
	l.open(now, cut)
}

// judgeLatency compares the window's latency with the base and reports whether
// it changed the limit downwards.
func (l *Limiter) judgeLatency(now time.Time, w window) bool {
	ratio, known := l.ratio(w)
	if !known {
		return false
	}
	allowed := float64(l.Limit(now))
	bound := float64(w.peak) >= binding*allowed
	if l.trial != nil {
		l.endTrial(ratio)
		l.learnBase(w, false)
		return false
	}
	if ratio > tolerance && bound && allowed > 1 {
		l.trial = &trial{limit: l.limit, allowed: allowed, ratio: ratio}
		l.limit = max(1, math.Floor(allowed*min(max(leastCut, 1/ratio), mostCut)))
		return true
	}
	l.learnBase(w, !bound)
	if bound && ratio <= tolerance {
		l.limit = min(l.limit+max(1, growth*l.limit), float64(l.config.Max))
	}
	return false
}

// endTrial keeps a cut that brought the latency down, and takes back one that
// did not: then requests have become slower, whatever their number.
func (l *Limiter) endTrial(ratio float64) {
	t := l.trial
	l.trial = nil
	expected := l.limit / t.allowed
	if ratio <= t.ratio*(1+expected)/2 {
		return
	}
	l.limit = t.limit
	for i := range l.base {
		l.base[i] *= ratio
	}
}

// ratio returns the window's latency as a multiple of the base, each rank
// measured by its own base.
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
	return sum / float64(count), count >= fewSamples
}

// learnBase follows latencies that are lower than the base, and those of
// windows in which the limit was not reached.
func (l *Limiter) learnBase(w window, unbound bool) {
	for i, n := range w.counts {
		if n == 0 {
			continue
		}
		mean := w.latency[i] / float64(n)
		switch {
		case l.base[i] == 0:
			l.base[i] = mean
		case unbound || mean < lower*l.base[i]:
			weight := baseWeight * min(1, float64(n)/windowSamples)
			l.base[i] += weight * (mean - l.base[i])
		}
	}
}

// stepBack takes a step of the ceiling back at the first refusal.
func (l *Limiter) stepBack(now time.Time) {
	if l.shed.step > 0 {
		l.shed.lower(now, 0)
		l.open(now, true)
	}
}

// judgeRefusals finds the limit at which the upstream refuses runs and reports
// whether it lowered it.
func (l *Limiter) judgeRefusals(now time.Time, w window) bool {
	s := &l.shed
	rate := float64(w.refused) / float64(w.samples)
	if rate <= shedShare || now.Before(s.ignoreUntil) {
		s.began = 0
		return false
	}
	if s.began == 0 {
		s.began, s.rate = float64(l.Limit(now)), rate
	}
	if float64(l.Limit(now)) <= s.began/2 && rate >= unhelped*s.rate {
		*s = shedding{ignoreUntil: now.Add(ignoreTime)}
		return false
	}
	s.lower(now, min(w.peak, l.Limit(now)))
	return true
}

// lower sets the ceiling below the number of runs at which the upstream refused
// some. If that was a step up from a ceiling that held, it goes back there.
func (s *shedding) lower(now time.Time, running int) {
	if s.step > 0 {
		s.ceiling = max(1, s.ceiling-s.step)
	} else {
		s.ceiling = max(1, math.Floor(shedCut*float64(running)))
	}
	s.step = 0
	s.changed = now
}

// raise lifts the ceiling when its wait is over, by steps that double.
func (l *Limiter) raise(now time.Time) {
	s := &l.shed
	if s.ceiling == 0 {
		return
	}
	wait := raiseWait
	if s.step > 0 {
		wait = raiseNext
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

package limit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// upstream models an upstream that runs as many requests as the limit and its demand
// allow.
type upstream struct {
	now     time.Time
	work    time.Duration
	workers int // further requests queue inside the upstream
	maxRuns int // running requests above which it refuses some, 0 for never
	demand  int // maximum of running requests
	random  *rand.Rand
}

// newUpstream returns an upstream with a run time of 20 ms that refuses nothing.
func newUpstream(workers int) *upstream {
	return &upstream{now: start, work: 20 * time.Millisecond, workers: workers, demand: 1000, random: rand.New(rand.NewPCG(3, 4))}
}

// run limits the upstream's requests by l for a time and returns the fraction of the
// workers in use and the fraction of the runs that were refused.
func (u *upstream) run(l *Limiter, length time.Duration) (used, refused float64) {
	end := u.now.Add(length)
	runs, rejected := 0, 0
	busy := 0.0
	for u.now.Before(end) {
		running := min(l.Limit(u.now), u.demand)
		served := min(running, u.workers)
		interval := time.Duration(float64(u.work) / float64(served))
		u.now = u.now.Add(interval)
		busy += interval.Seconds() * float64(served) / float64(u.workers)
		runs++
		if u.maxRuns > 0 && running > u.maxRuns && u.random.IntN(running) < running-u.maxRuns {
			rejected++
			l.Record(u.now, Sample{Running: running, Latency: time.Millisecond, Overloaded: true})
			continue
		}
		queueing := float64(running) / float64(served)
		noise := 0.7 + 0.6*u.random.Float64()
		l.Record(u.now, Sample{Running: running, Latency: time.Duration(float64(u.work) * queueing * noise)})
	}
	return busy / length.Seconds(), float64(rejected) / float64(runs)
}

func TestFindsCapacityBelowTheSlots(t *testing.T) {
	is := is.New(t)
	l := New(start, Config{Max: 50, SlowStart: 5 * time.Second})
	u := newUpstream(20)
	u.run(l, 10*time.Second)
	used, _ := u.run(l, 5*time.Second)
	t.Log(l.Limit(u.now), used)
	is.True(used >= 0.95)
	is.True(l.Limit(u.now) <= 40) // latency at most doubled
}

// TestUpstreamThatSlowsWhateverTheNumberKeepsItsLimit checks that the workers stay in
// use when the run time rises for a reason other than the number of running requests,
// and after it falls again.
func TestUpstreamThatSlowsWhateverTheNumberKeepsItsLimit(t *testing.T) {
	is := is.New(t)
	l := New(start, Config{Max: 50})
	u := newUpstream(50)
	u.run(l, 5*time.Second)
	u.work *= 5
	u.run(l, 3*time.Second)
	used, _ := u.run(l, 5*time.Second)
	t.Log(l.Limit(u.now), used)
	is.True(used >= 0.9)
	u.work /= 5
	u.run(l, 5*time.Second)
	used, _ = u.run(l, 5*time.Second)
	is.True(used >= 0.95)
}

func TestUpstreamWithAFifthOfItsWorkersGetsFewerRequests(t *testing.T) {
	is := is.New(t)
	l := New(start, Config{Max: 50})
	u := newUpstream(50)
	u.run(l, 5*time.Second)
	u.workers = 10
	u.run(l, 5*time.Second)
	used, _ := u.run(l, 5*time.Second)
	t.Log(l.Limit(u.now), used)
	is.True(used >= 0.9)
	is.True(l.Limit(u.now) <= 20)
	u.workers = 50
	u.run(l, 5*time.Second)
	used, _ = u.run(l, 5*time.Second)
	t.Log(l.Limit(u.now), used)
	is.True(used >= 0.95)
}

func TestUpstreamThatShedsByItself(t *testing.T) {
	is := is.New(t)
	l := New(start, Config{Max: 50})
	u := newUpstream(50)
	u.maxRuns = 20
	u.run(l, 20*time.Second)
	used, refused := u.run(l, 20*time.Second)
	t.Log(l.Limit(u.now), used, refused)
	is.True(refused <= 0.02)
	is.True(used >= 0.9*20/50)
	u.maxRuns = 0
	u.run(l, 120*time.Second)
	is.True(l.Limit(u.now) >= 25) // the limit rises again
}

func TestRefusalsWithAnotherCauseDoNotLowerTheLimit(t *testing.T) {
	is := is.New(t)
	l := New(start, Config{Max: 50})
	now := start
	random := rand.New(rand.NewPCG(5, 6))
	low := 0
	for range 20000 {
		now = now.Add(time.Millisecond)
		running := l.Limit(now)
		l.Record(now, Sample{Running: running, Latency: 20 * time.Millisecond, Overloaded: random.IntN(5) == 0})
		if running < 25 {
			low++
		}
	}
	t.Log(low)
	is.True(low <= 2000)
}

func TestLowTrafficKeepsTheLimit(t *testing.T) {
	is := is.New(t)
	l := New(start, Config{Max: 50})
	u := newUpstream(50)
	u.demand = 2
	u.run(l, 10*time.Second)
	u.work *= 20
	u.run(l, 10*time.Second)
	is.Equal(l.Limit(u.now), 50)
}

func TestSlowStart(t *testing.T) {
	is := is.New(t)
	l := New(start, Config{Max: 50, SlowStart: 10 * time.Second})
	is.Equal(l.Limit(start), 10)
	is.Equal(l.Limit(start.Add(5*time.Second)), 30)
	is.Equal(l.Limit(start.Add(10*time.Second)), 50)
}

func TestLimitStaysWithinItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxLimit := rapid.IntRange(1, 100).Draw(t, "max")
		l := New(start, Config{Max: maxLimit, Ranks: 2})
		now := start
		for range rapid.IntRange(0, 300).Draw(t, "samples") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			l.Record(now, Sample{
				Rank:       rapid.IntRange(0, 1).Draw(t, "rank"),
				Latency:    time.Duration(rapid.IntRange(0, 1e9).Draw(t, "latency")),
				Running:    rapid.IntRange(1, maxLimit).Draw(t, "running"),
				Overloaded: rapid.Bool().Draw(t, "overloaded"),
			})
			if n := l.Limit(now); n < 1 || n > maxLimit {
				t.Fatalf("limit %d is outside [1, %d]", n, maxLimit)
			}
		}
	})
}

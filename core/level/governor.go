package level

import (
	"math"
	"time"
)

const (
	// governorMemory is the time over which demand and service are averaged: a
	// few times the delay with which a level reaches the entries and shows here.
	governorMemory = time.Second
	// passMemory is that delay, over which the levels in force are averaged to
	// infer the demand from what was let through.
	passMemory = 400 * time.Millisecond
	// idlePart is the part of the slots in use below which nothing is refused for
	// want of them.
	idlePart = 0.85
	// release is the rise of what is let through in one Interval while slots are
	// idle, and mostRise that while they are in use.
	release  = 1.3
	mostRise = 0.08
	// mostCut is the largest cut in one Interval.
	mostCut = 0.4
	// waitGain is the part of the relative error of the wait that is corrected in
	// one Interval.
	waitGain = 0.4
	// roomFactor bounds what is let through in multiples of the demand, so that
	// the next overload is felt at once.
	roomFactor = 1.25
	// keep is the part of an equal cut that the less urgent ranks keep while more
	// urgent ones have all that they ask for.
	keep = 0.5
	// approach is the part of the way to its new value that a level goes in one
	// Interval.
	approach = 0.5
)

// StepStats is what an upstream did since the last step.
type StepStats struct {
	// Finished is the runs that ended.
	Finished int
	// Utilization is the mean part of the slots in use.
	Utilization float64
	// Wait is how long one more request would wait for a slot, and Target the
	// wait that is aimed at.
	Wait, Target time.Duration
}

// Governor makes the levels of one upstream from the wait for its slots. It
// answers the load of runs that make many calls each: a run of which one call is
// refused is lost with all that was done for it, so that calls are let wait and
// their roots are refused where they enter, before anything is lost.
type Governor struct {
	ranks []governed
	last  time.Time
	// supply is the requests that are let through in an Interval; infinite while
	// nothing is refused.
	supply float64
	served float64 // requests finished in an Interval, averaged
}

// governed is the state of one rank.
type governed struct {
	pass     float64
	passed   float64 // pass, averaged over passMemory
	demand   float64 // requests of an Interval before any level, averaged
	arrivals float64 // since the last step
}

// NewGovernor returns a Governor that refuses nothing.
func NewGovernor(ranks int) *Governor {
	g := &Governor{supply: math.Inf(1)}
	g.Resize(ranks)
	return g
}

// Resize sets the number of ranks; those that stay keep their level.
func (g *Governor) Resize(ranks int) {
	for len(g.ranks) < ranks {
		g.ranks = append(g.ranks, governed{pass: 1, passed: 1})
	}
	g.ranks = g.ranks[:ranks]
}

// CountArrival counts a request of a rank.
func (g *Governor) CountArrival(rank int) { g.ranks[rank].arrivals++ }

// Due reports whether the next step is due.
func (g *Governor) Due(now time.Time) bool { return now.Sub(g.last) >= Interval }

// Step adjusts the levels once every Interval.
func (g *Governor) Step(now time.Time, s StepStats) {
	g.last = now
	weight := float64(Interval) / float64(governorMemory)
	g.served += weight * (float64(s.Finished) - g.served)
	total := 0.0
	for i := range g.ranks {
		r := &g.ranks[i]
		r.passed += float64(Interval) / float64(passMemory) * (r.pass - r.passed)
		r.demand += weight * (r.arrivals/max(r.passed, leastPass) - r.demand)
		r.arrivals = 0
		total += r.demand
	}
	g.adjust(s, total)
	g.share(total)
}

// adjust sets what is let through by the wait.
func (g *Governor) adjust(s StepStats, demand float64) {
	if s.Utilization < idlePart && s.Wait == 0 {
		if !math.IsInf(g.supply, 1) {
			g.supply = max(g.supply, g.served) * release
		}
	} else {
		gain := waitGain * (1 - float64(s.Wait)/float64(max(s.Target, 1)))
		gain = min(max(gain, -mostCut), mostRise)
		if gain < 0 || !math.IsInf(g.supply, 1) {
			g.supply = g.served * (1 + gain)
		}
	}
	if g.supply > roomFactor*demand {
		g.supply = math.Inf(1)
	}
}

// share gives what is let through to the ranks: to each a part of an equal cut,
// and the rest by urgency.
func (g *Governor) share(total float64) {
	equal := 1.0
	if g.supply < total {
		equal = g.supply / total
	}
	left := g.supply
	for i := range g.ranks {
		left -= keep * equal * g.ranks[i].demand
	}
	for i := range g.ranks {
		r := &g.ranks[i]
		want := 1.0
		if g.supply < total && r.demand > 0 {
			more := min((1-keep*equal)*r.demand, max(left, 0))
			left -= more
			want = keep*equal + more/r.demand
		}
		r.pass += approach * (min(max(want, leastPass), 1) - r.pass)
		if r.pass > 1-leastPass {
			r.pass = 1
		}
	}
}

// Level returns the level that answers of a rank carry.
func (g *Governor) Level(rank int) Level {
	if g.ranks[rank].pass >= 1 {
		return 0
	}
	return FromFraction(g.ranks[rank].pass)
}

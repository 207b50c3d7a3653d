package level

import (
	"math"
	"time"
)

const (
	// loadAveragingTime is the time over which demand and finished requests are
	// averaged. It is a few times the delay until a published level reaches the
	// entry daemons and shows in the arrivals.
	loadAveragingTime = time.Second
	// propagationDelay is the delay until a published level reaches the entry daemons
	// and shows in the arrivals. The levels in force are averaged over it to infer the
	// demand from the arrivals that they admitted.
	propagationDelay = 400 * time.Millisecond
	// idleUtilization is the utilization of the slots below which, if no request
	// waits, the supply rises by idleGrowth: requests are then not refused for lack of
	// slots.
	idleUtilization = 0.85
	// idleGrowth is the factor by which the supply grows in one Interval while
	// slots are idle. maxRise is the largest relative rise of the supply in one
	// Interval while the slots are in use.
	idleGrowth = 1.3
	maxRise    = 0.08
	// maxCut is the largest relative cut of the supply in one Interval.
	maxCut = 0.4
	// waitGain is the fraction of the relative error of the wait that is corrected
	// in one Interval.
	waitGain = 0.4
	// maxSupplyFactor is the largest supply as a multiple of the demand while any
	// request is refused; beyond it nothing is refused, and the supply is infinite. A
	// higher supply would delay the reaction to the next overload.
	maxSupplyFactor = 1.25
	// equalCutFraction is the fraction that every rank retains of the requests that it could
	// admit if all ranks were cut equally. The rest of the supply goes to the most
	// urgent ranks first.
	equalCutFraction = 0.5
	// levelStep is the fraction of the distance to its new value that a level moves
	// in one Interval.
	levelStep = 0.5
)

// StepStats describes, for Governor.Step, the upstream since the last step.
type StepStats struct {
	// Finished is the number of runs that ended.
	Finished int
	// Utilization is the mean fraction of the slots in use, from 0 to 1.
	Utilization float64
	// Wait is how long one more request would wait for a slot. Target is the wait
	// that the Governor aims at.
	Wait, Target time.Duration
}

// Governor sets the levels of one upstream by the wait for its slots. It is for
// upstreams that announce their slots, and for runs that make many calls each: if
// one call is refused, the run and all its work are lost. Calls therefore wait, and
// root requests are refused by their entry daemons, before any work is done.
type Governor struct {
	ranks []governorRank
	last  time.Time
	// supply is the number of requests to admit in an Interval. It is infinite
	// while nothing is refused.
	supply   float64
	finished float64 // requests finished in an Interval, averaged
}

// governorRank is the state of one rank.
type governorRank struct {
	admittedFraction float64 // the admitted fraction of its requests
	averageFraction  float64 // admittedFraction, averaged over propagationDelay
	demand           float64 // requests of an Interval before any refusal, averaged
	arrivals         float64 // requests since the last step
}

// NewGovernor returns a Governor that refuses nothing.
func NewGovernor(ranks int) *Governor {
	g := &Governor{supply: math.Inf(1)}
	g.Resize(ranks)
	return g
}

// Resize sets the number of ranks. Ranks that remain keep their level.
func (g *Governor) Resize(ranks int) {
	for len(g.ranks) < ranks {
		g.ranks = append(g.ranks, governorRank{admittedFraction: 1, averageFraction: 1})
	}
	g.ranks = g.ranks[:ranks]
}

// CountArrival counts a request of a rank.
func (g *Governor) CountArrival(rank int) { g.ranks[rank].arrivals++ }

// Due reports whether the next step is due.
func (g *Governor) Due(now time.Time) bool { return now.Sub(g.last) >= Interval }

// Step adjusts the levels. It is called once every Interval.
func (g *Governor) Step(now time.Time, s StepStats) {
	g.last = now
	weight := float64(Interval) / float64(loadAveragingTime)
	g.finished += weight * (float64(s.Finished) - g.finished)
	total := 0.0
	for i := range g.ranks {
		r := &g.ranks[i]
		r.averageFraction += float64(Interval) / float64(propagationDelay) * (r.admittedFraction - r.averageFraction)
		r.demand += weight * (r.arrivals/max(r.averageFraction, minAdmitted) - r.demand)
		r.arrivals = 0
		total += r.demand
	}
	g.adjustSupply(s, total)
	g.distribute(total)
}

// adjustSupply sets the supply by the wait and the utilization of the slots.
func (g *Governor) adjustSupply(s StepStats, demand float64) {
	if s.Utilization < idleUtilization && s.Wait == 0 {
		if !math.IsInf(g.supply, 1) {
			g.supply = max(g.supply, g.finished) * idleGrowth
		}
	} else {
		gain := waitGain * (1 - float64(s.Wait)/float64(max(s.Target, 1)))
		gain = min(max(gain, -maxCut), maxRise)
		if gain < 0 || !math.IsInf(g.supply, 1) {
			g.supply = g.finished * (1 + gain)
		}
	}
	if g.supply > maxSupplyFactor*demand {
		g.supply = math.Inf(1)
	}
}

// distribute divides the supply among the ranks: each gets equalCutFraction of what an
// equal cut would give it, and the rest goes to the most urgent ranks first.
func (g *Governor) distribute(total float64) {
	equal := 1.0
	if g.supply < total {
		equal = g.supply / total
	}
	remaining := g.supply
	for i := range g.ranks {
		remaining -= equalCutFraction * equal * g.ranks[i].demand
	}
	for i := range g.ranks {
		r := &g.ranks[i]
		admit := 1.0
		if g.supply < total && r.demand > 0 {
			extra := min((1-equalCutFraction*equal)*r.demand, max(remaining, 0))
			remaining -= extra
			admit = equalCutFraction*equal + extra/r.demand
		}
		r.admittedFraction += levelStep * (min(max(admit, minAdmitted), 1) - r.admittedFraction)
		if r.admittedFraction > 1-minAdmitted {
			r.admittedFraction = 1
		}
	}
}

// Level returns the level that responses to requests of a rank carry.
func (g *Governor) Level(rank int) Level {
	if g.ranks[rank].admittedFraction >= 1 {
		return 0
	}
	return FromFraction(g.ranks[rank].admittedFraction)
}

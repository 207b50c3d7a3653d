package experiment

import (
	"time"
)

// binTime is the length of the intervals by which recovery is judged.
const binTime = 500 * time.Millisecond

// beforeTime is the time before the trigger that the former service is taken
// from.
const beforeTime = 3 * time.Second

// recovered is the part of the former service that counts as recovered.
const recovered = 0.95

// origin is a caller's request, whatever it is sent again.
type origin struct {
	rank  int
	bin   int
	whole bool
}

// count is what became of requests.
type count struct{ arrived, whole int }

func (c count) part() float64 {
	if c.arrived == 0 {
		return 1
	}
	return float64(c.whole) / float64(c.arrived)
}

// tally counts requests by rank and by the interval in which they arrived.
type tally struct {
	scenario Scenario
	bins     [][ranks]count
	requests []*request // let in since the trigger began
}

func newTally(s Scenario) *tally {
	total := warmTime + s.TriggerTime + afterTime
	return &tally{scenario: s, bins: make([][ranks]count, total/binTime+1)}
}

func (t *tally) arrived(rank int, at time.Duration) *origin {
	o := &origin{rank: rank, bin: int(at / binTime)}
	t.bins[o.bin][rank].arrived++
	return o
}

func (t *tally) started(r *request, at time.Duration) {
	if at >= warmTime {
		t.requests = append(t.requests, r)
	}
}

func (t *tally) answered(o *origin, whole bool) {
	if whole && !o.whole {
		o.whole = true
		t.bins[o.bin][o.rank].whole++
	}
}

// sum adds the intervals from one time to another.
func (t *tally) sum(from, to time.Duration) (by [ranks]count, all count) {
	for _, bin := range t.bins[from/binTime : to/binTime] {
		for rank, c := range bin {
			by[rank].arrived += c.arrived
			by[rank].whole += c.whole
			all.arrived += c.arrived
			all.whole += c.whole
		}
	}
	return by, all
}

// Result is what one run gave.
type Result struct {
	// Goodput is the whole requests a second during the trigger, as a part of
	// the deepest service's capacity.
	Goodput float64
	// Served is the part of each rank's requests that were whole during the
	// trigger, and Before the same before it.
	Served, ServedBefore [ranks]float64
	// Kept is each rank's whole requests during the trigger, as a part of the
	// deepest service's capacity.
	RankGoodput [ranks]float64
	// Wasted is the part of upstream work, since the trigger began, for sends
	// that were not whole.
	Wasted float64
	// Recovery is the time from the trigger's end after which the part served
	// stays at 95% of the former, Recovered whether that came to pass.
	RecoveryTime time.Duration
	Recovered    bool
}

// result sums a run up.
func (t *tally) result() Result {
	var r Result
	trigger := warmTime + t.scenario.TriggerTime
	before, allBefore := t.sum(warmTime-beforeTime, warmTime)
	during, all := t.sum(warmTime, trigger)
	seconds := t.scenario.TriggerTime.Seconds() * deepest().capacity()
	r.Goodput = float64(all.whole) / seconds
	for rank := range ranks {
		r.ServedBefore[rank] = before[rank].part()
		r.Served[rank] = during[rank].part()
		r.RankGoodput[rank] = float64(during[rank].whole) / seconds
	}
	r.Wasted = t.wasted()
	r.RecoveryTime, r.Recovered = t.recovery(trigger, allBefore.part())
	return r
}

func (t *tally) wasted() float64 {
	var all, lost time.Duration
	for _, r := range t.requests {
		all += r.work
		if !r.whole {
			lost += r.work
		}
	}
	if all == 0 {
		return 0
	}
	return float64(lost) / float64(all)
}

// recovery looks at the last interval of two bins that is below the former
// service. The last second is left out: its requests may not have ended.
func (t *tally) recovery(from time.Duration, former float64) (time.Duration, bool) {
	end := from + afterTime - callTimeout
	last := from
	for at := from; at+2*binTime <= end; at += binTime {
		if _, c := t.sum(at, at+2*binTime); c.part() < recovered*former {
			last = at + 2*binTime
		}
	}
	return last - from, last < end
}

// Run runs a scenario in one mode.
func Run(seed uint64, s Scenario, m Mode) Result {
	w := newWorld(seed, s, m)
	w.run(epoch.Add(warmTime + s.TriggerTime + afterTime))
	return w.tally.result()
}

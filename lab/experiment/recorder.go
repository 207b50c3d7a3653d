package experiment

import (
	"time"
)

// binLength is the length of the intervals in which requests are counted. Recovery is
// judged by pairs of them.
const binLength = 500 * time.Millisecond

// baselineTime is the length of the interval before the trigger in which the
// baseline success ratio is measured.
const baselineTime = 3 * time.Second

// recoveredRatio is the fraction of the baseline success ratio that counts as
// recovered.
const recoveredRatio = 0.95

// callerRequest is a caller's request, counted once however often it is resent.
type callerRequest struct {
	rank      int
	bin       int
	succeeded bool
}

// counts counts the requests that arrived and those that succeeded.
type counts struct{ arrived, succeeded int }

// successRatio returns the fraction of requests that succeeded, 1 if none arrived.
func (c counts) successRatio() float64 {
	if c.arrived == 0 {
		return 1
	}
	return float64(c.succeeded) / float64(c.arrived)
}

// recorder counts requests by rank and by the interval in which they arrived.
type recorder struct {
	scenario Scenario
	bins     [][ranks]counts
	requests []*request // accepted by an entry daemon since the start of the trigger
}

func newRecorder(s Scenario) *recorder {
	total := warmupTime + s.TriggerTime + cooldownTime
	return &recorder{scenario: s, bins: make([][ranks]counts, total/binLength+1)}
}

// recordArrival counts a new request of a caller.
func (r *recorder) recordArrival(rank int, at time.Duration) *callerRequest {
	o := &callerRequest{rank: rank, bin: int(at / binLength)}
	r.bins[o.bin][rank].arrived++
	return o
}

// recordStart adds a send to those whose work counts, if the trigger has started.
func (r *recorder) recordStart(sent *request, at time.Duration) {
	if at >= warmupTime {
		r.requests = append(r.requests, sent)
	}
}

// recordOutcome counts the first success of a request.
func (r *recorder) recordOutcome(o *callerRequest, succeeded bool) {
	if succeeded && !o.succeeded {
		o.succeeded = true
		r.bins[o.bin][o.rank].succeeded++
	}
}

// sum adds up the intervals between two times since the start of the run.
func (r *recorder) sum(from, to time.Duration) (byRank [ranks]counts, total counts) {
	for _, bin := range r.bins[from/binLength : to/binLength] {
		for rank, c := range bin {
			byRank[rank].arrived += c.arrived
			byRank[rank].succeeded += c.succeeded
			total.arrived += c.arrived
			total.succeeded += c.succeeded
		}
	}
	return byRank, total
}

// Result holds the measurements of one run.
type Result struct {
	// Goodput is the rate of successful requests that arrived during the trigger, as a
	// fraction of the deepest service's capacity.
	Goodput float64
	// Served is the success ratio of each rank during the trigger, ServedBefore the
	// one in the last baselineTime before the trigger.
	Served, ServedBefore [ranks]float64
	// RankGoodput is the goodput of each rank during the trigger as a fraction of the
	// deepest service's capacity.
	RankGoodput [ranks]float64
	// Wasted is the fraction of upstream work that was spent on failed sends, of all
	// sends since the start of the trigger.
	Wasted float64
	// RecoveryTime is the time from the end of the trigger after which the success
	// ratio stays at 95% of the baseline or above; Recovered reports whether it did.
	RecoveryTime time.Duration
	Recovered    bool
}

// result computes the measurements of the run.
func (r *recorder) result() Result {
	var result Result
	trigger := warmupTime + r.scenario.TriggerTime
	before, allBefore := r.sum(warmupTime-baselineTime, warmupTime)
	during, all := r.sum(warmupTime, trigger)
	seconds := r.scenario.TriggerTime.Seconds() * deepest().capacity()
	result.Goodput = float64(all.succeeded) / seconds
	for rank := range ranks {
		result.ServedBefore[rank] = before[rank].successRatio()
		result.Served[rank] = during[rank].successRatio()
		result.RankGoodput[rank] = float64(during[rank].succeeded) / seconds
	}
	result.Wasted = r.wastedRatio()
	result.RecoveryTime, result.Recovered = r.recoveryTime(trigger, allBefore.successRatio())
	return result
}

// wastedRatio returns the fraction of the recorded work that failed sends took, 0 if
// there was no work.
func (r *recorder) wastedRatio() float64 {
	var all, wasted time.Duration
	for _, sent := range r.requests {
		all += sent.work
		if !sent.succeeded {
			wasted += sent.work
		}
	}
	if all == 0 {
		return 0
	}
	return float64(wasted) / float64(all)
}

// recoveryTime returns the time from the end of the trigger to the end of the last
// pair of intervals whose success ratio is below the recovered one, 0 if there is none,
// and false if no pair follows it. It ignores the last second of the run, in which
// requests may not have ended.
func (r *recorder) recoveryTime(from time.Duration, baseline float64) (time.Duration, bool) {
	end := from + cooldownTime - callTimeout
	last := from
	for at := from; at+2*binLength <= end; at += binLength {
		if _, c := r.sum(at, at+2*binLength); c.successRatio() < recoveredRatio*baseline {
			last = at + 2*binLength
		}
	}
	return last - from, last < end
}

// Run simulates a scenario in one mode. The same seed gives the same result.
func Run(seed uint64, s Scenario, m Mode) Result {
	sim := newSimulation(seed, s, m)
	sim.runUntil(epoch.Add(warmupTime + s.TriggerTime + cooldownTime))
	return sim.recorder.result()
}

package experiment

import "time"

// The ranks of every scenario, most urgent first.
const (
	ruling = iota
	lookup
	bulk
	ranks
)

// rankNames are the names of the ranks, by rank.
var rankNames = [ranks]string{"ruling", "lookup", "bulk"}

// shares are the guaranteed shares of the ranks; rank ruling is protected.
var shares = [ranks]float64{0.2, 0.4, 0.1}

// demandMix is each rank's fraction of the ordinary demand.
var demandMix = [ranks]float64{0.15, 0.55, 0.3}

// ordinaryLoad is the ordinary demand as a fraction of the deepest service's
// capacity.
const ordinaryLoad = 0.7

// Durations of a run and of its phases.
const (
	// warmupTime precedes the trigger, and cooldownTime follows it.
	warmupTime   = 8 * time.Second
	cooldownTime = 8 * time.Second
	// callTimeout is the timeout of a caller, and of each hop without fuchsiavane.
	callTimeout = time.Second
	// hopLatency is the network latency of one message between daemons.
	hopLatency = 500 * time.Microsecond
	// slowStart is the setting slow_start_ms.
	slowStart = 5 * time.Second
	// queueTimeout is the setting queue_ms.
	queueTimeout = 50 * time.Millisecond
)

// serviceModel describes one service of the chain.
type serviceModel struct {
	instances int
	// threads is the number of requests that one upstream serves at a time; others
	// wait inside the upstream.
	threads int
	// work is the mean working time of a request.
	work time.Duration
}

// capacity returns the requests per second that the service can serve.
func (m serviceModel) capacity() float64 {
	return float64(m.instances*m.threads) / m.work.Seconds()
}

// chain lists the four services; each one calls the next.
var chain = []serviceModel{
	{2, 50, 5 * time.Millisecond},
	{2, 50, 5 * time.Millisecond},
	{2, 50, 5 * time.Millisecond},
	{2, 15, 100 * time.Millisecond},
}

func deepest() serviceModel { return chain[len(chain)-1] }

// Scenario describes one trigger and its effects.
type Scenario struct {
	Name string
	// TriggerTime is the duration of the trigger.
	TriggerTime time.Duration
	// demand multiplies the ordinary demand of each rank during the trigger.
	demand [ranks]float64
	// slowdown returns the factor on the work of the deepest service at a time since
	// the start of the trigger.
	slowdown func(time.Duration) float64
	// restarts replaces the deepest instances by new ones at the start of the trigger.
	restarts bool
	// shedAt is the number of running requests from which the deepest upstream sheds
	// by itself; 0 for never.
	shedAt int
	// upperWork replaces the mean work of the services above the deepest, if not 0.
	upperWork time.Duration
	// resends is the maximum number of times that a caller resends a failed request.
	resends int
}

// flood returns demand factors with which one rank alone demands a multiple of the
// deepest service's capacity and the other ranks keep their ordinary demand.
func flood(rank int, factor float64) [ranks]float64 {
	demand := [ranks]float64{1, 1, 1}
	demand[rank] = factor / (ordinaryLoad * demandMix[rank])
	return demand
}

// uniformDemand returns demand factors with which all ranks together demand a
// multiple of the deepest service's capacity.
func uniformDemand(factor float64) [ranks]float64 {
	return [ranks]float64{factor / ordinaryLoad, factor / ordinaryLoad, factor / ordinaryLoad}
}

// Scenarios returns every scenario, in the order of the report.
func Scenarios() []Scenario {
	normal := [ranks]float64{1, 1, 1}
	return []Scenario{
		{Name: "flood of the least urgent rank, 10x", TriggerTime: 10 * time.Second, demand: flood(bulk, 10)},
		{Name: "flood of the most urgent rank, 10x", TriggerTime: 10 * time.Second, demand: mostUrgentFlood()},
		{Name: "4-deep chain, deepest at 3x", TriggerTime: 10 * time.Second, demand: uniformDemand(3)},
		{Name: "deep service slows 5x", TriggerTime: 10 * time.Second, demand: normal, slowdown: constantSlowdown(5)},
		{Name: "demand surges 3x", TriggerTime: 5 * time.Second, demand: uniformDemand(3)},
		{Name: "surge 2x, callers resend 5 times", TriggerTime: 5 * time.Second, demand: uniformDemand(2), resends: 5},
		{Name: "deep service starts cold", TriggerTime: slowStart, demand: normal, slowdown: warmupSlowdown, restarts: true},
		{Name: "deep upstream sheds at 8 of 15", TriggerTime: 10 * time.Second, demand: normal, shedAt: 8},
		{Name: "4-deep chain, deepest at 3x, upper services work 50 ms", TriggerTime: 10 * time.Second, demand: uniformDemand(3), upperWork: 50 * time.Millisecond},
	}
}

// mostUrgentFlood returns a flood of the most urgent rank in which the other ranks
// demand more than their guaranteed shares.
func mostUrgentFlood() [ranks]float64 {
	demand := flood(ruling, 10)
	demand[lookup] = 0.6 / (ordinaryLoad * demandMix[lookup])
	demand[bulk] = 0.3 / (ordinaryLoad * demandMix[bulk])
	return demand
}

// constantSlowdown returns a slowdown that does not depend on time.
func constantSlowdown(factor float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return factor }
}

// warmupSlowdown falls linearly from 5 to 1 during slowStart.
func warmupSlowdown(since time.Duration) float64 {
	return max(1, 5-4*float64(since)/float64(slowStart))
}

package experiment

import "time"

// The ranks of every scenario, most urgent first.
const (
	ruling = iota
	lookup
	bulk
	ranks
)

// rankNames are the names of the ranks in tables.
var rankNames = [ranks]string{"ruling", "lookup", "bulk"}

// shares are the floors of the ranks; the first is protected.
var shares = [ranks]float64{0.2, 0.4, 0.1}

// mix is each rank's part of the ordinary demand.
var mix = [ranks]float64{0.15, 0.55, 0.3}

// ordinaryLoad is the ordinary demand as a part of the deepest service's
// capacity.
const ordinaryLoad = 0.7

// Phases of a run.
const (
	warmTime  = 8 * time.Second
	afterTime = 8 * time.Second
	// callTimeout is the callers' timeout.
	callTimeout = time.Second
	// hopTime is the time of one message between daemons.
	hopTime = 500 * time.Microsecond
	// slowStart is the setting slow_start_ms.
	slowStart = 5 * time.Second
	// queueTime is the setting queue_ms.
	queueTime = 50 * time.Millisecond
)

// serviceModel is one service of the chain.
type serviceModel struct {
	instances int
	// threads is the number of requests that one upstream serves at a time; more
	// wait inside it.
	threads int
	work    time.Duration
}

// capacity returns the requests a second that the service takes.
func (m serviceModel) capacity() float64 {
	return float64(m.instances*m.threads) / m.work.Seconds()
}

// chain is the four services, each of which calls the next.
var chain = []serviceModel{
	{2, 50, 5 * time.Millisecond},
	{2, 50, 5 * time.Millisecond},
	{2, 50, 5 * time.Millisecond},
	{2, 15, 100 * time.Millisecond},
}

func deepest() serviceModel { return chain[len(chain)-1] }

// Scenario is one trigger and what it does.
type Scenario struct {
	Name string
	// Trigger is how long it lasts.
	TriggerTime time.Duration
	// demand multiplies the ordinary demand of each rank during the trigger.
	demand [ranks]float64
	// slow multiplies the work of the deepest service, by the time since the
	// trigger began.
	slow func(time.Duration) float64
	// restarts is set when the deepest instances are replaced by cold ones.
	restarts bool
	// refuseAt is the number of requests from which the deepest upstream refuses
	// by itself.
	refuseAt int
	// upperWork replaces the work of the services above the deepest, if not 0.
	upperWork time.Duration
	// resends is how often callers send a failed request again.
	resends int
}

// flood returns the demand by which a rank alone asks for a multiple of the
// capacity, while the others stay.
func flood(rank int, times float64) [ranks]float64 {
	demand := [ranks]float64{1, 1, 1}
	demand[rank] = times / (ordinaryLoad * mix[rank])
	return demand
}

// overall returns the demand by which all ranks ask for a multiple of the
// capacity.
func overall(times float64) [ranks]float64 {
	return [ranks]float64{times / ordinaryLoad, times / ordinaryLoad, times / ordinaryLoad}
}

// Scenarios lists every scenario.
func Scenarios() []Scenario {
	calm := [ranks]float64{1, 1, 1}
	return []Scenario{
		{Name: "flood of the least urgent rank, 10x", TriggerTime: 10 * time.Second, demand: flood(bulk, 10)},
		{Name: "flood of the most urgent rank, 10x", TriggerTime: 10 * time.Second, demand: mostUrgent()},
		{Name: "4-deep chain, deepest at 3x", TriggerTime: 10 * time.Second, demand: overall(3)},
		{Name: "deep service slows 5x", TriggerTime: 10 * time.Second, demand: calm, slow: times(5)},
		{Name: "demand surges 3x", TriggerTime: 5 * time.Second, demand: overall(3)},
		{Name: "surge 2x, callers resend 5 times", TriggerTime: 5 * time.Second, demand: overall(2), resends: 5},
		{Name: "deep service starts cold", TriggerTime: slowStart, demand: calm, slow: warmingUp, restarts: true},
		{Name: "deep upstream sheds at 8 of 15", TriggerTime: 10 * time.Second, demand: calm, refuseAt: 8},
		{Name: "4-deep chain, deepest at 3x, upper services work 50 ms", TriggerTime: 10 * time.Second, demand: overall(3), upperWork: 50 * time.Millisecond},
	}
}

// mostUrgent is the flood of the most urgent rank, in which the others ask for
// more than their floors.
func mostUrgent() [ranks]float64 {
	demand := flood(ruling, 10)
	demand[lookup] = 0.6 / (ordinaryLoad * mix[lookup])
	demand[bulk] = 0.3 / (ordinaryLoad * mix[bulk])
	return demand
}

func times(factor float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return factor }
}

// warmingUp falls from 5 times the work to the ordinary work.
func warmingUp(since time.Duration) float64 {
	return max(1, 5-4*float64(since)/float64(slowStart))
}

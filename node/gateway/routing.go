package gateway

import (
	"math/rand/v2"
	"time"

	"fuchsiavane.org/core/route"
	"fuchsiavane.org/core/settings"
	"fuchsiavane.org/node/call"
)

// noPeerRetryAfter is the wait told to a caller when no upstream can be used.
const noPeerRetryAfter = time.Second

// processRandom is the process's source of randomness, which is safe for
// concurrent use.
type processRandom struct{}

// IntN implements route.Random.
func (processRandom) IntN(n int) int { return rand.IntN(n) }

// pick chooses the peer for one attempt.
func (g *Gateway) pick(now time.Time, r *call.Request, values *settings.Values, tried []string) (route.Choice, bool) {
	query := route.Query{
		Service:     r.Service,
		Tried:       tried,
		CrossRegion: values.CrossRegion == settings.CrossRegionSpill && g.RegionLink.allow(now, g.urgent(values.Rank)),
		SlowStart:   values.SlowStart,
	}
	return g.Picker.Pick(now, query, processRandom{})
}

// noPeer answers a request that no known peer can take.
func (g *Gateway) noPeer(r *call.Request) *call.Answer {
	a := call.Refuse(call.NotRun, call.RefusedNoUpstream, "no upstream of service "+r.Service+" can be used")
	a.RetryAfter = noPeerRetryAfter
	a.UnusedRetries = r.RetryBudget
	return a
}

// urgent reports whether a rank is not the least urgent of several.
func (g *Gateway) urgent(rank string) bool {
	ranks := g.Settings.Current().Document.Ranks()
	return len(ranks) < 2 || ranks[len(ranks)-1].Name != rank
}

// resultOf tells the picker what an attempt showed of the peer. A run that the
// caller gave up shows nothing; one that passed its deadline counts as a
// failure, since a peer that takes calls and never answers looks so.
func resultOf(a *call.Answer, took time.Duration) route.Result {
	if a.Outcome != call.Ran {
		took = 0
	}
	lost := a.Refusal == call.RefusedUnreachable || a.Refusal == call.RefusedDeadline
	return route.Result{
		Latency:    took,
		Failed:     lost && (a.Outcome == call.Unknown || a.Refusal == call.RefusedUnreachable),
		Refused:    a.Outcome == call.NotRun,
		Leaving:    a.Refusal == call.RefusedDraining,
		NoUpstream: a.Refusal == call.RefusedNoUpstream,
		Load:       a.Load,
	}
}

package gateway

import (
	"math/rand/v2"
	"time"

	"fuchsiavane.org/core/route"
	"fuchsiavane.org/core/settings"
	"fuchsiavane.org/node/call"
)

// noPeerRetryAfter is the Retry-After time of a request for which no upstream is
// available.
const noPeerRetryAfter = time.Second

// processRandom implements route.Random with the global generator, which is safe for
// concurrent use.
type processRandom struct{}

// IntN implements route.Random.
func (processRandom) IntN(n int) int { return rand.IntN(n) }

// pick chooses the peer for one attempt: not one of tried, and only one of among if
// that is not empty.
func (g *Gateway) pick(now time.Time, r *call.Request, values *settings.Values, tried, among []string) (route.Choice, bool) {
	query := route.Query{
		Service:     r.Service,
		Tried:       tried,
		Among:       among,
		CrossRegion: values.CrossRegion == settings.CrossRegionSpill && g.RegionLink.allow(now, g.isUrgent(values.Rank)),
		SlowStart:   values.SlowStart,
	}
	return g.Picker.Pick(now, query, processRandom{})
}

// refuseNoPeer returns the refusal of a request for which no peer is available.
func (g *Gateway) refuseNoPeer(r *call.Request) *call.Answer {
	a := call.Refuse(call.NotRun, call.RefusedNoUpstream, "no upstream of service "+r.Service+" can be used")
	a.RetryAfter = noPeerRetryAfter
	a.UnusedRetries = r.RetryBudget
	return a
}

// isUrgent reports whether a rank is the only one or not the least urgent one.
func (g *Gateway) isUrgent(rank string) bool {
	ranks := g.Settings.Current().Document.Ranks()
	return len(ranks) < 2 || ranks[len(ranks)-1].Name != rank
}

// resultOf returns what an attempt showed of the peer, for the picker. A run that the
// caller abandoned shows nothing. A run that passed its deadline counts as a failure,
// since a peer that accepts calls and never responds looks the same.
func resultOf(a *call.Answer, took time.Duration) route.Result {
	if a.Outcome != call.Ran {
		took = 0
	}
	noResponse := a.Refusal == call.RefusedUnreachable || a.Refusal == call.RefusedDeadline
	return route.Result{
		Latency:    took,
		Failed:     noResponse && (a.Outcome == call.Unknown || a.Refusal == call.RefusedUnreachable),
		Refused:    a.Outcome == call.NotRun,
		Leaving:    a.Refusal == call.RefusedDraining,
		NoUpstream: a.Refusal == call.RefusedNoUpstream,
		Load:       a.Load,
	}
}

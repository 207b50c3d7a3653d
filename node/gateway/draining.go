package gateway

import (
	"time"

	"fuchsiavane.org/core/drain"
	"fuchsiavane.org/node/call"
)

// SetLeaving records that a drain of the daemon has begun. From then on the end of a
// call's parent run does not cancel the call; only its own caller can, so that the
// drain interrupts no run whose caller still waits.
func (g *Gateway) SetLeaving() { g.leaving.Store(true) }

// StartDraining makes the Gateway refuse requests that may outlast the drain.
func (g *Gateway) StartDraining(plan drain.Plan) { g.drain.Store(&plan) }

// refuseLate returns the refusal of a request that comes too late in a drain to end
// before it, and nil if the request may proceed.
func (g *Gateway) refuseLate(p *prepared) *call.Answer {
	plan := g.drain.Load()
	if plan == nil {
		return nil
	}
	now := time.Now()
	takes := plan.Takes
	if p.parent != nil {
		takes = plan.TakesNested
	}
	if takes(now, p.request.Deadline) {
		return nil
	}
	a := call.Refuse(outcomeAtEntry(p.request), call.RefusedDraining, "the daemon is stopping, and the request may outlast it")
	a.UnusedRetries = p.request.RetryBudget
	if g.Picker.AloneInDataCentre() {
		a.RetryAfter = max(plan.End.Sub(now), 0) // the caller has no other daemon nearby
	}
	return a
}

// hasTimeToResend reports whether a request that was taken before the daemon is about to
// end may still be sent to another peer.
func (g *Gateway) hasTimeToResend(r *call.Request) bool {
	plan := g.drain.Load()
	return plan == nil || plan.TakesNested(time.Now(), r.Deadline)
}

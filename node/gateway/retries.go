package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"fuchsiavane.org/core/retry"
	"fuchsiavane.org/core/settings"
	"fuchsiavane.org/node/call"
)

// again decides whether to send an idempotent request once more, pays for it,
// and waits a little.
func (g *Gateway) again(ctx context.Context, r *call.Request, values *settings.Values, answer *call.Answer, tried []string, peer string, budget *retry.Budget) bool {
	if peer == "" || answer.Refusal == call.RefusedNone || ctx.Err() != nil {
		return false
	}
	if answer.Outcome != call.NotRun && !r.Idempotent {
		return false
	}
	switch answer.Refusal {
	case call.RefusedOverload, call.RefusedDraining, call.RefusedUnreachable:
		return g.payRetry(r, values, budget) && backOff(ctx, r.Deadline, len(tried)+1)
	}
	return false
}

// payRetry takes one retry from the request's budget and from the service's
// ratio.
func (g *Gateway) payRetry(r *call.Request, values *settings.Values, budget *retry.Budget) bool {
	if budget.Held() == 0 || !g.ratios.Take(r.Service, values.RetryRatio) {
		return false
	}
	return budget.Take()
}

// backOff waits before another send. It reports false, without having waited,
// if the deadline would pass, and false if the context ends.
func backOff(ctx context.Context, deadline time.Time, sends int) bool {
	wait := retry.Backoff(sends, rand.Float64())
	if time.Until(deadline) <= wait {
		return false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// resent refuses a request that its caller has sent before, if the caller has
// done that too often. The answer is nil if the request may go on.
func (g *Gateway) resent(r *call.Request, values *settings.Values) *call.Answer {
	if r.KeyMade || r.Key == "" || g.resends.Arrive(r.Caller, r.Service, r.Key, values.RetryRatio) {
		return nil
	}
	a := call.Refuse(call.Unknown, call.RefusedRetryRatio, "caller "+r.Caller+" sends requests again too often")
	a.RetryAfter = time.Second
	return a
}

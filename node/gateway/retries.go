package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"fuchsiavane.org/core/retry"
	"fuchsiavane.org/core/settings"
	coresuspect "fuchsiavane.org/core/suspect"
	"fuchsiavane.org/node/call"
	"fuchsiavane.org/node/event"
	"fuchsiavane.org/node/suspect"
)

// prepareRetry reports whether to send a request again. It charges the retry and waits
// for the backoff.
func (g *Gateway) prepareRetry(ctx context.Context, r *call.Request, values *settings.Values, answer *call.Answer, peer string, budget *retry.Budget, sent *attempts) bool {
	if peer == "" || answer.Refusal == call.RefusedNone || ctx.Err() != nil || !g.hasTimeToResend(r) {
		return false
	}
	if answer.Outcome != call.NotRun && !r.Idempotent || refusedByLevel(r, answer) {
		return false
	}
	if canRedirect(r, answer, len(sent.tried)+1) {
		g.logRetry(r, answer, peer, "free")
		return time.Now().Before(r.Deadline)
	}
	switch answer.Refusal {
	case call.RefusedOverload, call.RefusedDraining, call.RefusedUnreachable, call.RefusedUpstreamShed:
		if budget.Remaining() > 0 {
			if !g.takeRetry(r, values, answer, budget) {
				return false
			}
		} else if !g.takeReturn(r, values, answer, peer, sent) {
			return false
		}
		r.Repeat = true
		g.logRetry(r, answer, peer, "budget")
		return backOff(ctx, r.Deadline, len(sent.tried)+1)
	}
	return false
}

const (
	// maxRedirects is the maximum number of peers tried in turn while none has passed
	// the request to its upstream.
	maxRedirects = 4
	// maxOverloadedRedirects is used in place of maxRedirects if a peer refuses
	// because of overload: each further attempt then adds to the load of all peers.
	maxOverloadedRedirects = 2
)

// canRedirect reports whether a routed request may go to another peer without being
// charged as a retry: the peer has not passed it to its upstream, so a further attempt
// adds no load there. tried is the number of peers tried so far.
func canRedirect(r *call.Request, answer *call.Answer, tried int) bool {
	if r.Host == "" || answer.Outcome != call.NotRun {
		return false
	}
	switch answer.Refusal {
	case call.RefusedDraining, call.RefusedUnreachable, call.RefusedNoUpstream:
		return tried < maxRedirects
	case call.RefusedOverload:
		return tried < maxOverloadedRedirects
	}
	return false
}

// logRetry logs that a request is sent to another peer. price is "budget" if it was
// charged as a retry, and "free" otherwise.
func (g *Gateway) logRetry(r *call.Request, answer *call.Answer, peer, price string) {
	if r.Host == "" {
		return
	}
	g.Log.Log(event.RequestRetried).Str("request", r.CallerRequestID).Str("service", r.Service).Str("peer", peer).
		Str("refusal", string(answer.Refusal)).Str("outcome", string(answer.Outcome)).Str("detail", answer.Detail).
		Str("price", price).Int64("left_ms", time.Until(r.Deadline).Milliseconds()).Msg("request sent to another peer")
}

// correctOutcome corrects the outcome of a call if an earlier attempt may have run.
func correctOutcome(answer *call.Answer, mayHaveRun bool) {
	if mayHaveRun && answer.Outcome == call.NotRun {
		answer.Outcome = call.Unknown
	}
}

// checkSuspect marks a request that was in flight when an upstream crashed, and
// returns a refusal for one that is quarantined. It returns nil if the request may
// proceed.
func (g *Gateway) checkSuspect(r *call.Request) *call.Answer {
	if g.Suspects.Empty() {
		return nil
	}
	switch g.Suspects.Check(time.Now(), suspect.FingerprintOf(r)) {
	case coresuspect.Quarantined:
		refusal := suspect.RefuseQuarantined(r)
		refusal.Outcome = outcomeAtEntry(r)
		return refusal
	case coresuspect.Exclusive:
		r.Header.Set(suspect.HeaderSuspect, suspect.MarkExclusive)
	}
	return nil
}

// recordSuspicion records that a request was in flight when its upstream crashed, so
// that the next instance runs it alone.
func (g *Gateway) recordSuspicion(r *call.Request, answer *call.Answer) {
	mark := answer.Header.Get(suspect.HeaderSuspect)
	if mark == "" {
		return
	}
	delete(answer.Header, suspect.HeaderSuspect)
	if answer.Refusal == call.RefusedNone {
		return // the upstream's own response
	}
	r.Header.Set(suspect.HeaderSuspect, mark)
	suspect.ApplyMark(g.Suspects, suspect.FingerprintOf(r), mark)
}

// countFirstSend counts the first send of a request. A call of a run that is itself a
// retry is paid from the service's allowance, and refused if that is used up.
func (g *Gateway) countFirstSend(r *call.Request, values *settings.Values) *call.Answer {
	if !r.Repeat {
		g.allowances.CountFirstSend(time.Now(), r.Service, retryLimits(values))
		return nil
	}
	a := call.Refuse(call.NotRun, call.RefusedOverload, "the retries of service "+r.Service+" are used up, and the run that calls it is a retry")
	if g.takeAllowance(r, values, a) {
		return nil
	}
	a.UnusedRetries = r.RetryBudget
	return a
}

// takeRetry takes one retry from the request's budget and from the service's
// allowance. It returns false if one of them is exhausted.
func (g *Gateway) takeRetry(r *call.Request, values *settings.Values, answer *call.Answer, budget *retry.Budget) bool {
	return budget.Remaining() > 0 && g.takeAllowance(r, values, answer) && budget.Take()
}

// takeReturn takes one retry from the service's allowance for a request that the
// upstream of peer has refused without running it, and that has no budget for another
// peer: it may return to the upstreams that refused it.
func (g *Gateway) takeReturn(r *call.Request, values *settings.Values, answer *call.Answer, peer string, sent *attempts) bool {
	if r.Host == "" || answer.Refusal != call.RefusedUpstreamShed || sent.sheds+1 >= maxSheds || !g.takeAllowance(r, values, answer) {
		return false
	}
	sent.returnTo(peer)
	return true
}

// takeAllowance takes one retry from the service's allowance.
func (g *Gateway) takeAllowance(r *call.Request, values *settings.Values, answer *call.Answer) bool {
	usage, ok := g.allowances.Take(time.Now(), r.Service, g.claim(r), retryLimits(values))
	if !ok {
		g.logRetryDenied(r, answer, usage)
	}
	return ok
}

// claim returns the request's claim to a retry.
func (g *Gateway) claim(r *call.Request) retry.Claim {
	document := g.Settings.Current().Document
	rank := document.RankIndex(r.Rank)
	if rank < 0 {
		rank = len(document.Ranks())
	}
	return retry.Claim{Rank: rank, Nested: r.Nested}
}

// logRetryDenied logs that a request is not retried because the service's retry
// allowance is exhausted.
func (g *Gateway) logRetryDenied(r *call.Request, answer *call.Answer, usage retry.Usage) {
	line := g.Log.LogRateLimited(event.RetryDenied)
	if line == nil {
		return
	}
	line.Str("request", r.CallerRequestID).Str("root", r.ID).Str("service", r.Service).Bool("nested", r.Nested).
		Str("refusal", string(answer.Refusal)).Str("outcome", string(answer.Outcome)).
		Int("first_sends", usage.FirstSends).Int("retries", usage.Retries).Float64("allowed", usage.Allowed).
		Uint64("settings", g.Settings.Current().Revision).Msg("request not retried: retry allowance exhausted")
}

// retryLimits returns the limits on the retries of a service.
func retryLimits(v *settings.Values) retry.Limits {
	return retry.Limits{Ratio: v.RetryRatio, Burst: v.RetryBurst, Window: v.RetryWindow}
}

// backOff waits before the next send. It returns false immediately if the wait would
// exceed the deadline, and false if the context ends.
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

// refuseResend returns a refusal for a resent request if its caller resends too often,
// and nil if the request may proceed.
func (g *Gateway) refuseResend(r *call.Request, values *settings.Values) *call.Answer {
	if r.KeyGenerated || r.Key == "" || g.resends.Admit(r.Caller, r.Service, r.Key, values.RetryRatio) {
		return nil
	}
	a := call.Refuse(call.Unknown, call.RefusedRetryRatio, "caller "+r.Caller+" sends requests again too often")
	a.RetryAfter = time.Second
	return a
}

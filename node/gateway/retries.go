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

// again decides whether to send an idempotent request once more, pays for it,
// and waits a little.
func (g *Gateway) again(ctx context.Context, r *call.Request, values *settings.Values, answer *call.Answer, tried []string, peer string, budget *retry.Budget) bool {
	if peer == "" || answer.Refusal == call.RefusedNone || ctx.Err() != nil {
		return false
	}
	if answer.Outcome != call.NotRun && !r.Idempotent || refusedByLevel(r, answer) {
		return false
	}
	if redirects(r, answer, len(tried)+1) {
		g.logRetry(r, answer, peer, "free")
		return time.Now().Before(r.Deadline)
	}
	switch answer.Refusal {
	case call.RefusedOverload, call.RefusedDraining, call.RefusedUnreachable, call.RefusedShed:
		if !g.payRetry(r, values, answer, budget) {
			return false
		}
		g.logRetry(r, answer, peer, "budget")
		return backOff(ctx, r.Deadline, len(tried)+1)
	}
	return false
}

const (
	// maxRedirects bounds the peers asked in turn when none of them gave the
	// request to its upstream.
	maxRedirects = 4
	// maxOverloaded is the same where peers refuse because they are overloaded:
	// under a flood each further question costs all of them.
	maxOverloaded = 2
)

// redirects reports whether a routed request goes to another peer at no price:
// the asked one has not given it to its upstream, so no upstream has the load of
// a retry.
func redirects(r *call.Request, answer *call.Answer, asked int) bool {
	if r.Host == "" || answer.Outcome != call.NotRun {
		return false
	}
	switch answer.Refusal {
	case call.RefusedDraining, call.RefusedUnreachable, call.RefusedNoUpstream:
		return asked < maxRedirects
	case call.RefusedOverload:
		return asked < maxOverloaded
	}
	return false
}

// logRetry writes the line of a request that is sent once more.
func (g *Gateway) logRetry(r *call.Request, answer *call.Answer, peer, price string) {
	if r.Host == "" {
		return
	}
	g.Log.Log(event.RequestRetried).Str("request", r.Label).Str("service", r.Service).Str("peer", peer).
		Str("refusal", string(answer.Refusal)).Str("outcome", string(answer.Outcome)).Str("detail", answer.Detail).
		Str("price", price).Int64("left_ms", time.Until(r.Deadline).Milliseconds()).Msg("request sent to another peer")
}

// settleOutcome corrects the outcome of a call of which an earlier attempt may
// have run.
func settleOutcome(answer *call.Answer, earlier bool) {
	if earlier && answer.Outcome == call.NotRun {
		answer.Outcome = call.Unknown
	}
}

// suspicion marks a request that is known to have been in flight when an
// upstream died, and refuses one that is quarantined. The answer is nil if the
// request may go on.
func (g *Gateway) suspicion(r *call.Request) *call.Answer {
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

// carrySuspicion remembers a request that was in flight when its upstream died,
// so that the next instance runs it alone.
func (g *Gateway) carrySuspicion(r *call.Request, answer *call.Answer) {
	mark := answer.Header.Get(suspect.HeaderSuspect)
	if mark == "" {
		return
	}
	delete(answer.Header, suspect.HeaderSuspect)
	if answer.Refusal == call.RefusedNone {
		return // not made by a daemon
	}
	r.Header.Set(suspect.HeaderSuspect, mark)
	suspect.ApplyMark(g.Suspects, suspect.FingerprintOf(r), mark)
}

// payRetry takes one retry from the request's budget and from what the service is
// allowed.
func (g *Gateway) payRetry(r *call.Request, values *settings.Values, answer *call.Answer, budget *retry.Budget) bool {
	if budget.Remaining() == 0 {
		return false
	}
	account, ok := g.allowances.Take(time.Now(), r.Service, r.Nested, termsOf(values))
	if !ok {
		g.logDenied(r, answer, account)
		return false
	}
	return budget.Take()
}

// logDenied writes the line of a request that is not sent once more, since the
// service's retries are used up.
func (g *Gateway) logDenied(r *call.Request, answer *call.Answer, account retry.Usage) {
	line := g.Log.LogOften(event.RetryDenied)
	if line == nil {
		return
	}
	line.Str("request", r.Label).Str("root", r.ID).Str("service", r.Service).Bool("nested", r.Nested).
		Str("refusal", string(answer.Refusal)).Str("outcome", string(answer.Outcome)).
		Int("first_sends", account.FirstSends).Int("retries", account.Retries).Float64("allowed", account.Allowed).
		Uint64("settings", g.Settings.Current().Revision).Msg("request not sent once more")
}

// termsOf returns the bounds of the retries of a service.
func termsOf(v *settings.Values) retry.Limits {
	return retry.Limits{Ratio: v.RetryRatio, Burst: v.RetryBurst, Window: v.RetryWindow}
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
	if r.KeyMade || r.Key == "" || g.resends.Admit(r.Caller, r.Service, r.Key, values.RetryRatio) {
		return nil
	}
	a := call.Refuse(call.Unknown, call.RefusedRetryRatio, "caller "+r.Caller+" sends requests again too often")
	a.RetryAfter = time.Second
	return a
}

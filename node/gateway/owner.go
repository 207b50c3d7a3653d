package gateway

import (
	"context"
	"slices"
	"time"

	"fuchsiavane.org/core/once"
	"fuchsiavane.org/core/retry"
	"fuchsiavane.org/core/route"
	"fuchsiavane.org/core/settings"
	"fuchsiavane.org/node/call"
	nodeonce "fuchsiavane.org/node/once"
)

const (
	// maxHops is the maximum number of redirects and unreachable instances in the
	// search for a key's owner. They cost no retry, since nothing ran.
	maxHops = 16
	// maxUnknownOwners is the maximum number of redirects to owners that this daemon
	// does not know.
	maxUnknownOwners = 6
)

// outcomeAtEntry returns the outcome of a request that the entry daemon refuses
// without asking another instance. A request whose key came from the caller may have
// run before.
func outcomeAtEntry(r *call.Request) call.Outcome {
	if r.Idempotent || r.KeyGenerated || r.Key == "" {
		return call.NotRun
	}
	return call.Unknown
}

// callOwner makes one call of a non-idempotent request. The instance that owns the key
// runs it, whichever daemon received the request, so that a resend with the same key
// is safe.
func (g *Gateway) callOwner(ctx context.Context, r *call.Request, values *settings.Values, budget *retry.Budget) *call.Answer {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	s := &ownerSearch{gateway: g, request: r, values: values, budget: budget}
	if r.KeyGenerated {
		r.Key = ""
	}
	answer := s.run(ctx)
	answer.Body = &cancellingBody{answer.Body, cancel}
	return answer
}

// ownerSearch is the state of one call while the owner of its key is searched.
type ownerSearch struct {
	gateway       *Gateway
	request       *call.Request
	values        *settings.Values
	budget        *retry.Budget
	tried         []string
	hops          int
	unknownOwners int
	sends         int
	// mayHaveRun is set once an attempt may have run.
	mayHaveRun bool
}

func (s *ownerSearch) run(ctx context.Context) *call.Answer {
	for {
		peer, ok := s.gateway.owners.find(s.request, s.tried)
		if !ok {
			return s.refuse(call.RefusedNoUpstream, "no instance of service "+s.request.Service+" is known")
		}
		answer, byOwner := s.send(ctx, peer)
		s.gateway.recordSuspicion(s.request, answer)
		if !s.prepareRetry(ctx, answer, byOwner, peer) {
			return s.correctOutcome(answer, byOwner)
		}
		_ = answer.Body.Close()
	}
}

// refuse returns a refusal for a request that was sent to no owner.
func (s *ownerSearch) refuse(refusal call.Refusal, detail string) *call.Answer {
	a := call.Refuse(call.NotRun, refusal, detail)
	a.RetryAfter = time.Second
	return s.correctOutcome(a, false)
}

// correctOutcome sets the outcome to what is known of the key. Only the key's owner
// knows whether a key from the caller has run before, and an attempt that got no
// response may still run.
func (s *ownerSearch) correctOutcome(a *call.Answer, byOwner bool) *call.Answer {
	switch {
	case a.Outcome == call.Ran || a.Refusal == call.RefusedRepeat:
	case s.mayHaveRun:
		a.Outcome = call.Unknown
	case byOwner && a.Refusal != call.RefusedNotOwner:
	case s.request.KeyGenerated && (a.Outcome == call.NotRun || a.Refusal == call.RefusedNotOwner):
		a.Outcome = call.NotRun
	default:
		a.Outcome = call.Unknown
	}
	return a
}

// send sends the request to one instance. byOwner is false if the answer was made by
// this daemon.
func (s *ownerSearch) send(ctx context.Context, peer route.Peer) (answer *call.Answer, byOwner bool) {
	s.sends++
	s.gateway.Picker.Begin(s.request.Service, peer.ID)
	return s.gateway.sendTo(ctx, s.request, peer, s.values, s.budget)
}

// prepareRetry reports whether the request should be retried, and waits for the
// backoff if so.
func (s *ownerSearch) prepareRetry(ctx context.Context, answer *call.Answer, byOwner bool, peer route.Peer) bool {
	if answer.Refusal == call.RefusedNone {
		return false
	}
	if answer.Refusal == call.RefusedNotOwner {
		return s.followOwner(ctx, answer)
	}
	if answer.Outcome == call.Unknown {
		s.mayHaveRun = true
	}
	if ctx.Err() != nil {
		return false
	}
	switch answer.Refusal {
	case call.RefusedOverload:
		if !s.request.KeyGenerated || s.mayHaveRun {
			return false
		}
	case call.RefusedUnreachable:
		if !byOwner && answer.Outcome == call.NotRun {
			return s.skip(ctx, peer)
		}
		if byOwner && answer.Outcome == call.Unknown {
			return false // the owner cannot determine the outcome
		}
	case call.RefusedDraining:
	default:
		return false
	}
	if !s.gateway.takeRetry(s.request, s.values, answer, s.budget) {
		return false
	}
	s.retarget(peer)
	return s.wait(ctx)
}

// skip excludes an instance that could not be reached. It costs no retry, since
// nothing was sent.
func (s *ownerSearch) skip(ctx context.Context, peer route.Peer) bool {
	s.hops++
	if s.hops > maxHops {
		return false
	}
	s.retarget(peer)
	return s.wait(ctx)
}

// retarget excludes an instance from the search. If nothing can have run, it also
// drops a key that this daemon generated, so that the next key can have another owner.
func (s *ownerSearch) retarget(peer route.Peer) {
	s.gateway.owners.discard(s.request)
	s.tried = append(s.tried, peer.ID)
	if s.request.KeyGenerated && !s.mayHaveRun {
		s.request.Key = ""
	}
}

// followOwner continues with the owner that an instance named. If none is known, it
// waits for one.
func (s *ownerSearch) followOwner(ctx context.Context, answer *call.Answer) bool {
	s.hops++
	if s.hops > maxHops || ctx.Err() != nil {
		return false
	}
	owner := answer.Header.Get(nodeonce.HeaderOwner)
	known := s.gateway.owners.recordOwner(s.request, owner)
	switch {
	case !hasTimestamp(s.request):
		return false // each further instance would query the store
	case known && !slices.Contains(s.tried, owner):
		return true
	case owner != "" && !known:
		s.unknownOwners++
		if s.unknownOwners >= maxUnknownOwners {
			return false
		}
	}
	s.tried = nil
	if s.request.KeyGenerated && !s.mayHaveRun {
		s.request.Key = ""
	}
	return s.wait(ctx)
}

// hasTimestamp reports whether a request's key carries a timestamp.
func hasTimestamp(r *call.Request) bool {
	_, err := once.ParseKey(r.Key)
	return err == nil
}

// wait waits before the next send. It returns false if the deadline comes first.
func (s *ownerSearch) wait(ctx context.Context) bool {
	return backOff(ctx, s.request.Deadline, s.sends)
}

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
	// maxHops bounds the instances asked in search of a key's owner. Such an
	// answer costs no retry, since nothing ran.
	maxHops = 16
	// maxGone bounds the answers that name an owner which isn't known here.
	maxGone = 6
)

// outcomeAtEntry says what an entry daemon knows of a request that it refuses
// without asking anybody. A key that the caller brought may have run before.
func outcomeAtEntry(r *call.Request) call.Outcome {
	if r.Idempotent || r.KeyGenerated || r.Key == "" {
		return call.NotRun
	}
	return call.Unknown
}

// callOwner makes one call of a non-idempotent request. The instance that owns
// the key runs it, whichever daemon it came by; a resend of the same key there
// is safe.
func (g *Gateway) callOwner(ctx context.Context, r *call.Request, values *settings.Values, budget *retry.Budget) *call.Answer {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	s := &search{gateway: g, request: r, values: values, budget: budget}
	if r.KeyGenerated {
		r.Key = ""
	}
	answer := s.run(ctx)
	answer.Body = &cancellingBody{answer.Body, cancel}
	return answer
}

// search is one call that looks for the owner of its key.
type search struct {
	gateway *Gateway
	request *call.Request
	values  *settings.Values
	budget  *retry.Budget
	tried   []string
	hops    int
	gone    int
	sends   int
	// dirty is set when an attempt may have run.
	dirty bool
}

func (s *search) run(ctx context.Context) *call.Answer {
	for {
		peer, ok := s.gateway.owners.find(s.request, s.tried)
		if !ok {
			return s.refuse(call.RefusedNoUpstream, "no instance of service "+s.request.Service+" is known")
		}
		answer, byOwner := s.send(ctx, peer)
		s.gateway.carrySuspicion(s.request, answer)
		if !s.again(ctx, answer, byOwner, peer) {
			return s.outcome(answer, byOwner)
		}
		_ = answer.Body.Close()
	}
}

// refuse makes a refusal without having asked an owner.
func (s *search) refuse(refusal call.Refusal, detail string) *call.Answer {
	a := call.Refuse(call.NotRun, refusal, detail)
	a.RetryAfter = time.Second
	return s.outcome(a, false)
}

// outcome corrects what is known of the key. Only its owner knows whether a key
// that the caller brought has run before, and an attempt that was lost may
// still run.
func (s *search) outcome(a *call.Answer, byOwner bool) *call.Answer {
	switch {
	case a.Outcome == call.Ran || a.Refusal == call.RefusedRepeat:
	case s.dirty:
		a.Outcome = call.Unknown
	case byOwner && a.Refusal != call.RefusedNotOwner:
	case s.request.KeyGenerated && (a.Outcome == call.NotRun || a.Refusal == call.RefusedNotOwner):
		a.Outcome = call.NotRun
	default:
		a.Outcome = call.Unknown
	}
	return a
}

// send asks one instance. byOwner is false if the answer was made here.
func (s *search) send(ctx context.Context, peer route.Peer) (answer *call.Answer, byOwner bool) {
	s.sends++
	s.gateway.Picker.Begin(s.request.Service, peer.ID)
	return s.gateway.sendTo(ctx, s.request, peer, s.values, s.budget)
}

// again decides whether to ask once more, and waits before it.
func (s *search) again(ctx context.Context, answer *call.Answer, byOwner bool, peer route.Peer) bool {
	if answer.Refusal == call.RefusedNone {
		return false
	}
	if answer.Refusal == call.RefusedNotOwner {
		return s.follow(ctx, answer)
	}
	if answer.Outcome == call.Unknown {
		s.dirty = true
	}
	if ctx.Err() != nil {
		return false
	}
	switch answer.Refusal {
	case call.RefusedOverload:
		if !s.request.KeyGenerated || s.dirty {
			return false
		}
	case call.RefusedUnreachable:
		if !byOwner && answer.Outcome == call.NotRun {
			return s.pass(ctx, peer)
		}
		if byOwner && answer.Outcome == call.Unknown {
			return false // the owner knows no more
		}
	case call.RefusedDraining:
	default:
		return false
	}
	if !s.gateway.payRetry(s.request, s.values, answer, s.budget) {
		return false
	}
	s.retarget(peer)
	return s.wait(ctx)
}

// pass goes on without an instance that could not be reached. It costs no
// retry, since nothing was sent.
func (s *search) pass(ctx context.Context, peer route.Peer) bool {
	s.hops++
	if s.hops > maxHops {
		return false
	}
	s.retarget(peer)
	return s.wait(ctx)
}

// retarget lets another instance have a key that this daemon made, if nothing
// can have run.
func (s *search) retarget(peer route.Peer) {
	s.gateway.owners.forget(s.request)
	s.tried = append(s.tried, peer.ID)
	if s.request.KeyGenerated && !s.dirty {
		s.request.Key = ""
	}
}

// follow goes to the owner that an instance has named. Where none is known it
// waits for one.
func (s *search) follow(ctx context.Context, answer *call.Answer) bool {
	s.hops++
	if s.hops > maxHops || ctx.Err() != nil {
		return false
	}
	owner := answer.Header.Get(nodeonce.HeaderOwner)
	known := s.gateway.owners.learn(s.request, owner)
	switch {
	case !hasBirth(s.request):
		return false // each instance would ask the store again
	case known && !slices.Contains(s.tried, owner):
		return true
	case owner != "" && !known:
		s.gone++
		if s.gone >= maxGone {
			return false
		}
	}
	s.tried = nil
	if s.request.KeyGenerated && !s.dirty {
		s.request.Key = ""
	}
	return s.wait(ctx)
}

// hasBirth reports whether a request's key carries a birth time.
func hasBirth(r *call.Request) bool {
	_, err := once.ParseKey(r.Key)
	return err == nil
}

// wait pauses before another send; it reports false if the deadline comes first.
func (s *search) wait(ctx context.Context) bool {
	return backOff(ctx, s.request.Deadline, s.sends)
}

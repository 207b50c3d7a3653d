// Package gateway takes calls at the caller port and at the local port, finds a
// peer that serves them, and retries within the request's budget.
package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"fuchsiavane.org/core/retry"
	"fuchsiavane.org/core/route"
	"fuchsiavane.org/core/settings"
	"fuchsiavane.org/core/suspect"
	"fuchsiavane.org/node/call"
	"fuchsiavane.org/node/event"
	"fuchsiavane.org/node/link"
	"fuchsiavane.org/node/runs"
	"fuchsiavane.org/node/settingsync"
)

// Transport sends a request to a peer; link.Pool is the one in use.
type Transport interface {
	Do(ctx context.Context, addr string, class link.Class, r *call.Request) (*call.Answer, error)
}

// Observer is told of each call that ended, for the metrics.
type Observer interface {
	ObserveCall(service, caller, rank string, outcome call.Outcome, refusal call.Refusal, took time.Duration)
}

// Config is what a Gateway is made of.
type Config struct {
	// Instance is the own instance id; calls to it skip the link.
	Instance string
	Settings *settingsync.Holder
	Picker   *route.Picker
	// RegionLink is the share of the link between regions.
	RegionLink *RegionLink
	// Locality is where this daemon stands.
	Locality     route.Locality
	Transport Transport
	// Upstream runs requests at the own upstream.
	Upstream  call.Server
	Runs *runs.Table
	// Suspects are the requests that may crash upstreams.
	Suspects *suspect.Ledger
	Observer Observer
	Log      *event.Logger
	// Dialect is the convention of headers at the routed port; nil if there is
	// none.
	Dialect Dialect
}

// Gateway makes calls. It is safe for concurrent use.
type Gateway struct {
	Config
	owners *owners
	// allowances bound the retries of each service.
	allowances *retry.Allowances
	resends    *retry.Resends
	levels     *levels
	returns    *returns
	// leaving is set while the daemon stops as planned.
	leaving atomic.Bool
}

// New returns a Gateway.
func New(config Config) *Gateway {
	return &Gateway{
		Config:     config,
		owners:     newOwners(config.Locality, config.Picker),
		allowances: retry.NewAllowances(time.Now()),
		resends:    retry.NewResends(),
		levels:     newLevels(),
		returns:    newReturns(),
	}
}

// SetDaemons sets the number of daemons among which the fleet's retries are shared.
func (g *Gateway) SetDaemons(daemons int) { g.allowances.SetDaemons(daemons) }

// SetLeaving tells that the daemon stops as planned: from then on a call whose parent
// ends is cut only by its own caller, so that the stop breaks off no run that has a
// caller waiting.
func (g *Gateway) SetLeaving() { g.leaving.Store(true) }

// Call makes one call: it sends the request to a peer, and again to another
// while that is allowed. budget holds the retries of the call's parent.
func (g *Gateway) Call(ctx context.Context, r *call.Request, values *settings.Values, budget *retry.Budget) *call.Answer {
	g.allowances.CountFirstSend(time.Now(), r.Service, termsOf(values))
	if refusal := g.suspicion(r); refusal != nil {
		return refusal
	}
	if !r.Idempotent && values.OncePer == settings.OncePerKey {
		return g.callOwner(ctx, r, values, budget)
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	var tried []string
	var last *call.Answer
	lost := false
	for {
		answer, peer := g.attempt(ctx, r, values, budget, tried)
		if peer == "" && tellsMore(last) {
			answer = last
		}
		g.carrySuspicion(r, answer)
		if !g.again(ctx, r, values, answer, tried, peer, budget) {
			settleOutcome(answer, lost)
			answer.Body = &cancellingBody{answer.Body, cancel}
			return answer
		}
		_ = answer.Body.Close()
		tried = append(tried, peer)
		last = answer
		lost = lost || answer.Outcome != call.NotRun
	}
}

// tellsMore reports whether the answer of a peer says more than that no other is
// left: that it is overloaded, or that the request may have run there. A peer that
// is gone or leaving says less.
func tellsMore(last *call.Answer) bool {
	return last != nil && (last.Refusal == call.RefusedOverload || last.Outcome != call.NotRun)
}

// attempt sends the request to a peer that the picker chooses. The peer's id is
// empty if there is none to try.
func (g *Gateway) attempt(ctx context.Context, r *call.Request, values *settings.Values, budget *retry.Budget, tried []string) (*call.Answer, string) {
	peer, ok := g.pick(time.Now(), r, values, tried)
	if !ok {
		return g.noPeer(r), ""
	}
	answer, _ := g.sendTo(ctx, r, peer.Peer, values, budget)
	return answer, peer.ID
}

// sendTo sends the request to a peer, lends it a part of the budget, and tells
// the picker, which counts the call as in flight already, what came of it.
// byPeer is false if the peer gave no answer.
func (g *Gateway) sendTo(ctx context.Context, r *call.Request, peer route.Peer, values *settings.Values, budget *retry.Budget) (answer *call.Answer, byPeer bool) {
	began := time.Now()
	attempt := *r
	attempt.Run = uuid.NewString()
	if r.Host == "" {
		attempt.RetryBudget = budget.Lend()
	}
	far := peer.Region != g.Locality.Region
	if far {
		g.RegionLink.charge(&attempt)
	}
	answer, byPeer = g.deliver(ctx, &attempt, peer, values)
	budget.Return(attempt.RetryBudget, answer.UnusedRetries)
	g.Picker.Done(time.Now(), r.Service, peer.ID, resultOf(answer, time.Since(began)))
	if far {
		answer.Body = g.RegionLink.pace(ctx, answer.Body)
	}
	return answer, byPeer
}

// deliver gives the request to the own upstream's server or to a link.
func (g *Gateway) deliver(ctx context.Context, r *call.Request, peer route.Peer, values *settings.Values) (answer *call.Answer, byPeer bool) {
	if peer.ID == g.Instance {
		return g.Upstream.Serve(ctx, r), true
	}
	answer, err := g.Transport.Do(ctx, peer.Addr, g.class(values.Rank), r)
	if err != nil {
		return lost(r, peer, err), false
	}
	return answer, true
}

// class puts the least urgent of several ranks on links of its own.
func (g *Gateway) class(rank string) link.Class {
	if g.urgent(rank) {
		return link.ClassUrgent
	}
	return link.ClassBulk
}

// lost makes the answer to an attempt that got none.
func lost(r *call.Request, peer route.Peer, err error) *call.Answer {
	outcome := call.Unknown
	unspent := 0
	var failure *link.Error
	if errors.As(err, &failure) && !failure.Sent {
		outcome = call.NotRun
		unspent = r.RetryBudget
	}
	refusal := call.RefusedUnreachable
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		refusal = call.RefusedDeadline
	case errors.Is(err, context.Canceled):
		refusal = call.RefusedCancelled
	}
	a := call.Refuse(outcome, refusal, "instance "+peer.ID+": "+err.Error())
	a.UnusedRetries = unspent
	return a
}

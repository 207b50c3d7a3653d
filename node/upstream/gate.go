package upstream

import (
	"context"
	"sync"
	"time"

	"fuchsiavane.org/core/admission"
	"fuchsiavane.org/node/call"
	"fuchsiavane.org/node/settingsync"
)

// overloadRetryAfter is the wait that refused callers are told.
const overloadRetryAfter = time.Second

// Gate holds the admission controller of the upstream and lets requests wait
// for its grants. It is safe for concurrent use.
type Gate struct {
	service  string
	settings *settingsync.Holder

	mu         sync.Mutex
	controller *admission.Controller
	revision   uint64
	waiting    map[admission.Ticket]chan admission.Reason
}

// NewGate returns a Gate for the upstream of a service.
func NewGate(service string, holder *settingsync.Holder) *Gate {
	g := &Gate{service: service, settings: holder, waiting: map[admission.Ticket]chan admission.Reason{}}
	g.controller = admission.New(g.config())
	return g
}

// Pass is a slot held by a running request.
type Pass struct {
	gate    *Gate
	ticket  admission.Ticket
	entered time.Time
}

// Enter waits for a slot. Either the pass or the refusal is nil.
func (g *Gate) Enter(ctx context.Context, r *call.Request) (*Pass, *call.Answer) {
	now := time.Now()
	g.mu.Lock()
	g.reconfigure()
	ticket, verdict, reason := g.controller.Offer(now, admission.Request{
		ID: r.ID, Rank: g.settings.Current().Document.RankIndex(r.Rank), Caller: r.Caller, Deadline: r.Deadline,
	})
	var granted chan admission.Reason
	if verdict == admission.Queued {
		granted = make(chan admission.Reason, 1)
		g.waiting[ticket] = granted
	}
	g.mu.Unlock()
	switch verdict {
	case admission.Admitted:
		return &Pass{g, ticket, now}, nil
	case admission.Refused:
		return nil, refuse(reason)
	}
	return g.wait(ctx, ticket, granted)
}

func (g *Gate) wait(ctx context.Context, ticket admission.Ticket, granted chan admission.Reason) (*Pass, *call.Answer) {
	select {
	case reason := <-granted:
		return g.settled(ticket, reason)
	case <-ctx.Done():
	}
	g.mu.Lock()
	queued := g.controller.Cancel(ticket)
	delete(g.waiting, ticket)
	g.mu.Unlock()
	if queued {
		return nil, call.Refuse(call.NotRun, call.RefusedCancelled, "given up while waiting for a slot")
	}
	return g.settled(ticket, <-granted)
}

func (g *Gate) settled(ticket admission.Ticket, reason admission.Reason) (*Pass, *call.Answer) {
	if reason != admission.ReasonNone {
		return nil, refuse(reason)
	}
	return &Pass{g, ticket, time.Now()}, nil
}

func refuse(reason admission.Reason) *call.Answer {
	if reason == admission.ReasonDeadline {
		return call.Refuse(call.NotRun, call.RefusedDeadline, "the deadline can't be met")
	}
	a := call.Refuse(call.NotRun, call.RefusedOverload, "no slot: "+string(reason))
	a.RetryAfter = overloadRetryAfter
	return a
}

// Leave gives the slot back.
func (p *Pass) Leave(overloaded bool) {
	now := time.Now()
	g := p.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.controller.Finish(now, p.ticket, admission.Sample{Latency: now.Sub(p.entered), Overloaded: overloaded}))
}

// Tick settles queued requests whose time is over. A duty calls it.
func (g *Gate) Tick(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reconfigure()
	g.deliver(g.controller.Expire(now))
}

// Load returns the requests running and queued.
func (g *Gate) Load() (running, queued int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.controller.InFlight(), g.controller.Queued()
}

// deliver hands grants to those who wait. The caller holds the lock.
func (g *Gate) deliver(grants []admission.Grant) {
	for _, grant := range grants {
		if granted, ok := g.waiting[grant.Ticket]; ok {
			delete(g.waiting, grant.Ticket)
			granted <- grant.Reason
		}
	}
}

// reconfigure takes a new revision of the settings. The caller holds the lock.
func (g *Gate) reconfigure() {
	if g.settings.Current().Revision == g.revision {
		return
	}
	g.controller.Configure(g.config())
}

func (g *Gate) config() admission.Config {
	inForce := g.settings.Current()
	g.revision = inForce.Revision
	document := inForce.Document
	v := document.ServiceValues(g.service)
	shares := document.SharesAt(g.service, time.Now())
	config := admission.Config{Slots: v.Slots, Queue: v.Queue}
	for i, rank := range document.Ranks() {
		config.Ranks = append(config.Ranks, admission.Rank{Share: shares[i], Protected: rank.Protected})
	}
	return config
}

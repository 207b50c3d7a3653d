package experiment

import (
	"time"

	"fuchsiavane.org/core/admission"
)

// Mode is the control under which a scenario runs.
type Mode string

// Modes.
const (
	// None lets every request through at once; failed calls are sent again at
	// each hop.
	NoControl Mode = "no control"
	// Static runs as many requests as the upstream has threads and queues more
	// in order of arrival; failed calls are sent again at each hop.
	StaticLimit Mode = "static limit, FIFO"
	// Fuchsiavane uses the decisions of core.
	Fuchsiavane Mode = "fuchsiavane"
)

// Modes lists every mode.
func Modes() []Mode { return []Mode{NoControl, StaticLimit, Fuchsiavane} }

// gate decides about requests at one instance.
type gate interface {
	// enter calls decided, now or later, once.
	enter(r *request, decided func(admitted bool))
	// leave ends an admitted request.
	leave(r *request, s admission.Sample)
	// cancel withdraws a request that has not been decided.
	cancel(r *request)
	level(rank int) uint32
}

// openGate admits all.
type openGate struct{}

func (openGate) enter(_ *request, decided func(bool)) { decided(true) }
func (openGate) leave(*request, admission.Sample)     {}
func (openGate) cancel(*request)                      {}
func (openGate) level(int) uint32                     { return 0 }

// staticQueue is the length of the static gate's queue, in multiples of slots.
const staticQueue = 4

// staticGate is a fixed limit with one queue.
type staticGate struct {
	slots, running int
	queue          []func(bool)
}

func (g *staticGate) enter(_ *request, decided func(bool)) {
	switch {
	case g.running < g.slots:
		g.running++
		decided(true)
	case len(g.queue) < staticQueue*g.slots:
		g.queue = append(g.queue, decided)
	default:
		decided(false)
	}
}

func (g *staticGate) leave(*request, admission.Sample) {
	if len(g.queue) == 0 {
		g.running--
		return
	}
	next := g.queue[0]
	g.queue = g.queue[1:]
	next(true)
}

func (g *staticGate) cancel(*request)  {}
func (g *staticGate) level(int) uint32 { return 0 }

// tickInterval is the pause between calls of Expire.
const tickInterval = 5 * time.Millisecond

// coreGate is the admission controller as the daemon uses it.
type coreGate struct {
	loop       *loop
	controller *admission.Controller
	tickets    map[*request]admission.Ticket
	waiting    map[admission.Ticket]func(bool)
}

func newCoreGate(l *loop, slots int) *coreGate {
	config := admission.Config{Slots: slots, QueueTimeout: queueTime, SlowStart: slowStart}
	for i, share := range shares {
		config.Ranks = append(config.Ranks, admission.Rank{Share: share, Protected: i == ruling})
	}
	g := &coreGate{
		loop:       l,
		controller: admission.New(l.now, config),
		tickets:    map[*request]admission.Ticket{},
		waiting:    map[admission.Ticket]func(bool){},
	}
	g.tick()
	return g
}

func (g *coreGate) tick() {
	g.settle(g.controller.Expire(g.loop.now))
	g.loop.after(tickInterval, g.tick)
}

func (g *coreGate) enter(r *request, decided func(bool)) {
	d := g.controller.Offer(g.loop.now, admission.Request{ID: r.id, Rank: r.rank, Caller: r.caller, Deadline: r.deadline, Nested: r.nested})
	if d.Verdict != admission.Refused {
		g.tickets[r] = d.Ticket
	}
	if d.Verdict == admission.Queued {
		g.waiting[d.Ticket] = decided
	}
	g.settle(d.Grants)
	if d.Verdict != admission.Queued {
		decided(d.Verdict == admission.Admitted)
	}
}

func (g *coreGate) settle(grants []admission.Grant) {
	for _, grant := range grants {
		decided := g.waiting[grant.Ticket]
		delete(g.waiting, grant.Ticket)
		decided(grant.Reason == admission.ReasonNone)
	}
}

func (g *coreGate) leave(r *request, s admission.Sample) {
	ticket := g.tickets[r]
	delete(g.tickets, r)
	g.settle(g.controller.Finish(g.loop.now, ticket, s))
}

func (g *coreGate) cancel(r *request) {
	ticket := g.tickets[r]
	delete(g.tickets, r)
	delete(g.waiting, ticket)
	g.controller.Cancel(ticket)
}

func (g *coreGate) level(rank int) uint32 { return g.controller.Level(rank) }

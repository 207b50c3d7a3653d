package experiment

import (
	"time"

	"fuchsiavane.org/core/admission"
)

// Mode is the control under which a scenario runs.
type Mode string

// Modes.
const (
	// NoControl admits every request at once; each hop retries failed calls.
	NoControl Mode = "no control"
	// StaticLimit runs as many requests as the upstream has threads and queues the
	// others in order of arrival; each hop retries failed calls.
	StaticLimit Mode = "static limit, FIFO"
	// Fuchsiavane uses the admission, level and retry decisions of core.
	Fuchsiavane Mode = "fuchsiavane"
)

// Modes returns every mode, in the order of the report.
func Modes() []Mode { return []Mode{NoControl, StaticLimit, Fuchsiavane} }

// limiter admits, queues or refuses the requests at one instance.
type limiter interface {
	// admit calls decide exactly once, now or later, unless r is cancelled first.
	admit(r *request, decide func(admitted bool))
	// finish ends an admitted request.
	finish(r *request, s admission.Sample)
	// cancel withdraws a queued request.
	cancel(r *request)
	// level returns the admission level of a rank.
	level(rank int) uint32
}

// unlimited admits every request at once.
type unlimited struct{}

func (unlimited) admit(_ *request, decide func(bool)) { decide(true) }
func (unlimited) finish(*request, admission.Sample)   {}
func (unlimited) cancel(*request)                     {}
func (unlimited) level(int) uint32                    { return 0 }

// staticQueueFactor is the queue length of a staticLimiter as a multiple of its
// slots.
const staticQueueFactor = 4

// staticLimiter has a fixed concurrency limit and one FIFO queue.
type staticLimiter struct {
	slots, running int
	queue          []func(bool)
}

func (l *staticLimiter) admit(_ *request, decide func(bool)) {
	switch {
	case l.running < l.slots:
		l.running++
		decide(true)
	case len(l.queue) < staticQueueFactor*l.slots:
		l.queue = append(l.queue, decide)
	default:
		decide(false)
	}
}

func (l *staticLimiter) finish(*request, admission.Sample) {
	if len(l.queue) == 0 {
		l.running--
		return
	}
	next := l.queue[0]
	l.queue = l.queue[1:]
	next(true)
}

func (l *staticLimiter) cancel(*request)  {}
func (l *staticLimiter) level(int) uint32 { return 0 }

// expireInterval is the interval between calls of Controller.Expire.
const expireInterval = 5 * time.Millisecond

// coreLimiter wraps admission.Controller as the daemon uses it.
type coreLimiter struct {
	loop       *eventLoop
	controller *admission.Controller
	tickets    map[*request]admission.Ticket
	queued     map[admission.Ticket]func(bool)
}

func newCoreLimiter(loop *eventLoop, slots int) *coreLimiter {
	config := admission.Config{Slots: slots, QueueTimeout: queueTimeout, SlowStart: slowStart}
	for i, share := range shares {
		config.Ranks = append(config.Ranks, admission.Rank{Share: share, Protected: i == ruling})
	}
	l := &coreLimiter{
		loop:       loop,
		controller: admission.New(loop.now, config),
		tickets:    map[*request]admission.Ticket{},
		queued:     map[admission.Ticket]func(bool){},
	}
	l.expire()
	return l
}

func (l *coreLimiter) expire() {
	l.applyGrants(l.controller.Expire(l.loop.now))
	l.loop.after(expireInterval, l.expire)
}

func (l *coreLimiter) admit(r *request, decide func(bool)) {
	d := l.controller.Offer(l.loop.now, admission.Request{ID: r.id, Rank: r.rank, Caller: r.caller, Deadline: r.deadline, Nested: r.nested})
	if d.Verdict != admission.Refused {
		l.tickets[r] = d.Ticket
	}
	if d.Verdict == admission.Queued {
		l.queued[d.Ticket] = decide
	}
	l.applyGrants(d.Grants)
	if d.Verdict != admission.Queued {
		decide(d.Verdict == admission.Admitted)
	}
}

func (l *coreLimiter) applyGrants(grants []admission.Grant) {
	for _, grant := range grants {
		decide := l.queued[grant.Ticket]
		delete(l.queued, grant.Ticket)
		decide(grant.Reason == admission.ReasonNone)
	}
}

func (l *coreLimiter) finish(r *request, s admission.Sample) {
	ticket := l.tickets[r]
	delete(l.tickets, r)
	l.applyGrants(l.controller.Finish(l.loop.now, ticket, s))
}

func (l *coreLimiter) cancel(r *request) {
	ticket := l.tickets[r]
	delete(l.tickets, r)
	delete(l.queued, ticket)
	l.controller.Cancel(ticket)
}

func (l *coreLimiter) level(rank int) uint32 { return l.controller.Level(rank) }

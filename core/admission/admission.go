// Package admission decides which requests may run at one upstream instance.
//
// A Controller joins three decisions: an adaptive limit bounds the requests that
// run (package limit); ranks share the slots by floor shares and urgency, with a
// short queue for each rank; and levels refuse at once, by a hash of the request
// id, what would be refused anyway (package level). An upstream that announces its
// slots needs no adaptive limit: there requests get slots by the age of their roots,
// and levels follow the wait for slots (aged.go). A Controller is a pure state machine:
// time comes in as an argument, and grants come out as values. A Controller is
// not safe for concurrent use; the caller holds a lock around each call.
package admission

import (
	"time"

	"fuchsiavane.org/core/level"
	"fuchsiavane.org/core/limit"
)

// Verdict is the decision on an offered request.
type Verdict int

// Verdicts.
const (
	// Admitted requests run at once.
	Admitted Verdict = iota
	// Queued requests wait for a grant, which a later call returns.
	Queued
	// Refused requests don't run.
	Refused
)

// Reason says why a request was refused.
type Reason string

// Reasons for refusal.
const (
	ReasonNone         Reason = ""
	ReasonQueueFull    Reason = "queue-full"
	ReasonDeadline     Reason = "deadline"
	ReasonQueueTimeout Reason = "queue-time"
	ReasonShed         Reason = "shed"
)

// Rank is the policy of one rank of work.
type Rank struct {
	// Share is the part of the slots that the rank keeps in any flood.
	Share float64
	// Protected ranks are shed last.
	Protected bool
}

// Config is the policy of a Controller.
type Config struct {
	// Slots and Connections bound the requests that run at a time. 0
	// connections is no bound.
	Slots, Connections int
	// Announced says that Slots is what the upstream itself says. Runs then get
	// slots by the age of their root, and roots are refused by the wait for slots; see
	// aged.go.
	Announced bool
	// QueueTimeout bounds the wait for a slot; nested requests wait up to four times as
	// long. 0 is no queue.
	QueueTimeout time.Duration
	// SlowStart is the time over which a new upstream's limit rises to Slots.
	SlowStart time.Duration
	// Ranks, most urgent first.
	Ranks []Rank
}

// Request is one request that asks for a slot.
type Request struct {
	// ID names the root request.
	ID string
	// Rank is the index in Config.Ranks, or -1 if it is not known.
	Rank int
	// Caller is the root caller's name.
	Caller string
	// Deadline is the time by which the answer is needed.
	Deadline time.Time
	// Timestamp is when the root request entered the fleet; zero if that is not known.
	Timestamp time.Time
	// Nested requests are made by a run. They wait longer, since refusing one
	// wastes the work done for it.
	Nested bool
}

// Ticket names an offered request until Finish, Cancel or a grant that refuses.
type Ticket uint64

// Grant tells a queued request its fate.
type Grant struct {
	Ticket Ticket
	// Reason is ReasonNone if the request may run now.
	Reason Reason
}

// Decision is the answer to an offer.
type Decision struct {
	// Ticket is valid unless the verdict is Refused.
	Ticket  Ticket
	Verdict Verdict
	Reason  Reason
	// Grants settles queued requests that gave way.
	Grants []Grant
}

// Sample is what a finished run tells about the upstream.
type Sample struct {
	// Latency is the time that the upstream took to answer.
	Latency time.Duration
	// Overloaded is set when the upstream refused.
	Overloaded bool
	// TimedOut is set when the deadline ended the run: Latency is then the least
	// that it would have taken.
	TimedOut bool
	// Abandoned runs were given up and tell nothing about the upstream.
	Abandoned bool
}

// run is a request at the upstream.
type run struct {
	rank int
}

// Controller admits requests. See the package comment for concurrency.
type Controller struct {
	config  Config
	last    Ticket
	limiter *limit.Limiter
	meter   *level.Meter
	// governor makes the levels in place of the meter if Config.Announced.
	governor *level.Governor
	// finished is the runs that ended, and standing the least number of requests
	// that waited, since the last step of the governor.
	finished, standing int
	running            map[Ticket]run
	waiting            map[Ticket]*waiting
	expiry             expiryHeap
	ranks              []*rank
	order              []int       // rank indices, shed last first
	service            serviceTime // of all ranks
	usage              usage
	stepped            time.Time
}

// New returns a Controller for an upstream that starts now.
func New(now time.Time, config Config) *Controller {
	c := &Controller{
		running: map[Ticket]run{},
		waiting: map[Ticket]*waiting{},
		stepped: now,
	}
	c.Configure(now, config)
	return c
}

// Configure replaces the policy and returns the grants that follow from it.
// Requests of ranks that no longer exist move to the least urgent rank.
func (c *Controller) Configure(now time.Time, config Config) []Grant {
	if len(config.Ranks) == 0 {
		config.Ranks = []Rank{{}}
	}
	c.config = config
	c.resize(now)
	c.order = shedOrder(config.Ranks)
	bounds := limit.Config{Most: config.Slots, Announced: config.Announced, SlowStart: config.SlowStart, Ranks: len(config.Ranks)}
	if config.Connections > 0 {
		bounds.Most = min(config.Slots, config.Connections)
	}
	if c.limiter == nil {
		c.limiter = limit.New(now, bounds)
		c.meter = level.NewMeter(len(config.Ranks))
		c.governor = level.NewGovernor(len(config.Ranks))
		return nil
	}
	c.limiter.Configure(now, bounds)
	c.governor.Resize(len(config.Ranks))
	c.meter.Resize(len(config.Ranks))
	return c.fill(now)
}

// Offer asks for a slot.
func (c *Controller) Offer(now time.Time, r Request) Decision {
	c.advance(now)
	r.Rank = c.known(r.Rank)
	k := c.ranks[r.Rank]
	k.offered++
	if c.late(now, r) {
		return Decision{Verdict: Refused, Reason: ReasonDeadline}
	}
	if c.config.Announced {
		return c.offerAged(now, r)
	}
	if c.meter.Refuses(r.Rank, r.ID) {
		return Decision{Verdict: Refused, Reason: ReasonShed}
	}
	c.meter.Passed(r.Rank)
	w, grants := c.enqueue(now, r)
	if w == nil {
		c.meter.Shed(r.Rank)
		return Decision{Verdict: Refused, Reason: ReasonQueueFull, Grants: grants}
	}
	grants = append(grants, c.fill(now)...)
	return c.decide(w, grants)
}

// decide takes the offered request's own grant out of the others.
func (c *Controller) decide(w *waiting, grants []Grant) Decision {
	for i, g := range grants {
		if g.Ticket != w.ticket {
			continue
		}
		rest := append(grants[:i:i], grants[i+1:]...)
		if g.Reason != ReasonNone {
			return Decision{Verdict: Refused, Reason: g.Reason, Grants: rest}
		}
		return Decision{Ticket: w.ticket, Verdict: Admitted, Grants: rest}
	}
	if c.config.QueueTimeout > 0 {
		return Decision{Ticket: w.ticket, Verdict: Queued, Grants: grants}
	}
	c.remove(w)
	c.meter.Shed(w.request.Rank)
	return Decision{Verdict: Refused, Reason: ReasonQueueFull, Grants: grants}
}

// Finish ends a run and returns the fate of queued requests that it settles.
func (c *Controller) Finish(now time.Time, t Ticket, s Sample) []Grant {
	finished, ok := c.running[t]
	if !ok {
		return nil
	}
	c.advance(now)
	c.learn(now, finished.rank, s)
	delete(c.running, t)
	c.finished++
	c.ranks[finished.rank].running--
	return c.fill(now)
}

// learn takes in what a run tells about the upstream. A run that timed out sooner
// than runs usually end tells only that its caller was in a hurry.
func (c *Controller) learn(now time.Time, rank int, s Sample) {
	service := &c.ranks[rank].service
	if s.Abandoned || s.TimedOut && s.Latency.Seconds() <= service.mean {
		return
	}
	c.limiter.Record(now, limit.Sample{
		Rank: rank, Latency: s.Latency, Running: len(c.running), Overloaded: s.Overloaded,
	})
	if !s.Overloaded && !s.TimedOut {
		service.observe(now, s.Latency)
		c.service.observe(now, s.Latency)
	}
}

// Cancel withdraws a queued request and reports whether it was still queued.
func (c *Controller) Cancel(t Ticket) bool {
	w := c.waiting[t]
	if w == nil {
		return false
	}
	c.remove(w)
	return true
}

// Expire refuses queued requests whose time is over and adjusts the levels. It
// is to be called every few milliseconds.
func (c *Controller) Expire(now time.Time) []Grant {
	c.advance(now)
	return c.fill(now)
}

// InFlight returns the number of running requests.
func (c *Controller) InFlight() int { return len(c.running) }

// Queued returns the number of waiting requests.
func (c *Controller) Queued() int { return len(c.waiting) }

// Limit returns the number of requests that may run at a time.
func (c *Controller) Limit(now time.Time) int { return c.limiter.Limit(now) }

// MeanRunTime returns the mean time of the runs of all ranks, 0 if there were none.
func (c *Controller) MeanRunTime() time.Duration {
	return time.Duration(c.service.mean * float64(time.Second))
}

// Level returns the level that answers of a rank carry.
func (c *Controller) Level(rank int) level.Level {
	if c.config.Announced {
		return c.governor.Level(c.known(rank))
	}
	return c.meter.Level(c.known(rank))
}

// RetryAfter returns the wait after which a refused request is of use. It grows
// with the part of the rank's requests that are refused.
func (c *Controller) RetryAfter(rank int, id string) time.Duration {
	if c.config.Announced {
		return level.RetryAfter(c.Level(rank), id)
	}
	k := c.ranks[c.known(rank)]
	return level.RetryAfter(level.Of((k.granted+1)/(k.offered+1)), id)
}

// known returns the index of a rank; an unknown rank counts as the least urgent.
func (c *Controller) known(rank int) int {
	if rank < 0 || rank >= len(c.ranks) {
		return len(c.ranks) - 1
	}
	return rank
}

// late reports whether a request can't finish by its deadline.
func (c *Controller) late(now time.Time, r Request) bool {
	return now.Add(c.ranks[r.Rank].service.estimate(now)).After(r.Deadline) || !r.Deadline.After(now)
}

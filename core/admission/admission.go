// Package admission decides which requests may run at one upstream instance.
//
// A Controller combines three mechanisms. An adaptive limit bounds the number of
// running requests (package limit). Ranks share the slots by guaranteed shares and
// urgency, with a short queue for each rank. Admission levels refuse, by a hash of the
// request ID, the requests that would otherwise find no slot (package level). An
// upstream that announces its slots needs no adaptive limit: its requests get slots by
// the age of their root requests, and its levels follow the wait for a slot (see
// Config.Announced).
//
// A Controller is a pure state machine: the time is an argument, and the outcomes of
// queued requests are return values. It is not safe for concurrent use; the caller holds
// a lock around each call.
package admission

import (
	"time"

	"fuchsiavane.org/core/level"
	"fuchsiavane.org/core/limit"
	"fuchsiavane.org/core/rate"
)

// Verdict says whether an offered request is admitted, queued or refused.
type Verdict int

// Verdicts.
const (
	// Admitted requests run immediately.
	Admitted Verdict = iota
	// Queued requests wait for a Grant, which a later call returns.
	Queued
	// Refused requests are not run.
	Refused
)

// Reason says why a request was refused.
type Reason string

// Reasons for refusal.
const (
	// ReasonNone means that the request was not refused.
	ReasonNone Reason = ""
	// ReasonQueueFull means that the request found the queue of its rank full, was
	// evicted from it, or found no free slot while the queue is disabled.
	ReasonQueueFull Reason = "queue-full"
	// ReasonDeadline means that the request can't finish by its deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonQueueTimeout means that the request waited longer for a slot than it may,
	// or would have to.
	ReasonQueueTimeout Reason = "queue-time"
	// ReasonShed means that the admission level refused the request.
	ReasonShed Reason = "shed"
)

// Rank is the policy of one rank.
type Rank struct {
	// Share is the fraction of the slots that the rank is guaranteed in any overload.
	Share float64
	// Protected ranks are shed last: they borrow slots before all other ranks, and free
	// slots are reserved for them.
	Protected bool
}

// Config is the policy of a Controller.
type Config struct {
	// Slots is the maximum number of concurrent requests, and Connections that of open
	// connections to the upstream. The smaller bound applies; if Connections is 0, only
	// Slots.
	Slots, Connections int
	// Announced says that the upstream itself announced Slots. Requests then get slots
	// by the age of their root request. Levels refuse only root requests, and follow
	// the wait for a slot; nested requests wait as long as their deadline can be met.
	Announced bool
	// QueueTimeout bounds the wait for a slot. Nested requests may wait longer, by
	// nestedTimeoutFactor or, if Announced is set, as long as their deadline can be
	// met. 0 disables the queue.
	QueueTimeout time.Duration
	// SlowStart is the time over which the limit of a new upstream rises to Slots.
	SlowStart time.Duration
	// Ranks lists the ranks, most urgent first.
	Ranks []Rank
}

// Request is a request for a slot.
type Request struct {
	// ID is the ID of the root request.
	ID string
	// Rank is the index in Config.Ranks, or -1 if the rank is unknown.
	Rank int
	// Caller is the name of the root request's caller.
	Caller string
	// Deadline is the time by which the response is needed.
	Deadline time.Time
	// Timestamp is when the root request came in at its entry daemon, or zero if
	// unknown.
	Timestamp time.Time
	// Nested says that a running request made this one. Nested requests wait longer,
	// since refusing one wastes the work already done for its parent.
	Nested bool
}

// Ticket identifies an offered request until Finish, Cancel or a Grant that refuses
// it.
type Ticket uint64

// Grant is the outcome of a queued request: it gets a slot or is refused.
type Grant struct {
	Ticket Ticket
	// Reason is ReasonNone if the request may run now.
	Reason Reason
}

// Decision is the result of Offer.
type Decision struct {
	// Ticket is valid unless Verdict is Refused.
	Ticket  Ticket
	Verdict Verdict
	Reason  Reason
	// Grants are the outcomes of other queued requests, such as those evicted.
	Grants []Grant
}

// Sample describes a finished run.
type Sample struct {
	// Latency is the time that the upstream took to respond.
	Latency time.Duration
	// Overloaded is set if the upstream itself refused the request.
	Overloaded bool
	// TimedOut is set if the deadline ended the run. Latency is then a lower bound.
	TimedOut bool
	// Abandoned is set if the caller gave up, or the run failed for a reason other than
	// the upstream. The run then says nothing about the upstream.
	Abandoned bool
}

// runningRequest is a request that holds a slot.
type runningRequest struct {
	rank int
}

// Controller admits requests to one upstream instance. It is not safe for concurrent
// use.
type Controller struct {
	config     Config
	lastTicket Ticket
	limiter    *limit.Limiter
	// rate bounds the runs in a time if the upstream names such a limit.
	rate  rate.Bucket
	meter *level.Meter
	// governor computes the levels in place of meter if Config.Announced is set.
	governor *level.Governor
	// finishedRuns counts the runs that ended since the last step of governor, and
	// minWaiting is the smallest number of queued requests in that time.
	finishedRuns, minWaiting int
	running                  map[Ticket]runningRequest
	waiting                  map[Ticket]*queuedRequest
	expiry                   expiryHeap
	ranks                    []*rankState
	borrowOrder              []int   // rank indices, in the order of borrowing
	runTime                  runTime // over the runs of all ranks
	usage                    usage
	lastStep                 time.Time
}

// New returns a Controller for an upstream that starts now.
func New(now time.Time, config Config) *Controller {
	c := &Controller{
		running:  map[Ticket]runningRequest{},
		waiting:  map[Ticket]*queuedRequest{},
		lastStep: now,
	}
	c.Configure(now, config)
	return c
}

// Configure replaces the policy and returns the outcomes of queued requests that follow
// from it. Requests of removed ranks move to the least urgent rank.
func (c *Controller) Configure(now time.Time, config Config) []Grant {
	if len(config.Ranks) == 0 {
		config.Ranks = []Rank{{}}
	}
	c.config = config
	c.resizeRanks(now)
	c.borrowOrder = borrowOrder(config.Ranks)
	bounds := limit.Config{Max: config.Slots, Announced: config.Announced, SlowStart: config.SlowStart, Ranks: len(config.Ranks)}
	if config.Connections > 0 {
		bounds.Max = min(config.Slots, config.Connections)
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
	return c.fillSlots(now)
}

// SetRateLimit bounds the runs that begin in a second, and returns the outcomes of
// queued requests that follow from it. 0 ends the bound.
func (c *Controller) SetRateLimit(now time.Time, perSecond float64) []Grant {
	if perSecond == 0 {
		c.rate.Clear()
	} else {
		c.rate.SetLimit(now, perSecond)
	}
	return c.fillSlots(now)
}

// RateLimit returns the bound that SetRateLimit has set, in runs per second; 0 if there
// is none.
func (c *Controller) RateLimit() float64 { return c.rate.PerSecond() }

// Capacity returns how many requests the upstream works on at a time: Limit, or fewer
// if fewer than Limit are in progress at the rate that the upstream takes.
func (c *Controller) Capacity(now time.Time) int {
	slots := c.limiter.Limit(now)
	if !c.rate.Limited() || c.runTime.meanSeconds == 0 {
		return slots
	}
	return max(1, min(slots, int(c.rate.PerSecond()*c.runTime.meanSeconds)))
}

// Offer requests a slot for r.
func (c *Controller) Offer(now time.Time, r Request) Decision {
	c.advance(now)
	r.Rank = c.rankIndex(r.Rank)
	k := c.ranks[r.Rank]
	k.offered++
	if c.missesDeadline(now, r) {
		return Decision{Verdict: Refused, Reason: ReasonDeadline}
	}
	if c.config.Announced {
		return c.offerByAge(now, r)
	}
	if c.meter.Refuses(r.Rank, r.ID) {
		return Decision{Verdict: Refused, Reason: ReasonShed}
	}
	c.meter.CountAdmitted(r.Rank)
	w, grants := c.enqueue(now, r)
	if w == nil {
		c.meter.CountShed(r.Rank)
		return Decision{Verdict: Refused, Reason: ReasonQueueFull, Grants: grants}
	}
	grants = append(grants, c.fillSlots(now)...)
	return c.decide(w, grants)
}

// decide returns the decision on the offered request w and removes its grant from the
// other grants.
func (c *Controller) decide(w *queuedRequest, grants []Grant) Decision {
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
	c.meter.CountShed(w.request.Rank)
	return Decision{Verdict: Refused, Reason: ReasonQueueFull, Grants: grants}
}

// Finish ends a run and returns the outcomes of queued requests that follow from it. An
// unknown ticket is ignored.
func (c *Controller) Finish(now time.Time, t Ticket, s Sample) []Grant {
	finished, ok := c.running[t]
	if !ok {
		return nil
	}
	c.advance(now)
	c.recordSample(now, finished.rank, s)
	delete(c.running, t)
	c.finishedRuns++
	c.ranks[finished.rank].running--
	return c.fillSlots(now)
}

// recordSample passes a finished run to the limiter and the run time estimates. A
// run that timed out sooner than the mean run is ignored: it shows only that its
// deadline was short.
func (c *Controller) recordSample(now time.Time, rank int, s Sample) {
	runTime := &c.ranks[rank].runTime
	if s.Abandoned || s.TimedOut && s.Latency.Seconds() <= runTime.meanSeconds {
		return
	}
	c.limiter.Record(now, limit.Sample{
		Rank: rank, Latency: s.Latency, Running: len(c.running), Overloaded: s.Overloaded,
	})
	if !s.Overloaded && !s.TimedOut {
		runTime.observe(now, s.Latency)
		c.runTime.observe(now, s.Latency)
	}
}

// Cancel removes a queued request and reports whether it was still queued.
func (c *Controller) Cancel(t Ticket) bool {
	w := c.waiting[t]
	if w == nil {
		return false
	}
	c.remove(w)
	return true
}

// Expire refuses queued requests that have expired, gives free slots to others, and
// adjusts the levels. It returns the outcomes of the requests and must be called every
// few milliseconds.
func (c *Controller) Expire(now time.Time) []Grant {
	c.advance(now)
	return c.fillSlots(now)
}

// InFlight returns the number of running requests.
func (c *Controller) InFlight() int { return len(c.running) }

// Queued returns the number of queued requests.
func (c *Controller) Queued() int { return len(c.waiting) }

// Limit returns the maximum number of concurrent requests.
func (c *Controller) Limit(now time.Time) int { return c.limiter.Limit(now) }

// MeanRunTime returns the mean run time over all ranks, or 0 before the first run.
func (c *Controller) MeanRunTime() time.Duration {
	return time.Duration(c.runTime.meanSeconds * float64(time.Second))
}

// Level returns the admission level that responses to requests of a rank carry.
func (c *Controller) Level(rank int) level.Level {
	if c.config.Announced {
		return c.governor.Level(c.rankIndex(rank))
	}
	return c.meter.Level(c.rankIndex(rank))
}

// RetryAfter returns how long the caller of a refused request should wait before it
// resends it. The wait grows with the fraction of the rank's requests that are
// refused.
func (c *Controller) RetryAfter(rank int, id string) time.Duration {
	if c.config.Announced {
		return level.RetryAfter(c.Level(rank), id)
	}
	k := c.ranks[c.rankIndex(rank)]
	return level.RetryAfter(level.FromFraction((k.granted+1)/(k.offered+1)), id)
}

// rankIndex returns the index of a rank. An unknown rank counts as the least urgent.
func (c *Controller) rankIndex(rank int) int {
	if rank < 0 || rank >= len(c.ranks) {
		return len(c.ranks) - 1
	}
	return rank
}

// missesDeadline reports whether a request can't finish by its deadline.
func (c *Controller) missesDeadline(now time.Time, r Request) bool {
	return now.Add(c.ranks[r.Rank].runTime.estimate(now)).After(r.Deadline) || !r.Deadline.After(now)
}

// Package admission decides which requests may run at one upstream instance.
//
// A Controller holds a bounded number of slots and a short, bounded queue for
// each rank. It is a pure state machine: time comes in as an argument, and
// grants come out as values. A Controller is not safe for concurrent use; the
// caller holds a lock around each call.
package admission

import "time"

// Verdict is the decision on an offered request.
type Verdict int

// Verdicts.
const (
	// Admitted requests run at once.
	Admitted Verdict = iota
	// Queued requests wait for a grant, which Finish or Expire returns.
	Queued
	// Refused requests don't run.
	Refused
)

// Reason says why a request was refused.
type Reason string

// Reasons for refusal.
const (
	ReasonNone     Reason = ""
	ReasonFull     Reason = "queue-full"
	ReasonDeadline Reason = "deadline"
	ReasonWait     Reason = "queue-time"
	ReasonShed     Reason = "shed"
	ReasonDraining Reason = "draining"
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
	// Slots bounds concurrent requests.
	Slots int
	// Queue bounds the wait for a slot.
	Queue time.Duration
	// Ranks, most urgent first.
	Ranks []Rank
}

// Request is one request that asks for a slot.
type Request struct {
	// ID names the root request.
	ID string
	// Rank is the index in Config.Ranks.
	Rank int
	// Caller is the root caller's name.
	Caller string
	// Deadline is the time by which the answer is needed.
	Deadline time.Time
}

// Ticket names an offered request until Finish or Cancel.
type Ticket uint64

// Grant tells a queued request its fate.
type Grant struct {
	Ticket Ticket
	// Reason is ReasonNone if the request may run now.
	Reason Reason
}

// Sample is what a finished run tells about the upstream.
type Sample struct {
	// Latency is the time that the upstream took.
	Latency time.Duration
	// Overloaded is set when the upstream refused or timed out.
	Overloaded bool
}

type waiting struct {
	ticket  Ticket
	request Request
	expires time.Time
}

// Controller admits requests. See the package comment for concurrency.
type Controller struct {
	config  Config
	last    Ticket
	running map[Ticket]Request
	queues  [][]waiting
}

// New returns a Controller.
func New(config Config) *Controller {
	c := &Controller{running: map[Ticket]Request{}}
	c.Configure(config)
	return c
}

// Configure replaces the policy. Queued requests of ranks that no longer exist
// move to the least urgent rank.
func (c *Controller) Configure(config Config) {
	if len(config.Ranks) == 0 {
		config.Ranks = []Rank{{}}
	}
	queues := make([][]waiting, len(config.Ranks))
	for i, q := range c.queues {
		to := min(i, len(queues)-1)
		queues[to] = append(queues[to], q...)
	}
	c.config, c.queues = config, queues
}

// Offer asks for a slot. The ticket is valid unless the verdict is Refused.
func (c *Controller) Offer(now time.Time, r Request) (Ticket, Verdict, Reason) {
	r.Rank = min(max(r.Rank, 0), len(c.queues)-1)
	if !r.Deadline.After(now) {
		return 0, Refused, ReasonDeadline
	}
	if len(c.running) < c.config.Slots {
		c.last++
		c.running[c.last] = r
		return c.last, Admitted, ReasonNone
	}
	if len(c.queues[r.Rank]) >= c.config.Slots {
		return 0, Refused, ReasonFull
	}
	c.last++
	c.queues[r.Rank] = append(c.queues[r.Rank], waiting{c.last, r, now.Add(c.config.Queue)})
	return c.last, Queued, ReasonNone
}

// Finish ends a run and returns the fate of queued requests that it settles.
func (c *Controller) Finish(now time.Time, t Ticket, _ Sample) []Grant {
	delete(c.running, t)
	return c.fill(now)
}

// Cancel withdraws a queued request and reports whether it was still queued.
func (c *Controller) Cancel(t Ticket) bool {
	for i, q := range c.queues {
		for j, w := range q {
			if w.ticket == t {
				c.queues[i] = append(q[:j:j], q[j+1:]...)
				return true
			}
		}
	}
	return false
}

// Expire refuses queued requests whose time is over.
func (c *Controller) Expire(now time.Time) []Grant {
	return c.fill(now)
}

// InFlight returns the number of running requests.
func (c *Controller) InFlight() int { return len(c.running) }

// Queued returns the number of waiting requests.
func (c *Controller) Queued() int {
	total := 0
	for _, q := range c.queues {
		total += len(q)
	}
	return total
}

func (c *Controller) fill(now time.Time) []Grant {
	var grants []Grant
	for i := range c.queues {
		for len(c.queues[i]) > 0 {
			w := c.queues[i][0]
			late := !w.expires.After(now) || !w.request.Deadline.After(now)
			if !late && len(c.running) >= c.config.Slots {
				break
			}
			c.queues[i] = c.queues[i][1:]
			if late {
				grants = append(grants, Grant{w.ticket, ReasonWait})
				continue
			}
			c.running[w.ticket] = w.request
			grants = append(grants, Grant{w.ticket, ReasonNone})
		}
	}
	return grants
}

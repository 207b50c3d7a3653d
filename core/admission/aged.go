package admission

import (
	"time"

	"fuchsiavane.org/core/level"
)

const (
	// headStart is how much older a root counts than one of the next less urgent rank,
	// and urgentStart the same for the most urgent rank: well above the time in which an
	// urgent request is to be answered, and below the time in which others give up, so
	// that older roots that were let in still get their turn.
	headStart   = 300 * time.Millisecond
	urgentStart = 600 * time.Millisecond
	// agedQueue bounds a rank's queue in multiples of the limit.
	agedQueue = 12
	// leastTarget is the least wait for a slot that is aimed at; below it chance
	// alone makes the wait.
	leastTarget = 35 * time.Millisecond
)

// offerAged asks for a slot of an upstream that announces its slots. Calls of a
// run are not refused by level, since the work done for the run would be lost;
// they wait for as long as they can be answered.
func (c *Controller) offerAged(now time.Time, r Request) Decision {
	c.governor.Arrived(r.Rank)
	if !r.Nested && level.Refuses(c.Level(r.Rank), r.ID) {
		return Decision{Verdict: Refused, Reason: ReasonShed}
	}
	ahead := c.waitOf(now, r)
	if now.Add(ahead + c.ranks[r.Rank].service.estimate(now)).After(r.Deadline) {
		return Decision{Verdict: Refused, Reason: ReasonDeadline}
	}
	if !r.Nested && ahead > c.config.QueueTimeout {
		return Decision{Verdict: Refused, Reason: ReasonQueueTimeout}
	}
	w, grants := c.enqueue(now, r)
	if w == nil {
		return Decision{Verdict: Refused, Reason: ReasonQueueFull, Grants: grants}
	}
	return c.decide(w, append(grants, c.fill(now)...))
}

// placeOf returns the time by which a request is ordered: the start of its root. It
// answers the moment at which an overload begins, before the levels have turned roots
// away. In the order of arrival all calls would wait alike, every root would lose
// one of its many calls, and none would be answered; in this order the oldest roots
// end whole, and what can't be served is refused at its first call.
func (c *Controller) placeOf(now time.Time, r Request) time.Time {
	if !c.config.Announced || r.Timestamp.IsZero() || r.Timestamp.After(now) {
		return now
	}
	return r.Timestamp
}

// turn returns the time by which requests of all ranks are ordered.
func turn(rank int, place time.Time) time.Time {
	if rank == 0 {
		return place
	}
	return place.Add(urgentStart + time.Duration(rank-1)*headStart)
}

// waitOf estimates how long one more request waits for a slot: as long as those that
// wait before it take.
func (c *Controller) waitOf(now time.Time, r Request) time.Duration {
	own := turn(r.Rank, c.placeOf(now, r))
	before := len(c.running) - c.limiter.Limit(now) + 1
	for rank, k := range c.ranks {
		for e := k.flows[0].requests.Front(); e != nil && !turn(rank, e.Value.(*waiting).place).After(own); e = e.Next() {
			before++
		}
	}
	return c.timeOf(now, before)
}

// timeOf returns the time in which a number of requests get their slots.
func (c *Controller) timeOf(now time.Time, requests int) time.Duration {
	if requests <= 0 {
		return 0
	}
	seconds := float64(requests) * c.service.mean / float64(c.limiter.Limit(now))
	return time.Duration(seconds * float64(time.Second))
}

// queueBound returns the most requests of a rank that wait.
func (c *Controller) queueBound(now time.Time) int {
	bound := max(c.limiter.Limit(now), leastQueue)
	if c.config.Announced {
		bound *= agedQueue
	}
	return bound
}

// chooseAged returns the rank that gets the next slot: that of the oldest root,
// counting a head start for urgency.
func (c *Controller) chooseAged() (int, bool) {
	best := -1
	var oldest time.Time
	for i, k := range c.ranks {
		if k.queued == 0 {
			continue
		}
		at := turn(i, k.turns.Front().Value.(*flow).requests.Front().Value.(*waiting).place)
		if best < 0 || at.Before(oldest) {
			best, oldest = i, at
		}
	}
	return best, best >= 0
}

// stepAged adjusts the levels by the wait for a slot.
func (c *Controller) stepAged(now time.Time) {
	used := 0.0
	if c.usage.slots > 0 {
		used = c.usage.used / c.usage.slots
	}
	c.usage.used, c.usage.slots = 0, 0
	c.governor.Step(now, level.Service{
		Finished: c.finished, Used: used,
		Wait: c.timeOf(now, c.standing), Target: max(leastTarget, c.MeanRunTime()/2),
	})
	c.finished, c.standing = 0, len(c.waiting)
}

package admission

import (
	"time"

	"fuchsiavane.org/core/level"
)

const (
	// headStart is how much older a request counts than one of the next less
	// urgent rank: about the time of a run, so that urgent work goes first and
	// other work that was let in still gets its turn.
	headStart = 10 * time.Millisecond
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
	ahead := c.waitOf(now, r.Rank)
	if now.Add(ahead + c.ranks[r.Rank].service.estimate(now)).After(r.Deadline) {
		return Decision{Verdict: Refused, Reason: ReasonDeadline}
	}
	if !r.Nested && ahead > c.config.Queue {
		return Decision{Verdict: Refused, Reason: ReasonWait}
	}
	w, grants := c.enqueue(now, r)
	if w == nil {
		return Decision{Verdict: Refused, Reason: ReasonFull, Grants: grants}
	}
	return c.decide(w, append(grants, c.fill(now)...))
}

// waitOf estimates how long one more request of a rank waits for a slot: as long
// as those before it take. Requests of less urgent ranks that wait already are
// before it only when they are older by the head start, and are left out.
func (c *Controller) waitOf(now time.Time, rank int) time.Duration {
	before := len(c.running) - c.limiter.Limit(now) + 1
	for i := 0; i <= rank; i++ {
		before += c.ranks[i].queued
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

// chooseAged returns the rank that gets the next slot: that of the request which
// has waited longest, counting a head start for urgency.
func (c *Controller) chooseAged() (int, bool) {
	best := -1
	var oldest time.Time
	for i, k := range c.ranks {
		if k.queued == 0 {
			continue
		}
		since := k.turns.Front().Value.(*flow).requests.Front().Value.(*waiting).since
		since = since.Add(time.Duration(i) * headStart)
		if best < 0 || since.Before(oldest) {
			best, oldest = i, since
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
		Wait: c.timeOf(now, c.standing), Target: max(leastTarget, c.MeanRun()/2),
	})
	c.finished, c.standing = 0, len(c.waiting)
}

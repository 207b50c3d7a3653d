package admission

import (
	"time"

	"fuchsiavane.org/core/level"
)

const (
	// rankAgeOffset is how much older a root request counts, in the order by age, than
	// one of the next less urgent rank. topRankAgeOffset applies in its place between
	// the most urgent rank and the next. Both are well above the response time that
	// urgent requests need, and below the timeouts of the other ranks, so that old
	// admitted root requests of less urgent ranks still get slots.
	rankAgeOffset    = 300 * time.Millisecond
	topRankAgeOffset = 600 * time.Millisecond
	// announcedQueueFactor bounds the queue of a rank if Config.Announced is set, in
	// multiples of the limit.
	announcedQueueFactor = 12
	// minTargetWait is the minimum of the wait for a slot at which the governor holds
	// the levels. Shorter waits are random noise.
	minTargetWait = 35 * time.Millisecond
)

// offerByAge requests a slot at an upstream that announces its slots. Nested requests
// are not refused by level, since the work done for their parent would be lost. They
// wait as long as their deadline can be met.
func (c *Controller) offerByAge(now time.Time, r Request) Decision {
	c.governor.CountArrival(r.Rank)
	if !r.Nested && level.Refuses(c.Level(r.Rank), r.ID) {
		return Decision{Verdict: Refused, Reason: ReasonShed}
	}
	wait := c.estimateWait(now, r)
	if now.Add(wait + c.ranks[r.Rank].runTime.estimate(now)).After(r.Deadline) {
		if c.rate.Limited() {
			// Other upstreams of the service may have time for it.
			return Decision{Verdict: Refused, Reason: ReasonQueueTimeout}
		}
		return Decision{Verdict: Refused, Reason: ReasonDeadline}
	}
	if !r.Nested && wait > c.config.QueueTimeout {
		return Decision{Verdict: Refused, Reason: ReasonQueueTimeout}
	}
	w, grants := c.enqueue(now, r)
	if w == nil {
		return Decision{Verdict: Refused, Reason: ReasonQueueFull, Grants: grants}
	}
	return c.decide(w, append(grants, c.fillSlots(now)...))
}

// sortKeyOf returns the time by which a request is ordered: the timestamp of its root
// request if the upstream announces its slots and the timestamp is known, else its
// arrival. The age matters at the onset of an overload, before the levels refuse root
// requests. In order of arrival all nested calls would wait equally long, every root
// request would lose one of its many calls, and none would complete. In order of age
// the oldest root requests complete, and the others are refused at their first call.
func (c *Controller) sortKeyOf(now time.Time, r Request) time.Time {
	if !c.config.Announced || r.Timestamp.IsZero() || r.Timestamp.After(now) {
		return now
	}
	return r.Timestamp
}

// crossRankKey returns the time by which requests of different ranks are ordered.
func crossRankKey(rank int, sortKey time.Time) time.Time {
	if rank == 0 {
		return sortKey
	}
	return sortKey.Add(topRankAgeOffset + time.Duration(rank-1)*rankAgeOffset)
}

// estimateWait returns how long one more request would wait for a slot, given the
// queued requests that come before it.
func (c *Controller) estimateWait(now time.Time, r Request) time.Duration {
	key := crossRankKey(r.Rank, c.sortKeyOf(now, r))
	ahead := 0
	for rank, k := range c.ranks {
		for e := k.flows[0].requests.Front(); e != nil && !crossRankKey(rank, e.Value.(*queuedRequest).sortKey).After(key); e = e.Next() {
			ahead++
		}
	}
	free := c.limiter.Limit(now) - len(c.running)
	return max(c.timeToServe(now, ahead+1-free), c.rate.Wait(now, ahead+1))
}

// timeToServe returns the time until a number of queued requests have got their slots.
func (c *Controller) timeToServe(now time.Time, requests int) time.Duration {
	if requests <= 0 {
		return 0
	}
	seconds := float64(requests) * c.runTime.meanSeconds / float64(c.limiter.Limit(now))
	return time.Duration(seconds * float64(time.Second))
}

// maxQueueLength returns the maximum number of queued requests of a rank.
func (c *Controller) maxQueueLength(now time.Time) int {
	bound := max(c.limiter.Limit(now), minQueueLength)
	if c.config.Announced {
		bound *= announcedQueueFactor
	}
	return bound
}

// chooseRankByAge returns the rank that gets the next slot: the one with the oldest
// root request after the age offsets of the ranks.
func (c *Controller) chooseRankByAge() (int, bool) {
	best := -1
	var oldest time.Time
	for i, k := range c.ranks {
		if k.queued == 0 {
			continue
		}
		key := crossRankKey(i, k.activeFlows.Front().Value.(*flow).requests.Front().Value.(*queuedRequest).sortKey)
		if best < 0 || key.Before(oldest) {
			best, oldest = i, key
		}
	}
	return best, best >= 0
}

// stepGovernor adjusts the levels by the wait for a slot.
func (c *Controller) stepGovernor(now time.Time) {
	used := 0.0
	if c.usage.slotSecondsAllowed > 0 {
		used = c.usage.slotSecondsUsed / c.usage.slotSecondsAllowed
	}
	c.usage.slotSecondsUsed, c.usage.slotSecondsAllowed = 0, 0
	c.governor.Step(now, level.StepStats{
		Finished: c.finishedRuns, Utilization: used,
		Wait: max(c.timeToServe(now, c.minWaiting), c.rate.Wait(now, c.minWaiting)), Target: max(minTargetWait, c.MeanRunTime()/2),
	})
	c.finishedRuns, c.minWaiting = 0, len(c.waiting)
}

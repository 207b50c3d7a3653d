package admission

import (
	"math"
	"slices"
	"time"

	"fuchsiavane.org/core/level"
)

const (
	// peakHalving is the time in which the remembered peak of demand halves, and
	// countHalving that of the counts.
	peakHalving  = 10 * time.Second
	countHalving = time.Second
	// leastDemand is the demand in slots below which a rank counts as idle.
	leastDemand = 0.05
	// creditTime is the time for which a rank's floor is made up later.
	creditTime = time.Second
	// debtTime is the time for which borrowing beyond a floor is remembered.
	debtTime = 300 * time.Millisecond
	// marginFactor is what a floor is made larger by in the account, in square
	// roots of its slots, so that chance doesn't bring a rank below it.
	marginFactor = 0.12
	// idleHalving is the time in which a deficit halves while a rank has no demand.
	idleHalving = 200 * time.Millisecond
	// owedGain is how much more of its floor a rank is let through per part of the
	// credit that it is owed.
	owedGain = 3
	// spareFactor is the load, in square roots of the slots of a floor, that is let
	// through beyond it.
	spareFactor = 1.2
)

// usage sums the part of the slots in use since the last step of the levels.
type usage struct {
	since time.Time
	used  float64 // slot-seconds in use
	slots float64 // slot-seconds allowed
}

// shedOrder returns the ranks in the order in which they get slots beyond their
// floors: protected ranks first, then by urgency.
func shedOrder(ranks []Rank) []int {
	order := make([]int, len(ranks))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		if ranks[a].Protected == ranks[b].Protected {
			return 0
		}
		if ranks[a].Protected {
			return -1
		}
		return 1
	})
	return order
}

// resize makes the state of the ranks fit the policy.
func (c *Controller) resize(now time.Time) {
	for len(c.ranks) < len(c.config.Ranks) {
		c.ranks = append(c.ranks, &rank{})
	}
	keep := len(c.config.Ranks)
	var moved []*waiting
	for _, w := range c.waiting {
		if w.request.Rank >= keep {
			moved = append(moved, w)
		}
	}
	slices.SortFunc(moved, func(a, b *waiting) int { return int(int64(a.ticket) - int64(b.ticket)) })
	for _, w := range moved {
		c.move(now, w, keep-1)
	}
	for t, r := range c.running {
		if r.rank >= keep {
			c.ranks[r.rank].running--
			c.ranks[keep-1].running++
			c.running[t] = run{keep - 1}
		}
	}
	c.ranks = c.ranks[:keep]
}

// move puts a queued request in the queue of another rank.
func (c *Controller) move(now time.Time, w *waiting, to int) {
	c.remove(w)
	w.request.Rank = to
	w.flow = c.flowOf(c.ranks[to], w.request)
	c.insert(now, c.ranks[to], w)
}

// advance accounts for the time since the last call.
func (c *Controller) advance(now time.Time) {
	elapsed := now.Sub(c.usage.since)
	if c.usage.since.IsZero() || elapsed < 0 {
		elapsed = 0
	}
	c.usage.since = now
	slots := float64(c.limiter.Limit(now))
	c.usage.used += min(float64(len(c.running)+c.reserved(now)), slots) * elapsed.Seconds()
	c.usage.slots += slots * elapsed.Seconds()
	fade := math.Exp2(-float64(elapsed) / float64(countHalving))
	peakFade := math.Exp2(-float64(elapsed) / float64(peakHalving))
	for i, k := range c.ranks {
		k.offered *= fade
		k.granted *= fade
		k.peak = max(k.peak*peakFade, float64(k.running+k.queued))
		c.account(now, i, c.config.Ranks[i].Share*slots, elapsed)
	}
	switch {
	case !c.config.Announced && c.meter.Due(now):
		c.step(now)
	case c.config.Announced && c.governor.Due(now):
		c.stepAged(now)
	}
}

// account adds to a rank's deficit what its floor in slots earned in a time, and
// takes off what it ran.
func (c *Controller) account(now time.Time, i int, floor float64, elapsed time.Duration) {
	k := c.ranks[i]
	debt := max(2*k.service.estimate(now).Seconds(), floor*debtTime.Seconds())
	k.deficit += (floor + marginFactor*math.Sqrt(floor) - float64(k.running)) * elapsed.Seconds()
	k.deficit = min(max(k.deficit, -debt), credit(floor))
	if k.queued == 0 && !c.meter.Refusing(i) {
		k.deficit *= math.Exp2(-float64(elapsed) / float64(idleHalving))
	}
}

// credit bounds the deficit of a rank with a floor in slots, in slot-seconds.
func credit(floor float64) float64 { return max(floor, 1) * creditTime.Seconds() }

// step adjusts the levels.
func (c *Controller) step(now time.Time) {
	used := 0.0
	if c.usage.slots > 0 {
		used = c.usage.used / c.usage.slots
	}
	c.usage.used, c.usage.slots = 0, 0
	slots := float64(c.limiter.Limit(now))
	c.meter.Step(now, used, func(i int) float64 { return c.floorServes(i, slots) })
}

// floorServes returns the requests of a rank that keep its floor in use for one
// interval of the levels, and more while it has had less. As arrivals come by
// chance, that takes more than the floor serves: the fewer slots, the more.
func (c *Controller) floorServes(i int, slots float64) float64 {
	k := c.ranks[i]
	service := &k.service
	if service.mean == 0 {
		service = &c.service
	}
	floor := c.config.Ranks[i].Share * slots
	owed := min(owedGain*max(k.deficit, 0)/credit(floor), 1)
	spare := spareFactor * math.Sqrt(floor)
	return service.served(floor*(1+owed)+spare, level.Interval)
}

// fill gives free slots to queued requests and refuses those whose time is over.
func (c *Controller) fill(now time.Time) []Grant {
	grants := c.expire(now)
	for {
		i, ok := c.choose(now)
		if !ok {
			c.standing = min(c.standing, len(c.waiting))
			return grants
		}
		w := c.next(now, c.ranks[i])
		if c.late(now, w.request) {
			c.meter.Shed(i)
			grants = append(grants, Grant{w.ticket, ReasonDeadline})
			continue
		}
		c.running[w.ticket] = run{i}
		c.ranks[i].running++
		c.ranks[i].granted++
		grants = append(grants, Grant{w.ticket, ReasonNone})
	}
}

// expire refuses queued requests whose time is over.
func (c *Controller) expire(now time.Time) []Grant {
	var grants []Grant
	for len(c.expiry) > 0 && c.expiry[0].expires.Before(now) {
		w := c.expiry[0]
		c.remove(w)
		c.meter.Shed(w.request.Rank)
		grants = append(grants, Grant{w.ticket, w.cause})
	}
	return grants
}

// choose returns the rank that gets the next slot, if any may have one.
func (c *Controller) choose(now time.Time) (int, bool) {
	slots := c.limiter.Limit(now)
	free := slots - len(c.running)
	if free <= 0 || len(c.waiting) == 0 {
		return 0, false
	}
	if c.config.Announced {
		return c.chooseAged()
	}
	if i, ok := c.mostDeprived(float64(slots)); ok {
		return i, true
	}
	reserve := 0
	for _, i := range c.order {
		k := c.ranks[i]
		if k.queued > 0 && free > reserve {
			return i, true
		}
		if c.config.Ranks[i].Protected {
			reserve = min(reserve+c.reserve(now, i, slots), slots/2)
		}
	}
	return 0, false
}

// mostDeprived returns the rank with the least part of its floor share, of those
// that wait and have less than their share.
func (c *Controller) mostDeprived(slots float64) (int, bool) {
	best, least := -1, math.Inf(1)
	for _, i := range c.order {
		k := c.ranks[i]
		floor := c.config.Ranks[i].Share * slots
		if k.queued == 0 || floor == 0 {
			continue
		}
		owed := k.owed(floor)
		if part := float64(k.running) / floor; owed && part < least {
			best, least = i, part
		}
	}
	return best, best >= 0
}

// owed reports whether the rank has had less than its floor, which may be a part
// of a slot, over the recent time.
func (k *rank) owed(floor float64) bool {
	if float64(k.running) < floor {
		return k.deficit >= 0
	}
	return k.deficit > 0 && float64(k.running) < 2*floor
}

// reserved returns the free slots that are kept for protected ranks.
func (c *Controller) reserved(now time.Time) int {
	slots := c.limiter.Limit(now)
	total := 0
	for i, r := range c.config.Ranks {
		if r.Protected {
			total += c.reserve(now, i, slots)
		}
	}
	return min(total, slots/2)
}

// reserve returns the free slots that are kept for the next requests of a
// protected rank while it has demand: one, and more if lent slots come back too
// slowly for the queue.
func (c *Controller) reserve(now time.Time, i, slots int) int {
	k := c.ranks[i]
	if k.peak < leastDemand {
		return 0
	}
	slowest := time.Duration(0)
	for _, other := range c.ranks {
		if other.running > 0 {
			slowest = max(slowest, other.service.estimate(now))
		}
	}
	gap := float64(slowest) / float64(slots)
	wanted := k.peak * min(gap/float64(max(c.config.QueueTimeout, time.Millisecond)), 1)
	return max(1, int(wanted))
}

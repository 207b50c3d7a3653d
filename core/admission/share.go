package admission

import (
	"math"
	"slices"
	"time"

	"fuchsiavane.org/core/level"
)

const (
	// peakHalfLife is the half-life of the peak demand of a rank, and countHalfLife
	// that of its request counts.
	peakHalfLife  = 10 * time.Second
	countHalfLife = time.Second
	// minDemand is the demand in slots below which a rank counts as idle.
	minDemand = 0.05
	// maxDeficitTime is the largest deficit of a rank, as time at its guaranteed share.
	maxDeficitTime = time.Second
	// maxSurplusTime is the largest negative deficit, of a rank that borrowed slots, as
	// time at its guaranteed share.
	maxSurplusTime = 300 * time.Millisecond
	// marginFactor enlarges the guaranteed slots g by which a deficit grows, to
	// g + marginFactor*sqrt(g), so that random arrivals don't bring a rank below its
	// share.
	marginFactor = 0.12
	// idleHalfLife is the half-life of a deficit while the rank has no demand.
	idleHalfLife = 200 * time.Millisecond
	// deficitGain is the relative rise, per fraction of the maximum deficit, of the
	// guaranteed share that the level of a rank admits. The share at most doubles.
	deficitGain = 3
	// burstFactor is the load that a level admits beyond the guaranteed share, in square
	// roots of the slots of that share.
	burstFactor = 1.2
)

// usage integrates the use of the slots since the last step of the levels.
type usage struct {
	updated            time.Time
	slotSecondsUsed    float64
	slotSecondsAllowed float64
}

// borrowOrder returns the rank indices in the order in which ranks get slots beyond
// their guaranteed shares: protected ranks first, then by urgency.
func borrowOrder(ranks []Rank) []int {
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

// resizeRanks adjusts the state to the number of configured ranks.
func (c *Controller) resizeRanks(now time.Time) {
	for len(c.ranks) < len(c.config.Ranks) {
		c.ranks = append(c.ranks, &rankState{})
	}
	ranks := len(c.config.Ranks)
	var moved []*queuedRequest
	for _, w := range c.waiting {
		if w.request.Rank >= ranks {
			moved = append(moved, w)
		}
	}
	slices.SortFunc(moved, func(a, b *queuedRequest) int { return int(int64(a.ticket) - int64(b.ticket)) })
	for _, w := range moved {
		c.moveToRank(now, w, ranks-1)
	}
	for t, r := range c.running {
		if r.rank >= ranks {
			c.ranks[r.rank].running--
			c.ranks[ranks-1].running++
			c.running[t] = runningRequest{ranks - 1}
		}
	}
	c.ranks = c.ranks[:ranks]
}

// moveToRank moves a queued request to the queue of another rank.
func (c *Controller) moveToRank(now time.Time, w *queuedRequest, to int) {
	c.remove(w)
	w.request.Rank = to
	w.flow = c.flowOf(c.ranks[to], w.request)
	c.insert(now, c.ranks[to], w)
}

// advance updates usage, counts, deficits and levels for the time since the last call.
func (c *Controller) advance(now time.Time) {
	elapsed := now.Sub(c.usage.updated)
	if c.usage.updated.IsZero() || elapsed < 0 {
		elapsed = 0
	}
	c.usage.updated = now
	slots := float64(c.limiter.Limit(now))
	c.usage.slotSecondsUsed += min(float64(len(c.running)+c.totalReserve(now)), slots) * elapsed.Seconds()
	c.usage.slotSecondsAllowed += slots * elapsed.Seconds()
	countDecay := math.Exp2(-float64(elapsed) / float64(countHalfLife))
	peakDecay := math.Exp2(-float64(elapsed) / float64(peakHalfLife))
	for i, k := range c.ranks {
		k.offered *= countDecay
		k.granted *= countDecay
		k.peak = max(k.peak*peakDecay, float64(k.running+k.queued))
		c.updateDeficit(now, i, c.config.Ranks[i].Share*slots, elapsed)
	}
	switch {
	case !c.config.Announced && c.meter.Due(now):
		c.stepMeter(now)
	case c.config.Announced && c.governor.Due(now):
		c.stepGovernor(now)
	}
}

// updateDeficit adds to a rank's deficit its guaranteed slots over the elapsed time,
// and subtracts the slots that it used.
func (c *Controller) updateDeficit(now time.Time, i int, guaranteed float64, elapsed time.Duration) {
	k := c.ranks[i]
	maxSurplus := max(2*k.runTime.estimate(now).Seconds(), guaranteed*maxSurplusTime.Seconds())
	k.deficit += (guaranteed + marginFactor*math.Sqrt(guaranteed) - float64(k.running)) * elapsed.Seconds()
	k.deficit = min(max(k.deficit, -maxSurplus), maxDeficit(guaranteed))
	if k.queued == 0 && !c.meter.Refusing(i) {
		k.deficit *= math.Exp2(-float64(elapsed) / float64(idleHalfLife))
	}
}

// maxDeficit returns the bound of the deficit of a rank with some guaranteed slots, in
// slot-seconds.
func maxDeficit(guaranteed float64) float64 { return max(guaranteed, 1) * maxDeficitTime.Seconds() }

// stepMeter adjusts the levels by the use of the slots.
func (c *Controller) stepMeter(now time.Time) {
	used := 0.0
	if c.usage.slotSecondsAllowed > 0 {
		used = c.usage.slotSecondsUsed / c.usage.slotSecondsAllowed
	}
	c.usage.slotSecondsUsed, c.usage.slotSecondsAllowed = 0, 0
	slots := float64(c.limiter.Limit(now))
	c.meter.Step(now, used, func(i int) float64 { return c.guaranteedRequests(i, slots) })
}

// guaranteedRequests returns how many requests keep the guaranteed share of a rank in
// use for one interval of the levels, and more while the rank has a deficit. Arrivals
// are random, so this takes more requests than the share serves; the fewer slots, the
// larger the excess.
func (c *Controller) guaranteedRequests(i int, slots float64) float64 {
	k := c.ranks[i]
	runTime := &k.runTime
	if runTime.meanSeconds == 0 {
		runTime = &c.runTime
	}
	guaranteed := c.config.Ranks[i].Share * slots
	boost := min(deficitGain*max(k.deficit, 0)/maxDeficit(guaranteed), 1)
	burst := burstFactor * math.Sqrt(guaranteed)
	return runTime.expectedRuns(guaranteed*(1+boost)+burst, level.Interval)
}

// fillSlots gives free slots to queued requests and refuses expired ones. It returns
// the outcomes.
func (c *Controller) fillSlots(now time.Time) []Grant {
	grants := c.refuseExpired(now)
	for {
		i, ok := c.chooseRank(now)
		if !ok {
			c.minWaiting = min(c.minWaiting, len(c.waiting))
			return grants
		}
		w := c.dequeue(now, c.ranks[i])
		if c.missesDeadline(now, w.request) {
			c.meter.CountShed(i)
			grants = append(grants, Grant{w.ticket, ReasonDeadline})
			continue
		}
		c.rate.Take(now)
		c.running[w.ticket] = runningRequest{i}
		c.ranks[i].running++
		c.ranks[i].granted++
		grants = append(grants, Grant{w.ticket, ReasonNone})
	}
}

// refuseExpired refuses queued requests that have expired.
func (c *Controller) refuseExpired(now time.Time) []Grant {
	var grants []Grant
	for len(c.expiry) > 0 && c.expiry[0].expires.Before(now) {
		w := c.expiry[0]
		c.remove(w)
		c.meter.CountShed(w.request.Rank)
		grants = append(grants, Grant{w.ticket, w.expiryReason})
	}
	return grants
}

// chooseRank returns the rank that gets the next slot, or false if none may.
func (c *Controller) chooseRank(now time.Time) (int, bool) {
	slots := c.limiter.Limit(now)
	free := slots - len(c.running)
	if free <= 0 || len(c.waiting) == 0 || !c.rate.Available(now) {
		return 0, false
	}
	if c.config.Announced {
		return c.chooseRankByAge()
	}
	if i, ok := c.mostUnderserved(float64(slots)); ok {
		return i, true
	}
	reserve := 0
	for _, i := range c.borrowOrder {
		k := c.ranks[i]
		if k.queued > 0 && free > reserve {
			return i, true
		}
		if c.config.Ranks[i].Protected {
			reserve = min(reserve+c.rankReserve(now, i, slots), slots/2)
		}
	}
	return 0, false
}

// mostUnderserved returns the rank with the smallest fraction of its guaranteed share in
// use, among the ranks that have queued requests and are below their share.
func (c *Controller) mostUnderserved(slots float64) (int, bool) {
	best, lowest := -1, math.Inf(1)
	for _, i := range c.borrowOrder {
		k := c.ranks[i]
		guaranteed := c.config.Ranks[i].Share * slots
		if k.queued == 0 || guaranteed == 0 {
			continue
		}
		below := k.belowGuarantee(guaranteed)
		if ratio := float64(k.running) / guaranteed; below && ratio < lowest {
			best, lowest = i, ratio
		}
	}
	return best, best >= 0
}

// belowGuarantee reports whether the rank has recently had less than its guaranteed
// slots. These may be less than one slot, so the deficit counts in addition to the
// running requests.
func (k *rankState) belowGuarantee(guaranteed float64) bool {
	if float64(k.running) < guaranteed {
		return k.deficit >= 0
	}
	return k.deficit > 0 && float64(k.running) < 2*guaranteed
}

// totalReserve returns the number of free slots that are reserved for protected ranks.
func (c *Controller) totalReserve(now time.Time) int {
	slots := c.limiter.Limit(now)
	total := 0
	for i, r := range c.config.Ranks {
		if r.Protected {
			total += c.rankReserve(now, i, slots)
		}
	}
	return min(total, slots/2)
}

// rankReserve returns the number of free slots that are reserved for the next requests of
// a protected rank with demand: one, and more if borrowed slots return too slowly for
// its queue.
func (c *Controller) rankReserve(now time.Time, i, slots int) int {
	k := c.ranks[i]
	if k.peak < minDemand {
		return 0
	}
	slowest := time.Duration(0)
	for _, other := range c.ranks {
		if other.running > 0 {
			slowest = max(slowest, other.runTime.estimate(now))
		}
	}
	slotInterval := float64(slowest) / float64(slots)
	wanted := k.peak * min(slotInterval/float64(max(c.config.QueueTimeout, time.Millisecond)), 1)
	return max(1, int(wanted))
}

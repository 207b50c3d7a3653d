package level

import "time"

const (
	// Interval is the time between two steps of a Meter or a Governor.
	Interval = 100 * time.Millisecond
	// admittedExcess is the fraction of requests admitted beyond what a rank's slots can
	// take, to keep all slots in use. noShedExcess is the same for a rank of which
	// almost nothing is shed.
	admittedExcess = 0.2
	noShedExcess   = 0.25
	// noShedFraction is the fraction of requests shed up to which a rank counts as
	// shedding none.
	noShedFraction = 0.005
	// retention is the fraction of the counts that a step retains.
	// shortRetention applies instead while the fraction shed is above highShedFraction or
	// the utilization below lowUtilization, and longRetention while the requests are
	// fewer than fewRequests, too few to tell a trend from chance.
	retention        = 0.85
	longRetention    = 0.95
	fewRequests      = 40
	shortRetention   = 0.5
	highShedFraction = 0.3
	lowUtilization   = 0.75
	// maxRecovery is the largest factor by which idle slots, or the lack of recent
	// requests, raise the admitted fraction in one step.
	maxRecovery = 1.5
	// targetUtilization is the fraction of the slots to keep in use.
	targetUtilization = 0.99
	// localMargin is the factor by which the upstream's own daemon admits more than
	// the published level, so that requests already on their way are not refused
	// late.
	localMargin = 1.2
)

// Meter sets the levels of one upstream, one for each rank, from the requests that
// the levels admitted and that got no slot. It calls these requests shed.
type Meter struct {
	ranks []meterRank
	last  time.Time
}

// meterRank is the state of one rank. A step retains only a fraction of its counts,
// so that old requests lose their weight.
type meterRank struct {
	admittedFraction float64 // the admitted fraction of its requests
	// admitted counts the requests that the level admitted, and shed those of them that
	// got no slot.
	admitted, shed float64
	// demand estimates the requests before any level refused some. weight is the
	// number of Intervals that the counts represent.
	demand, weight float64
	// newAdmitted and newShed are the counts since the last step.
	newAdmitted, newShed float64
}

// NewMeter returns a Meter that refuses nothing.
func NewMeter(ranks int) *Meter {
	m := &Meter{}
	m.Resize(ranks)
	return m
}

// Resize sets the number of ranks. Ranks that remain keep their level.
func (m *Meter) Resize(ranks int) {
	for len(m.ranks) < ranks {
		m.ranks = append(m.ranks, meterRank{admittedFraction: 1})
	}
	m.ranks = m.ranks[:ranks]
}

// CountAdmitted counts a request that the level admitted.
func (m *Meter) CountAdmitted(rank int) { m.ranks[rank].newAdmitted++ }

// CountShed counts a request that the level admitted and that got no slot.
func (m *Meter) CountShed(rank int) { m.ranks[rank].newShed++ }

// Step adjusts the levels. It is called once every Interval. utilization is the
// mean fraction of the slots in use since the last step. guaranteed returns the
// requests of a rank that its guaranteed share serves in an Interval; a level
// admits at least these.
func (m *Meter) Step(now time.Time, utilization float64, guaranteed func(rank int) float64) {
	m.last = now
	for i := range m.ranks {
		m.ranks[i].step(utilization, guaranteed(i))
	}
}

// Due reports whether the next step is due.
func (m *Meter) Due(now time.Time) bool { return now.Sub(m.last) >= Interval }

// step sets the admitted fraction to the fraction of the demand that the slots
// can take.
func (r *meterRank) step(utilization, guaranteed float64) {
	r.updateCounts(utilization)
	if r.demand == 0 {
		// Without recent requests, admit more to measure the demand.
		r.admittedFraction = min(r.admittedFraction*maxRecovery, 1)
		return
	}
	noShed := r.shed <= noShedFraction*r.admitted
	headroom := min(max(targetUtilization/max(utilization, minAdmitted), 1), maxRecovery)
	supply := max(r.admitted-r.shed, 0) * headroom
	supply = max(supply, guaranteed*r.weight)
	extra := admittedExcess
	if noShed {
		extra = noShedExcess
	}
	next := supply * (1 + extra) / r.demand
	if noShed {
		// The counts of a rank with few requests lag behind.
		next = max(next, r.admittedFraction*headroom)
	}
	r.admittedFraction = min(max(next, minAdmitted), 1)
}

// updateCounts adds the counts since the last step to a fraction of the older ones.
func (r *meterRank) updateCounts(utilization float64) {
	retained := retention
	if r.admitted < fewRequests && r.newAdmitted > 0 {
		retained = longRetention
	}
	if r.newShed > highShedFraction*r.newAdmitted || utilization < lowUtilization {
		retained = shortRetention
	}
	r.admitted = r.admitted*retained + r.newAdmitted
	r.shed = r.shed*retained + r.newShed
	r.demand = r.demand*retained + r.newAdmitted/r.admittedFraction
	r.weight = r.weight*retained + 1
	r.newAdmitted, r.newShed = 0, 0
	if r.admitted < 1 {
		// Requests shed long ago say nothing about the present load.
		r.admitted, r.shed, r.demand, r.weight = 0, 0, 0, 0
	}
}

// Level returns the level that responses to requests of a rank carry.
func (m *Meter) Level(rank int) Level { return FromFraction(m.ranks[rank].admittedFraction) }

// Refusing reports whether the level of a rank refuses any request.
func (m *Meter) Refusing(rank int) bool { return m.ranks[rank].admittedFraction < 1 }

// Refuses reports whether the upstream's own daemon refuses a request of a rank
// by the level, without queueing it.
func (m *Meter) Refuses(rank int, id string) bool {
	return Refuses(FromFraction(m.ranks[rank].admittedFraction*localMargin), id)
}

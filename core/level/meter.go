package level

import "time"

const (
	// Interval is the time between two steps of a Meter.
	Interval = 100 * time.Millisecond
	// excess is how much more than a rank's slots take is let through, so that no
	// slot is idle; seeking is the same for a rank that loses nothing.
	excess  = 0.2
	seeking = 0.25
	// losslessPart is the part of lost requests that counts as nothing.
	losslessPart = 0.005
	// memory is the part of the counts that a step hands to the next, and
	// shortMemory the same while much is lost or many slots are idle, and
	// longMemory while the counts are too few to tell a trend from chance.
	memory      = 0.85
	longMemory  = 0.95
	fewRequests = 40
	shortMemory = 0.5
	muchLost    = 0.3
	fewUsed     = 0.75
	// rebound bounds the rise by idle slots, or without news, in one step.
	rebound = 1.5
	// target is the part of the slots in use that is aimed at.
	target = 0.99
	// margin is how much more than the published part the upstream's own daemon
	// lets through, so that requests already under way are not refused late.
	margin = 1.2
)

// Meter makes the levels of one upstream, one for each rank.
type Meter struct {
	ranks []meterRank
	last  time.Time
}

// meterRank holds recent counts, which fade from step to step.
type meterRank struct {
	pass         float64
	passed, shed float64
	// demand estimates the requests before any level refused some; weight is
	// the number of Intervals that the counts stand for.
	demand, weight float64
	// newPassed and newShed are the counts since the last step.
	newPassed, newShed float64
}

// NewMeter returns a Meter that refuses nothing.
func NewMeter(ranks int) *Meter {
	m := &Meter{}
	m.Resize(ranks)
	return m
}

// Resize sets the number of ranks; those that stay keep their level.
func (m *Meter) Resize(ranks int) {
	for len(m.ranks) < ranks {
		m.ranks = append(m.ranks, meterRank{pass: 1})
	}
	m.ranks = m.ranks[:ranks]
}

// CountAdmitted counts a request that the level let through.
func (m *Meter) CountAdmitted(rank int) { m.ranks[rank].newPassed++ }

// CountShed counts a request that the level let through and that got no slot.
func (m *Meter) CountShed(rank int) { m.ranks[rank].newShed++ }

// Step adjusts the levels once every Interval. used is the mean part of the
// slots in use since the last step; floor gives the requests of a rank that its
// floor share serves in an Interval. A level never refuses a rank below that.
func (m *Meter) Step(now time.Time, used float64, floor func(rank int) float64) {
	m.last = now
	for i := range m.ranks {
		m.ranks[i].step(used, floor(i))
	}
}

// Due reports whether the next step is due.
func (m *Meter) Due(now time.Time) bool { return now.Sub(m.last) >= Interval }

// step sets the part let through to what the slots take of the demand.
func (r *meterRank) step(used, floor float64) {
	r.remember(used)
	if r.demand == 0 {
		// Without news, ask for some.
		r.pass = min(r.pass*rebound, 1)
		return
	}
	lossless := r.shed <= losslessPart*r.passed
	room := min(max(target/max(used, leastPass), 1), rebound)
	supply := max(r.passed-r.shed, 0) * room
	supply = max(supply, floor*r.weight)
	more := excess
	if lossless {
		more = seeking
	}
	next := supply * (1 + more) / r.demand
	if lossless {
		// The counts of a rank with few requests lag behind.
		next = max(next, r.pass*room)
	}
	r.pass = min(max(next, leastPass), 1)
}

// remember takes the counts since the last step in.
func (r *meterRank) remember(used float64) {
	kept := memory
	if r.passed < fewRequests && r.newPassed > 0 {
		kept = longMemory
	}
	if r.newShed > muchLost*r.newPassed || used < fewUsed {
		kept = shortMemory
	}
	r.passed = r.passed*kept + r.newPassed
	r.shed = r.shed*kept + r.newShed
	r.demand = r.demand*kept + r.newPassed/r.pass
	r.weight = r.weight*kept + 1
	r.newPassed, r.newShed = 0, 0
	if r.passed < 1 {
		// What was lost long ago says nothing about now.
		r.passed, r.shed, r.demand, r.weight = 0, 0, 0, 0
	}
}

// Level returns the level that answers of a rank carry.
func (m *Meter) Level(rank int) Level { return FromFraction(m.ranks[rank].pass) }

// Refusing reports whether the level of a rank refuses any request.
func (m *Meter) Refusing(rank int) bool { return m.ranks[rank].pass < 1 }

// Refuses reports whether the upstream's own daemon refuses a request at once.
func (m *Meter) Refuses(rank int, id string) bool {
	return Refuses(FromFraction(m.ranks[rank].pass*margin), id)
}

package member

import (
	"maps"
	"slices"
	"time"
)

// probe is a ping that waits for its ack.
type probe struct {
	target string
	sent   time.Duration
	// asked is set once helpers were asked.
	asked bool
}

// service is a probe done for another member.
type service struct {
	origin    string
	originSeq uint64
	sent      time.Duration
}

// probes is the state of probing.
type probes struct {
	seq     uint64
	waiting map[uint64]*probe
	serving map[uint64]service
	// reconnect is the last ping to a dead member.
	reconnect uint64
	// round lists the members still to be probed in this round.
	round []string
}

func (p *probes) init() {
	p.waiting = map[uint64]*probe{}
	p.serving = map[uint64]service{}
}

func (p *probes) next() uint64 {
	p.seq++
	return p.seq
}

// probe goes on with the open probes and starts the next one when due.
func (m *Member) probe() []Outgoing {
	out := m.followProbes()
	if m.now < m.schedule.probe {
		return out
	}
	m.schedule.probe = max(m.schedule.probe+probeInterval, m.now)
	target := m.nextTarget()
	if target == nil {
		return out
	}
	seq := m.probes.next()
	m.probes.waiting[seq] = &probe{target: target.ID, sent: m.now}
	return append(out, m.ping(target, seq))
}

// nextTarget takes the next member of the shuffled round.
func (m *Member) nextTarget() *entry {
	for refilled := false; ; {
		for len(m.probes.round) > 0 {
			id := m.probes.round[0]
			m.probes.round = m.probes.round[1:]
			if e := m.view.entries[id]; e != nil && e.State != StateDead {
				return e
			}
		}
		if refilled {
			return nil
		}
		refilled = true
		list := m.peersHere()
		for _, e := range m.sample(list, len(list)) {
			m.probes.round = append(m.probes.round, e.ID)
		}
	}
}

// ping makes a ping. A target that is not believed alive is told so first, so
// that it can refute.
func (m *Member) ping(target *entry, seq uint64) Outgoing {
	message := m.message(KindPing)
	message.Seq, message.Target = seq, target.ID
	message.Updates = m.news.take(m.view, maxRumourBytes, m.doubted(target.ID)...)
	return Outgoing{To: target.Addr, Message: message}
}

// doubted returns the id if the member is not believed alive.
func (m *Member) doubted(id string) []string {
	if e := m.view.entries[id]; e != nil && e.State != StateAlive {
		return []string{id}
	}
	return nil
}

func (m *Member) followProbes() []Outgoing {
	var out []Outgoing
	for _, seq := range slices.Sorted(maps.Keys(m.probes.waiting)) {
		p := m.probes.waiting[seq]
		waited := m.now - p.sent
		switch {
		case waited >= probeTimeout:
			delete(m.probes.waiting, seq)
			m.suspect(p.target)
		case waited >= directTimeout && !p.asked:
			p.asked = true
			out = append(out, m.askHelpers(seq, p)...)
		}
	}
	for seq, s := range m.probes.serving {
		if m.now-s.sent >= probeTimeout {
			delete(m.probes.serving, seq)
		}
	}
	return out
}

func (m *Member) askHelpers(seq uint64, p *probe) []Outgoing {
	target := m.view.entries[p.target]
	if target == nil {
		return nil
	}
	var out []Outgoing
	for _, helper := range m.sample(m.peersHere(), helpers+1) {
		if helper == target || len(out) == helpers {
			continue
		}
		message := m.message(KindPingRequest)
		message.Seq, message.Target, message.TargetAddr = seq, target.ID, target.Addr
		out = append(out, Outgoing{To: helper.Addr, Message: message})
	}
	return out
}

// suspect begins the suspicion of a member that answered no probe.
func (m *Member) suspect(id string) {
	e := m.view.entries[id]
	if e == nil || e.State != StateAlive {
		return
	}
	r := e.Record
	r.State = StateSuspect
	m.view.put(r, m.now).suspectUntil = m.now + suspectTimeout
	m.spread(&r)
}

// bury declares dead whoever did not refute in time. The members of other data
// centres are judged there.
func (m *Member) bury() {
	var due []*entry
	for _, e := range m.view.suspects {
		if e.DataCentre == m.self.DataCentre && m.now >= e.suspectUntil {
			due = append(due, e)
		}
	}
	sortEntries(due)
	for _, e := range due {
		m.declareDead(e)
	}
}

func (m *Member) declareDead(e *entry) {
	r := e.Record
	r.State = StateDead
	m.view.put(r, m.now)
	m.spread(&r)
	m.event(EventDead, r.ID)
}

// reconnect pings one member that was declared dead without having left, so
// that the two sides of a healed partition find each other.
func (m *Member) reconnect() []Outgoing {
	var lost []*entry
	for _, e := range m.view.centres[m.self.DataCentre].order {
		if e.State == StateDead && !e.Leaving && !e.replaced {
			lost = append(lost, e)
		}
	}
	target := m.random1(lost)
	if target == nil {
		return nil
	}
	m.probes.reconnect = m.probes.next()
	return []Outgoing{m.ping(target, m.probes.reconnect)}
}

// sweep forgets the long dead, and the members of data centres that have been
// unreachable for long.
func (m *Member) sweep() {
	for name, d := range m.view.centres {
		silent := d.unreachable && m.now-d.contact >= forgetAfter
		for _, e := range slices.Clone(d.order) {
			if silent || e.State == StateDead && m.now-e.changed >= deadRetention {
				m.view.remove(e)
			}
		}
		if len(d.members) == 0 {
			delete(m.view.centres, name)
			delete(m.view.byHash, centreHash(name))
		}
	}
}

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
	// indirectRequested is set once other members were asked to probe the
	// target.
	indirectRequested bool
}

// proxyProbe is a probe on behalf of another member.
type proxyProbe struct {
	origin    string
	originSeq uint64
	sent      time.Duration
}

// probes holds the probes in progress, by sequence number: this member's own in
// pending, those on behalf of other members in proxied.
type probes struct {
	seq     uint64
	pending map[uint64]*probe
	proxied map[uint64]proxyProbe
	// reconnectSeq is the sequence number of the last ping to a dead member.
	reconnectSeq uint64
	// round lists the members still to be probed in this shuffled pass over all
	// members of the data centre.
	round []string
}

func (p *probes) init() {
	p.pending = map[uint64]*probe{}
	p.proxied = map[uint64]proxyProbe{}
}

func (p *probes) next() uint64 {
	p.seq++
	return p.seq
}

// probe checks the pending probes and starts the next one when it is due.
func (m *Member) probe() []Outgoing {
	out := m.checkProbes()
	if m.now < m.schedule.probe {
		return out
	}
	m.schedule.probe = max(m.schedule.probe+probeInterval, m.now)
	target := m.nextTarget()
	if target == nil {
		return out
	}
	seq := m.probes.next()
	m.probes.pending[seq] = &probe{target: target.ID, sent: m.now}
	return append(out, m.ping(target, seq))
}

// nextTarget returns the next member of probes.round, which it refills when it
// is empty, or nil if there is no other member.
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
		list := m.localPeers()
		for _, e := range m.sample(list, len(list)) {
			m.probes.round = append(m.probes.round, e.ID)
		}
	}
}

// ping returns a ping message. It carries the target's record if the target
// is not believed alive, so that it can refute.
func (m *Member) ping(target *entry, seq uint64) Outgoing {
	message := m.message(KindPing)
	message.Seq, message.Target = seq, target.ID
	message.Updates = m.updates.take(m.view, maxUpdateBytes, m.idIfNotAlive(target.ID)...)
	return Outgoing{To: target.Addr, Message: message}
}

// idIfNotAlive returns the id if the member is known and not believed alive.
func (m *Member) idIfNotAlive(id string) []string {
	if e := m.view.entries[id]; e != nil && e.State != StateAlive {
		return []string{id}
	}
	return nil
}

// checkProbes requests indirect probes after directTimeout, suspects targets
// after probeTimeout and expires the probes on behalf of others.
func (m *Member) checkProbes() []Outgoing {
	var out []Outgoing
	for _, seq := range slices.Sorted(maps.Keys(m.probes.pending)) {
		p := m.probes.pending[seq]
		waited := m.now - p.sent
		switch {
		case waited >= probeTimeout:
			delete(m.probes.pending, seq)
			m.suspect(p.target)
		case waited >= directTimeout && !p.indirectRequested:
			p.indirectRequested = true
			out = append(out, m.requestIndirectProbes(seq, p)...)
		}
	}
	for seq, s := range m.probes.proxied {
		if m.now-s.sent >= probeTimeout {
			delete(m.probes.proxied, seq)
		}
	}
	return out
}

func (m *Member) requestIndirectProbes(seq uint64, p *probe) []Outgoing {
	target := m.view.entries[p.target]
	if target == nil {
		return nil
	}
	var out []Outgoing
	for _, prober := range m.sample(m.localPeers(), indirectProbers+1) {
		if prober == target || len(out) == indirectProbers {
			continue
		}
		message := m.message(KindPingRequest)
		message.Seq, message.Target, message.TargetAddr = seq, target.ID, target.Addr
		out = append(out, Outgoing{To: prober.Addr, Message: message})
	}
	return out
}

// suspect marks a member as suspect after it did not answer a probe.
func (m *Member) suspect(id string) {
	e := m.view.entries[id]
	if e == nil || e.State != StateAlive {
		return
	}
	r := e.Record
	r.State = StateSuspect
	m.view.put(r, m.now).suspectUntil = m.now + suspectTimeout
	m.enqueueUpdate(&r)
}

// expireSuspicions declares dead the members that did not refute in time.
// A member of another data centre is declared dead only by members of that data
// centre.
func (m *Member) expireSuspicions() {
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
	m.enqueueUpdate(&r)
	m.addEvent(EventDead, r.ID)
}

// reconnect pings one member that was declared dead without having left, so
// that the two sides of a healed partition find each other.
func (m *Member) reconnect() []Outgoing {
	var lost []*entry
	for _, e := range m.view.dataCentres[m.self.DataCentre].order {
		if e.State == StateDead && !e.Leaving && !e.replaced {
			lost = append(lost, e)
		}
	}
	target := m.randomEntry(lost)
	if target == nil {
		return nil
	}
	m.probes.reconnectSeq = m.probes.next()
	return []Outgoing{m.ping(target, m.probes.reconnectSeq)}
}

// sweep removes members that are dead for deadRetention, and the members of
// data centres that are unreachable for unreachableRetention.
func (m *Member) sweep() {
	for name, d := range m.view.dataCentres {
		silent := d.unreachable && m.now-d.lastAnswer >= unreachableRetention
		for _, e := range slices.Clone(d.order) {
			if silent || e.State == StateDead && m.now-e.updated >= deadRetention {
				m.view.remove(e)
			}
		}
		if len(d.members) == 0 {
			delete(m.view.dataCentres, name)
			delete(m.view.byHash, dataCentreHash(name))
		}
	}
}

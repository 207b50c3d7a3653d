package member

import "time"

// Receive takes a message that came from an address and returns the answers.
func (m *Member) Receive(now time.Duration, from string, message *Message) []Outgoing {
	var out []Outgoing
	if now-m.now > pauseBound {
		out = m.Tick(now)
	}
	m.now = max(m.now, now)
	if m.superseded {
		return nil
	}
	if message.From == m.self.ID {
		m.hearOwn(Record{ID: m.self.ID, Incarnation: message.Incarnation, Addr: from})
		return out
	}
	m.hearSender(from, message)
	for i := range message.Updates {
		if m.merge(&message.Updates[i]) {
			m.spread(&message.Updates[i])
		}
	}
	if message.FromDataCentre == m.self.DataCentre {
		m.hearContacts(message.Contacts)
	}
	if m.superseded {
		return nil
	}
	return append(out, m.answer(from, message)...)
}

func (m *Member) answer(from string, message *Message) []Outgoing {
	switch message.Kind {
	case KindPing:
		return m.answerPing(from, message)
	case KindAck:
		return m.takeAck(from, message)
	case KindPingRequest:
		return m.serveProbe(from, message)
	case KindWrongTarget:
		m.takeWrongTarget(message)
	case KindDigest:
		return m.compareDigests(from, message)
	case KindDigestAck:
		m.contacted(message.FromDataCentre)
	case KindBuckets:
		m.contacted(message.FromDataCentre)
		return m.compareBuckets(from, message)
	case KindRecords:
		return m.takeRecords(from, message)
	}
	return nil
}

// hearSender takes what the sender says of itself on every message.
func (m *Member) hearSender(from string, message *Message) {
	if message.Revision > m.self.Revision && message.Revision >= m.newest.Revision {
		m.newest = RevisionSource{message.Revision, from}
	}
	e := m.view.entries[message.From]
	if e == nil || e.Incarnation != message.Incarnation {
		return
	}
	e.Revision = max(e.Revision, message.Revision)
}

// merge takes news of one member and reports whether it was new.
func (m *Member) merge(r *Record) bool {
	if r.ID == m.self.ID {
		m.hearOwn(*r)
		return false
	}
	known := m.view.entries[r.ID]
	if known == nil {
		return m.mergeUnknown(r)
	}
	if !r.overrides(&known.Record) {
		known.Revision = max(known.Revision, r.Revision)
		return false
	}
	if m.isHearsay(r, known) {
		r.State = StateSuspect
	}
	m.tell(r, known)
	r.Revision = max(r.Revision, known.Revision)
	m.take(r)
	return true
}

// take puts news into the view.
func (m *Member) take(r *Record) {
	if m.merged++; m.merged == manyChanges {
		m.hurry()
	}
	holder := m.view.byAddr[r.Addr]
	e := m.view.put(*r, m.now)
	e.suspectUntil = m.now + suspectTimeout
	if holder == nil || holder == e || r.State == StateDead {
		return
	}
	m.settleAddress(holder, e)
}

// settleAddress declares dead the older of two instances at one address.
func (m *Member) settleAddress(a, b *entry) {
	if b.ID == m.self.ID || a.ID != m.self.ID && b.Incarnation > a.Incarnation {
		a, b = b, a
	}
	m.view.byAddr[a.Addr] = a
	b.replaced = true
	m.declareDead(b)
}

// mergeUnknown takes news of a member that was not known. The dead are
// remembered, but no news.
func (m *Member) mergeUnknown(r *Record) bool {
	m.take(r)
	if r.State == StateDead {
		return false
	}
	m.event(EventUp, r.ID)
	return true
}

// isHearsay reports whether a death in this data centre is told to one who
// knew of no suspicion. The accused then gets the time to refute, or the two
// sides of a healed partition would declare each other dead.
func (m *Member) isHearsay(r *Record, known *entry) bool {
	return r.State == StateDead && known.State == StateAlive &&
		r.Incarnation == known.Incarnation && r.DataCentre == m.self.DataCentre
}

// tell records what news means for an operator.
func (m *Member) tell(r *Record, known *entry) {
	switch {
	case r.State == StateDead && !r.Leaving:
		m.event(EventDead, r.ID)
	case r.State != StateDead && known.State == StateDead:
		m.event(EventUp, r.ID)
	case r.Leaving && !known.Leaving:
		m.event(EventLeaving, r.ID)
	}
}

// hearOwn takes news of the own id. At the own address it is an older process
// or a suspicion, and is refuted. At another address the id is given twice: the
// process that started last keeps it.
func (m *Member) hearOwn(r Record) {
	if r.Incarnation < m.self.Incarnation {
		return
	}
	if r.Addr == m.self.Addr {
		if r.Incarnation > m.self.Incarnation || r.State > m.self.State {
			m.renew(r.Incarnation + 1)
		}
		return
	}
	if m.now-m.started <= youngFor {
		m.renew(r.Incarnation + 1)
		return
	}
	m.superseded = true
	if !m.self.Leaving { // a successor that starts during a planned stop is no fault
		m.event(EventSuperseded, m.self.ID)
	}
}

func (m *Member) answerPing(from string, message *Message) []Outgoing {
	if message.Target != m.self.ID {
		answer := m.message(KindWrongTarget)
		answer.Target, answer.Seq = message.Target, message.Seq
		answer.Updates = m.news.take(m.view, maxRumourBytes, m.self.ID)
		return []Outgoing{{To: from, Message: answer}}
	}
	answer := m.message(KindAck)
	answer.Seq, answer.Target = message.Seq, m.self.ID
	answer.Updates = m.news.take(m.view, maxRumourBytes, m.doubted(message.From)...)
	return []Outgoing{{To: from, Message: answer}}
}

func (m *Member) takeAck(from string, message *Message) []Outgoing {
	if s, ok := m.probes.serving[message.Seq]; ok && message.From == message.Target {
		delete(m.probes.serving, message.Seq)
		answer := m.message(KindAck)
		answer.Seq, answer.Target = s.originSeq, message.Target
		return []Outgoing{{To: s.origin, Message: answer}}
	}
	if p := m.probes.waiting[message.Seq]; p != nil && p.target == message.Target {
		delete(m.probes.waiting, message.Seq)
		return nil
	}
	if message.Seq == m.probes.reconnect {
		return []Outgoing{m.digest(from)}
	}
	return nil
}

// serveProbe pings a target for another member.
func (m *Member) serveProbe(from string, message *Message) []Outgoing {
	if len(m.probes.serving) >= maxProbesForOthers {
		return nil
	}
	seq := m.probes.next()
	m.probes.serving[seq] = service{from, message.Seq, m.now}
	ping := m.message(KindPing)
	ping.Seq, ping.Target = seq, message.Target
	ping.Updates = m.news.take(m.view, maxRumourBytes, m.doubted(message.Target)...)
	return []Outgoing{{To: message.TargetAddr, Message: ping}}
}

// takeWrongTarget declares dead a member whose address another one answers at.
func (m *Member) takeWrongTarget(message *Message) {
	e := m.view.entries[message.Target]
	if e == nil || e.ID == m.self.ID {
		return
	}
	e.replaced = true
	if e.State != StateDead {
		m.declareDead(e)
	}
}

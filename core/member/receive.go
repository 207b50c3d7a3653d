package member

import "time"

// Receive processes a message that came from an address and returns the
// messages to send. It may modify the records of the message.
func (m *Member) Receive(now time.Duration, from string, message *Message) []Outgoing {
	var out []Outgoing
	if now-m.now > maxTickGap {
		out = m.Tick(now)
	}
	m.now = max(m.now, now)
	if m.superseded {
		return nil
	}
	if message.From == m.self.ID {
		m.mergeOwn(Record{ID: m.self.ID, Incarnation: message.Incarnation, Addr: from})
		return out
	}
	m.mergeSender(from, message)
	m.recordReader(message)
	for i := range message.Updates {
		if m.merge(&message.Updates[i]) {
			m.enqueueUpdate(&message.Updates[i])
		}
	}
	if message.FromDataCentre == m.self.DataCentre {
		m.mergeContacts(message.Contacts)
	}
	if m.superseded {
		return nil
	}
	return append(out, m.handle(from, message)...)
}

func (m *Member) handle(from string, message *Message) []Outgoing {
	switch message.Kind {
	case KindPing:
		return m.handlePing(from, message)
	case KindAck:
		return m.handleAck(from, message)
	case KindPingRequest:
		return m.handlePingRequest(from, message)
	case KindWrongTarget:
		m.handleWrongTarget(message)
	case KindDigest:
		return m.compareDigests(from, message)
	case KindDigestAck:
		m.recordAnswer(message.FromDataCentre)
	case KindBuckets:
		m.recordAnswer(message.FromDataCentre)
		return m.compareBuckets(from, message)
	case KindRecords:
		return m.mergeRecords(from, message)
	}
	return nil
}

// mergeSender applies what the sender reports about itself on every message.
func (m *Member) mergeSender(from string, message *Message) {
	if message.Revision > m.self.Revision && message.Revision >= m.highest.Revision {
		m.highest = RevisionSource{message.Revision, from}
	}
	e := m.view.entries[message.From]
	if e == nil || e.Incarnation != message.Incarnation {
		return
	}
	e.Revision = max(e.Revision, message.Revision)
}

// merge applies a received record and reports whether it should be
// disseminated.
func (m *Member) merge(r *Record) bool {
	if r.ID == m.self.ID {
		m.mergeOwn(*r)
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
	if m.isUnsuspectedDeath(r, known) {
		r.State = StateSuspect
	}
	m.addChangeEvent(r, known)
	r.Revision = max(r.Revision, known.Revision)
	m.apply(r)
	return true
}

// apply puts a record into the view.
func (m *Member) apply(r *Record) {
	if m.mergedSinceDigest++; m.mergedSinceDigest == bulkChanges {
		m.scheduleFastDigests()
	}
	holder := m.view.byAddr[r.Addr]
	e := m.view.put(*r, m.now)
	e.suspectUntil = m.now + suspectTimeout
	if holder == nil || holder == e || r.State == StateDead {
		return
	}
	m.resolveAddressConflict(holder, e)
}

// resolveAddressConflict declares dead the older of two instances at one
// address.
func (m *Member) resolveAddressConflict(a, b *entry) {
	if b.ID == m.self.ID || a.ID != m.self.ID && b.Incarnation > a.Incarnation {
		a, b = b, a
	}
	m.view.byAddr[a.Addr] = a
	b.replaced = true
	m.declareDead(b)
}

// mergeUnknown applies the record of an unknown member. Dead ones are
// recorded but not disseminated.
func (m *Member) mergeUnknown(r *Record) bool {
	m.apply(r)
	if r.State == StateDead {
		return false
	}
	m.addEvent(EventUp, r.ID)
	return true
}

// isUnsuspectedDeath reports whether r declares dead a member of this data
// centre that is believed alive here. Such a member is first suspected, so that
// it has time to refute; otherwise the two sides of a healed partition would
// declare each other dead.
func (m *Member) isUnsuspectedDeath(r *Record, known *entry) bool {
	return r.State == StateDead && known.State == StateAlive &&
		r.Incarnation == known.Incarnation && r.DataCentre == m.self.DataCentre
}

// addChangeEvent adds the operator event for a change of a known member, if
// there is one.
func (m *Member) addChangeEvent(r *Record, known *entry) {
	switch {
	case r.State == StateDead && !r.Leaving:
		m.addEvent(EventDead, r.ID)
	case r.State != StateDead && known.State == StateDead:
		m.addEvent(EventUp, r.ID)
	case r.Leaving && !known.Leaving:
		m.addEvent(EventLeaving, r.ID)
	}
}

// mergeOwn handles a received record with this member's id. If it has this
// member's address, it is a suspicion or comes from an earlier process, and is
// refuted. If it has another address, two processes use the id; the one that
// started later keeps it.
func (m *Member) mergeOwn(r Record) {
	if r.Incarnation < m.self.Incarnation {
		return
	}
	if r.Addr == m.self.Addr {
		if r.Incarnation > m.self.Incarnation || r.State > m.self.State {
			m.setIncarnation(r.Incarnation + 1)
		}
		return
	}
	if m.now-m.started <= takeoverPeriod {
		m.setIncarnation(r.Incarnation + 1)
		return
	}
	m.superseded = true
	if !m.self.Leaving { // a successor may start during a drain
		m.addEvent(EventSuperseded, m.self.ID)
	}
}

func (m *Member) handlePing(from string, message *Message) []Outgoing {
	if message.Target != m.self.ID {
		reply := m.message(KindWrongTarget)
		reply.Target, reply.Seq = message.Target, message.Seq
		reply.Updates = m.updates.take(m.view, maxUpdateBytes, m.self.ID)
		return []Outgoing{{To: from, Message: reply}}
	}
	reply := m.message(KindAck)
	reply.Seq, reply.Target = message.Seq, m.self.ID
	reply.Updates = m.updates.take(m.view, maxUpdateBytes, m.idIfNotAlive(message.From)...)
	return []Outgoing{{To: from, Message: reply}}
}

func (m *Member) handleAck(from string, message *Message) []Outgoing {
	if s, ok := m.probes.proxied[message.Seq]; ok && message.From == message.Target {
		delete(m.probes.proxied, message.Seq)
		reply := m.message(KindAck)
		reply.Seq, reply.Target = s.originSeq, message.Target
		return []Outgoing{{To: s.origin, Message: reply}}
	}
	if p := m.probes.pending[message.Seq]; p != nil && p.target == message.Target {
		delete(m.probes.pending, message.Seq)
		return nil
	}
	if message.Seq == m.probes.reconnectSeq {
		return []Outgoing{m.digestMessage(from)}
	}
	return nil
}

// handlePingRequest pings a target on behalf of another member.
func (m *Member) handlePingRequest(from string, message *Message) []Outgoing {
	if len(m.probes.proxied) >= maxProxyProbes {
		return nil
	}
	seq := m.probes.next()
	m.probes.proxied[seq] = proxyProbe{from, message.Seq, m.now}
	ping := m.message(KindPing)
	ping.Seq, ping.Target = seq, message.Target
	ping.Updates = m.updates.take(m.view, maxUpdateBytes, m.idIfNotAlive(message.Target)...)
	return []Outgoing{{To: message.TargetAddr, Message: ping}}
}

// handleWrongTarget declares dead a member whose address belongs to another
// instance.
func (m *Member) handleWrongTarget(message *Message) {
	e := m.view.entries[message.Target]
	if e == nil || e.ID == m.self.ID {
		return
	}
	e.replaced = true
	if e.State != StateDead {
		m.declareDead(e)
	}
}

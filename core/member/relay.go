package member

import (
	"cmp"
	"slices"
	"time"
)

// relayPurpose is the hash key prefix for the selection of relays.
const relayPurpose = "relay"

// Chosen returns up to n members of this data centre that rendezvous hashing
// selects for a purpose. Members with the same view select the same. Leaving
// members are not selected.
// Source: Thaler, Ravishankar, "Using name-based mappings to increase hit
// rates", IEEE/ACM Transactions on Networking, 1998.
func (m *Member) Chosen(purpose string, n int) []string {
	return m.chosenIn(m.self.DataCentre, purpose, n, isLeaving)
}

// IsChosen reports whether this member is among the members that Chosen
// returns.
func (m *Member) IsChosen(purpose string, n int) bool {
	return slices.Contains(m.Chosen(purpose, n), m.self.ID)
}

func isLeaving(r *Record) bool { return r.Leaving }

func (m *Member) isRelay() bool { return m.IsChosen(relayPurpose, Relays) }

// RelayIDs returns the relays of this data centre. Members with the same view
// return the same order.
func (m *Member) RelayIDs() []string { return m.Chosen(relayPurpose, Relays) }

// IsRelay reports whether this member is a relay of its data centre.
func (m *Member) IsRelay() bool { return m.isRelay() }

// chosenIn returns up to n members of a data centre that rendezvous hashing selects for
// a purpose, without those that skip reports.
func (m *Member) chosenIn(name, purpose string, n int, skip func(*Record) bool) []string {
	d := m.view.dataCentres[name]
	if d == nil {
		return nil
	}
	type scored struct {
		id    string
		score uint64
	}
	var best []scored
	for _, e := range d.order {
		if e.State == StateDead || skip(&e.Record) {
			continue
		}
		s := scored{e.ID, hashOf(purpose + "/" + e.ID)}
		if len(best) == n && s.score <= best[n-1].score {
			continue
		}
		best = append(best[:min(len(best), n-1)], s)
		slices.SortFunc(best, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	}
	ids := make([]string, len(best))
	for i, s := range best {
		ids[i] = s.id
	}
	return ids
}

// otherDataCentres returns the names of the other data centres, sorted.
func (m *Member) otherDataCentres() []string {
	return slices.DeleteFunc(m.view.dataCentreNames(), func(name string) bool { return name == m.self.DataCentre })
}

// pickRelay returns a random relay of another data centre. Without an answer
// for relayFallbackTimeout it returns any live member half of the time.
func (m *Member) pickRelay(name string) *entry {
	if m.now-m.view.dataCentres[name].lastAnswer > relayFallbackTimeout && m.random.IntN(2) == 0 {
		return m.randomEntry(m.livePeersIn(name))
	}
	ids := m.chosenIn(name, relayPurpose, Relays, isLeaving)
	if len(ids) == 0 {
		return m.randomEntry(m.livePeersIn(name))
	}
	return m.view.entries[ids[m.random.IntN(len(ids))]]
}

// sendRelayDigests sends a digest to each other data centre if this member is a
// relay.
func (m *Member) sendRelayDigests() []Outgoing {
	if !m.isRelay() {
		return nil
	}
	var out []Outgoing
	for _, name := range m.otherDataCentres() {
		out = append(out, m.digestTo(m.pickRelay(name))...)
	}
	return out
}

// forwardUpdates sends the updates of this data centre, and a new settings
// revision, to the reachable data centres if this member is a relay.
// Unreachable ones get them later from digests.
func (m *Member) forwardUpdates() []Outgoing {
	if !m.isRelay() {
		m.forwardQueue = nil
		return nil
	}
	records := m.dequeueForward()
	if len(records) == 0 && m.announceRemaining == 0 {
		return nil
	}
	var out []Outgoing
	for _, name := range m.otherDataCentres() {
		if m.view.dataCentres[name].unreachable {
			continue
		}
		if e := m.pickRelay(name); e != nil {
			message := m.message(KindGossip)
			message.Contacts = nil
			message.Updates = records
			out = append(out, Outgoing{To: e.Addr, Message: message})
		}
	}
	return out
}

// dequeueForward removes as many records as fit one message from the forward
// queue and returns them.
func (m *Member) dequeueForward() []Record {
	var records []Record
	bytes := maxUpdateBytes
	for len(m.forwardQueue) > 0 {
		e := m.view.entries[m.forwardQueue[0]]
		if e != nil && e.size() > bytes {
			break
		}
		if e != nil {
			bytes -= e.size()
			records = append(records, e.Record)
		}
		m.forwardQueue = m.forwardQueue[1:]
	}
	return records
}

// recordAnswer records an answer from a data centre at the current time.
func (m *Member) recordAnswer(name string) {
	if d := m.view.dataCentres[name]; d != nil {
		m.recordAnswerAt(name, d, m.now)
	}
}

// recordAnswerAt records an answer from a data centre at a time, received here
// or by another member of this data centre. If the data centre was unreachable,
// it becomes reachable again, and this is announced to this data centre immediately.
func (m *Member) recordAnswerAt(name string, d *dataCentre, at time.Duration) {
	d.lastAnswer = max(d.lastAnswer, at)
	if !d.unreachable || m.now-d.lastAnswer > unreachableAfter {
		return
	}
	d.unreachable = false
	m.view.version++
	m.addEvent(EventReachable, name)
	m.announceRemaining = announceIntervals
	m.schedule.gossip = m.now
}

// contacts returns the time since the last answer of each other data centre, for
// a message.
func (m *Member) contacts() []Contact {
	if len(m.view.dataCentres) < 2 {
		return nil
	}
	var contacts []Contact
	for name, d := range m.view.dataCentres {
		if name == m.self.DataCentre {
			continue
		}
		age := (m.now - d.lastAnswer + ageUnit - 1) / ageUnit
		contacts = append(contacts, Contact{dataCentreHash(name), uint16(min(age, maxContactAge))})
	}
	slices.SortFunc(contacts, func(a, b Contact) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return contacts
}

// mergeContacts keeps the later of the known and the received last answer of
// each data centre. Contacts come only from members of this data centre: what
// another data centre reaches does not show what this one reaches.
func (m *Member) mergeContacts(contacts []Contact) {
	for _, c := range contacts {
		name := m.view.byHash[c.DataCentre]
		if d := m.view.dataCentres[name]; d != nil {
			m.recordAnswerAt(name, d, m.now-time.Duration(c.Age)*ageUnit)
		}
	}
}

// markUnreachable marks the data centres that stopped answering.
func (m *Member) markUnreachable() {
	for _, name := range m.otherDataCentres() {
		d := m.view.dataCentres[name]
		if d.unreachable || m.now-d.lastAnswer <= unreachableAfter {
			continue
		}
		d.unreachable = true
		m.view.version++
		m.addEvent(EventUnreachable, name)
	}
}

// Unreachable returns the names of the unreachable data centres, sorted.
func (m *Member) Unreachable() []string {
	return slices.DeleteFunc(m.otherDataCentres(), func(name string) bool { return !m.view.dataCentres[name].unreachable })
}

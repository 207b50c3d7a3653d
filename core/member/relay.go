package member

import (
	"cmp"
	"slices"
	"time"
)

// relayPurpose names the choice of relays.
const relayPurpose = "relay"

// Chosen returns the n members of this data centre that rendezvous hashing
// picks for a purpose. Members with the same view pick the same. Leaving members
// are not picked.
// Source: Thaler, Ravishankar, "Using name-based mappings to increase hit
// rates", IEEE/ACM Transactions on Networking, 1998.
func (m *Member) Chosen(purpose string, n int) []string {
	return m.chosenIn(m.self.DataCentre, purpose, n)
}

// IsChosen reports whether this member is one of the chosen.
func (m *Member) IsChosen(purpose string, n int) bool {
	return slices.Contains(m.Chosen(purpose, n), m.self.ID)
}

func (m *Member) isRelay() bool { return m.IsChosen(relayPurpose, Relays) }

// RelayIDs returns the relays of this data centre, in an order on which members
// with the same view agree.
func (m *Member) RelayIDs() []string { return m.Chosen(relayPurpose, Relays) }

// IsRelay reports whether this member is a relay of its data centre.
func (m *Member) IsRelay() bool { return m.isRelay() }

func (m *Member) chosenIn(name, purpose string, n int) []string {
	d := m.view.centres[name]
	if d == nil {
		return nil
	}
	type scored struct {
		id    string
		score uint64
	}
	var best []scored
	for _, e := range d.order {
		if e.State == StateDead || e.Leaving {
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

// otherCentres returns the names of the other data centres, sorted.
func (m *Member) otherCentres() []string {
	return slices.DeleteFunc(m.view.centreNames(), func(name string) bool { return name == m.self.DataCentre })
}

// relayIn returns a relay of another data centre, or any member of it once it
// has been silent for a while.
func (m *Member) relayIn(name string) *entry {
	if m.now-m.view.centres[name].contact > relayPatience && m.random.IntN(2) == 0 {
		return m.random1(m.live(name))
	}
	ids := m.chosenIn(name, relayPurpose, Relays)
	if len(ids) == 0 {
		return m.random1(m.live(name))
	}
	return m.view.entries[ids[m.random.IntN(len(ids))]]
}

// contactCentres sends a digest to each other data centre if this is a relay.
func (m *Member) contactCentres() []Outgoing {
	if !m.isRelay() {
		return nil
	}
	var out []Outgoing
	for _, name := range m.otherCentres() {
		out = append(out, m.digestTo(m.relayIn(name))...)
	}
	return out
}

// forwardNews sends this data centre's news, and a new settings revision, to
// the data centres that are reachable. The others learn it from digests later.
func (m *Member) forwardNews() []Outgoing {
	if !m.isRelay() {
		m.forward = nil
		return nil
	}
	records := m.takeForward()
	if len(records) == 0 && m.announce == 0 {
		return nil
	}
	var out []Outgoing
	for _, name := range m.otherCentres() {
		if m.view.centres[name].unreachable {
			continue
		}
		if e := m.relayIn(name); e != nil {
			message := m.message(KindGossip)
			message.Contacts = nil
			message.Updates = records
			out = append(out, Outgoing{To: e.Addr, Message: message})
		}
	}
	return out
}

// takeForward takes the records to be forwarded that fit one message.
func (m *Member) takeForward() []Record {
	var records []Record
	bytes := maxRumourBytes
	for len(m.forward) > 0 {
		e := m.view.entries[m.forward[0]]
		if e != nil && e.size() > bytes {
			break
		}
		if e != nil {
			bytes -= e.size()
			records = append(records, e.Record)
		}
		m.forward = m.forward[1:]
	}
	return records
}

// contacted notes an answer from a data centre.
func (m *Member) contacted(name string) {
	if d := m.view.centres[name]; d != nil {
		m.reached(name, d, m.now)
	}
}

// reached notes a contact. The end of a partition is told at once.
func (m *Member) reached(name string, d *dataCentre, at time.Duration) {
	d.contact = max(d.contact, at)
	if !d.unreachable || m.now-d.contact > unreachableAfter {
		return
	}
	d.unreachable = false
	m.view.version++
	m.event(EventReachable, name)
	m.announce = announceRounds
	m.schedule.gossip = m.now
}

// contacts returns the ages of contacts for a message.
func (m *Member) contacts() []Contact {
	if len(m.view.centres) < 2 {
		return nil
	}
	var contacts []Contact
	for name, d := range m.view.centres {
		if name == m.self.DataCentre {
			continue
		}
		age := (m.now - d.contact + ageUnit - 1) / ageUnit
		contacts = append(contacts, Contact{centreHash(name), uint16(min(age, maxAge))})
	}
	slices.SortFunc(contacts, func(a, b Contact) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return contacts
}

// hearContacts takes the younger of the known and the told contact. What a
// member of another data centre reaches says nothing of what this one does.
func (m *Member) hearContacts(contacts []Contact) {
	for _, c := range contacts {
		name := m.view.byHash[c.DataCentre]
		if d := m.view.centres[name]; d != nil {
			m.reached(name, d, m.now-time.Duration(c.Age)*ageUnit)
		}
	}
}

// judgeCentres tells which data centres stopped answering.
func (m *Member) judgeCentres() {
	for _, name := range m.otherCentres() {
		d := m.view.centres[name]
		if d.unreachable || m.now-d.contact <= unreachableAfter {
			continue
		}
		d.unreachable = true
		m.view.version++
		m.event(EventUnreachable, name)
	}
}

// Unreachable returns the data centres that do not answer, sorted.
func (m *Member) Unreachable() []string {
	return slices.DeleteFunc(m.otherCentres(), func(name string) bool { return !m.view.centres[name].unreachable })
}

package member

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Member is one member's state machine.
type Member struct {
	self   Record
	view   *view
	random *rand.Rand

	started, now time.Duration
	superseded   bool

	news rumours
	// forward lists own news of this data centre that relays send on.
	forward []string
	// newest is the highest settings revision heard of, and who told it.
	newest RevisionSource
	// merged counts the news since the last digest, and soon the digests that
	// still follow quickly because there was much.
	merged, soon int
	// compared is when many changes last made this member ask for digests.
	compared time.Duration
	// announce counts the rounds in which the own revision is still told.
	announce int

	probes   probes
	schedule schedule
	events   []Event
	dropped  uint64
}

// schedule is when each kind of work is next due.
type schedule struct {
	probe, gossip, digest, relay, reconnect, sweep time.Duration
}

// RevisionSource is a settings revision and the peer address that has it.
type RevisionSource struct {
	Revision uint64
	Addr     string
}

// New returns the member of a record at a time. The record's incarnation is the
// wall clock in milliseconds. The Member owns the random source.
func New(self Record, now time.Duration, random *rand.Rand) *Member {
	self.Started = self.Incarnation
	m := &Member{self: self, view: newView(), random: random, started: now, now: now}
	m.probes.init()
	m.view.put(self, now)
	m.news.add(self.ID, 1)
	m.schedule = schedule{
		probe:     now + m.jitter(probeInterval),
		gossip:    now,
		digest:    now + m.jitter(digestSoon),
		relay:     now + m.jitter(relayInterval),
		reconnect: now + m.jitter(reconnectInterval),
		sweep:     now + sweepInterval,
	}
	return m
}

// jitter returns a time from half of d to one and a half of it.
func (m *Member) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(m.random.Int64N(int64(d)))
}

// Tick does what is due. It is called every gossip interval or more often.
// Times before the last one count as the last one.
func (m *Member) Tick(now time.Duration) []Outgoing {
	gap := now - m.now
	m.now = max(m.now, now)
	if m.superseded {
		return nil
	}
	var out []Outgoing
	if gap > pauseBound {
		out = m.resume(gap)
	}
	out = append(out, m.probe()...)
	m.bury()
	if m.now >= m.schedule.gossip {
		m.schedule.gossip = m.now + gossipInterval
		out = append(out, m.gossip()...)
	}
	if m.now >= m.schedule.digest {
		m.schedule.digest = m.now + m.jitter(m.digestPause())
		out = append(out, m.digestTo(m.random1(m.peersHere()))...)
	}
	if m.now >= m.schedule.relay {
		m.schedule.relay = m.now + relayInterval
		m.judgeCentres()
		out = append(out, m.contactCentres()...)
	}
	if m.now >= m.schedule.reconnect {
		m.schedule.reconnect = m.now + m.jitter(reconnectInterval)
		out = append(out, m.reconnect()...)
	}
	if m.now >= m.schedule.sweep {
		m.schedule.sweep = m.now + sweepInterval
		m.sweep()
	}
	return out
}

// resume treats a pause as time that did not pass: nothing is judged by it. The
// member raises its incarnation, since others may have declared it dead, and
// asks for what it missed.
func (m *Member) resume(gap time.Duration) []Outgoing {
	m.event(EventResumed, m.self.ID)
	m.probes.init()
	for _, e := range m.view.entries {
		e.changed += gap
		e.suspectUntil += gap
	}
	for _, d := range m.view.centres {
		d.contact += gap
	}
	m.renew(m.self.Incarnation + 1)
	var out []Outgoing
	for range helpers {
		out = append(out, m.digestTo(m.random1(m.peersHere()))...)
	}
	return out
}

// renew sets the own incarnation and spreads the own record.
func (m *Member) renew(incarnation uint64) {
	m.self.Incarnation = incarnation
	m.publish()
}

func (m *Member) publish() {
	m.view.put(m.self, m.now)
	m.spread(&m.self)
}

// spread queues news for this data centre, and for the others if it is of this
// data centre.
func (m *Member) spread(r *Record) {
	m.news.add(r.ID, len(m.view.centres[m.self.DataCentre].members))
	if r.DataCentre == m.self.DataCentre && !slices.Contains(m.forward, r.ID) {
		m.forward = append(m.forward, r.ID)
	}
}

// Join asks addresses for their view. At most maxJoin are asked.
func (m *Member) Join(addrs []string) []Outgoing {
	var out []Outgoing
	for _, addr := range addrs[:min(len(addrs), maxJoin)] {
		if addr != m.self.Addr {
			out = append(out, m.digest(addr))
		}
	}
	return out
}

// Leave begins the planned stop: the member says that it takes no new work.
func (m *Member) Leave(now time.Duration) []Outgoing {
	m.now = max(m.now, now)
	m.self.Leaving = true
	m.renew(m.self.Incarnation + 1)
	return m.tellSome()
}

// SetLeaving tells the peers that this instance takes no work for now, or takes work
// again.
func (m *Member) SetLeaving(now time.Duration, resting bool) []Outgoing {
	m.now = max(m.now, now)
	if m.self.Leaving == resting {
		return nil
	}
	m.self.Leaving = resting
	m.renew(m.self.Incarnation + 1)
	return m.tellSome()
}

// Stop is the last word of a member that stops.
func (m *Member) Stop(now time.Duration) []Outgoing {
	m.now = max(m.now, now)
	m.self.Leaving = true
	m.self.State = StateDead
	m.renew(m.self.Incarnation + 1)
	return m.tellSome()
}

// tellSome sends the own record to several members, and to a relay of this data
// centre.
func (m *Member) tellSome() []Outgoing {
	if m.superseded {
		return nil
	}
	to := m.sample(m.peersHere(), 2*gossipFanout)
	for _, id := range m.Chosen(relayPurpose, Relays) {
		if e := m.view.entries[id]; id != m.self.ID && !slices.Contains(to, e) {
			to = append(to, e)
			break
		}
	}
	out := make([]Outgoing, 0, len(to))
	for _, e := range to {
		message := m.message(KindGossip)
		message.Updates = m.news.take(m.view, maxRumourBytes, m.self.ID)
		out = append(out, Outgoing{To: e.Addr, Message: message})
	}
	return append(out, m.forwardNews()...)
}

// SetRevision tells the settings revision in force; a higher one is announced
// with the next tick.
func (m *Member) SetRevision(revision uint64) {
	if revision <= m.self.Revision {
		return
	}
	m.self.Revision = revision
	m.view.entries[m.self.ID].Revision = revision
	m.announce = announceRounds
	m.schedule.gossip = m.now
}

// HighestRevision returns the highest settings revision that was heard of.
func (m *Member) HighestRevision() RevisionSource { return m.newest }

// Superseded reports whether another process holds this member's id.
func (m *Member) Superseded() bool { return m.superseded }

// Self returns the own record.
func (m *Member) Self() Record { return m.self }

// Version changes whenever Peers may have.
func (m *Member) Version() uint64 { return m.view.version }

// Events returns what happened since the last call. At most maxEvents are kept.
func (m *Member) Events() []Event {
	events := m.events
	m.events = nil
	return events
}

// DroppedEvents counts the events that were not kept.
func (m *Member) DroppedEvents() uint64 { return m.dropped }

func (m *Member) event(kind EventKind, subject string) {
	if len(m.events) >= maxEvents {
		m.dropped++
		return
	}
	m.events = append(m.events, Event{kind, subject})
}

// Peer is a member as routing sees it.
type Peer struct {
	Record
	// Unreachable is set while the member's data centre does not answer.
	Unreachable bool
	// AliveSince is when this member first saw it alive.
	AliveSince time.Duration
}

// Peers returns the members that are not dead, this one included, sorted
// by data centre and id.
func (m *Member) Peers() []Peer {
	peers := make([]Peer, 0, len(m.view.entries))
	for _, name := range m.view.centreNames() {
		d := m.view.centres[name]
		for _, e := range d.order {
			if e.State != StateDead {
				peers = append(peers, Peer{e.Record, d.unreachable, e.since})
			}
		}
	}
	return peers
}

// peersHere returns the other members of this data centre that are not dead,
// in a fixed order.
func (m *Member) peersHere() []*entry { return m.live(m.self.DataCentre) }

func (m *Member) live(name string) []*entry {
	d := m.view.centres[name]
	if d == nil {
		return nil
	}
	list := make([]*entry, 0, len(d.members))
	for _, e := range d.order {
		if e.State != StateDead && e.ID != m.self.ID {
			list = append(list, e)
		}
	}
	return list
}

// random1 returns one entry, or nil.
func (m *Member) random1(list []*entry) *entry {
	if len(list) == 0 {
		return nil
	}
	return list[m.random.IntN(len(list))]
}

// sample returns up to n different entries. It reorders the list.
func (m *Member) sample(list []*entry, n int) []*entry {
	n = min(n, len(list))
	for i := range n {
		j := i + m.random.IntN(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
	return list[:n:n]
}

// message returns a message with the sender's part set. Messages that go to
// other data centres carry no contacts: those are of this one.
func (m *Member) message(kind Kind) Message {
	message := Message{
		Kind: kind, From: m.self.ID, FromDataCentre: m.self.DataCentre,
		Incarnation: m.self.Incarnation, Revision: m.self.Revision,
	}
	if kind <= KindGossip {
		message.Contacts = m.contacts()
	}
	return message
}

package member

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Member is the membership state machine of one instance.
type Member struct {
	self   Record
	view   *view
	random *rand.Rand

	started, now time.Duration
	superseded   bool

	// updates are disseminated inside this data centre.
	updates updateQueue
	// forwardQueue lists ids of this data centre whose records relays forward
	// to the other data centres.
	forwardQueue []string
	// highest is the highest settings revision received and its sender.
	highest RevisionSource
	// mergedSinceDigest counts the records merged since the last digest.
	// fastDigestsRemaining counts the digests still to be sent at
	// fastDigestInterval.
	mergedSinceDigest, fastDigestsRemaining int
	// lastFastDigests is when an exchange with at least bulkChanges changes last
	// made this member send digests.
	lastFastDigests time.Duration
	// announceRemaining counts the gossip intervals in which this member's
	// settings revision, or the end of a partition, is still announced.
	announceRemaining int
	// reading is the last result of IsReader. readerHeard is when this member last
	// received a message of a reader of its data centre, 0 if it never has.
	reading     Reading
	readerHeard time.Duration

	probes        probes
	schedule      schedule
	events        []Event
	droppedEvents uint64
}

// schedule holds the time at which each periodic task is next due.
type schedule struct {
	probe, gossip, digest, relay, reconnect, sweep, beacon time.Duration
}

// RevisionSource is a settings revision and the peer address to fetch it from.
type RevisionSource struct {
	Revision uint64
	Addr     string
}

// New returns a Member for the instance described by self, started at now. The
// incarnation of self is the wall clock in milliseconds. The Member owns the
// random source.
func New(self Record, now time.Duration, random *rand.Rand) *Member {
	self.Started = self.Incarnation
	m := &Member{self: self, view: newView(), random: random, started: now, now: now}
	m.probes.init()
	m.view.put(self, now)
	m.updates.add(self.ID, 1)
	m.schedule = schedule{
		probe:     now + m.jitter(probeInterval),
		gossip:    now,
		digest:    now + m.jitter(fastDigestInterval),
		relay:     now + m.jitter(relayInterval),
		reconnect: now + m.jitter(reconnectInterval),
		sweep:     now + sweepInterval,
	}
	return m
}

// jitter returns a random duration between d/2 and 3*d/2.
func (m *Member) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(m.random.Int64N(int64(d)))
}

// Tick runs the tasks that are due and returns the messages to send. Call it at
// least once per gossip interval. Times before the previous one count as the
// previous one.
func (m *Member) Tick(now time.Duration) []Outgoing {
	gap := now - m.now
	m.now = max(m.now, now)
	if m.superseded {
		return nil
	}
	var out []Outgoing
	if gap > maxTickGap {
		out = m.resume(gap)
	}
	out = append(out, m.probe()...)
	m.expireSuspicions()
	if m.now >= m.schedule.gossip {
		m.schedule.gossip = m.now + gossipInterval
		out = append(out, m.gossip()...)
	}
	out = append(out, m.sendBeacons()...)
	if m.now >= m.schedule.digest {
		m.schedule.digest = m.now + m.jitter(m.nextDigestInterval())
		out = append(out, m.digestTo(m.randomEntry(m.localPeers()))...)
	}
	if m.now >= m.schedule.relay {
		m.schedule.relay = m.now + relayInterval
		m.markUnreachable()
		out = append(out, m.sendRelayDigests()...)
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

// resume handles a pause of this process as time that did not pass, so that no
// timeout expires because of it. The member raises its incarnation, since
// others may have declared it dead, and requests the updates that it missed.
func (m *Member) resume(gap time.Duration) []Outgoing {
	m.addEvent(EventResumed, m.self.ID)
	m.probes.init()
	for _, e := range m.view.entries {
		e.updated += gap
		e.suspectUntil += gap
	}
	for _, d := range m.view.dataCentres {
		d.lastAnswer += gap
	}
	m.setIncarnation(m.self.Incarnation + 1)
	var out []Outgoing
	for range indirectProbers {
		out = append(out, m.digestTo(m.randomEntry(m.localPeers()))...)
	}
	return out
}

// setIncarnation sets this member's incarnation and disseminates its record.
func (m *Member) setIncarnation(incarnation uint64) {
	m.self.Incarnation = incarnation
	m.publishSelf()
}

func (m *Member) publishSelf() {
	m.view.put(m.self, m.now)
	m.enqueueUpdate(&m.self)
}

// enqueueUpdate queues a record for this data centre and, if the member is in
// this data centre, for the others.
func (m *Member) enqueueUpdate(r *Record) {
	m.updates.add(r.ID, len(m.view.dataCentres[m.self.DataCentre].members))
	if r.DataCentre == m.self.DataCentre && !slices.Contains(m.forwardQueue, r.ID) {
		m.forwardQueue = append(m.forwardQueue, r.ID)
	}
}

// Join sends digests to the addresses, which answer with their view. At most
// maxJoin addresses are used.
func (m *Member) Join(addrs []string) []Outgoing {
	var out []Outgoing
	for _, addr := range addrs[:min(len(addrs), maxJoin)] {
		if addr != m.self.Addr {
			out = append(out, m.digestMessage(addr))
		}
	}
	return out
}

// Leave begins the drain: it marks this member as leaving and
// announces that immediately, also if SetLeaving has done so before.
func (m *Member) Leave(now time.Duration) []Outgoing {
	m.now = max(m.now, now)
	m.self.Leaving = true
	m.setIncarnation(m.self.Incarnation + 1)
	return m.announceSelf()
}

// SetLeaving announces that this instance takes no new work for now, or that it
// takes work again. It does nothing if that is already announced.
func (m *Member) SetLeaving(now time.Duration, leaving bool) []Outgoing {
	m.now = max(m.now, now)
	if m.self.Leaving == leaving {
		return nil
	}
	m.self.Leaving = leaving
	m.setIncarnation(m.self.Incarnation + 1)
	return m.announceSelf()
}

// SetStoreAway announces that this member can't read the platform's store, or that it
// can again. It does nothing if that is already announced.
func (m *Member) SetStoreAway(now time.Duration, away bool) []Outgoing {
	m.now = max(m.now, now)
	if m.self.StoreAway == away {
		return nil
	}
	m.self.StoreAway = away
	m.setIncarnation(m.self.Incarnation + 1)
	return m.announceSelf()
}

// Stop announces that this member has left, as the last step of a drain.
func (m *Member) Stop(now time.Duration) []Outgoing {
	m.now = max(m.now, now)
	m.self.Leaving = true
	m.self.State = StateDead
	m.setIncarnation(m.self.Incarnation + 1)
	return m.announceSelf()
}

// announceSelf sends this member's record to several members and to one relay
// of this data centre.
func (m *Member) announceSelf() []Outgoing {
	if m.superseded {
		return nil
	}
	to := m.sample(m.localPeers(), 2*gossipFanout)
	for _, id := range m.Chosen(relayPurpose, Relays) {
		if e := m.view.entries[id]; id != m.self.ID && !slices.Contains(to, e) {
			to = append(to, e)
			break
		}
	}
	out := make([]Outgoing, 0, len(to))
	for _, e := range to {
		message := m.message(KindGossip)
		message.Updates = m.updates.take(m.view, maxUpdateBytes, m.self.ID)
		out = append(out, Outgoing{To: e.Addr, Message: message})
	}
	return append(out, m.forwardUpdates()...)
}

// SetRevision sets this member's settings revision in force and announces it at
// the next tick. A revision that is not higher than the current one is ignored.
func (m *Member) SetRevision(revision uint64) {
	if revision <= m.self.Revision {
		return
	}
	m.self.Revision = revision
	m.view.entries[m.self.ID].Revision = revision
	m.announceRemaining = announceIntervals
	m.schedule.gossip = m.now
}

// HighestRevision returns the highest settings revision received from a peer.
func (m *Member) HighestRevision() RevisionSource { return m.highest }

// Superseded reports whether another process has taken over this member's id.
func (m *Member) Superseded() bool { return m.superseded }

// Self returns this member's record.
func (m *Member) Self() Record { return m.self }

// Version returns a number that changes whenever the result of Peers may have
// changed.
func (m *Member) Version() uint64 { return m.view.version }

// Events returns the events since the last call, at most maxEvents.
func (m *Member) Events() []Event {
	events := m.events
	m.events = nil
	return events
}

// DroppedEvents returns the number of events dropped since the start because
// maxEvents were already queued.
func (m *Member) DroppedEvents() uint64 { return m.droppedEvents }

func (m *Member) addEvent(kind EventKind, subject string) {
	if len(m.events) >= maxEvents {
		m.droppedEvents++
		return
	}
	m.events = append(m.events, Event{kind, subject})
}

// Peer is a member that is not dead, with what routing needs to know of it.
type Peer struct {
	Record
	// Unreachable is set while the member's data centre does not answer.
	Unreachable bool
	// AliveSince is when this member first saw the peer alive.
	AliveSince time.Duration
}

// Peers returns the members that are not dead, this one included, sorted by
// data centre and id.
func (m *Member) Peers() []Peer {
	peers := make([]Peer, 0, len(m.view.entries))
	for _, name := range m.view.dataCentreNames() {
		d := m.view.dataCentres[name]
		for _, e := range d.order {
			if e.State != StateDead {
				peers = append(peers, Peer{e.Record, d.unreachable, e.aliveSince})
			}
		}
	}
	return peers
}

// localPeers returns the other members of this data centre that are not dead,
// sorted by id.
func (m *Member) localPeers() []*entry { return m.livePeersIn(m.self.DataCentre) }

// livePeersIn returns the other members of a data centre that are not dead,
// sorted by id.
func (m *Member) livePeersIn(name string) []*entry {
	d := m.view.dataCentres[name]
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

// randomEntry returns a random entry, or nil if the list is empty.
func (m *Member) randomEntry(list []*entry) *entry {
	if len(list) == 0 {
		return nil
	}
	return list[m.random.IntN(len(list))]
}

// sample returns up to n different random entries. It reorders the list.
func (m *Member) sample(list []*entry, n int) []*entry {
	n = min(n, len(list))
	for i := range n {
		j := i + m.random.IntN(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
	return list[:n:n]
}

// message returns a message with the sender's fields set. Messages to other
// data centres carry no contacts, which hold only for this data centre.
func (m *Member) message(kind Kind) Message {
	message := Message{
		Kind: kind, From: m.self.ID, FromDataCentre: m.self.DataCentre,
		Incarnation: m.self.Incarnation, Revision: m.self.Revision, Reading: m.reading,
	}
	if kind <= KindGossip {
		message.Contacts = m.contacts()
	}
	return message
}

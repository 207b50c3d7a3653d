package member

import (
	"slices"
	"time"
)

// Reading says whether a member reads the platform's store for its data centre.
type Reading uint8

// The values of Reading, as messages carry them.
const (
	// NotReading members leave it to others.
	NotReading Reading = 0
	// ReadingChosen members read because rendezvous hashing selects them.
	ReadingChosen Reading = 1
	// ReadingSubstitute members read because they hear of no reader.
	ReadingSubstitute Reading = 2
)

// IsReader reports whether this member reads the platform's store for the others of
// its data centre: because it is one of the n members that rendezvous hashing selects
// for a purpose, or because it has heard from no reader for readerSilence. Failure
// detection alone would leave a member whose readers are cut off without changes for
// seconds. The result is announced to the others, so it is to be asked for regularly.
//
// Members that can't read the store are selected only if no member can, and leaving
// members only if there are no others: after a start, all are leaving until their
// upstreams have announced themselves.
func (m *Member) IsReader(purpose string, n int) bool {
	reading := NotReading
	switch {
	case m.isSelectedReader(purpose, n):
		reading = ReadingChosen
	case m.isWithoutReader():
		reading = ReadingSubstitute
	}
	if reading != m.reading {
		m.reading = reading
		m.schedule.beacon = m.now
	}
	return reading != NotReading
}

func (m *Member) isSelectedReader(purpose string, n int) bool {
	for _, skip := range []func(*Record) bool{
		func(r *Record) bool { return r.Leaving || r.StoreAway },
		func(r *Record) bool { return r.StoreAway },
		isLeaving,
		func(*Record) bool { return false },
	} {
		if ids := m.chosenIn(m.self.DataCentre, purpose, n, skip); len(ids) > 0 {
			return slices.Contains(ids, m.self.ID)
		}
	}
	return false
}

// isWithoutReader reports whether the readers of this data centre have gone silent. In
// a large data centre, and until a reader was heard once, only failure detection shows
// that.
func (m *Member) isWithoutReader() bool {
	if m.readerHeard == 0 || len(m.localPeers()) > maxSilenceMembers {
		return false
	}
	return m.now-m.readerHeard > readerSilence
}

// recordReader records a message of a reader of this data centre. Of several
// substitutes the one with the lowest id goes on reading.
func (m *Member) recordReader(message *Message) {
	if message.Reading == NotReading || message.FromDataCentre != m.self.DataCentre {
		return
	}
	if m.reading == ReadingSubstitute && message.Reading == ReadingSubstitute && message.From > m.self.ID {
		return
	}
	m.readerHeard = max(m.now, 1)
}

// sendBeacons tells the members of this data centre that this member reads the store.
// All messages of a reader say so; beacons bound the time between two of them.
func (m *Member) sendBeacons() []Outgoing {
	if m.reading == NotReading || m.now < m.schedule.beacon {
		return nil
	}
	peers := m.localPeers()
	m.schedule.beacon = m.now + max(beaconInterval, time.Duration(len(peers))*beaconSpacing)
	if len(peers) > maxBeaconMembers {
		return nil
	}
	out := make([]Outgoing, 0, len(peers))
	for _, e := range peers {
		message := m.message(KindGossip)
		message.Contacts = nil
		out = append(out, Outgoing{To: e.Addr, Message: message})
	}
	return out
}

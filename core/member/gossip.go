package member

import (
	"cmp"
	"slices"
	"time"
)

// gossip sends rumours and the settings revision while there is something new.
func (m *Member) gossip() []Outgoing {
	var out []Outgoing
	if len(m.forward) > 0 || m.announce > 0 {
		out = m.forwardNews()
	}
	fanout := 0
	if len(m.news.queue) > 0 {
		fanout = gossipFanout
	}
	if m.announce > 0 {
		m.announce--
		fanout = announceFanout
	}
	if fanout == 0 {
		return out
	}
	for _, e := range m.sample(m.peersHere(), fanout) {
		message := m.message(KindGossip)
		message.Updates = m.news.take(m.view, maxRumourBytes)
		out = append(out, Outgoing{To: e.Addr, Message: message})
	}
	return out
}

// digest asks an address for a comparison of views.
func (m *Member) digest(addr string) Outgoing {
	message := m.message(KindDigest)
	for _, name := range m.view.centreNames() {
		message.Digests = append(message.Digests, Digest{name, m.view.centres[name].digest()})
	}
	message.Updates = m.news.take(m.view, maxRumourBytes/2)
	return Outgoing{To: addr, Message: message}
}

func (m *Member) digestTo(e *entry) []Outgoing {
	if e == nil {
		return nil
	}
	return []Outgoing{m.digest(e.Addr)}
}

// compareDigests answers with the bucket sums of the data centres that differ.
func (m *Member) compareDigests(from string, message *Message) []Outgoing {
	theirs := map[string]uint64{}
	for _, d := range message.Digests {
		theirs[d.DataCentre] = d.Sum
		m.view.centre(d.DataCentre, m.now)
	}
	var out []Outgoing
	for _, name := range m.view.centreNames() {
		d := m.view.centres[name]
		if theirs[name] == d.digest() {
			continue
		}
		answer := m.message(KindBuckets)
		answer.DataCentre, answer.Sums = name, slices.Clone(d.sums[:])
		out = append(out, Outgoing{To: from, Message: answer})
	}
	if len(out) == 0 {
		out = append(out, Outgoing{To: from, Message: m.message(KindDigestAck)})
	}
	return out
}

// compareBuckets sends the records of the buckets that differ.
func (m *Member) compareBuckets(from string, message *Message) []Outgoing {
	if len(message.Sums) != buckets {
		return nil
	}
	d := m.view.centre(message.DataCentre, m.now)
	var mask uint64
	for i, sum := range message.Sums {
		if sum != d.sums[i] {
			mask |= 1 << i
		}
	}
	if mask == 0 {
		return nil
	}
	answer := m.message(KindRecords)
	answer.DataCentre, answer.Mask, answer.Reply = message.DataCentre, mask, true
	answer.Records = m.view.inBuckets(message.DataCentre, mask)
	return []Outgoing{m.records(from, answer)}
}

// records makes a message with records, over a stream if it is large.
func (m *Member) records(to string, message Message) Outgoing {
	size := 0
	for i := range message.Records {
		size += message.Records[i].size()
	}
	return Outgoing{To: to, Reliable: size > maxRumourBytes, Message: message}
}

// takeRecords merges records and returns those that the sender lacks. Few
// changes become rumours; many are spread by further comparisons, which carry
// each record once.
func (m *Member) takeRecords(from string, message *Message) []Outgoing {
	theirs := map[string]*Record{}
	var changed []*Record
	for i := range message.Records {
		r := &message.Records[i]
		copied := *r
		theirs[r.ID] = &copied
		if m.merge(r) {
			changed = append(changed, r)
		}
	}
	var out []Outgoing
	if message.Reply {
		out = m.replyRecords(from, message, theirs)
	}
	if len(changed) >= manyChanges {
		return append(out, m.compareSoon()...)
	}
	for _, r := range changed {
		m.spread(r)
	}
	return out
}

func (m *Member) replyRecords(from string, message *Message, theirs map[string]*Record) []Outgoing {
	answer := m.message(KindRecords)
	answer.DataCentre, answer.Mask = message.DataCentre, message.Mask
	for _, r := range m.view.inBuckets(message.DataCentre, message.Mask) {
		if known := theirs[r.ID]; known == nil || r.overrides(known) {
			answer.Records = append(answer.Records, r)
		}
	}
	if len(answer.Records) == 0 {
		return nil
	}
	return []Outgoing{m.records(from, answer)}
}

// compareSoon asks some members for a comparison now, and once more shortly.
func (m *Member) compareSoon() []Outgoing {
	m.hurry()
	if m.now-m.compared < digestSoon {
		return nil
	}
	m.compared = m.now
	var out []Outgoing
	for _, e := range m.sample(m.peersHere(), gossipFanout) {
		out = append(out, m.digest(e.Addr))
	}
	return out
}

// hurry lets some digests follow quickly, so that whoever missed a rumour while
// there was much news learns it soon.
func (m *Member) hurry() {
	m.soon = digestsSoon
	m.schedule.digest = min(m.schedule.digest, m.now+m.jitter(digestSoon))
}

// digestPause returns the mean pause until the next digest.
func (m *Member) digestPause() time.Duration {
	m.merged = 0
	if m.soon == 0 {
		return digestInterval
	}
	m.soon--
	return digestSoon
}

func sortEntries(list []*entry) {
	slices.SortFunc(list, func(a, b *entry) int { return cmp.Compare(a.ID, b.ID) })
}

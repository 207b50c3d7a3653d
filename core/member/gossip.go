package member

import (
	"cmp"
	"slices"
	"time"
)

// gossip sends queued updates and the settings revision while there are any to
// send.
func (m *Member) gossip() []Outgoing {
	var out []Outgoing
	if len(m.forwardQueue) > 0 || m.announceRemaining > 0 {
		out = m.forwardUpdates()
	}
	fanout := 0
	if len(m.updates.updates) > 0 {
		fanout = gossipFanout
	}
	if m.announceRemaining > 0 {
		m.announceRemaining--
		fanout = announceFanout
	}
	if fanout == 0 {
		return out
	}
	for _, e := range m.sample(m.localPeers(), fanout) {
		message := m.message(KindGossip)
		message.Updates = m.updates.take(m.view, maxUpdateBytes)
		out = append(out, Outgoing{To: e.Addr, Message: message})
	}
	return out
}

// digestMessage returns a message that asks an address to compare its view with
// this one.
func (m *Member) digestMessage(addr string) Outgoing {
	message := m.message(KindDigest)
	for _, name := range m.view.dataCentreNames() {
		message.Digests = append(message.Digests, Digest{name, m.view.dataCentres[name].digest()})
	}
	message.Updates = m.updates.take(m.view, maxUpdateBytes/2)
	return Outgoing{To: addr, Message: message}
}

func (m *Member) digestTo(e *entry) []Outgoing {
	if e == nil {
		return nil
	}
	return []Outgoing{m.digestMessage(e.Addr)}
}

// compareDigests answers a digest with the bucket sums of the data centres that
// differ.
func (m *Member) compareDigests(from string, message *Message) []Outgoing {
	senderSums := map[string]uint64{}
	for _, d := range message.Digests {
		senderSums[d.DataCentre] = d.Sum
		m.view.dataCentre(d.DataCentre, m.now)
	}
	var out []Outgoing
	for _, name := range m.view.dataCentreNames() {
		d := m.view.dataCentres[name]
		if senderSums[name] == d.digest() {
			continue
		}
		reply := m.message(KindBuckets)
		reply.DataCentre, reply.Sums = name, slices.Clone(d.sums[:])
		out = append(out, Outgoing{To: from, Message: reply})
	}
	if len(out) == 0 {
		out = append(out, Outgoing{To: from, Message: m.message(KindDigestAck)})
	}
	return out
}

// compareBuckets answers bucket sums with the records of the buckets that
// differ.
func (m *Member) compareBuckets(from string, message *Message) []Outgoing {
	if len(message.Sums) != buckets {
		return nil
	}
	d := m.view.dataCentre(message.DataCentre, m.now)
	var mask uint64
	for i, sum := range message.Sums {
		if sum != d.sums[i] {
			mask |= 1 << i
		}
	}
	if mask == 0 {
		return nil
	}
	reply := m.message(KindRecords)
	reply.DataCentre, reply.Mask, reply.WantReply = message.DataCentre, mask, true
	reply.Records = m.view.recordsInBuckets(message.DataCentre, mask)
	return []Outgoing{m.recordsMessage(from, reply)}
}

// recordsMessage returns a message with records, sent over a stream if it is
// large.
func (m *Member) recordsMessage(to string, message Message) Outgoing {
	size := 0
	for i := range message.Records {
		size += message.Records[i].size()
	}
	return Outgoing{To: to, Reliable: size > maxUpdateBytes, Message: message}
}

// mergeRecords merges records and returns those that the sender lacks. Fewer
// than bulkChanges changes are queued as updates; more are spread by further
// digests, which send each record only once.
func (m *Member) mergeRecords(from string, message *Message) []Outgoing {
	senderRecords := map[string]*Record{}
	var changed []*Record
	for i := range message.Records {
		r := &message.Records[i]
		copied := *r
		senderRecords[r.ID] = &copied
		if m.merge(r) {
			changed = append(changed, r)
		}
	}
	var out []Outgoing
	if message.WantReply {
		out = m.replyRecords(from, message, senderRecords)
	}
	if len(changed) >= bulkChanges {
		return append(out, m.sendFastDigests()...)
	}
	for _, r := range changed {
		m.enqueueUpdate(r)
	}
	return out
}

// replyRecords returns this member's records of the same buckets that the sender
// lacks or has in an older version.
func (m *Member) replyRecords(from string, message *Message, senderRecords map[string]*Record) []Outgoing {
	reply := m.message(KindRecords)
	reply.DataCentre, reply.Mask = message.DataCentre, message.Mask
	for _, r := range m.view.recordsInBuckets(message.DataCentre, message.Mask) {
		if known := senderRecords[r.ID]; known == nil || r.overrides(known) {
			reply.Records = append(reply.Records, r)
		}
	}
	if len(reply.Records) == 0 {
		return nil
	}
	return []Outgoing{m.recordsMessage(from, reply)}
}

// sendFastDigests sends digests to some members now and schedules more of them
// shortly.
func (m *Member) sendFastDigests() []Outgoing {
	m.scheduleFastDigests()
	if m.now-m.lastFastDigests < fastDigestInterval {
		return nil
	}
	m.lastFastDigests = m.now
	var out []Outgoing
	for _, e := range m.sample(m.localPeers(), gossipFanout) {
		out = append(out, m.digestMessage(e.Addr))
	}
	return out
}

// scheduleFastDigests shortens the interval of the next digests, so that
// members that missed an update during many changes receive it soon.
func (m *Member) scheduleFastDigests() {
	m.fastDigestsRemaining = fastDigests
	m.schedule.digest = min(m.schedule.digest, m.now+m.jitter(fastDigestInterval))
}

// nextDigestInterval returns the mean time until the next digest.
func (m *Member) nextDigestInterval() time.Duration {
	m.mergedSinceDigest = 0
	if m.fastDigestsRemaining == 0 {
		return digestInterval
	}
	m.fastDigestsRemaining--
	return fastDigestInterval
}

func sortEntries(list []*entry) {
	slices.SortFunc(list, func(a, b *entry) int { return cmp.Compare(a.ID, b.ID) })
}

package member

import (
	"math"
	"time"
)

const (
	// probeInterval is the time between two probes by one member.
	probeInterval = time.Second
	// directTimeout is the wait for a direct ack before indirect probes are
	// requested.
	directTimeout = 300 * time.Millisecond
	// probeTimeout is the wait for any ack, direct or indirect, before the
	// target is suspected.
	probeTimeout = 900 * time.Millisecond
	// indirectProbers is the number of members asked to probe a target
	// indirectly.
	indirectProbers = 3
	// suspectTimeout is the time that a suspect has to refute the suspicion.
	suspectTimeout = 4 * time.Second

	// gossipInterval is the time between messages that carry only updates. None
	// is sent while the update queue is empty.
	gossipInterval = 200 * time.Millisecond
	// gossipFanout is the number of receivers of such a message.
	gossipFanout = 2
	// announceFanout is the number of members that receive a new settings
	// revision, or the end of a partition, in each gossip interval, and
	// announceIntervals the number of such intervals.
	announceFanout    = 3
	announceIntervals = 2
	// retransmitFactor times the decimal logarithm of the number of members is
	// the number of times that a member sends one update.
	retransmitFactor = 4

	// digestInterval is the mean time between digests inside a data centre.
	digestInterval = 10 * time.Second
	// fastDigestInterval is the mean time between digests after at least
	// bulkChanges changes.
	fastDigestInterval = time.Second
	// fastDigests is the number of digests sent at fastDigestInterval after at
	// least bulkChanges changes.
	fastDigests = 4
	// bulkChanges is the number of changed records, in one exchange or between
	// two digests, from which on digests spread them faster.
	bulkChanges = 16
	// relayInterval is the time between the digests that a relay sends to each
	// other data centre.
	relayInterval = 2500 * time.Millisecond
	// Relays is the number of relays of a data centre.
	Relays = 3
	// relayFallbackTimeout is the time without an answer from a data centre
	// after which relays also try members of it that are not its relays.
	relayFallbackTimeout = 5 * time.Second
	// unreachableAfter is the time without an answer after which a data centre
	// counts as unreachable.
	unreachableAfter = 15 * time.Second

	// beaconInterval is the minimum interval of the beacons of a reader, and
	// beaconSpacing bounds their rate: the interval is as many times longer as the
	// data centre has other members.
	beaconInterval = 500 * time.Millisecond
	beaconSpacing  = 50 * time.Millisecond
	// readerSilence is the time without a message of a reader after which a member
	// reads the store itself. Two readers send beacons, and a datagram may be lost.
	readerSilence = 1500 * time.Millisecond

	// reconnectInterval is the mean time between attempts to reach a dead
	// member.
	reconnectInterval = 2 * time.Second
	// deadRetention is the time that a dead member is retained, so that stale
	// records can't bring it back.
	deadRetention = 10 * time.Minute
	// unreachableRetention is the time that the members of an unreachable data
	// centre are retained.
	unreachableRetention = 24 * time.Hour
	// sweepInterval is the time between removals of expired members.
	sweepInterval = 30 * time.Second

	// ageUnit is the unit of Contact.Age.
	ageUnit = 100 * time.Millisecond

	// maxTickGap is the longest gap between two ticks; a longer one counts as a
	// pause of the process.
	maxTickGap = 3 * time.Second
	// takeoverPeriod is the time after its start in which a member takes its id
	// over from an older process.
	takeoverPeriod = 10 * time.Second
)

const (
	// maxUpdateBytes bounds the updates in one message, so that the message
	// fits a datagram of 1,200 bytes.
	maxUpdateBytes = 700
	// maxBeaconMembers is the largest number of other members of a data centre to which
	// readers send beacons. maxSilenceMembers is the largest number with which a member
	// relies on them; it is lower, since views differ.
	maxBeaconMembers  = 48
	maxSilenceMembers = 32
	// maxQueuedUpdates bounds the queued updates.
	maxQueuedUpdates = 24
	// maxContactAge is the upper bound of Contact.Age, in units of ageUnit.
	maxContactAge = math.MaxUint16
	// maxProxyProbes bounds the concurrent probes on behalf of other members.
	maxProxyProbes = 64
	// buckets is the number of hash buckets of a data centre's records that are
	// compared separately: 64, since Message.Mask has one bit for each.
	buckets = 64
	// maxEvents bounds the events queued until the next call of Member.Events;
	// further events are dropped.
	maxEvents = 256
	// maxJoin bounds the addresses that one Join contacts.
	maxJoin = 8
)

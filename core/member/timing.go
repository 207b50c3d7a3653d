package member

import (
	"math"
	"time"
)

const (
	// probeInterval is the pause between the probes of one member.
	probeInterval = time.Second
	// directTimeout is the wait for an answer before helpers are asked.
	directTimeout = 300 * time.Millisecond
	// probeTimeout is the wait for any answer before the target is suspected.
	probeTimeout = 900 * time.Millisecond
	// helpers is the number of members asked to probe on behalf of another.
	helpers = 3
	// suspectTimeout is the time that a suspect has to refute.
	suspectTimeout = 4 * time.Second

	// gossipInterval is the pause between messages that only carry rumours.
	// None is sent while there is no rumour.
	gossipInterval = 200 * time.Millisecond
	// gossipFanout is the number of members that get such a message.
	gossipFanout = 2
	// announceFanout is the number of members told at once of a new settings
	// revision, and announceRounds the number of gossip intervals it is done.
	announceFanout = 3
	announceRounds = 2
	// retransmitFactor times the decimal logarithm of the members is how often
	// one member sends one rumour.
	retransmitFactor = 4

	// digestInterval is the mean pause between digests inside a data centre.
	digestInterval = 10 * time.Second
	// digestSoon is that pause after an exchange that changed much.
	digestSoon = time.Second
	// digestsSoon is how many digests then follow quickly.
	digestsSoon = 4
	// manyChanges is the changed records, of one exchange or between two
	// digests, that count as much.
	manyChanges = 16
	// relayInterval is the pause between the digests that a relay sends to
	// each other data centre.
	relayInterval = 2500 * time.Millisecond
	// Relays is the number of relays of a data centre.
	Relays = 3
	// relayPatience is the silence of a data centre after which relays try
	// members of it that are not its relays.
	relayPatience = 5 * time.Second
	// unreachableAfter is the time without an answer from a data centre after
	// which it is unreachable.
	unreachableAfter = 15 * time.Second

	// reconnectInterval is the pause between tries to reach a dead member.
	reconnectInterval = 2 * time.Second
	// deadRetention is how long a dead member is remembered, so that older
	// news can't bring it back.
	deadRetention = 10 * time.Minute
	// forgetAfter is how long the members of an unreachable data centre are
	// kept.
	forgetAfter = 24 * time.Hour
	// sweepInterval is the pause between looks for what may be forgotten.
	sweepInterval = 30 * time.Second

	// ageUnit is the unit in which messages give the age of a contact.
	ageUnit = 100 * time.Millisecond

	// pauseBound is the gap between two ticks that counts as a pause.
	pauseBound = 3 * time.Second
	// youngFor is the time after the start in which a member takes its id over
	// from an older holder.
	youngFor = 10 * time.Second
)

const (
	// maxRumourBytes bounds the rumours of one message, so that it fits a
	// datagram of 1,200 bytes.
	maxRumourBytes = 700
	// maxRumours bounds the rumours that wait to be sent.
	maxRumours = 24
	// maxAge caps the age of a contact in a message, in units of ageUnit.
	maxAge = math.MaxUint16
	// maxProbesForOthers bounds the probes done for others at one time.
	maxProbesForOthers = 64
	// buckets is the number of parts of a data centre that are compared on
	// their own.
	buckets = 64
	// maxEvents bounds the events kept until they are taken; later ones are
	// dropped.
	maxEvents = 256
	// maxJoin bounds the join addresses tried at once.
	maxJoin = 8
)

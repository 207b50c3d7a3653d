package member

// Kind is the type of a Message.
type Kind uint8

// Kinds of messages.
const (
	// KindPing probes the target and asks for an ack.
	KindPing Kind = 1
	// KindAck acknowledges a ping, to the prober or to the member that probes
	// on its behalf.
	KindAck Kind = 2
	// KindPingRequest asks the receiver to probe a target indirectly.
	KindPingRequest Kind = 3
	// KindWrongTarget answers a ping for an instance that is not at this
	// address.
	KindWrongTarget Kind = 4
	// KindGossip carries only updates and the settings revision.
	KindGossip Kind = 5
	// KindDigest carries the digest of each data centre and asks the receiver
	// to compare them with its own.
	KindDigest Kind = 6
	// KindDigestAck reports that the digests are equal.
	KindDigestAck Kind = 7
	// KindBuckets carries the bucket sums of one data centre whose digests
	// differ.
	KindBuckets Kind = 8
	// KindRecords carries the records of the buckets that differ.
	KindRecords Kind = 9
)

// Message is a protocol message between two members. Kind determines which
// fields are set.
type Message struct {
	Kind Kind `cbor:"1,keyasint"`
	// From, FromDataCentre, Incarnation and Revision describe the sender.
	From           string `cbor:"2,keyasint"`
	FromDataCentre string `cbor:"3,keyasint,omitempty"`
	Incarnation    uint64 `cbor:"4,keyasint,omitempty"`
	Revision       uint64 `cbor:"5,keyasint,omitempty"`
	// 6 carried the admission level in an earlier version; don't reuse it.

	// Seq is the sequence number that matches an ack to its ping.
	Seq uint64 `cbor:"7,keyasint,omitempty"`
	// Target is the id of the instance that a ping is meant for.
	Target string `cbor:"8,keyasint,omitempty"`
	// TargetAddr is the host:port of the target of an indirect probe.
	TargetAddr string `cbor:"9,keyasint,omitempty"`
	// Contacts holds the time since each other data centre last answered.
	Contacts []Contact `cbor:"10,keyasint,omitempty"`
	// Updates are the membership records piggybacked on this message.
	Updates []Record `cbor:"11,keyasint,omitempty"`
	// Digests has one entry for each known data centre.
	Digests []Digest `cbor:"12,keyasint,omitempty"`
	// DataCentre is the data centre that Sums, Mask and Records belong to.
	DataCentre string `cbor:"13,keyasint,omitempty"`
	// Sums are the bucket sums of DataCentre.
	Sums []uint32 `cbor:"14,keyasint,omitempty"`
	// Mask has a bit for each bucket whose records are in Records.
	Mask uint64 `cbor:"15,keyasint,omitempty"`
	// Records are the sender's records of the buckets in Mask.
	Records []Record `cbor:"16,keyasint,omitempty"`
	// WantReply asks for the receiver's records of the same buckets.
	WantReply bool `cbor:"17,keyasint,omitempty"`
	// Reading says whether the sender reads the platform's store for its data centre.
	Reading Reading `cbor:"18,keyasint,omitempty"`
}

// Contact is the time since a data centre last answered a relay.
type Contact struct {
	// DataCentre is a hash of the data centre's name.
	DataCentre uint32 `cbor:"1,keyasint"`
	// Age is in tenths of a second.
	Age uint16 `cbor:"2,keyasint"`
}

// Digest is a checksum over the live records of one data centre.
type Digest struct {
	DataCentre string `cbor:"1,keyasint"`
	Sum        uint64 `cbor:"2,keyasint"`
}

// Outgoing is a message to be sent.
type Outgoing struct {
	// To is the host:port of the receiver's peer port.
	To string
	// Reliable messages may exceed a datagram and are sent over a stream.
	Reliable bool
	Message  Message
}

// EventKind is the type of an Event.
type EventKind uint8

// Kinds of events.
const (
	// EventUp means that a member is alive that was unknown or dead before.
	EventUp EventKind = 1
	// EventDead means that a member was declared dead: it did not refute its
	// suspicion in time, or another instance took its address.
	EventDead EventKind = 2
	// EventLeaving means that a member takes no new work, for example while
	// it drains.
	EventLeaving EventKind = 3
	// EventResumed means that this member detected that its process had been
	// paused.
	EventResumed EventKind = 4
	// EventSuperseded means that another process took over this member's id.
	EventSuperseded EventKind = 5
	// EventUnreachable means that a data centre stopped answering.
	EventUnreachable EventKind = 6
	// EventReachable means that an unreachable data centre answers again.
	EventReachable EventKind = 7
)

// Event is a membership change reported to operators.
type Event struct {
	Kind EventKind
	// Subject is an instance id or the name of a data centre.
	Subject string
}

package member

// Kind is the type of a Message.
type Kind uint8

// Kinds of messages.
const (
	// KindPing asks the target for an ack.
	KindPing Kind = 1
	// KindAck answers a ping, to the prober or through a helper.
	KindAck Kind = 2
	// KindPingRequest asks a helper to probe a target.
	KindPingRequest Kind = 3
	// KindWrongTarget answers a ping for another instance at this address.
	KindWrongTarget Kind = 4
	// KindGossip carries rumours and the settings revision only.
	KindGossip Kind = 5
	// KindDigest carries the digest of each data centre and asks for a
	// comparison.
	KindDigest Kind = 6
	// KindDigestAck says that the digests are equal.
	KindDigestAck Kind = 7
	// KindBuckets carries the bucket sums of a data centre that differs.
	KindBuckets Kind = 8
	// KindRecords carries the records of the buckets that differ.
	KindRecords Kind = 9
)

// Message is what members send each other. Which fields are set depends on
// Kind.
type Message struct {
	Kind Kind `cbor:"1,keyasint"`
	// From, FromDataCentre, Incarnation and Revision are the sender's.
	From           string `cbor:"2,keyasint"`
	FromDataCentre string `cbor:"3,keyasint,omitempty"`
	Incarnation    uint64 `cbor:"4,keyasint,omitempty"`
	Revision       uint64 `cbor:"5,keyasint,omitempty"`
	// Seq pairs a ping with its ack.
	Seq uint64 `cbor:"7,keyasint,omitempty"`
	// Target is the id that a ping is for.
	Target string `cbor:"8,keyasint,omitempty"`
	// TargetAddr is where a helper finds the target.
	TargetAddr string `cbor:"9,keyasint,omitempty"`
	// Contacts tells how long ago other data centres answered.
	Contacts []Contact `cbor:"10,keyasint,omitempty"`
	// Updates is recent news.
	Updates []Record `cbor:"11,keyasint,omitempty"`
	// Digests has one entry for each known data centre.
	Digests []Digest `cbor:"12,keyasint,omitempty"`
	// DataCentre is what Sums, Mask and Records are about.
	DataCentre string `cbor:"13,keyasint,omitempty"`
	// Sums are the bucket sums.
	Sums []uint32 `cbor:"14,keyasint,omitempty"`
	// Mask has a bit for each bucket whose records follow.
	Mask uint64 `cbor:"15,keyasint,omitempty"`
	// Records are all records of the buckets in Mask.
	Records []Record `cbor:"16,keyasint,omitempty"`
	// Reply asks for the receiver's records of the same buckets.
	Reply bool `cbor:"17,keyasint,omitempty"`
}

// Contact is the time since a data centre last answered a relay.
type Contact struct {
	// DataCentre is a hash of its name.
	DataCentre uint32 `cbor:"1,keyasint"`
	// Age is in tenths of a second.
	Age uint16 `cbor:"2,keyasint"`
}

// Digest sums up the live records of one data centre.
type Digest struct {
	DataCentre string `cbor:"1,keyasint"`
	Sum        uint64 `cbor:"2,keyasint"`
}

// Outgoing is a message to be sent.
type Outgoing struct {
	// To is the host:port of a peer port.
	To string
	// Reliable messages may exceed a datagram and go over a stream.
	Reliable bool
	Message  Message
}

// EventKind is what an Event tells.
type EventKind uint8

// Kinds of events.
const (
	// EventUp means that a member is alive that was not.
	EventUp EventKind = 1
	// EventDead means that a member did not refute its suspicion.
	EventDead EventKind = 2
	// EventLeaving means that a member began its planned stop.
	EventLeaving EventKind = 3
	// EventResumed means that this member found that it had been paused.
	EventResumed EventKind = 4
	// EventSuperseded means that another process took this member's id.
	EventSuperseded EventKind = 5
	// EventUnreachable means that a data centre stopped answering.
	EventUnreachable EventKind = 6
	// EventReachable means that it answers again.
	EventReachable EventKind = 7
)

// Event is a change that an operator may want to see.
type Event struct {
	Kind EventKind
	// Subject is the instance id or the data centre.
	Subject string
}

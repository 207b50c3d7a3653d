package member

import (
	"hash/fnv"
	"strconv"
)

// State is the believed state of a member.
type State uint8

// The states, in increasing precedence at the same incarnation.
const (
	// StateAlive members answer probes.
	StateAlive State = 0
	// StateSuspect members did not answer a probe and may still refute the
	// suspicion.
	StateSuspect State = 1
	// StateDead members have left, or did not refute their suspicion in time.
	StateDead State = 2
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case StateAlive:
		return "alive"
	case StateSuspect:
		return "suspect"
	case StateDead:
		return "dead"
	}
	return "state " + strconv.Itoa(int(s))
}

// Record is the membership record of one member, as exchanged between members.
type Record struct {
	// ID is the instance id.
	ID string `cbor:"1,keyasint"`
	// Service is the member's service; Region and DataCentre are its locality.
	Service    string `cbor:"2,keyasint,omitempty"`
	Region     string `cbor:"3,keyasint,omitempty"`
	DataCentre string `cbor:"4,keyasint,omitempty"`
	// Addr is the host:port of the member's peer port.
	Addr string `cbor:"5,keyasint,omitempty"`
	// Incarnation orders the records of one member; only the member itself
	// raises it. It starts at the wall clock in milliseconds, so that the
	// records of a restarted process override those of the previous one.
	Incarnation uint64 `cbor:"6,keyasint"`
	State       State  `cbor:"7,keyasint,omitempty"`
	// Leaving members take no new work.
	Leaving bool `cbor:"8,keyasint,omitempty"`
	// Revision is the last known settings revision in force at the member.
	Revision uint64 `cbor:"9,keyasint,omitempty"`
	// 10 carried the admission level in an earlier version; don't reuse it.

	// Admin is the host:port of the member's admin port.
	Admin string `cbor:"11,keyasint,omitempty"`
	// Started is the incarnation at the start of the process. It distinguishes
	// two processes with the same id.
	Started uint64 `cbor:"12,keyasint,omitempty"`
	// StoreAway members can't read the platform's store.
	StoreAway bool `cbor:"13,keyasint,omitempty"`
}

// recordOverhead is an upper bound of the encoded size of a record without its
// strings, in bytes.
const recordOverhead = 60

// size returns an upper bound of the encoded size in bytes.
func (r *Record) size() int {
	return recordOverhead + len(r.ID) + len(r.Service) + len(r.Region) + len(r.DataCentre) + len(r.Addr) + len(r.Admin)
}

// overrides reports whether r replaces the known record of the same member.
func (r *Record) overrides(known *Record) bool {
	if r.Incarnation != known.Incarnation {
		return r.Incarnation > known.Incarnation
	}
	return r.State > known.State
}

// sum returns the record's contribution to its bucket sum. It leaves out the
// suspect state, which is transient, and is 0 for dead members.
func (r *Record) sum() uint32 {
	if r.State == StateDead {
		return 0
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(r.ID))
	_, _ = h.Write(strconv.AppendUint(nil, r.Incarnation, 36))
	return mix(h.Sum64())
}

// mix folds 64 bits into 32, each of which depends on all input bits.
func mix(x uint64) uint32 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return uint32(x ^ x>>32)
}

func hashOf(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	return h.Sum64()
}

func bucketOf(id string) int { return int(mix(hashOf(id)) % buckets) }

package member

import (
	"hash/fnv"
	"strconv"
)

// State is what is believed of a member.
type State uint8

// The states, in the order in which one overrides another at the same
// incarnation.
const (
	// StateAlive members answer probes.
	StateAlive State = 0
	// StateSuspect members stayed silent and may still refute.
	StateSuspect State = 1
	// StateDead members left, or did not refute in time.
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

// Record is what members tell each other about one member.
type Record struct {
	// ID is the instance id.
	ID string `cbor:"1,keyasint"`
	// Service, Region and DataCentre place the member.
	Service    string `cbor:"2,keyasint,omitempty"`
	Region     string `cbor:"3,keyasint,omitempty"`
	DataCentre string `cbor:"4,keyasint,omitempty"`
	// Addr is the host:port of its peer port.
	Addr string `cbor:"5,keyasint,omitempty"`
	// Incarnation orders the news about a member. Only the member itself
	// raises it. It starts at the wall clock's milliseconds, so that a restarted
	// process is newer than the one before.
	Incarnation uint64 `cbor:"6,keyasint"`
	State       State  `cbor:"7,keyasint,omitempty"`
	// Leaving members take no new work.
	Leaving bool `cbor:"8,keyasint,omitempty"`
	// Revision is the settings revision that the member was last known to have
	// in force.
	Revision uint64 `cbor:"9,keyasint,omitempty"`
	// Admin is the host:port of its admin port, for operators.
	Admin string `cbor:"11,keyasint,omitempty"`
	// Started is the incarnation at the start of the process, which tells two
	// processes with the same id apart.
	Started uint64 `cbor:"12,keyasint,omitempty"`
}

// recordOverhead is an upper bound of the encoded bytes of a record beside its
// strings.
const recordOverhead = 60

// size returns an upper bound of the encoded bytes.
func (r *Record) size() int {
	return recordOverhead + len(r.ID) + len(r.Service) + len(r.Region) + len(r.DataCentre) + len(r.Addr) + len(r.Admin)
}

// overrides reports whether news r replaces what is known.
func (r *Record) overrides(known *Record) bool {
	if r.Incarnation != known.Incarnation {
		return r.Incarnation > known.Incarnation
	}
	return r.State > known.State
}

// sum is the record's part of a digest. Suspicion is passing and left out;
// the dead are not counted at all.
func (r *Record) sum() uint32 {
	if r.State == StateDead {
		return 0
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(r.ID))
	_, _ = h.Write(strconv.AppendUint(nil, r.Incarnation, 36))
	return mix(h.Sum64())
}

// mix folds 64 bits into 32 that all depend on each of them.
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

package route

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// tier is the distance of a peer: lower is nearer.
type tier int

const (
	tierDataCentre tier = iota
	tierRegion
	tierFar
	tiers
)

const (
	// subsetLeast is the peers of each tier that a daemon uses while it calls
	// little.
	subsetLeast = 8
	// callsPerPeer is the calls in flight at which the subset grows by one peer.
	callsPerPeer = 8
	// spillAt is the refusal rate of the nearer tiers above which a call may go
	// to a farther one.
	spillAt = 0.5
)

// service is what a Picker knows of one service.
type service struct {
	peers map[string]*peerState
	// ordered lists the peers of each tier by falling rendezvous score; the
	// subset in use is the head.
	ordered  [tiers][]*peerState
	inFlight int
}

// reorder sorts the peers into tiers, each by the rendezvous hash with the own
// instance id, so that a peer that comes or goes moves few connections.
func (s *service) reorder(place Locality) {
	s.ordered = [tiers][]*peerState{}
	for _, peer := range s.peers {
		s.ordered[peer.tier] = append(s.ordered[peer.tier], peer)
	}
	for _, of := range s.ordered {
		slices.SortFunc(of, func(a, b *peerState) int {
			return compareScores(score(place.Instance, a.ID), score(place.Instance, b.ID), a.ID, b.ID)
		})
	}
}

func score(instance, peer string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(instance)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(peer)
	return d.Sum64()
}

func compareScores(a, b uint64, idA, idB string) int {
	switch {
	case a > b:
		return -1
	case a < b:
		return 1
	case idA < idB:
		return -1
	}
	return 1
}

// subset returns the size of the subset in use.
func (s *service) subset() int {
	return subsetLeast + s.inFlight/callsPerPeer
}

// usable appends the first peers of a tier that may get the call, as many as
// the subset holds.
func (s *service) usable(now time.Time, t tier, q Query, into []*peerState) []*peerState {
	want := s.subset()
	for _, peer := range s.ordered[t] {
		if len(into) == want {
			break
		}
		if peer.usable(now) && !slices.Contains(q.Tried, peer.ID) {
			into = append(into, peer)
		}
	}
	return into
}

func refusalRate(now time.Time, peers []*peerState) float64 {
	var sum float64
	for _, peer := range peers {
		sum += peer.refusals.at(now, outcomeWindow)
	}
	return sum / float64(len(peers))
}

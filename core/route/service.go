package route

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// tier is the distance of a peer; lower is nearer.
type tier int

const (
	tierDataCentre tier = iota
	tierRegion
	tierCrossRegion
	tierCount
)

const (
	// minSubset is the number of peers of each tier that a daemon uses while it
	// has few calls in flight.
	minSubset = 8
	// callsPerPeer is the number of calls in flight at which the subset grows by
	// one peer.
	callsPerPeer = 8
	// spillRefusalRate is the mean refusal rate of a tier's usable peers at which
	// the tier is used only if all other tiers refuse as much.
	spillRefusalRate = 0.5
)

// service is what a Picker knows of one service.
type service struct {
	peers map[string]*peerState
	// byTier lists the peers of each tier by descending rendezvous score. The
	// subset in use is the first subsetSize usable peers.
	byTier   [tierCount][]*peerState
	inFlight int
}

// rebuildTiers sorts the peers into tiers, each ordered by the rendezvous hash
// with the daemon's instance id, so that a peer that comes or goes changes few
// connections.
func (s *service) rebuildTiers(locality Locality) {
	s.byTier = [tierCount][]*peerState{}
	for _, peer := range s.peers {
		s.byTier[peer.tier] = append(s.byTier[peer.tier], peer)
	}
	for _, peers := range s.byTier {
		slices.SortFunc(peers, func(a, b *peerState) int {
			return compareScores(rendezvousScore(locality.Instance, a.ID), rendezvousScore(locality.Instance, b.ID), a.ID, b.ID)
		})
	}
}

func rendezvousScore(instance, peer string) uint64 {
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

// subsetSize returns the number of peers of each tier in use.
func (s *service) subsetSize() int {
	return minSubset + s.inFlight/callsPerPeer
}

// appendUsable appends the first peers of a tier that may get the call, up to
// the subset size.
func (s *service) appendUsable(now time.Time, t tier, q Query, dst []*peerState) []*peerState {
	want := s.subsetSize()
	for _, peer := range s.byTier[t] {
		if len(dst) == want {
			break
		}
		if peer.usable(now) && q.admits(peer.ID) {
			dst = append(dst, peer)
		}
	}
	return dst
}

// admits reports whether the query allows a peer.
func (q *Query) admits(id string) bool {
	if len(q.Among) > 0 && !slices.Contains(q.Among, id) {
		return false
	}
	return !slices.Contains(q.Tried, id)
}

func refusalRate(now time.Time, peers []*peerState) float64 {
	var sum float64
	for _, peer := range peers {
		sum += peer.refusals.decayed(now, outcomeWindow)
	}
	return sum / float64(len(peers))
}

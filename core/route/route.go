// Package route chooses the peer that serves a call.
//
// A Picker prefers the own data centre, then the own region, then the other
// regions, and within a tier takes the better of two random choices by the
// calls that this daemon has in flight there. It is pure: randomness and time
// come in as arguments. A Picker is safe for concurrent use.
package route

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

// Peer is one daemon that can serve a service.
type Peer struct {
	// ID is the instance id.
	ID string
	// Service, Region and DataCentre place the peer.
	Service, Region, DataCentre string
	// Addr is the host:port of its peer port.
	Addr string
	// Admin is the host:port of its admin port, for operators.
	Admin string
	// Leaving peers get no new calls.
	Leaving bool
	// Since is when this daemon first saw the peer.
	Since time.Time
}

// Place is where the picking daemon stands.
type Place struct {
	Region, DataCentre string
}

// Picker chooses peers.
type Picker struct {
	place Place

	mu       sync.Mutex
	services map[string][]Peer
	inFlight map[string]int
}

// NewPicker returns a Picker for a daemon at a place.
func NewPicker(place Place) *Picker {
	return &Picker{place: place, services: map[string][]Peer{}, inFlight: map[string]int{}}
}

// Update replaces the known peers.
func (p *Picker) Update(peers []Peer) {
	services := map[string][]Peer{}
	for _, peer := range peers {
		services[peer.Service] = append(services[peer.Service], peer)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.services = services
}

// Query asks for a peer.
type Query struct {
	Service string
	// Tried lists ids that this call already used, to be avoided.
	Tried []string
	// CrossRegion allows peers of other regions.
	CrossRegion bool
}

// Pick chooses a peer and counts the call as in flight there until Done. It
// reports whether there was any.
func (p *Picker) Pick(q Query, random *rand.Rand) (Peer, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	best := p.nearest(q)
	if len(best) == 0 {
		return Peer{}, false
	}
	a, b := best[random.IntN(len(best))], best[random.IntN(len(best))]
	if p.inFlight[b.ID] < p.inFlight[a.ID] {
		a = b
	}
	p.inFlight[a.ID]++
	return a, true
}

// Result is what became of a call to a peer.
type Result struct {
	Latency time.Duration
	// Failed is set when no answer came.
	Failed bool
	// Refused is set when the peer did not run the call.
	Refused bool
}

// Done ends a call that Pick counted.
func (p *Picker) Done(_ time.Time, id string, _ Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight[id]--
	if p.inFlight[id] <= 0 {
		delete(p.inFlight, id)
	}
}

// nearest returns the usable peers of the nearest tier that has any.
func (p *Picker) nearest(q Query) []Peer {
	var tiers [3][]Peer
	for _, peer := range p.services[q.Service] {
		if peer.Leaving || slices.Contains(q.Tried, peer.ID) {
			continue
		}
		tier := p.tier(peer)
		tiers[tier] = append(tiers[tier], peer)
	}
	for tier, peers := range tiers {
		if len(peers) > 0 && (tier < 2 || q.CrossRegion) {
			return peers
		}
	}
	return nil
}

func (p *Picker) tier(peer Peer) int {
	switch {
	case peer.DataCentre == p.place.DataCentre:
		return 0
	case peer.Region == p.place.Region:
		return 1
	}
	return 2
}

// Peers returns the known peers, sorted by id.
func (p *Picker) Peers() []Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var peers []Peer
	for _, of := range p.services {
		peers = append(peers, of...)
	}
	slices.SortFunc(peers, func(a, b Peer) int { return strings.Compare(a.ID, b.ID) })
	return peers
}

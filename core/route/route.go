// Package route chooses the peer that serves a call.
//
// A Picker prefers the own data centre, then the own region, then the other
// regions, unless a farther peer saves enough waiting (load.go). In a tier it uses a bounded subset of the peers, takes two at random
// and calls the one that costs less: calls in flight, recent latency, failures
// and refusals, all as this daemon itself has seen them. Peers that fail while
// others don't are ejected for a while, up to a part of the service.
//
// The package is pure: randomness and time come in as arguments. A Picker is
// safe for concurrent use.
package route

import (
	"sync"
	"time"
)

// Locality is where the picking daemon stands.
type Locality struct {
	Instance, Region, DataCentre string
}

// Random is a source of randomness; *rand.Rand of math/rand/v2 is one.
type Random interface {
	// IntN returns a number in [0, n).
	IntN(n int) int
}

// Picker chooses peers.
type Picker struct {
	place Locality

	mu       sync.Mutex
	services map[string]*service
	scratch  []*peerState
	inRegion int
}

// NewPicker returns a Picker for a daemon at a place.
func NewPicker(place Locality) *Picker {
	return &Picker{place: place, services: map[string]*service{}}
}

// Update replaces the known peers. What was seen of peers that stay is kept.
func (p *Picker) Update(now time.Time, peers []Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.services
	p.services = make(map[string]*service, len(old))
	p.inRegion = 0
	for _, peer := range peers {
		p.put(now, peer, old[peer.Service])
		if peer.Region == p.place.Region {
			p.inRegion++
		}
	}
	for _, s := range p.services {
		s.reorder(p.place)
	}
}

// put adds a peer, with its state if it was known before.
func (p *Picker) put(now time.Time, peer Peer, old *service) {
	s := p.services[peer.Service]
	if s == nil {
		s = &service{peers: map[string]*peerState{}}
		if old != nil {
			s.inFlight = old.inFlight
		}
		p.services[peer.Service] = s
	}
	state := &peerState{since: now}
	if old != nil {
		if known := old.peers[peer.ID]; known != nil && known.sameLife(peer) {
			state = known
		}
	}
	state.Peer = peer
	state.tier = p.tier(peer)
	s.peers[peer.ID] = state
}

func (p *Picker) tier(peer Peer) tier {
	switch {
	case peer.Region != p.place.Region:
		return tierFar
	case peer.DataCentre != p.place.DataCentre:
		return tierRegion
	}
	return tierDataCentre
}

// Query asks for a peer.
type Query struct {
	Service string
	// Tried lists ids that this call already used, to be avoided.
	Tried []string
	// CrossRegion allows peers of other regions.
	CrossRegion bool
	// SlowStart is the time over which a new peer's share of work rises.
	SlowStart time.Duration
}

// Choice is a picked peer.
type Choice struct {
	Peer
	// CrossRegion is set for a peer of another region.
	CrossRegion bool
}

// Pick chooses a peer and counts the call as in flight there until Done. It
// reports whether there was any.
func (p *Picker) Pick(now time.Time, q Query, random Random) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.services[q.Service]
	if s == nil {
		return Choice{}, false
	}
	peer := p.choose(now, s, q, random)
	if peer == nil {
		return Choice{}, false
	}
	p.begin(s, peer)
	return Choice{peer.Peer, peer.tier == tierFar}, true
}

// choose returns the peer of a call, or nil: of each tier that may be used the
// better of two, and of these the nearest unless a farther one saves waiting.
func (p *Picker) choose(now time.Time, s *service, q Query, random Random) *peerState {
	last := tierRegion
	if q.CrossRegion {
		last = tierFar
	}
	var best, refusing *peerState
	for t := tierDataCentre; t <= last; t++ {
		p.scratch = s.usable(now, t, q, p.scratch[:0])
		peer := cheaper(now, q.SlowStart, p.scratch, random)
		if peer == nil {
			continue
		}
		if refusalRate(now, p.scratch) >= spillAt {
			refusing = nearer(now, refusing, peer)
			continue
		}
		best = nearer(now, best, peer)
	}
	if best == nil {
		return refusing
	}
	return best
}

// Begin counts a call to a peer that was chosen by other means, such as the owner
// of a key, as in flight there until Done.
func (p *Picker) Begin(serviceName, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.services[serviceName]
	if s == nil || s.peers[id] == nil {
		return
	}
	p.begin(s, s.peers[id])
}

func (p *Picker) begin(s *service, peer *peerState) {
	peer.inFlight++
	s.inFlight++
}

// cheaper returns the better of two random candidates, or nil if there is none.
func cheaper(now time.Time, slowStart time.Duration, from []*peerState, random Random) *peerState {
	switch len(from) {
	case 0:
		return nil
	case 1:
		return from[0]
	}
	i := random.IntN(len(from))
	j := random.IntN(len(from) - 1)
	if j >= i {
		j++
	}
	a, b := from[i], from[j]
	if b.cost(now, slowStart, a) < a.cost(now, slowStart, b) {
		return b
	}
	return a
}

// Result is what became of a call to a peer.
type Result struct {
	// Latency is the time to the head of the upstream's answer, 0 if the answer
	// says nothing of it.
	Latency time.Duration
	// Failed is set when the peer gave no answer in time.
	Failed bool
	// Refused is set when the peer did not run the call.
	Refused bool
	// Leaving is set when the peer refused because it is leaving.
	Leaving bool
	// NoUpstream is set when the peer refused because it has no upstream now.
	NoUpstream bool
	// Load is what the peer said of its load; zero if it said nothing.
	Load Load
}

// Done ends a call that Pick or Begin counted.
func (p *Picker) Done(now time.Time, serviceName, id string, r Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.services[serviceName]
	if s == nil {
		return
	}
	s.inFlight = max(s.inFlight-1, 0)
	peer := s.peers[id]
	if peer == nil {
		return
	}
	peer.inFlight = max(peer.inFlight-1, 0)
	peer.note(now, r)
	peer.learnLoad(now, r.Load)
	if r.Failed {
		s.consider(now, peer)
	}
}

// leastWeight is the least weight of one outcome or latency sample.
const leastWeight = 0.05

// note takes the outcome of one call into the peer's averages.
func (s *peerState) note(now time.Time, r Result) {
	s.failures.add(now, outcomeWindow, unit(r.Failed), leastWeight)
	s.refusals.add(now, outcomeWindow, unit(r.Refused), leastWeight)
	switch {
	case r.Leaving:
		s.leavingUntil = now.Add(drainingHold)
	case r.NoUpstream:
		s.leavingUntil = now.Add(absentHold)
	case r.Failed:
		s.ejection.inRow++
	case !r.Refused && r.Latency > 0:
		s.ejection.answered()
		s.latency.add(now, latencyWindow, r.Latency.Seconds(), leastWeight)
	}
}

func unit(set bool) float64 {
	if set {
		return 1
	}
	return 0
}

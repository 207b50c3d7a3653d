// Package route chooses the peer that serves a call.
//
// A Picker prefers its own data centre, then its own region, then the other
// regions, unless a farther peer saves enough waiting (load.go). In each tier
// it uses a bounded subset of the peers, takes two at random and calls the one
// with the lower cost: calls in flight, recent latency, failures and refusals,
// all as this daemon itself has observed them. Peers that fail while others
// don't are ejected for a while, up to a fraction of the service's peers.
//
// The package is pure: randomness and time are arguments. A Picker is safe for
// concurrent use.
package route

import (
	"sync"
	"time"
)

// Locality is the instance, region and data centre of a daemon.
type Locality struct {
	Instance, Region, DataCentre string
}

// Random is a source of randomness; *rand.Rand of math/rand/v2 is one.
type Random interface {
	// IntN returns a number in [0, n).
	IntN(n int) int
}

// Picker chooses the peers of one daemon's calls.
type Picker struct {
	locality Locality

	mu         sync.Mutex
	services   map[string]*service
	candidates []*peerState
	inRegion   int
	// rateLimits are the rate limits that peers reported.
	rateLimits map[upstreamKey]rateLimit
}

// NewPicker returns a Picker without peers for a daemon at a locality.
func NewPicker(locality Locality) *Picker {
	return &Picker{locality: locality, services: map[string]*service{}, rateLimits: map[upstreamKey]rateLimit{}}
}

// Update replaces the known peers. The observations of peers that stay are
// kept.
func (p *Picker) Update(now time.Time, peers []Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forgetRateLimits(now)
	old := p.services
	p.services = make(map[string]*service, len(old))
	p.inRegion = 0
	for _, peer := range peers {
		p.addPeer(now, peer, old[peer.Service])
		if peer.Region == p.locality.Region {
			p.inRegion++
		}
	}
	for _, s := range p.services {
		s.rebuildTiers(p.locality)
	}
}

// addPeer adds a peer, with its state if the same process was known before.
func (p *Picker) addPeer(now time.Time, peer Peer, old *service) {
	s := p.services[peer.Service]
	if s == nil {
		s = &service{peers: map[string]*peerState{}}
		if old != nil {
			s.inFlight = old.inFlight
		}
		p.services[peer.Service] = s
	}
	state := &peerState{slowStartFrom: now}
	if old != nil {
		if known := old.peers[peer.ID]; known != nil && known.sameProcess(peer) {
			state = known
		}
	}
	state.Peer = peer
	state.tier = p.tier(peer)
	s.peers[peer.ID] = state
}

func (p *Picker) tier(peer Peer) tier {
	switch {
	case peer.Region != p.locality.Region:
		return tierCrossRegion
	case peer.DataCentre != p.locality.DataCentre:
		return tierRegion
	}
	return tierDataCentre
}

// Query describes the peer that a call needs.
type Query struct {
	Service string
	// Tried lists the ids of peers that this call has already used; they are not
	// picked again.
	Tried []string
	// Among, if not empty, lists the ids of the only peers that may be picked.
	Among []string
	// CrossRegion allows peers of other regions.
	CrossRegion bool
	// SlowStart is the time over which a new peer's share of the calls rises.
	SlowStart time.Duration
}

// Choice is a picked peer.
type Choice struct {
	Peer
	// CrossRegion is set for a peer of another region.
	CrossRegion bool
	// RateLimit is the rate limit that the peer reported last, 0 if none is known.
	RateLimit float64
}

// Pick chooses a peer and counts the call as in flight there until Done. It
// reports whether there was a usable peer.
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
	return Choice{peer.Peer, peer.tier == tierCrossRegion, p.knownRateLimit(now, upstreamKey{peer.Service, peer.ID})}, true
}

// choose returns the peer for a call, or nil. It takes the cheaper of two
// random peers of each allowed tier, and of these the nearest unless a farther
// one saves waiting. A tier whose refusal rate is at least spillRefusalRate is
// used only if that is true of all tiers.
func (p *Picker) choose(now time.Time, s *service, q Query, random Random) *peerState {
	last := tierRegion
	if q.CrossRegion {
		last = tierCrossRegion
	}
	var best, refusing *peerState
	for t := tierDataCentre; t <= last; t++ {
		p.candidates = s.appendUsable(now, t, q, p.candidates[:0])
		peer := cheaperOfTwo(now, q.SlowStart, p.candidates, random)
		if peer == nil {
			continue
		}
		if refusalRate(now, p.candidates) >= spillRefusalRate {
			refusing = preferNearer(now, refusing, peer)
			continue
		}
		best = preferNearer(now, best, peer)
	}
	if best == nil {
		return refusing
	}
	return best
}

// Begin counts a call to a peer that was not chosen by Pick, such as the owner
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

// cheaperOfTwo returns the cheaper of two random candidates, or nil if there
// is none.
func cheaperOfTwo(now time.Time, slowStart time.Duration, from []*peerState, random Random) *peerState {
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

// Result is the outcome of a call to a peer.
type Result struct {
	// Latency is the time to the response header of the upstream; 0 if the call
	// is not known to have run, and then it is no sample.
	Latency time.Duration
	// Failed is set when the peer sent no response in time.
	Failed bool
	// Refused is set when the peer did not run the call.
	Refused bool
	// Leaving is set when the peer refused because it is leaving.
	Leaving bool
	// NoUpstream is set when the peer refused because it has no upstream now.
	NoUpstream bool
	// Load is the load that the peer reported; zero if it reported none.
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
	peer.record(now, r)
	peer.recordLoad(now, r.Load)
	p.recordRateLimit(now, upstreamKey{serviceName, id}, r.Load)
	if r.Failed {
		s.ejectIfOutlier(now, peer)
	}
}

// minSampleWeight is the minimum weight of one outcome or latency sample.
const minSampleWeight = 0.05

// record adds the outcome of one call to the peer's averages.
func (s *peerState) record(now time.Time, r Result) {
	s.failures.add(now, outcomeWindow, indicator(r.Failed), minSampleWeight)
	s.refusals.add(now, outcomeWindow, indicator(r.Refused), minSampleWeight)
	switch {
	case r.Leaving:
		s.backoffUntil = now.Add(leavingBackoff)
	case r.NoUpstream:
		s.backoffUntil = now.Add(noUpstreamBackoff)
	case r.Failed:
		s.ejection.consecutiveFailures++
	case !r.Refused && r.Latency > 0:
		s.ejection.recordSuccess()
		s.latency.add(now, latencyWindow, r.Latency.Seconds(), minSampleWeight)
	}
}

func indicator(set bool) float64 {
	if set {
		return 1
	}
	return 0
}

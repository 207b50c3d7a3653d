package route

import (
	"slices"
	"strings"
	"time"
)

// Peers returns the known peers, sorted by id.
func (p *Picker) Peers() []Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var peers []Peer
	for _, s := range p.services {
		peers = s.appendPeers(peers)
	}
	sortPeers(peers)
	return peers
}

// ServicePeers returns the known peers of one service, sorted by id.
func (p *Picker) ServicePeers(serviceName string) []Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	peers := p.services[serviceName].appendPeers(nil)
	sortPeers(peers)
	return peers
}

// Unusable returns the ids of a service's peers that get no picked calls: those
// ejected, and those that refused as leaving; sorted.
func (p *Picker) Unusable(now time.Time, serviceName string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	ids := p.services[serviceName].appendIDs(nil, func(peer *peerState) bool { return !peer.usable(now) })
	slices.Sort(ids)
	return ids
}

// Serving returns the ids of a service's peers that take new work, sorted.
func (p *Picker) Serving(serviceName string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	ids := p.services[serviceName].appendIDs(nil, func(peer *peerState) bool { return !peer.Leaving })
	slices.Sort(ids)
	return ids
}

// Ejected returns the ids of the ejected peers, sorted.
func (p *Picker) Ejected(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ids []string
	for _, s := range p.services {
		ids = s.appendIDs(ids, func(peer *peerState) bool { return peer.ejection.active(now) })
	}
	slices.Sort(ids)
	return ids
}

// InRegion returns the number of known peers in the own region, this daemon
// included; at least 1.
func (p *Picker) InRegion() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.inRegion, 1)
}

// appendPeers appends the peers of a service, which may be nil for an unknown
// one.
func (s *service) appendPeers(into []Peer) []Peer {
	if s == nil {
		return into
	}
	for _, peer := range s.peers {
		into = append(into, peer.Peer)
	}
	return into
}

// appendIDs appends the ids of the peers that satisfy a condition. The service
// may be nil for an unknown one.
func (s *service) appendIDs(into []string, keep func(*peerState) bool) []string {
	if s == nil {
		return into
	}
	for _, peer := range s.peers {
		if keep(peer) {
			into = append(into, peer.ID)
		}
	}
	return into
}

func sortPeers(peers []Peer) {
	slices.SortFunc(peers, func(a, b Peer) int { return strings.Compare(a.ID, b.ID) })
}

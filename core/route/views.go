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

// Unusable returns the ids of a service's peers that Pick doesn't choose,
// because they are leaving, ejected or in backoff; sorted.
func (p *Picker) Unusable(now time.Time, serviceName string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	ids := p.services[serviceName].appendIDs(nil, func(peer *peerState) bool { return !peer.usable(now) })
	slices.Sort(ids)
	return ids
}

// Serving returns the ids of a service's peers that are not leaving, sorted.
func (p *Picker) Serving(serviceName string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	ids := p.services[serviceName].appendIDs(nil, func(peer *peerState) bool { return !peer.Leaving })
	slices.Sort(ids)
	return ids
}

// Ejected returns the ids of the ejected peers of all services, sorted.
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

// DaemonsInRegion returns the number of daemons known in this daemon's region,
// itself included; at least 1.
func (p *Picker) DaemonsInRegion() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.inRegion, 1)
}

// appendPeers appends the peers of a service. The service may be nil.
func (s *service) appendPeers(dst []Peer) []Peer {
	if s == nil {
		return dst
	}
	for _, peer := range s.peers {
		dst = append(dst, peer.Peer)
	}
	return dst
}

// appendIDs appends the ids of the peers that satisfy a condition. The service
// may be nil.
func (s *service) appendIDs(dst []string, condition func(*peerState) bool) []string {
	if s == nil {
		return dst
	}
	for _, peer := range s.peers {
		if condition(peer) {
			dst = append(dst, peer.ID)
		}
	}
	return dst
}

func sortPeers(peers []Peer) {
	slices.SortFunc(peers, func(a, b Peer) int { return strings.Compare(a.ID, b.ID) })
}

// AloneInDataCentre reports whether no other instance of the data centre is known.
func (p *Picker) AloneInDataCentre() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.services {
		for _, peer := range s.byTier[tierDataCentre] {
			if peer.ID != p.locality.Instance {
				return false
			}
		}
	}
	return true
}

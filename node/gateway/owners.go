package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"fuchsiavane.org/core/once"
	"fuchsiavane.org/core/route"
	"fuchsiavane.org/node/call"
)

const (
	// viewAge is the age from which a view of a service's peers is renewed.
	viewAge = 500 * time.Millisecond
	// maxViews bounds the services whose owners are remembered.
	maxViews = 1024
	// unownedTime is the time for which no keys are made in a shard without an
	// owner.
	unownedTime = time.Second
	// maxKeyTries bounds the keys made in search of one with a near owner.
	maxKeyTries = 512
)

// owners finds the instances that own the keys of services. It is safe for
// concurrent use.
type owners struct {
	place  route.Locality
	picker *route.Picker

	mu    sync.Mutex
	views map[string]*view
}

// view is what this daemon knows of the owners of one service.
type view struct {
	at    time.Time
	peers map[string]route.Peer
	live  []string
	// avoided lists the peers that get no keys made here, since they fail.
	avoided []string
	// preferred is the owner by rendezvous hash of each shard.
	preferred [once.Shards]string
	// learned is the owner that an instance has named, which goes first.
	learned [once.Shards]string
	// unowned is the time until which no keys are made in a shard, since no
	// owner was found for it.
	unowned [once.Shards]time.Time
}

func newOwners(place route.Locality, picker *route.Picker) *owners {
	return &owners{place: place, picker: picker, views: map[string]*view{}}
}

// view returns the view of a service. The caller holds the lock.
func (o *owners) view(service string, now time.Time) *view {
	v := o.views[service]
	if v == nil {
		if len(o.views) >= maxViews {
			clear(o.views)
		}
		v = &view{}
		o.views[service] = v
	}
	if now.Sub(v.at) >= viewAge || len(v.live) == 0 {
		v.renew(o.picker.ServicePeers(service), now)
		v.avoided = o.picker.Unusable(now, service)
	}
	return v
}

func (v *view) renew(peers []route.Peer, now time.Time) {
	v.at = now
	v.peers = map[string]route.Peer{}
	live := make([]string, 0, len(v.live))
	for _, p := range peers {
		v.peers[p.ID] = p
		if !p.Leaving {
			live = append(live, p.ID)
		}
	}
	if slices.Equal(live, v.live) {
		return
	}
	v.live = live
	for shard := range v.preferred {
		v.preferred[shard] = once.PreferredInstance(shard, live)
	}
}

// owner returns the peer that most likely owns a shard.
func (v *view) owner(shard int) (route.Peer, bool) {
	if p, ok := v.peers[v.learned[shard]]; ok {
		return p, true
	}
	p, ok := v.peers[v.preferred[shard]]
	return p, ok
}

// find returns the peer to ask about a key.
func (o *owners) find(r *call.Request, tried []string) (route.Peer, bool) {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	v := o.view(r.Service, now)
	if r.KeyGenerated && r.Key == "" {
		r.Key = o.makeKey(v, tried).String()
	}
	key, err := once.ParseKey(r.Key)
	if err != nil {
		return v.another(opaqueShard(r.Key), tried)
	}
	p, ok := v.owner(key.Shard())
	if !ok || slices.Contains(tried, p.ID) {
		p, ok = v.another(key.Shard(), tried)
	}
	return p, ok
}

// another returns a peer that may know the owner of a shard.
func (v *view) another(shard int, tried []string) (route.Peer, bool) {
	var left []string
	for _, id := range v.live {
		if !slices.Contains(tried, id) {
			left = append(left, id)
		}
	}
	if len(left) == 0 {
		left = v.live
	}
	p, ok := v.peers[once.PreferredInstance(shard, left)]
	return p, ok
}

// opaqueShard spreads keys without a birth time over the instances, so that a
// resend finds the kept answer.
func opaqueShard(key string) int {
	sum := uuid.NewSHA1(uuid.Nil, []byte(key))
	return once.Key(sum).Shard()
}

// makeKey returns a key whose owner is as near as can be found and has not been
// tried.
func (o *owners) makeKey(v *view, tried []string) uuid.UUID {
	var shardTier [once.Shards]int
	best := tierNone
	for shard := range shardTier {
		shardTier[shard] = o.tier(v, shard, tried)
		best = min(best, shardTier[shard])
	}
	key := uuid.Must(uuid.NewV7())
	for range maxKeyTries {
		if shardTier[once.Key(key).Shard()] == best {
			return key
		}
		key = uuid.Must(uuid.NewV7())
	}
	return key
}

const (
	// tierAvoided is the tier of shards whose owners fail.
	tierAvoided = 3
	// tierNone is the tier of shards that can't be used.
	tierNone = 4
)

func (o *owners) tier(v *view, shard int, tried []string) int {
	p, ok := v.owner(shard)
	switch {
	case !ok || p.Leaving || slices.Contains(tried, p.ID) || time.Now().Before(v.unowned[shard]):
		return tierNone
	case slices.Contains(v.avoided, p.ID):
		return tierAvoided
	case p.DataCentre == o.place.DataCentre:
		return 0
	case p.Region == o.place.Region:
		return 1
	}
	return 2
}

// forget gives up what was learned of a key's owner.
func (o *owners) forget(r *call.Request) {
	key, err := once.ParseKey(r.Key)
	if err != nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.view(r.Service, time.Now()).learned[key.Shard()] = ""
}

// learn takes the owner that an instance has named, or that it knows none. It
// reports whether the owner is a known peer.
func (o *owners) learn(r *call.Request, owner string) bool {
	key, err := once.ParseKey(r.Key)
	if err != nil {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	v := o.view(r.Service, time.Now())
	v.learned[key.Shard()] = owner
	if owner == "" {
		v.unowned[key.Shard()] = time.Now().Add(unownedTime)
	}
	_, known := v.peers[owner]
	return known
}

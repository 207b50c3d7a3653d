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
	// maxViewAge is the age at which the view of a service's peers is refreshed.
	maxViewAge = 500 * time.Millisecond
	// maxViews is the maximum number of services whose owners are cached.
	maxViews = 1024
	// unownedWait is how long no keys are generated in a shard that has no owner.
	unownedWait = time.Second
	// maxKeyAttempts is the maximum number of keys generated in search of one with a
	// close owner.
	maxKeyAttempts = 512
)

// owners finds the instances that own the keys of services. It is safe for concurrent
// use.
type owners struct {
	locality route.Locality
	picker   *route.Picker

	mu    sync.Mutex
	views map[string]*view
}

// view is what this daemon knows of the owners of one service's keys.
type view struct {
	refreshedAt time.Time
	peers       map[string]route.Peer
	live        []string
	// avoided lists the failing peers, which get keys generated here only if no other
	// owner can be used.
	avoided []string
	// preferred is the owner of each shard by rendezvous hashing.
	preferred [once.Shards]string
	// named is the owner of each shard that an instance has named. It takes precedence
	// over preferred.
	named [once.Shards]string
	// unownedUntil is the time until which no keys are generated in a shard, since no
	// owner was found for it.
	unownedUntil [once.Shards]time.Time
}

func newOwners(locality route.Locality, picker *route.Picker) *owners {
	return &owners{locality: locality, picker: picker, views: map[string]*view{}}
}

// view returns the view of a service, refreshed if it is too old. The caller holds the
// lock.
func (o *owners) view(service string, now time.Time) *view {
	v := o.views[service]
	if v == nil {
		if len(o.views) >= maxViews {
			clear(o.views)
		}
		v = &view{}
		o.views[service] = v
	}
	if now.Sub(v.refreshedAt) >= maxViewAge || len(v.live) == 0 {
		v.refresh(o.picker.ServicePeers(service), now)
		v.avoided = o.picker.Unusable(now, service)
	}
	return v
}

func (v *view) refresh(peers []route.Peer, now time.Time) {
	v.refreshedAt = now
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

// owner returns the most likely owner of a shard.
func (v *view) owner(shard int) (route.Peer, bool) {
	if p, ok := v.peers[v.named[shard]]; ok {
		return p, true
	}
	p, ok := v.peers[v.preferred[shard]]
	return p, ok
}

// find returns the peer to send a request to, and generates the request's key if it
// has none.
func (o *owners) find(r *call.Request, tried []string) (route.Peer, bool) {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	v := o.view(r.Service, now)
	if r.KeyGenerated && r.Key == "" {
		r.Key = o.generateKey(v, tried).String()
	}
	key, err := once.ParseKey(r.Key)
	if err != nil {
		return v.alternative(opaqueShard(r.Key), tried)
	}
	p, ok := v.owner(key.Shard())
	if !ok || slices.Contains(tried, p.ID) {
		p, ok = v.alternative(key.Shard(), tried)
	}
	return p, ok
}

// alternative returns a peer that has not been tried, if any, and that may know the
// owner of a shard.
func (v *view) alternative(shard int, tried []string) (route.Peer, bool) {
	var remaining []string
	for _, id := range v.live {
		if !slices.Contains(tried, id) {
			remaining = append(remaining, id)
		}
	}
	if len(remaining) == 0 {
		remaining = v.live
	}
	p, ok := v.peers[once.PreferredInstance(shard, remaining)]
	return p, ok
}

// opaqueShard returns the shard of a key without a timestamp. It depends on the key
// alone, so that a resend reaches the instance that retains the answer.
func opaqueShard(key string) int {
	sum := uuid.NewSHA1(uuid.Nil, []byte(key))
	return once.Key(sum).Shard()
}

// generateKey returns a key whose owner is as close as possible and has not been
// tried.
func (o *owners) generateKey(v *view, tried []string) uuid.UUID {
	var shardTier [once.Shards]int
	best := tierUnusable
	for shard := range shardTier {
		shardTier[shard] = o.tier(v, shard, tried)
		best = min(best, shardTier[shard])
	}
	key := uuid.Must(uuid.NewV7())
	for range maxKeyAttempts {
		if shardTier[once.Key(key).Shard()] == best {
			return key
		}
		key = uuid.Must(uuid.NewV7())
	}
	return key
}

const (
	// tierAvoided is the tier of shards whose owner is failing.
	tierAvoided = 3
	// tierUnusable is the tier of shards that can't be used.
	tierUnusable = 4
)

// tier returns the order of preference of a shard for new keys; lower is better: 0 for
// an owner in the same data centre, 1 in the same region, 2 in another region,
// tierAvoided or tierUnusable.
func (o *owners) tier(v *view, shard int, tried []string) int {
	p, ok := v.owner(shard)
	switch {
	case !ok || p.Leaving || slices.Contains(tried, p.ID) || time.Now().Before(v.unownedUntil[shard]):
		return tierUnusable
	case slices.Contains(v.avoided, p.ID):
		return tierAvoided
	case p.DataCentre == o.locality.DataCentre:
		return 0
	case p.Region == o.locality.Region:
		return 1
	}
	return 2
}

// discard removes the named owner of a key's shard.
func (o *owners) discard(r *call.Request) {
	key, err := once.ParseKey(r.Key)
	if err != nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.view(r.Service, time.Now()).named[key.Shard()] = ""
}

// recordOwner records the owner that an instance named for a key's shard; an empty
// owner means that it knows none. It reports whether the owner is a known peer.
func (o *owners) recordOwner(r *call.Request, owner string) bool {
	key, err := once.ParseKey(r.Key)
	if err != nil {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	v := o.view(r.Service, time.Now())
	v.named[key.Shard()] = owner
	if owner == "" {
		v.unownedUntil[key.Shard()] = time.Now().Add(unownedWait)
	}
	_, known := v.peers[owner]
	return known
}

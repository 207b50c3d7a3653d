package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"fuchsiavane.org/core/once"
	"fuchsiavane.org/core/retry"
	"fuchsiavane.org/core/route"
	"fuchsiavane.org/core/settings"
	"fuchsiavane.org/node/call"
	nodeonce "fuchsiavane.org/node/once"
)

const (
	// viewAge is the age from which a view of a service's peers is renewed.
	viewAge = 500 * time.Millisecond
	// maxHops bounds the instances asked in search of a key's owner. Such an
	// answer costs no retry, since nothing ran.
	maxHops = 16
	// maxGone bounds the answers that name an owner which isn't known here.
	maxGone = 6
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
	place  route.Place
	picker *route.Picker

	mu    sync.Mutex
	views map[string]*view
}

// view is what this daemon knows of the owners of one service.
type view struct {
	at    time.Time
	peers map[string]route.Peer
	live  []string
	// preferred is the owner by rendezvous hash of each shard.
	preferred [once.Shards]string
	// learned is the owner that an instance has named, which goes first.
	learned [once.Shards]string
	// unowned is the time until which no keys are made in a shard, since no
	// owner was found for it.
	unowned [once.Shards]time.Time
}

func newOwners(place route.Place, picker *route.Picker) *owners {
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
		v.renew(service, o.picker.Peers(), now)
	}
	return v
}

func (v *view) renew(service string, peers []route.Peer, now time.Time) {
	v.at = now
	v.peers = map[string]route.Peer{}
	live := make([]string, 0, len(v.live))
	for _, p := range peers {
		if p.Service != service {
			continue
		}
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
		v.preferred[shard] = once.Preferred(shard, live)
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
	if r.KeyMade && r.Key == "" {
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
	p, ok := v.peers[once.Preferred(shard, left)]
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

// tierNone is the tier of shards that can't be used.
const tierNone = 3

func (o *owners) tier(v *view, shard int, tried []string) int {
	p, ok := v.owner(shard)
	switch {
	case !ok || p.Leaving || slices.Contains(tried, p.ID) || time.Now().Before(v.unowned[shard]):
		return tierNone
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

// callOwner makes one call of a non-idempotent request. The instance that owns
// the key runs it, whichever daemon it came by; a resend of the same key there
// is safe.
func (g *Gateway) callOwner(ctx context.Context, r *call.Request, values *settings.Values, budget *retry.Budget) *call.Answer {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	s := &search{gateway: g, request: r, values: values, budget: budget}
	if r.KeyMade {
		r.Key = ""
	}
	answer := s.run(ctx)
	answer.Body = &cancellingBody{answer.Body, cancel}
	return answer
}

// search is one call that looks for the owner of its key.
type search struct {
	gateway *Gateway
	request *call.Request
	values  *settings.Values
	budget  *retry.Budget
	tried   []string
	hops    int
	gone    int
	sends   int
	// dirty is set when an attempt may have run.
	dirty bool
}

func (s *search) run(ctx context.Context) *call.Answer {
	for {
		peer, ok := s.gateway.owners.find(s.request, s.tried)
		if !ok {
			return s.refuse(call.RefusedNoUpstream, "no instance of service "+s.request.Service+" is known")
		}
		answer, byOwner := s.send(ctx, peer)
		s.gateway.carrySuspicion(s.request, answer)
		if !s.again(ctx, answer, byOwner, peer) {
			return s.outcome(answer, byOwner)
		}
		_ = answer.Body.Close()
	}
}

// refuse makes a refusal without having asked an owner.
func (s *search) refuse(refusal call.Refusal, detail string) *call.Answer {
	a := call.Refuse(call.NotRun, refusal, detail)
	a.RetryAfter = time.Second
	return s.outcome(a, false)
}

// outcome corrects what is known of the key. Only its owner knows whether a key
// that the caller brought has run before, and an attempt that was lost may
// still run.
func (s *search) outcome(a *call.Answer, byOwner bool) *call.Answer {
	switch {
	case a.Outcome == call.Ran || a.Refusal == call.RefusedRepeat:
	case s.dirty:
		a.Outcome = call.Unknown
	case byOwner && a.Refusal != call.RefusedNotOwner:
	case s.request.KeyMade && (a.Outcome == call.NotRun || a.Refusal == call.RefusedNotOwner):
		a.Outcome = call.NotRun
	default:
		a.Outcome = call.Unknown
	}
	return a
}

// send asks one instance. byOwner is false if the answer was made here.
func (s *search) send(ctx context.Context, peer route.Peer) (answer *call.Answer, byOwner bool) {
	attempt := *s.request
	attempt.Run = uuid.NewString()
	attempt.Retries = s.budget.Lend()
	s.sends++
	far := peer.Region != s.gateway.Place.Region
	if far {
		s.gateway.Far.charge(&attempt)
	}
	answer, byOwner = s.deliver(ctx, &attempt, peer)
	s.budget.Return(attempt.Retries, answer.Unspent)
	if far {
		answer.Body = s.gateway.Far.pace(ctx, answer.Body)
	}
	return answer, byOwner
}

func (s *search) deliver(ctx context.Context, r *call.Request, peer route.Peer) (*call.Answer, bool) {
	g := s.gateway
	if peer.ID == g.Instance {
		return g.Own.Serve(ctx, r), true
	}
	answer, err := g.Transport.Do(ctx, peer.Addr, g.class(s.values.Rank), r)
	if err != nil {
		return lost(r, peer, err), false
	}
	return answer, true
}

// again decides whether to ask once more, and waits before it.
func (s *search) again(ctx context.Context, answer *call.Answer, byOwner bool, peer route.Peer) bool {
	if answer.Refusal == call.RefusedNone {
		return false
	}
	if answer.Refusal == call.RefusedNotOwner {
		return s.follow(ctx, answer)
	}
	if answer.Outcome == call.Unknown {
		s.dirty = true
	}
	if ctx.Err() != nil {
		return false
	}
	switch answer.Refusal {
	case call.RefusedOverload:
		if !s.request.KeyMade || s.dirty {
			return false
		}
	case call.RefusedUnreachable:
		if !byOwner && answer.Outcome == call.NotRun {
			return s.pass(ctx, peer)
		}
		if byOwner && answer.Outcome == call.Unknown {
			return false // the owner knows no more
		}
	case call.RefusedDraining:
	default:
		return false
	}
	if !s.gateway.payRetry(s.request, s.values, s.budget) {
		return false
	}
	s.retarget(peer)
	return s.wait(ctx)
}

// pass goes on without an instance that could not be reached. It costs no
// retry, since nothing was sent.
func (s *search) pass(ctx context.Context, peer route.Peer) bool {
	s.hops++
	if s.hops > maxHops {
		return false
	}
	s.retarget(peer)
	return s.wait(ctx)
}

// retarget lets another instance have a key that this daemon made, if nothing
// can have run.
func (s *search) retarget(peer route.Peer) {
	s.gateway.owners.forget(s.request)
	s.tried = append(s.tried, peer.ID)
	if s.request.KeyMade && !s.dirty {
		s.request.Key = ""
	}
}

// follow goes to the owner that an instance has named. Where none is known it
// waits for one.
func (s *search) follow(ctx context.Context, answer *call.Answer) bool {
	s.hops++
	if s.hops > maxHops || ctx.Err() != nil {
		return false
	}
	owner := answer.Header.Get(nodeonce.HeaderOwner)
	known := s.gateway.owners.learn(s.request, owner)
	switch {
	case known && !slices.Contains(s.tried, owner):
		return true
	case owner != "" && !known:
		s.gone++
		if s.gone >= maxGone {
			return false
		}
	}
	s.tried = nil
	if s.request.KeyMade && !s.dirty {
		s.request.Key = ""
	}
	return s.wait(ctx)
}

// wait pauses before another send; it reports false if the deadline comes first.
func (s *search) wait(ctx context.Context) bool {
	return backOff(ctx, s.request.Deadline, s.sends)
}

package membership

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"fuchsiavane.org/core/member"
	"fuchsiavane.org/node/backoff"
	"fuchsiavane.org/node/kv"
)

const (
	// joinPrefix begins the keys of join addresses: join/DATA-CENTRE/SLOT. The
	// value is a peer address. There is a slot for each relay.
	joinPrefix = "join/"
	// joinInterval is the pause between a relay's looks at the join addresses,
	// by which it finds other data centres and separated groups.
	joinInterval = 20 * time.Second
	// joinFirst and joinMost bound the pause between tries to find peers.
	joinFirst = 500 * time.Millisecond
	joinMost  = 30 * time.Second
	// roleInterval is the pause between looks at the own role.
	roleInterval = time.Second
	// youngFor is the time in which a relay looks more often, since others may
	// be starting too.
	youngFor = 20 * time.Second
)

// joiner keeps the join addresses: it writes the own one while this member is a
// relay, and looks for peers while it has none. A member that has peers and is
// no relay makes no calls. The keys have no lease: a stale address harms
// nobody, and a member that finds only stale ones is alone, so a relay, and
// writes its own.
type joiner struct {
	d     *Driver
	pause *backoff.Backoff
}

func newJoiner(d *Driver) *joiner {
	return &joiner{d: d, pause: backoff.New(joinFirst, joinMost, rand.Float64)}
}

func (j *joiner) run(ctx context.Context) {
	j.joinBy(ctx, j.d.config.Peers)
	for first := true; ; first = false {
		wait := roleInterval
		if first || j.wanted() {
			wait = j.round(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// wanted reports whether this member has something to do at the store.
func (j *joiner) wanted() bool {
	view := j.d.View()
	return !view.Superseded && (view.Relay || len(view.Peers) < 2)
}

// round joins by the addresses in the store, writes the own one if this member
// is a relay, and returns the pause until the next round.
func (j *joiner) round(ctx context.Context) time.Duration {
	j.d.counts.storeCalls.Inc()
	entries, _, err := j.d.config.Store.List(ctx, joinPrefix)
	if err == nil {
		j.joinBy(ctx, addrsOf(entries))
		err = j.register(ctx, entries)
	}
	if err != nil {
		j.d.counts.storeFailures.Inc()
		j.joinBy(ctx, j.d.config.Peers)
		return j.pause.Next()
	}
	if len(j.d.View().Peers) < 2 || j.d.now() < youngFor {
		return j.pause.Next()
	}
	j.pause.Reset()
	return joinInterval/2 + rand.N(joinInterval)
}

func addrsOf(entries []kv.Entry) []string {
	addrs := make([]string, len(entries))
	for i, e := range entries {
		addrs[i] = string(e.Value)
	}
	return addrs
}

// register writes the own address to the own slot unless it stands there. A
// conflict, or a write whose answer was lost, is settled by the next round.
func (j *joiner) register(ctx context.Context, entries []kv.Entry) error {
	slot := slices.Index(j.d.relays(ctx), j.d.config.Self.ID)
	if slot < 0 {
		return nil
	}
	key := joinPrefix + j.d.config.Self.DataCentre + "/" + strconv.Itoa(slot)
	var revision uint64
	for _, e := range entries {
		if e.Key != key {
			continue
		}
		if string(e.Value) == j.d.config.Self.Addr {
			return nil
		}
		revision = e.Revision
	}
	j.d.counts.storeCalls.Inc()
	_, err := j.d.config.Store.Put(ctx, key, []byte(j.d.config.Self.Addr), revision, "")
	if errors.Is(err, kv.ErrConflict) {
		return nil
	}
	return err
}

// joinBy asks those addresses for their view that are of no known member.
func (j *joiner) joinBy(ctx context.Context, addrs []string) {
	known := map[string]bool{}
	for _, p := range j.d.View().Peers {
		known[p.Addr] = true
	}
	var unknown []string
	for _, addr := range addrs {
		if !known[addr] {
			unknown = append(unknown, addr)
		}
	}
	if len(unknown) == 0 {
		return
	}
	rand.Shuffle(len(unknown), func(a, b int) { unknown[a], unknown[b] = unknown[b], unknown[a] })
	j.d.counts.joins.Inc()
	j.d.do(ctx, func(m *member.Member, _ time.Duration) []member.Outgoing { return m.Join(unknown) })
}

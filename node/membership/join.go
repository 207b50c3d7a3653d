package membership

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"fuchsiavane.org/core/member"
	"fuchsiavane.org/node/backoff"
	"fuchsiavane.org/node/kv"
)

const (
	// joinPrefix is the prefix of the store keys of join addresses:
	// join/DATA-CENTRE/SLOT. The value is a peer address. Each relay has a slot.
	joinPrefix = "join/"
	// joinInterval is the mean interval at which a relay reads the join addresses,
	// to find other data centres and separated groups.
	joinInterval = 20 * time.Second
	// joinMinBackoff and joinMaxBackoff bound the backoff between attempts to find
	// peers.
	joinMinBackoff = 500 * time.Millisecond
	joinMaxBackoff = 30 * time.Second
	// roleInterval is the interval at which a member checks whether it is a relay.
	roleInterval = time.Second
	// startupPeriod is the time after the start in which a relay reads the join
	// addresses more often, since other members may be starting too.
	startupPeriod = 20 * time.Second
)

// joiner maintains the join addresses: it writes this member's address while the
// member is a relay, and looks for peers while it has none. A member that has
// peers and is not a relay makes no store calls. The keys have no lease: a stale
// address is harmless, and a member that finds only stale ones is alone, hence a
// relay, and writes its own.
type joiner struct {
	driver  *Driver
	backoff *backoff.Backoff
}

func newJoiner(d *Driver) *joiner {
	return &joiner{driver: d, backoff: backoff.New(joinMinBackoff, joinMaxBackoff, rand.Float64)}
}

func (j *joiner) run(ctx context.Context) {
	j.joinThrough(ctx, j.driver.config.Peers)
	for first := true; ; first = false {
		wait := roleInterval
		if first || j.needsStore() {
			wait = j.runRound(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// needsStore reports whether this member has to call the store: it is a relay or
// knows no peers, and is not superseded.
func (j *joiner) needsStore() bool {
	view := j.driver.View()
	return !view.Superseded && (view.Relay || len(view.Peers) < 2)
}

// runRound joins through the addresses in the store, writes this member's address
// if it is a relay, and returns the wait until the next round.
func (j *joiner) runRound(ctx context.Context) time.Duration {
	j.driver.counters.storeCalls.Inc()
	entries, _, err := j.driver.config.Store.List(ctx, joinPrefix)
	if err == nil {
		j.joinThrough(ctx, addrsOf(entries))
		err = j.register(ctx, entries)
	}
	if err != nil {
		j.driver.counters.storeFailures.Inc()
		j.joinThrough(ctx, j.driver.config.Peers)
		return j.backoff.Next()
	}
	if len(j.driver.View().Peers) < 2 || j.driver.now() < startupPeriod {
		return j.backoff.Next()
	}
	j.backoff.Reset()
	return joinInterval/2 + rand.N(joinInterval)
}

// addrsOf returns the addresses in the join entries, without those that can't be read.
func addrsOf(entries []kv.Entry) []string {
	var addrs []string
	for _, e := range entries {
		if addr, err := netip.ParseAddrPort(string(e.Value)); err == nil && addr.Port() != 0 {
			addrs = append(addrs, addr.String())
		}
	}
	return addrs
}

// register writes this member's address to its relay slot unless it is already
// there. A conflict, or a write whose response was lost, is resolved by the next
// round.
func (j *joiner) register(ctx context.Context, entries []kv.Entry) error {
	slot := slices.Index(j.driver.relays(ctx), j.driver.config.Self.ID)
	if slot < 0 {
		return nil
	}
	key := joinPrefix + j.driver.config.Self.DataCentre + "/" + strconv.Itoa(slot)
	var revision uint64
	for _, e := range entries {
		if e.Key != key {
			continue
		}
		if string(e.Value) == j.driver.config.Self.Addr {
			return nil
		}
		revision = e.Revision
	}
	j.driver.counters.storeCalls.Inc()
	_, err := j.driver.config.Store.Put(ctx, key, []byte(j.driver.config.Self.Addr), revision, "")
	if errors.Is(err, kv.ErrConflict) {
		return nil
	}
	return err
}

// joinThrough requests the view of each address that belongs to no known member.
func (j *joiner) joinThrough(ctx context.Context, addrs []string) {
	known := map[string]bool{}
	for _, p := range j.driver.View().Peers {
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
	j.driver.counters.joins.Inc()
	j.driver.do(ctx, func(m *member.Member, _ time.Duration) []member.Outgoing { return m.Join(unknown) })
}

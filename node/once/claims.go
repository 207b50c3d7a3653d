// Package once runs each non-idempotent request at most once at the daemon's own
// upstream. A ClaimManager holds this daemon's claims in the platform's store, and
// a Server in front of the upstream decides by core/once which requests may run. A
// claim is the right to run the keys of one shard with timestamps in an interval.
package once

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	core "fuchsiavane.org/core/once"
	"fuchsiavane.org/node/event"
	"fuchsiavane.org/node/kv"
)

const (
	// checkInterval is the time between checks of the claims. A check makes no call
	// to the store unless a refresh is due, which reads the claim table and takes or
	// extends claims.
	checkInterval = 500 * time.Millisecond
	// minRefreshInterval is the minimum time between two refreshes. The interval
	// doubles up to maxRefreshInterval while refreshes find nothing new.
	minRefreshInterval = time.Second
	maxRefreshInterval = time.Minute
	// startDelay is the time from the start to the first claims, during which the
	// live instances become known.
	startDelay = 2 * time.Second
	// maxStagger bounds the random delay of a renewal, so that instances of a
	// service that started together don't write the table at the same time.
	maxStagger = time.Minute
	// followUpDelay is the time after a change of the live instances when the table
	// is read again, to see the claims of the other instances.
	followUpDelay = 2 * time.Second
	// failureBackoff is the minimum wait after a failed refresh; up to the same
	// time is added at random.
	failureBackoff = 2 * time.Second
	// maxConflictBackoff bounds the random wait after a failed write of the table.
	maxConflictBackoff = 100 * time.Millisecond
	// maxConflicts bounds the attempts to write the table in one edit.
	maxConflicts = 8
	// failureMemory is how long after a failure of the store longer claims are taken.
	failureMemory = 6 * time.Hour
)

// Config configures a ClaimManager.
type Config struct {
	Instance string
	Service  string
	Store    kv.Store
	// LiveInstances returns the instances of the service that accept new requests,
	// including this one.
	LiveInstances func() []string
	Log           *event.Logger
	// ClaimLength is how far claims reach into the future, and
	// ClaimLengthAfterFailure the same for some hours after a failure of the store.
	// Zero values mean the defaults.
	ClaimLength, ClaimLengthAfterFailure time.Duration
	Limits                               core.Limits
}

// Defaults of Config.
const (
	DefaultClaimLength             = 15 * time.Minute
	DefaultClaimLengthAfterFailure = time.Hour
	DefaultKeys                    = 100_000
	DefaultAnswerBytes             = 8 << 20
	DefaultRetention               = 20 * time.Minute
)

// ClaimManager holds the claims of one daemon. It is safe for concurrent use.
type ClaimManager struct {
	config Config
	me     core.Holder
	// wake requests a refresh. It holds one token, which covers all requests made
	// before Run takes it.
	wake chan struct{}

	mu               sync.Mutex
	owner            *core.Owner[*sharedRun]
	table            core.Table
	read             bool // the table has been read
	refreshRequested bool
	leaving          bool
	live             []string // as of the last refresh
	lastFailure      time.Time
	nextRefresh      time.Time // no earlier refresh, unless the live instances change
	refreshInterval  time.Duration
	failing          bool          // the last refresh failed
	stagger          time.Duration // delay of the next renewal
	followUpAt       time.Time     // time of one more refresh, unless zero
	counters         Counters
}

// Counters count the store calls and key verdicts of a ClaimManager.
type Counters struct {
	Reads, Writes, Failures uint64
	// Verdicts on keys with a timestamp.
	Runs, Joins, Replays, Duplicates, Refused uint64
}

// NewClaimManager returns a ClaimManager without claims.
func NewClaimManager(config Config) *ClaimManager {
	if config.ClaimLength == 0 {
		config.ClaimLength = DefaultClaimLength
	}
	if config.ClaimLengthAfterFailure == 0 {
		config.ClaimLengthAfterFailure = DefaultClaimLengthAfterFailure
	}
	if config.Limits == (core.Limits{}) {
		config.Limits = core.Limits{Keys: DefaultKeys, AnswerBytes: DefaultAnswerBytes, Retention: DefaultRetention}
	}
	return &ClaimManager{
		config: config,
		me:     core.Holder{Instance: config.Instance, Start: uuid.NewString()},
		wake:   make(chan struct{}, 1),
		owner:  core.NewOwner[*sharedRun](config.Limits),
	}
}

// tableKey returns the store's key of the claim table of a service.
func tableKey(service string) string { return "once/" + service + "/table" }

// Run takes and renews claims until the context ends.
func (k *ClaimManager) Run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	sleep(ctx, startDelay)
	for ctx.Err() == nil {
		k.refreshIfDue(ctx, time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-k.wake:
			k.setRefreshRequested()
		}
	}
}

// requestRefresh makes Run read the table again soon.
func (k *ClaimManager) requestRefresh() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

func (k *ClaimManager) setRefreshRequested() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.refreshRequested = true
}

// refreshIfDue expires old keys, and refreshes the claims if a refresh is due.
func (k *ClaimManager) refreshIfDue(ctx context.Context, now time.Time) {
	live := k.config.LiveInstances()
	k.mu.Lock()
	k.owner.Expire(core.MillisOf(now))
	due := k.due(live, now)
	before := k.table
	k.mu.Unlock()
	if !due {
		return
	}
	err := k.refresh(ctx, live)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.failing = err != nil
	if err == nil {
		k.scheduleNext(now, before != k.table)
		return
	}
	if ctx.Err() == nil {
		k.counters.Failures++
		k.lastFailure = now
		k.nextRefresh = now.Add(failureBackoff + rand.N(failureBackoff))
		k.config.Log.Log(event.ClaimsNotRefreshed).Err(err).Msg("the claims could not be refreshed")
	}
}

// due reports whether a refresh is due now. The caller holds the lock.
func (k *ClaimManager) due(live []string, now time.Time) bool {
	if k.leaving {
		return false
	}
	liveChanged := !k.read || !slices.Equal(live, k.live)
	if now.Before(k.nextRefresh) && (k.failing || !liveChanged) {
		return false
	}
	if liveChanged {
		k.followUpAt = now.Add(followUpDelay)
		return true
	}
	followUpDue := !k.followUpAt.IsZero() && !now.Before(k.followUpAt)
	return k.refreshRequested || followUpDue || k.table.RenewalDue(k.me, core.MillisOf(now.Add(-k.stagger)), k.policy(now))
}

// scheduleNext sets the time of the next refresh after a successful one. found is
// set if the table had changed. The caller holds the lock.
func (k *ClaimManager) scheduleNext(now time.Time, found bool) {
	k.refreshInterval = min(max(2*k.refreshInterval, minRefreshInterval), maxRefreshInterval)
	if found {
		k.refreshInterval = minRefreshInterval
	}
	k.nextRefresh = now.Add(k.refreshInterval)
	k.stagger = rand.N(maxStagger)
	if !now.Before(k.followUpAt) {
		k.followUpAt = time.Time{}
	}
}

// policy returns the claim policy at a time. The caller holds the lock.
func (k *ClaimManager) policy(now time.Time) core.Policy {
	if !k.lastFailure.IsZero() && now.Sub(k.lastFailure) < failureMemory {
		return core.Policy{Length: k.config.ClaimLengthAfterFailure}
	}
	return core.Policy{Length: k.config.ClaimLength}
}

// refresh reads the table, takes and extends claims, and adopts the resulting
// table.
func (k *ClaimManager) refresh(ctx context.Context, live []string) error {
	err := k.edit(ctx, func(t core.Table, now time.Time) (core.Table, bool) {
		k.mu.Lock()
		defer k.mu.Unlock()
		if k.leaving {
			return t, false
		}
		return t.Plan(k.me, live, core.MillisOf(now), k.policy(now))
	})
	if err == nil {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.live, k.read, k.refreshRequested = live, true, false
	}
	return err
}

// edit changes the table by compare-and-swap, with retries until no change remains,
// and adopts it. A write whose response was lost is detected by reading again, as a
// claim names its holder.
func (k *ClaimManager) edit(ctx context.Context, change func(core.Table, time.Time) (core.Table, bool)) error {
	var last error
	for range maxConflicts {
		table, revision, err := k.get(ctx)
		if err != nil {
			return err
		}
		wanted, changed := change(table, time.Now())
		if !changed {
			k.adopt(table)
			return nil
		}
		if last = k.put(ctx, wanted, revision); last == nil {
			k.adopt(wanted)
			return nil
		}
		if !errors.Is(last, kv.ErrConflict) {
			k.count(func(c *Counters) { c.Failures++ })
		}
		sleep(ctx, rand.N(maxConflictBackoff))
	}
	return last
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (k *ClaimManager) get(ctx context.Context) (core.Table, uint64, error) {
	k.count(func(c *Counters) { c.Reads++ })
	entry, err := k.config.Store.Get(ctx, tableKey(k.config.Service))
	if errors.Is(err, kv.ErrNotFound) {
		return core.Table{}, 0, nil
	}
	if err != nil {
		return core.Table{}, 0, err
	}
	var table core.Table
	err = json.Unmarshal(entry.Value, &table)
	return table, entry.Revision, errors.Wrapf(err, "value of %s", entry.Key)
}

func (k *ClaimManager) put(ctx context.Context, table core.Table, revision uint64) error {
	k.count(func(c *Counters) { c.Writes++ })
	value, err := json.Marshal(&table)
	if err != nil {
		return errors.Wrap(err, "table")
	}
	_, err = k.config.Store.Put(ctx, tableKey(k.config.Service), value, revision, "")
	return err
}

// adopt makes a table from the store the current one, with the claims in it.
func (k *ClaimManager) adopt(table core.Table) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.table = table
	k.owner.AddIntervals(table.Claims(k.me))
}

func (k *ClaimManager) count(add func(*Counters)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	add(&k.counters)
}

// Release releases the claims for a drain: from now on this daemon runs no
// key with a higher timestamp than those it has run, and the store records this.
// After an error, successors wait until the claims end.
func (k *ClaimManager) Release(ctx context.Context) error {
	k.mu.Lock()
	k.leaving = true
	ends := k.owner.Truncate()
	k.mu.Unlock()
	return k.edit(ctx, func(t core.Table, _ time.Time) (core.Table, bool) { return t.Release(k.me, ends) })
}

// Status holds the counters and key statistics of a ClaimManager, for metrics.
type Status struct {
	Counters
	core.Stats
}

// Status returns the current Status.
func (k *ClaimManager) Status() Status {
	k.mu.Lock()
	defer k.mu.Unlock()
	return Status{k.counters, k.owner.Stats(core.MillisOf(time.Now()))}
}

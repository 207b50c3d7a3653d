// Package once runs each non-idempotent request at most once at the own
// upstream. A Keeper holds the claims of this daemon in the platform's store,
// and a Server in front of the upstream asks core/once what may run.
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
	// lookInterval is the pause between looks at the claims. A look costs no
	// call to the store unless something has changed.
	lookInterval = 500 * time.Millisecond
	// refreshPause is the least pause between two refreshes. It doubles up to
	// maxRefreshPause while refreshes find nothing new.
	refreshPause    = time.Second
	maxRefreshPause = time.Minute
	// startPause is the time between the start and the first claims, in which
	// the live instances become known.
	startPause = 2 * time.Second
	// maxStagger bounds the random delay of a renewal, so that the instances of a
	// service, which started together, don't edit the table together.
	maxStagger = time.Minute
	// settleTime is the time after which the table is read once more when the
	// set of live instances has changed, to see what the others took.
	settleTime = 2 * time.Second
	// failurePause is the pause after a refresh that failed.
	failurePause = 2 * time.Second
	// conflictPause bounds the random pause after a conflict.
	conflictPause = 100 * time.Millisecond
	// maxConflicts bounds the edits tried in one refresh.
	maxConflicts = 8
	// troubleMemory is the time for which a failure of the store makes claims
	// longer.
	troubleMemory = 6 * time.Hour
)

// Config is what a Keeper is made of.
type Config struct {
	Instance string
	Service  string
	Store    kv.Store
	// LiveInstances returns the instances of the service that take new work, the own
	// one among them.
	LiveInstances func() []string
	Log           *event.Logger
	// ClaimLength is the time that claims are taken ahead while the store is well,
	// ClaimLengthAfterFailure that after it has failed. Zero values mean the defaults.
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
	// wake asks for a refresh. It holds one request; more at the same time are
	// the same.
	wake chan struct{}

	mu       sync.Mutex
	owner    *core.Owner[*flight]
	table    core.Table
	read     bool // the table has been read
	asked    bool // someone asked for a refresh
	leaving  bool
	live     []string // as of the last refresh
	trouble  time.Time
	next     time.Time // no refresh before
	pause    time.Duration
	failing  bool          // the last refresh failed
	stagger  time.Duration // delay of the next renewal
	settle   time.Time     // one more refresh at this time, unless zero
	counters Counters
}

// Counters count what a Keeper did.
type Counters struct {
	Reads, Writes, Failures uint64
	// Verdicts on keys with a birth time.
	Runs, Joins, Replays, Duplicates, Refused uint64
}

// NewClaimManager returns a Keeper that holds nothing yet.
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
		owner:  core.NewOwner[*flight](config.Limits),
	}
}

// tableKey is the store's key of a service's table.
func tableKey(service string) string { return "once/" + service + "/table" }

// Run keeps the claims until the context ends.
func (k *ClaimManager) Run(ctx context.Context) {
	ticker := time.NewTicker(lookInterval)
	defer ticker.Stop()
	pause(ctx, startPause)
	for ctx.Err() == nil {
		k.look(ctx, time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-k.wake:
			k.setAsked()
		}
	}
}

// ask wakes Run to read the table again.
func (k *ClaimManager) ask() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

func (k *ClaimManager) setAsked() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.asked = true
}

// look refreshes the claims if something asks for it.
func (k *ClaimManager) look(ctx context.Context, now time.Time) {
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
		k.slow(now, before != k.table)
		return
	}
	if ctx.Err() == nil {
		k.counters.Failures++
		k.trouble = now
		k.next = now.Add(failurePause + rand.N(failurePause))
		k.config.Log.Log(event.ClaimsNotRefreshed).Err(err).Msg("the claims could not be refreshed")
	}
}

// due reports whether to refresh now. The caller holds the lock.
func (k *ClaimManager) due(live []string, now time.Time) bool {
	if k.leaving {
		return false
	}
	moved := !k.read || !slices.Equal(live, k.live)
	if now.Before(k.next) && (k.failing || !moved) {
		return false
	}
	if moved {
		k.settle = now.Add(settleTime)
		return true
	}
	settled := !k.settle.IsZero() && !now.Before(k.settle)
	return k.asked || settled || k.table.RenewalDue(k.me, core.MillisOf(now.Add(-k.stagger)), k.policy(now))
}

// slow sets the pause after a refresh. The caller holds the lock.
func (k *ClaimManager) slow(now time.Time, found bool) {
	k.pause = min(max(2*k.pause, refreshPause), maxRefreshPause)
	if found {
		k.pause = refreshPause
	}
	k.next = now.Add(k.pause)
	k.stagger = rand.N(maxStagger)
	if !now.Before(k.settle) {
		k.settle = time.Time{}
	}
}

// policy returns the policy at a time. The caller holds the lock.
func (k *ClaimManager) policy(now time.Time) core.Policy {
	if !k.trouble.IsZero() && now.Sub(k.trouble) < troubleMemory {
		return core.Policy{Length: k.config.ClaimLengthAfterFailure}
	}
	return core.Policy{Length: k.config.ClaimLength}
}

// refresh reads the table, takes and extends claims, and adopts what the store
// then holds.
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
		k.live, k.read, k.asked = live, true, false
	}
	return err
}

// edit changes the table by compare-and-swap until nothing is left to change,
// and adopts it. An edit whose answer was lost is found by reading again: a
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
		pause(ctx, rand.N(conflictPause))
	}
	return last
}

func pause(ctx context.Context, d time.Duration) {
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

// adopt takes a table that the store holds.
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

// Release gives the claims up for a planned stop: this daemon runs no key that is
// younger than those it has seen, and tells the store so. An error means that
// successors wait until the claims end.
func (k *ClaimManager) Release(ctx context.Context) error {
	k.mu.Lock()
	k.leaving = true
	ends := k.owner.Truncate()
	k.mu.Unlock()
	return k.edit(ctx, func(t core.Table, _ time.Time) (core.Table, bool) { return t.Release(k.me, ends) })
}

// Status is what a Keeper holds, for operators.
type Status struct {
	Counters
	core.Stats
}

// Status returns what the Keeper holds now.
func (k *ClaimManager) Status() Status {
	k.mu.Lock()
	defer k.mu.Unlock()
	return Status{k.counters, k.owner.Stats(core.MillisOf(time.Now()))}
}

package settingsync

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"fuchsiavane.org/core/member"
	"fuchsiavane.org/core/settings"
	"fuchsiavane.org/node/backoff"
	"fuchsiavane.org/node/edit"
	"fuchsiavane.org/node/event"
	"fuchsiavane.org/node/kv"
	"fuchsiavane.org/node/metrics"
)

const (
	// watchPurpose is the purpose for which watchers are chosen by rendezvous
	// hashing. Daemons must agree on it.
	watchPurpose = "settings watch"
	// WatchersPerDataCentre is the number of members of a data centre that watch the
	// store.
	WatchersPerDataCentre = 2
	// watchTimeout is the maximum wait of one watch call to the store.
	watchTimeout = 30 * time.Second
	// roleInterval is the interval at which a member checks whether it is a watcher.
	roleInterval = 100 * time.Millisecond
	// revisionInterval is the maximum interval at which a member checks whether a peer
	// has a higher revision.
	revisionInterval = 500 * time.Millisecond
	// startRoleInterval is used in place of roleInterval until settings are in force.
	startRoleInterval = 50 * time.Millisecond
	// firstHeadInterval is the minimum interval between reads of the store while it
	// holds no head.
	firstHeadInterval = 100 * time.Millisecond
	// minReadInterval is the minimum time between two reads of the head by one member
	// whose watches fail while its reads succeed.
	minReadInterval = 500 * time.Millisecond
	// storeMinBackoff and storeMaxBackoff bound the backoff after a failed call to
	// the store.
	storeMinBackoff = 500 * time.Millisecond
	storeMaxBackoff = 10 * time.Second
	// pullMinBackoff and pullMaxBackoff bound the backoff after a failed pull.
	pullMinBackoff = 50 * time.Millisecond
	pullMaxBackoff = 2 * time.Second
	// storeAwayTime is the time after which a member that could not read the store may
	// be chosen to try again. Half of it is random.
	storeAwayTime = 10 * time.Second
	// maxLoggedFindings is the maximum number of findings in one log line.
	maxLoggedFindings = 16
)

// Peers is the part of the membership that a Syncer uses.
type Peers interface {
	// IsReader reports whether this member reads the store for a purpose: it is one of
	// the n members of its data centre that are chosen, or it hears of no reader.
	// Members whose store is away are chosen only if that is true of all.
	IsReader(ctx context.Context, purpose string, n int) bool
	// SetStoreAway reports to the peers whether this member can't read the store.
	SetStoreAway(ctx context.Context, away bool)
	// HighestRevision returns the highest settings revision that a peer reported,
	// and a peer that has it in force.
	HighestRevision() member.RevisionSource
	// RevisionChanges returns a channel that receives a value after
	// HighestRevision changed.
	RevisionChanges() <-chan struct{}
	// SetRevision reports to the peers the settings revision in force.
	SetRevision(ctx context.Context, revision uint64)
}

// Config is the configuration of a Syncer.
type Config struct {
	Store    kv.Store
	Holder   *Holder
	Exchange *Exchange
	Peers    Peers
	Metrics  *metrics.Metrics
	Log      *event.Logger
	// MaxStoreBackoff is the maximum backoff after a failed call to the store; 0
	// means 10 s.
	MaxStoreBackoff time.Duration
}

// Syncer keeps the settings in force up to date. A few members of each data
// centre watch the store; the others receive the number of a new revision by
// gossip and pull it from a peer that has it in force.
type Syncer struct {
	config Config
	// staleStore is one more than the revision in the store while the store holds
	// older or different settings than those in force; 0 otherwise.
	staleStore atomic.Uint64

	mu              sync.Mutex
	refusedRevision uint64 // the last revision that was refused for its findings

	// storeFailure is the last logged failure. unreadable is the error of the settings
	// in the store until they are replaced by settings that can be decoded. These fields
	// are owned by watchStore.
	storeFailure storeFailure
	unreadable   error
	// reading says whether this member reads the store, as last logged.
	reading bool
}

// NewSyncer returns a Syncer.
func NewSyncer(c Config) *Syncer {
	if c.MaxStoreBackoff == 0 {
		c.MaxStoreBackoff = storeMaxBackoff
	}
	return &Syncer{config: c}
}

// Run keeps the settings up to date until the context ends.
func (s *Syncer) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { s.watchStore(ctx) })
	group.Go(func() { s.followPeers(ctx) })
	group.Wait()
}

// StaleStoreRevision returns the revision in the store, and whether the store holds
// older or different settings than those in force. It is always false at a member
// that is not a watcher.
func (s *Syncer) StaleStoreRevision() (uint64, bool) {
	v := s.staleStore.Load()
	return max(v, 1) - 1, v > 0
}

// watchStore keeps up with the head in the store while this member is a watcher.
func (s *Syncer) watchStore(ctx context.Context) {
	delay := backoff.New(storeMinBackoff, s.config.MaxStoreBackoff, rand.Float64)
	var after uint64
	var awayUntil, lastRead time.Time
	for ctx.Err() == nil {
		if !awayUntil.IsZero() && time.Now().After(awayUntil) {
			awayUntil = time.Time{}
			s.config.Peers.SetStoreAway(ctx, false)
		}
		reading := s.config.Peers.IsReader(ctx, watchPurpose, WatchersPerDataCentre)
		s.logReading(ctx, reading)
		if !reading {
			after = 0
			s.staleStore.Store(0)
			sleep(ctx, s.roleInterval())
			continue
		}
		start := time.Now()
		if after == 0 {
			lastRead = start
		}
		revision, err := s.watchOnce(ctx, after)
		s.logFailedCall(ctx, after, time.Since(start), err)
		if errors.Is(err, kv.ErrUnreadable) {
			s.unreadable = err
		}
		if err == nil {
			s.logStoreState(ctx, s.unreadable)
		} else {
			s.logStoreState(ctx, err)
		}
		if err != nil && after != 0 && revision == 0 {
			// The connection of the watch may have failed alone: a read on a new one
			// shows whether the store is away.
			after = 0
			sleep(ctx, minReadInterval-time.Since(lastRead))
			continue
		}
		if err != nil && revision == 0 {
			awayUntil = time.Now().Add(storeAwayTime/2 + rand.N(storeAwayTime/2))
			s.config.Peers.SetStoreAway(ctx, true)
			sleep(ctx, delay.Next())
			continue
		}
		after = revision
		delay.Reset()
		if !awayUntil.IsZero() {
			awayUntil = time.Time{}
			s.config.Peers.SetStoreAway(ctx, false)
		}
	}
}

// roleInterval returns the interval at which a member that does not read the store
// checks whether it has to.
func (s *Syncer) roleInterval() time.Duration {
	if s.config.Holder.Current().Revision == 0 {
		return startRoleInterval
	}
	return roleInterval
}

// watchOnce waits for a change after a revision of the store, applies it and
// returns the store's revision. At revision 0, and if the store's revision has
// fallen, it reads the head instead. An error of kv.ErrUnreadable comes with the
// revision from which to watch for a readable value.
func (s *Syncer) watchOnce(ctx context.Context, after uint64) (uint64, error) {
	if after == 0 {
		return s.readHead(ctx)
	}
	s.countCall("watch")
	changes, revision, err := s.config.Store.Watch(ctx, edit.HeadKey, after, watchTimeout)
	if err != nil && !errors.Is(err, kv.ErrUnreadable) {
		return 0, err
	}
	if revision < after {
		return s.readHead(ctx)
	}
	for _, change := range changes {
		if change.Key != edit.HeadKey || change.Deleted {
			continue
		}
		head, decodeErr := edit.Decode(change.Value)
		if decodeErr != nil {
			err = decodeErr
			continue
		}
		s.applyFromStore(ctx, head)
	}
	return revision, err
}

// readHead applies the head in the store and returns the revision to watch from.
func (s *Syncer) readHead(ctx context.Context) (uint64, error) {
	s.countCall("read")
	head, revision, err := edit.ReadToWatch(ctx, s.config.Store)
	if errors.Is(err, kv.ErrNotFound) {
		return 0, s.awaitFirstHead(ctx)
	}
	if err != nil {
		return revision, err
	}
	s.applyFromStore(ctx, head)
	return revision, nil
}

// awaitFirstHead waits until the store changes, since it may then hold its first
// head, or until watchTimeout.
func (s *Syncer) awaitFirstHead(ctx context.Context) error {
	s.applyFromStore(ctx, edit.Head{})
	s.countCall("watch")
	_, _, err := s.config.Store.Watch(ctx, edit.HeadKey, 0, watchTimeout)
	sleep(ctx, firstHeadInterval)
	return err
}

// applyFromStore applies a head read from the store, unless the store holds an
// older revision than the one in force, or another edit with the same revision, as
// after a restore from a backup. It logs such a state of the store once.
func (s *Syncer) applyFromStore(ctx context.Context, head edit.Head) {
	s.unreadable = nil
	inForce := s.config.Holder.Current()
	older := head.Revision < inForce.Revision
	differs := head.Revision == inForce.Revision && head.EditID != inForce.Head.EditID
	if !older && !differs {
		s.staleStore.Store(0)
		s.apply(ctx, head, sourceStore)
		return
	}
	if s.staleStore.Swap(head.Revision+1) == head.Revision+1 {
		return
	}
	s.config.Log.Log(event.SettingsOlder).Uint64("store_revision", head.Revision).Uint64("revision", inForce.Revision).
		Msg("the store holds older or different settings than those in force")
}

// sourceStore is the source of a head that was read from the store. The source of a
// pulled one is the address of the peer.
const sourceStore = "store"

// apply puts a head in force if its revision is higher than the one in force, and
// reports it to the peers.
func (s *Syncer) apply(ctx context.Context, head edit.Head, source string) {
	applied, findings := s.config.Holder.Update(head)
	if !applied {
		s.refuse(head, findings)
		return
	}
	if len(findings) > 0 {
		s.config.Log.Log(event.SettingsPartlyApplied).Uint64("revision", head.Revision).Int("count", len(findings)).
			Err(findings[:min(len(findings), maxLoggedFindings)]).Msg("settings in force without the parts that can't be read")
	}
	s.config.Log.Log(event.SettingsInForce).Uint64("revision", head.Revision).Str("edit_id", head.EditID).
		Str("source", source).Msg("settings in force")
	s.config.Peers.SetRevision(ctx, head.Revision)
}

// refuse logs a head that can't be read, once for each revision. Without findings
// the head was not newer than the one in force.
func (s *Syncer) refuse(head edit.Head, findings settings.Findings) {
	if len(findings) == 0 {
		return
	}
	s.mu.Lock()
	logged := s.refusedRevision == head.Revision
	s.refusedRevision = head.Revision
	s.mu.Unlock()
	if !logged {
		s.config.Log.Log(event.SettingsRefused).Uint64("revision", head.Revision).Err(findings).Msg("settings refused")
	}
}

// followPeers pulls higher revisions that peers report.
func (s *Syncer) followPeers(ctx context.Context) {
	delay := backoff.New(pullMinBackoff, pullMaxBackoff, rand.Float64)
	for ctx.Err() == nil {
		newest := s.config.Peers.HighestRevision()
		if !s.needs(newest.Revision) {
			delay.Reset()
			select {
			case <-ctx.Done():
			case <-s.config.Peers.RevisionChanges():
			case <-time.After(revisionInterval):
			}
			continue
		}
		start := time.Now()
		if err := s.pull(ctx, newest); err != nil {
			s.countCall("pull_failure")
			s.logFailedPull(ctx, newest, time.Since(start), err)
			sleep(ctx, delay.Next())
		}
	}
}

// needs reports whether a revision is higher than the one in force and was not
// refused.
func (s *Syncer) needs(revision uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return revision > s.config.Holder.Current().Revision && revision != s.refusedRevision
}

func (s *Syncer) pull(ctx context.Context, newest member.RevisionSource) error {
	s.countCall("pull")
	head, err := s.config.Exchange.Pull(ctx, newest.Addr)
	if err != nil {
		return err
	}
	if head.Revision < newest.Revision {
		return errors.Errorf("settings: the peer at %s has revision %d, not %d", newest.Addr, head.Revision, newest.Revision)
	}
	s.apply(ctx, head, newest.Addr)
	return nil
}

// logFailedPull logs a pull that failed.
func (s *Syncer) logFailedPull(ctx context.Context, newest member.RevisionSource, took time.Duration, err error) {
	if ctx.Err() != nil {
		return
	}
	s.config.Log.Log(event.SettingsPullFailed).Str("peer", newest.Addr).Uint64("wanted", newest.Revision).
		Uint64("revision", s.config.Holder.Current().Revision).Int64("took_ms", took.Milliseconds()).Err(err).
		Msg("settings could not be pulled")
}

// storeFailure says how reads of the settings from the store fail.
type storeFailure string

// Values of storeFailure.
const (
	storeWorks storeFailure = ""
	// storeSilent means that calls end without a response.
	storeSilent storeFailure = "silent"
	// storeRefuses means that the store refuses calls.
	storeRefuses storeFailure = "refuses"
	// storeUnreadable means that the store responds, but that its settings can't be
	// decoded.
	storeUnreadable storeFailure = "unreadable"
)

func failureOf(err error) storeFailure {
	switch {
	case err == nil:
		return storeWorks
	case errors.Is(err, kv.ErrUnreadable):
		return storeUnreadable
	case errors.Is(err, kv.ErrUnavailable):
		return storeRefuses
	}
	return storeSilent
}

// logStoreState logs when reads of the store begin to fail, fail in another way, or
// work again.
func (s *Syncer) logStoreState(ctx context.Context, err error) {
	failure := failureOf(err)
	if ctx.Err() != nil || failure == s.storeFailure {
		return
	}
	s.storeFailure = failure
	switch failure {
	case storeWorks:
		s.config.Log.Log(event.PlatformReachable).Msg("the store answers again")
	case storeUnreadable:
		s.config.Log.Log(event.SettingsUnreadable).Uint64("revision", s.config.Holder.Current().Revision).Err(err).
			Msg("the settings in the store can't be decoded")
	default:
		s.config.Log.Log(event.PlatformUnreachable).Str("cause", string(failure)).Err(err).Msg("the store can't be read")
	}
}

// logFailedCall logs a failed call to the store, made to watch it after a revision.
func (s *Syncer) logFailedCall(ctx context.Context, after uint64, took time.Duration, err error) {
	if err == nil || ctx.Err() != nil {
		return
	}
	call := "watch"
	if after == 0 {
		call = "read"
	}
	s.config.Log.Log(event.StoreCallFailed).Str("call", call).Int64("took_ms", took.Milliseconds()).
		Uint64("revision", s.config.Holder.Current().Revision).Err(err).Msg("the settings could not be read from the store")
}

// logReading logs when this member begins or ends to read the store.
func (s *Syncer) logReading(ctx context.Context, reading bool) {
	if ctx.Err() != nil || reading == s.reading {
		return
	}
	s.reading = reading
	s.config.Log.Log(event.SettingsReading).Bool("reading", reading).Uint64("revision", s.config.Holder.Current().Revision).
		Msg("reading of the store changed")
}

// countCall counts a call of a kind in the metrics.
func (s *Syncer) countCall(kind string) {
	s.config.Metrics.Counter(`fuchsiavane_settings_calls_total{kind="` + kind + `"}`).Inc()
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

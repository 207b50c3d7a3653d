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
	// watchPurpose names the choice of watchers, and Watchers is their number
	// in each data centre.
	watchPurpose = "settings watch"
	// WatchersPerDataCentre is the number of members of a data centre that watch the store.
	WatchersPerDataCentre = 2
	// watchWait bounds one waiting watch.
	watchWait = 30 * time.Second
	// roleInterval is the pause between looks at the own role.
	roleInterval = 500 * time.Millisecond
	// firstPause is the pause between looks for a first head.
	firstPause = 100 * time.Millisecond
	// storeFirst and storeMost bound the pause after a failed call to the store.
	storeFirst = 500 * time.Millisecond
	storeMost  = 10 * time.Second
	// pullFirst and pullMost bound the pause after a failed pull.
	pullFirst = 50 * time.Millisecond
	pullMost  = 2 * time.Second
)

// Peers is what the Syncer needs of the membership.
type Peers interface {
	// IsChosen reports whether this member is one of n chosen for a purpose.
	IsChosen(ctx context.Context, purpose string, n int) bool
	// HighestRevision returns the highest settings revision heard of and a
	// peer that has it.
	HighestRevision() member.RevisionSource
	// RevisionChanges gets a value when a higher settings revision was heard of.
	RevisionChanges() <-chan struct{}
	// SetRevision tells the peers the settings revision in force.
	SetRevision(ctx context.Context, revision uint64)
}

// Config is what a Syncer needs.
type Config struct {
	Store    kv.Store
	Holder   *Holder
	Exchange *Exchange
	Peers    Peers
	Metrics  *metrics.Metrics
	Log      *event.Logger
	// MaxStoreBackoff bounds the pause after a failed call to the store; 0 for the
	// usual one.
	MaxStoreBackoff time.Duration
}

// Syncer keeps the settings in force up to date. A few members of each data
// centre watch the store; the others learn of a new revision by gossip and pull
// it from the peer that told it.
type Syncer struct {
	config Config
	// olderStore is the revision that the store holds while that is older than
	// the one in force, plus one; 0 otherwise.
	olderStore atomic.Uint64

	mu      sync.Mutex
	refused uint64 // the last revision with findings

	away bool // owned by the watching duty
}

// NewSyncer returns a Syncer.
func NewSyncer(c Config) *Syncer {
	if c.MaxStoreBackoff == 0 {
		c.MaxStoreBackoff = storeMost
	}
	return &Syncer{config: c}
}

// Run keeps the settings up to date until the context ends.
func (s *Syncer) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { s.watch(ctx) })
	group.Go(func() { s.follow(ctx) })
	group.Wait()
}

// StaleStoreRevision returns the revision that the store holds, and whether that is
// older than the one in force. Only watchers know.
func (s *Syncer) StaleStoreRevision() (uint64, bool) {
	v := s.olderStore.Load()
	return max(v, 1) - 1, v > 0
}

// watch follows the head in the store while this member is a watcher.
func (s *Syncer) watch(ctx context.Context) {
	pause := backoff.New(storeFirst, s.config.MaxStoreBackoff, rand.Float64)
	var after uint64
	for ctx.Err() == nil {
		if !s.config.Peers.IsChosen(ctx, watchPurpose, WatchersPerDataCentre) {
			after = 0
			s.olderStore.Store(0)
			sleep(ctx, roleInterval)
			continue
		}
		revision, err := s.step(ctx, after)
		s.note(ctx, err)
		if err != nil {
			after = 0
			sleep(ctx, pause.Next())
			continue
		}
		after = revision
		pause.Reset()
	}
}

// step waits for the next change after a revision of the store and takes it.
// At revision 0, and when the store's revision falls, it reads the head.
func (s *Syncer) step(ctx context.Context, after uint64) (uint64, error) {
	if after == 0 {
		return s.readHead(ctx)
	}
	s.count("watch")
	changes, revision, err := s.config.Store.Watch(ctx, edit.HeadKey, after, watchWait)
	if err != nil {
		return 0, err
	}
	if revision < after {
		return s.readHead(ctx)
	}
	for _, change := range changes {
		if change.Key != edit.HeadKey || change.Deleted {
			continue
		}
		head, err := edit.Decode(change.Value)
		if err != nil {
			return 0, err
		}
		s.takeFromStore(ctx, head)
	}
	return revision, nil
}

// readHead takes the head and returns the revision to watch from.
func (s *Syncer) readHead(ctx context.Context) (uint64, error) {
	s.count("read")
	head, revision, err := edit.Read(ctx, s.config.Store)
	if errors.Is(err, kv.ErrNotFound) {
		return 0, s.awaitFirst(ctx)
	}
	if err != nil {
		return 0, err
	}
	s.takeFromStore(ctx, head)
	return revision, nil
}

// awaitFirst waits until there may be a head in the store, or a while.
func (s *Syncer) awaitFirst(ctx context.Context) error {
	s.takeFromStore(ctx, edit.Head{})
	s.count("watch")
	_, _, err := s.config.Store.Watch(ctx, edit.HeadKey, 0, watchWait)
	sleep(ctx, firstPause)
	return err
}

func (s *Syncer) takeFromStore(ctx context.Context, head edit.Head) {
	inForce := s.config.Holder.Current()
	older := head.Revision < inForce.Revision
	differs := head.Revision == inForce.Revision && head.EditID != inForce.Head.EditID
	if !older && !differs {
		s.olderStore.Store(0)
		s.take(ctx, head)
		return
	}
	if s.olderStore.Swap(head.Revision+1) == head.Revision+1 {
		return
	}
	s.config.Log.Log(event.SettingsOlder).Uint64("store_revision", head.Revision).Uint64("revision", inForce.Revision).
		Msg("the store holds older or other settings than those in force")
}

// take puts a head in force if it is newer, and tells the peers.
func (s *Syncer) take(ctx context.Context, head edit.Head) {
	taken, findings := s.config.Holder.Update(head)
	if len(findings) > 0 {
		s.refuse(head, findings)
	}
	if !taken {
		return
	}
	s.config.Log.Log(event.SettingsInForce).Uint64("revision", head.Revision).Str("edit_id", head.EditID).Msg("settings in force")
	s.config.Peers.SetRevision(ctx, head.Revision)
}

func (s *Syncer) refuse(head edit.Head, findings settings.Findings) {
	s.mu.Lock()
	known := s.refused == head.Revision
	s.refused = head.Revision
	s.mu.Unlock()
	if !known {
		s.config.Log.Log(event.SettingsRefused).Uint64("revision", head.Revision).Err(findings).Msg("settings refused")
	}
}

// follow pulls what peers tell to be newer.
func (s *Syncer) follow(ctx context.Context) {
	pause := backoff.New(pullFirst, pullMost, rand.Float64)
	for ctx.Err() == nil {
		newest := s.config.Peers.HighestRevision()
		if !s.lacks(newest.Revision) {
			pause.Reset()
			select {
			case <-ctx.Done():
			case <-s.config.Peers.RevisionChanges():
			case <-time.After(roleInterval):
			}
			continue
		}
		if err := s.pull(ctx, newest); err != nil {
			s.count("pull_failure")
			sleep(ctx, pause.Next())
		}
	}
}

// lacks reports whether a revision is newer than the one in force and was not
// refused.
func (s *Syncer) lacks(revision uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return revision > s.config.Holder.Current().Revision && revision != s.refused
}

func (s *Syncer) pull(ctx context.Context, newest member.RevisionSource) error {
	s.count("pull")
	head, err := s.config.Exchange.Pull(ctx, newest.Addr)
	if err != nil {
		return err
	}
	if head.Revision < newest.Revision {
		return errors.Errorf("settings: the peer at %s has revision %d, not %d", newest.Addr, head.Revision, newest.Revision)
	}
	s.take(ctx, head)
	return nil
}

// note logs when the store goes away and when it is back.
func (s *Syncer) note(ctx context.Context, err error) {
	away := err != nil && ctx.Err() == nil
	if away && !s.away {
		s.config.Log.Log(event.PlatformUnreachable).Err(err).Msg("the store does not answer")
	}
	if !away && s.away {
		s.config.Log.Log(event.PlatformReachable).Msg("the store answers again")
	}
	s.away = away
}

func (s *Syncer) count(kind string) {
	s.config.Metrics.Counter(`fuchsiavane_settings_calls_total{kind="` + kind + `"}`).Inc()
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

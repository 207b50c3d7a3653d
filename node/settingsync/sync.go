package settingsync

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"fuchsiavane.org/node/edit"
	"fuchsiavane.org/node/event"
	"fuchsiavane.org/node/platform"
)

const (
	// watchWait bounds one waiting watch.
	watchWait = 30 * time.Second
	// retryWait is the pause after a failed call.
	retryWait = time.Second
)

// Syncer follows the head of the settings in the store.
type Syncer struct {
	store  platform.Store
	holder *Holder
	log    *event.Logger
	away   bool
}

// NewSyncer returns a Syncer.
func NewSyncer(store platform.Store, holder *Holder, log *event.Logger) *Syncer {
	return &Syncer{store: store, holder: holder, log: log}
}

// Run follows the store until the context ends.
func (s *Syncer) Run(ctx context.Context) {
	var after uint64
	for ctx.Err() == nil {
		revision, err := s.step(ctx, after)
		s.note(err)
		if err == nil {
			after = revision
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryWait):
		}
	}
}

// step takes the head and waits for the next change after a revision.
func (s *Syncer) step(ctx context.Context, after uint64) (uint64, error) {
	head, revision, err := edit.Read(ctx, s.store)
	switch {
	case errors.Is(err, platform.ErrNotFound):
	case err != nil:
		return 0, err
	default:
		s.take(head)
	}
	_, next, err := s.store.Watch(ctx, edit.HeadKey, max(after, revision), watchWait)
	return next, err
}

func (s *Syncer) take(head edit.Head) {
	inForce := s.holder.Current().Revision
	if head.Revision < inForce {
		s.log.Log(event.SettingsOlder).Uint64("store_revision", head.Revision).Uint64("revision", inForce).Msg("the store holds older settings than those in force")
		return
	}
	taken, findings := s.holder.Offer(head)
	if len(findings) > 0 {
		s.log.Log(event.SettingsRefused).Uint64("revision", head.Revision).Err(findings).Msg("settings refused")
	}
	if taken {
		s.log.Log(event.SettingsInForce).Uint64("revision", head.Revision).Str("edit_id", head.EditID).Msg("settings in force")
	}
}

// note logs when the store goes away and when it is back.
func (s *Syncer) note(err error) {
	away := err != nil && !errors.Is(err, context.Canceled)
	if away && !s.away {
		s.log.Log(event.PlatformAway).Err(err).Msg("the store does not answer")
	}
	if !away && s.away {
		s.log.Log(event.PlatformBack).Msg("the store answers again")
	}
	s.away = away
}

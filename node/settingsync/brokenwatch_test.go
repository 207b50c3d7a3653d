package settingsync

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"fuchsiavane.org/node/event"
	"fuchsiavane.org/node/kv"
	"fuchsiavane.org/node/kv/memstore"
)

// brokenWatchStore is a store whose watches fail without a change, each after a time.
type brokenWatchStore struct {
	*memstore.Store
	after time.Duration
}

func (s *brokenWatchStore) Watch(ctx context.Context, _ string, _ uint64, _ time.Duration) ([]kv.Change, uint64, error) {
	sleep(ctx, s.after)
	return nil, 0, errors.New("the connection is silent")
}

// TestHeadIsReadAtOnceAfterABrokenWatch guards against a backoff, or a change of the
// watcher, after a watch whose connection alone has failed.
func TestHeadIsReadAtOnceAfterABrokenWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const silence = 2 * time.Second
		store := &brokenWatchStore{memstore.New(), silence}
		apply(t, store, `{}`)
		peers := &fakePeers{watcher: true}
		ctx, stop := context.WithCancel(t.Context())
		s, holder := newSyncer(store, peers, event.Discard())
		done := make(chan struct{})
		go func() { s.Run(ctx); close(done) }()
		synctest.Wait()
		is.Equal(holder.Current().Revision, uint64(1))
		apply(t, store, `{"settings": {"slots": 7}}`) // the broken watch misses it
		time.Sleep(silence)
		synctest.Wait()
		is.Equal(holder.Current().Revision, uint64(2))
		is.Equal(peers.timesAway, 0)
		stop()
		<-done
	})
}

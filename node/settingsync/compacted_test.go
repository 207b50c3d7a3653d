package settingsync

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"fuchsiavane.org/node/edit"
	"fuchsiavane.org/node/kv"
)

// compactedStore is a store without the history up to a revision.
type compactedStore struct {
	*countingStore
	upTo  uint64
	reads int
}

func (s *compactedStore) Get(ctx context.Context, key string) (kv.Entry, error) {
	s.reads++
	return s.countingStore.Get(ctx, key)
}

func (s *compactedStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]kv.Change, uint64, error) {
	if after < s.upTo {
		return nil, 0, errors.New("the history was compacted")
	}
	return s.countingStore.Watch(ctx, prefix, after, wait)
}

// TestWatchGoesOnFromTheReadAfterACompaction guards against a watcher that reads again
// and again, because the head was written before the history that the store keeps.
func TestWatchGoesOnFromTheReadAfterACompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &compactedStore{countingStore: newCountingStore()}
		apply(t, store.Store, `{}`)
		var err error
		store.upTo, err = store.Put(t.Context(), "join/a", []byte("later than the head"), 0, "")
		is.NoErr(err)
		holder, _, stop := runSyncer(t, store)
		time.Sleep(time.Minute)
		is.Equal(holder.Current().Revision, uint64(1))
		is.Equal(store.reads, 1)
		_, err = edit.Apply(t.Context(), store.Store, []byte(`{"settings": {"slots": 7}}`), "test", nil)
		is.NoErr(err)
		synctest.Wait()
		is.Equal(holder.Current().Revision, uint64(2))
		stop()
	})
}

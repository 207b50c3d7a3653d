package edit

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"fuchsiavane.org/node/kv"
)

// historyKey returns the key of a replaced revision. The keys form a ring, so
// that the history is bounded without deletions.
func historyKey(revision uint64) string {
	return fmt.Sprintf("%s%02d", historyPrefix, revision%HistoryLength)
}

// keep stores a head that is about to be replaced. Several operators may keep
// the same head at once; a newer revision in its place is left alone.
func keep(ctx context.Context, store kv.Store, head Head) error {
	if head.Revision == 0 {
		return nil
	}
	value, err := json.Marshal(head)
	if err != nil {
		return errors.Wrap(err, "settings head")
	}
	key := historyKey(head.Revision)
	for attempt := 1; ; attempt++ {
		kept, storeRevision, err := read(ctx, store, key)
		if err == nil && kept.Revision >= head.Revision {
			return nil
		}
		if err == nil || errors.Is(err, kv.ErrNotFound) {
			_, err = store.Put(ctx, key, value, storeRevision, "")
		}
		if err == nil {
			return nil
		}
		if attempt == putAttempts || !sleep(ctx, putPause) {
			return err
		}
	}
}

// ErrRevisionNotFound means that a revision is not in force and not in the history.
var ErrRevisionNotFound = errors.New("the revision is neither in force nor kept in the history")

// ReadRevision returns the head as it was at a revision.
func ReadRevision(ctx context.Context, store kv.Store, revision uint64) (Head, error) {
	head, _, err := Read(ctx, store)
	if err != nil || head.Revision == revision {
		return head, err
	}
	kept, _, err := read(ctx, store, historyKey(revision))
	if errors.Is(err, kv.ErrNotFound) || (err == nil && kept.Revision != revision) {
		return Head{}, errors.Wrapf(ErrRevisionNotFound, "revision %d", revision)
	}
	return kept, err
}

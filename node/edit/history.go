package edit

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"fuchsiavane.org/node/kv"
)

// historyKey returns the key of a replaced revision. The keys repeat every
// HistoryLength revisions, which bounds the history without deletions.
func historyKey(revision uint64) string {
	return fmt.Sprintf("%s%02d", historyPrefix, revision%HistoryLength)
}

// storeInHistory stores a head that is about to be replaced. Several operators may
// store the same head concurrently; a newer revision under its key is not replaced.
func storeInHistory(ctx context.Context, store kv.Store, head Head) error {
	if head.Revision == 0 {
		return nil
	}
	value, err := json.Marshal(head)
	if err != nil {
		return errors.Wrap(err, "settings head")
	}
	key := historyKey(head.Revision)
	for attempt := 1; ; attempt++ {
		stored, entry, err := readHead(ctx, store, key)
		if err == nil && stored.Revision >= head.Revision {
			return nil
		}
		if err == nil || errors.Is(err, kv.ErrNotFound) {
			_, err = store.Put(ctx, key, value, entry.Revision, "")
		}
		if err == nil {
			return nil
		}
		if attempt == maxPutAttempts || !sleep(ctx, putRetryDelay) {
			return err
		}
	}
}

// ErrRevisionNotFound means that a revision is neither in force nor in the
// history.
var ErrRevisionNotFound = errors.New("the revision is neither in force nor kept in the history")

// ReadRevision returns the head of a revision in force or in the history, or an
// ErrRevisionNotFound.
func ReadRevision(ctx context.Context, store kv.Store, revision uint64) (Head, error) {
	head, _, err := Read(ctx, store)
	if err != nil || head.Revision == revision {
		return head, err
	}
	stored, _, err := readHead(ctx, store, historyKey(revision))
	if errors.Is(err, kv.ErrNotFound) || (err == nil && stored.Revision != revision) {
		return Head{}, errors.Wrapf(ErrRevisionNotFound, "revision %d", revision)
	}
	return stored, err
}

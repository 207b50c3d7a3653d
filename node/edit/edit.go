// Package edit changes the settings in the platform's store: one head key,
// changed by compare-and-swap, with an edit id by which an edit whose answer
// was lost is recognised.
package edit

import (
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"fuchsiavane.org/core/settings"
	"fuchsiavane.org/node/platform"
)

// HeadKey is the key of the settings in force.
const HeadKey = "settings/head"

// Head is the value of HeadKey.
type Head struct {
	// Revision counts accepted edits, from 1.
	Revision uint64 `json:"revision"`
	// EditID names the edit.
	EditID string `json:"edit_id"`
	// Author is who made the edit.
	Author string `json:"author,omitempty"`
	// At is when the edit was made, by the operator's clock.
	At time.Time `json:"at"`
	// Document is the settings tree as the operator wrote it.
	Document []byte `json:"document"`
}

// ErrConflict means that another operator's edit came first.
var ErrConflict = errors.New("another edit came first")

// Read returns the head and the store's revision of its key.
func Read(ctx context.Context, store platform.Store) (Head, uint64, error) {
	entry, err := store.Get(ctx, HeadKey)
	if err != nil {
		return Head{}, 0, err
	}
	var head Head
	if err := json.Unmarshal(entry.Value, &head); err != nil {
		return Head{}, 0, errors.Wrapf(err, "value of %s", HeadKey)
	}
	return head, entry.Revision, nil
}

// Apply checks a document and makes it the head. base is the revision that the
// operator's edit builds on, or nil to build on whatever is there. The error is
// settings.Findings, ErrConflict, or a failure of the store.
func Apply(ctx context.Context, store platform.Store, document []byte, author string, base *uint64) (Head, error) {
	if _, findings := settings.Parse(document); len(findings) > 0 {
		return Head{}, findings
	}
	current, storeRevision, err := Read(ctx, store)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return Head{}, err
	}
	if base != nil && *base != current.Revision {
		return current, ErrConflict
	}
	head := Head{
		Revision: current.Revision + 1,
		EditID:   uuid.NewString(),
		Author:   author,
		At:       time.Now().UTC(),
		Document: document,
	}
	return put(ctx, store, head, storeRevision)
}

func put(ctx context.Context, store platform.Store, head Head, storeRevision uint64) (Head, error) {
	value, err := json.Marshal(head)
	if err != nil {
		return Head{}, errors.Wrap(err, "settings head")
	}
	_, putErr := store.Put(ctx, HeadKey, value, storeRevision, "")
	if putErr == nil {
		return head, nil
	}
	if errors.Is(putErr, platform.ErrTooLarge) {
		return Head{}, putErr
	}
	// The write may have taken effect although its answer was lost.
	now, _, err := Read(ctx, store)
	if err == nil && now.EditID == head.EditID {
		return head, nil
	}
	if err == nil && errors.Is(putErr, platform.ErrConflict) {
		return now, ErrConflict
	}
	return Head{}, putErr
}

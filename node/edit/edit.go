// Package edit changes the settings in the platform's store.
//
// The settings in force are the value of one key, the head, which is changed by
// compare-and-swap only. Each edit has an id, and the head keeps the ids of the
// edits before it, so that an edit whose answer was lost is recognised, also
// after further edits. An edit first stores the head that it replaces in the
// history and then swaps the head: whatever is cut in between, the history
// holds every replaced revision that is within its bound.
package edit

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"fuchsiavane.org/core/settings"
	"fuchsiavane.org/node/kv"
)

// HeadKey is the key of the settings in force.
const HeadKey = "settings/head"

const (
	// historyPrefix begins the keys of replaced heads.
	historyPrefix = "settings/history/"
	// HistoryLength bounds the replaced revisions that are kept.
	HistoryLength = 64
	// MaxAuthorBytes bounds the author of an edit.
	MaxAuthorBytes = 64
	// putAttempts bounds the sends of one write whose outcome is not known.
	putAttempts = 4
	// putPause is the wait before a write is sent again.
	putPause = 200 * time.Millisecond
)

// Stamp identifies an accepted edit.
type Stamp struct {
	// Revision counts accepted edits, from 1.
	Revision uint64 `json:"revision"`
	// EditID names the edit.
	EditID string `json:"edit_id"`
	// Author is who made the edit.
	Author string `json:"author,omitempty"`
	// At is when the edit was made, by the operator's clock.
	At time.Time `json:"at"`
}

// Head is the value of HeadKey.
type Head struct {
	Stamp
	// Recent lists the edits before this one, newest first, at most
	// HistoryLength.
	Recent []Stamp `json:"recent,omitempty"`
	// Document is the settings tree as the operator wrote it.
	Document []byte `json:"document"`
}

// find returns the stamp of an edit that this head is or builds on.
func (h Head) find(editID string) (Stamp, bool) {
	if h.EditID == editID {
		return h.Stamp, true
	}
	for _, s := range h.Recent {
		if s.EditID == editID {
			return s, true
		}
	}
	return Stamp{}, false
}

// ErrConflict means that another operator's edit came first.
var ErrConflict = errors.New("another operator's edit came first: nothing was changed")

// ErrInvalidAuthor means that an author's name is too long or has control characters.
var ErrInvalidAuthor = errors.Errorf("more than %d bytes, or control characters", MaxAuthorBytes)

// ConflictError is an ErrConflict with the edit that came first.
type ConflictError struct {
	// Base is the revision that the refused edit builds on.
	Base uint64
	// Current is the head in force.
	Current Head
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%v: the edit builds on revision %d, revision %d by %q is in force", ErrConflict, e.Base, e.Current.Revision, e.Current.Author)
}

// Unwrap returns ErrConflict.
func (e *ConflictError) Unwrap() error { return ErrConflict }

// UncertainError means that the store did not say whether it took the edit.
type UncertainError struct {
	EditID string
	Err    error
}

// Error implements error.
func (e *UncertainError) Error() string {
	return fmt.Sprintf("the store does not answer: edit %s may have been accepted, see \"settings history\" (%v)", e.EditID, e.Err)
}

// Unwrap returns the last failure.
func (e *UncertainError) Unwrap() error { return e.Err }

// Read returns the head and the store's revision of its key.
func Read(ctx context.Context, store kv.Store) (Head, uint64, error) {
	return read(ctx, store, HeadKey)
}

func read(ctx context.Context, store kv.Store, key string) (Head, uint64, error) {
	entry, err := store.Get(ctx, key)
	if err != nil {
		return Head{}, 0, err
	}
	var head Head
	if err := json.Unmarshal(entry.Value, &head); err != nil {
		return Head{}, 0, errors.Wrapf(err, "value of %s", key)
	}
	return head, entry.Revision, nil
}

// Edit is an edit to be made.
type Edit struct {
	Document []byte
	Author   string
	// Base is the revision that the edit builds on, or nil to build on the one
	// that is found in force.
	Base *uint64
	// AboveRevision is a revision known to be in force somewhere; the edit's is higher.
	// A store that was restored from a backup may hold an older one.
	AboveRevision uint64
}

// Apply checks a document and makes it the head; see Make.
func Apply(ctx context.Context, store kv.Store, document []byte, author string, base *uint64) (Head, error) {
	return Commit(ctx, store, Edit{Document: document, Author: author, Base: base})
}

// Commit checks an edit and makes it the head. The error is settings.Findings, a
// *ConflictError, an *UncertainError, or a failure of the store that changed
// nothing.
func Commit(ctx context.Context, store kv.Store, e Edit) (Head, error) {
	if _, findings := settings.Parse(e.Document); len(findings) > 0 {
		return Head{}, findings
	}
	if err := checkAuthor(e.Author); err != nil {
		return Head{}, err
	}
	current, storeRevision, err := Read(ctx, store)
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return Head{}, errors.Wrap(err, "nothing was changed")
	}
	if e.Base != nil && *e.Base != current.Revision {
		return Head{}, &ConflictError{*e.Base, current}
	}
	if err := keep(ctx, store, current); err != nil {
		return Head{}, errors.Wrap(err, "nothing was changed: the revision in force could not be kept in the history")
	}
	return put(ctx, store, next(current, e), current, storeRevision)
}

func checkAuthor(author string) error {
	control := func(r rune) bool { return r < ' ' || r == 0x7f || r == 0xfffd }
	if len(author) > MaxAuthorBytes || strings.ContainsFunc(author, control) {
		return errors.Wrapf(ErrInvalidAuthor, "author %q", author)
	}
	return nil
}

// next returns the head that the edit makes of the current one.
func next(current Head, e Edit) Head {
	head := Head{
		Stamp: Stamp{
			Revision: max(current.Revision, e.AboveRevision) + 1,
			EditID:   uuid.NewString(),
			Author:   e.Author,
			At:       time.Now().UTC(),
		},
		Document: e.Document,
	}
	if current.Revision > 0 {
		head.Recent = append([]Stamp{current.Stamp}, current.Recent...)
	}
	head.Recent = head.Recent[:min(len(head.Recent), HistoryLength)]
	return head
}

// put swaps the head. A write whose outcome is not known is sent again: the
// compare-and-swap lets it take effect at most once.
func put(ctx context.Context, store kv.Store, head, current Head, storeRevision uint64) (Head, error) {
	value, err := json.Marshal(head)
	if err != nil {
		return Head{}, errors.Wrap(err, "settings head")
	}
	uncertain := false
	for attempt := 1; ; attempt++ {
		_, putErr := store.Put(ctx, HeadKey, value, storeRevision, "")
		if putErr == nil {
			return head, nil
		}
		if errors.Is(putErr, kv.ErrTooLarge) {
			return Head{}, putErr
		}
		uncertain = uncertain || !errors.Is(putErr, kv.ErrUnavailable)
		settled, err := settle(ctx, store, head, current, storeRevision)
		if settled {
			return head, err
		}
		if attempt < putAttempts && sleep(ctx, putPause) {
			continue
		}
		if uncertain {
			return Head{}, &UncertainError{head.EditID, putErr}
		}
		return Head{}, errors.Wrap(putErr, "nothing was changed")
	}
}

// settle reads what became of a write that failed or whose answer was lost. It
// reports false while that is open.
func settle(ctx context.Context, store kv.Store, head, current Head, storeRevision uint64) (bool, error) {
	now, revision, err := Read(ctx, store)
	if err != nil {
		return false, nil
	}
	if _, made := now.find(head.EditID); made {
		return true, nil
	}
	if revision != storeRevision {
		return true, &ConflictError{current.Revision, now}
	}
	return false, nil
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// Package edit edits the settings in the platform's store.
//
// The settings in force are the value of one key, the head, which is changed
// only by compare-and-swap. Each edit has an ID, and the head keeps the IDs of
// earlier edits, so that an edit whose response was lost is recognised even after
// further edits. An edit first stores the head that it replaces in the history
// and then swaps the head: even if it is interrupted between the two writes, no
// replaced revision within the bound of the history is lost.
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

// HeadKey is the store key of the head, which holds the settings in force.
const HeadKey = "settings/head"

const (
	// historyPrefix is the prefix of the keys of replaced heads.
	historyPrefix = "settings/history/"
	// HistoryLength is the maximum number of replaced revisions in the history.
	HistoryLength = 64
	// MaxAuthorBytes is the maximum length of the author of an edit.
	MaxAuthorBytes = 64
	// maxPutAttempts is the maximum number of sends of one write whose outcome
	// is unknown.
	maxPutAttempts = 4
	// putRetryDelay is the wait before a write is retried.
	putRetryDelay = 200 * time.Millisecond
)

// Stamp identifies an accepted edit.
type Stamp struct {
	// Revision counts accepted edits, from 1.
	Revision uint64 `json:"revision"`
	// EditID is the unique ID of the edit.
	EditID string `json:"edit_id"`
	// Author is the name of the operator who made the edit.
	Author string `json:"author,omitempty"`
	// At is the time of the edit by the operator's clock.
	At time.Time `json:"at"`
}

// Head is the value of HeadKey: the settings in force, the stamp of the
// edit that made them and those of earlier edits.
type Head struct {
	Stamp
	// Recent lists up to HistoryLength earlier edits, newest first.
	Recent []Stamp `json:"recent,omitempty"`
	// Document is the settings document as the operator wrote it.
	Document []byte `json:"document"`
}

// findEdit returns the stamp of an edit if it made this head or is among its
// recent edits.
func (h Head) findEdit(editID string) (Stamp, bool) {
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

// ErrConflict means that another operator's edit was accepted first.
var ErrConflict = errors.New("another operator's edit came first: nothing was changed")

// ErrInvalidAuthor means that the author of an edit is too long or has control
// characters.
var ErrInvalidAuthor = errors.Errorf("the name is longer than %d bytes or has control characters", MaxAuthorBytes)

// ConflictError is an ErrConflict with the head that the other edit made.
type ConflictError struct {
	// Base is the revision that the rejected edit is based on.
	Base uint64
	// Current is the head in force.
	Current Head
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%v: the edit is based on revision %d, but revision %d by %q is in force", ErrConflict, e.Base, e.Current.Revision, e.Current.Author)
}

// Unwrap returns ErrConflict.
func (e *ConflictError) Unwrap() error { return ErrConflict }

// UncertainError means that it is unknown whether the store accepted the edit.
type UncertainError struct {
	EditID string
	Err    error
}

// Error implements error.
func (e *UncertainError) Error() string {
	return fmt.Sprintf("the store does not respond: edit %s may have been accepted, see \"settings history\" (%v)", e.EditID, e.Err)
}

// Unwrap returns the error of the last write.
func (e *UncertainError) Unwrap() error { return e.Err }

// Read returns the head in force and the store's revision of HeadKey.
func Read(ctx context.Context, store kv.Store) (Head, uint64, error) {
	head, entry, err := readHead(ctx, store, HeadKey)
	return head, entry.Revision, err
}

// ReadToWatch returns the head in force and the revision of the store after which to
// watch for the next one. The revision of HeadKey may be older than the history that
// the store keeps for watches.
func ReadToWatch(ctx context.Context, store kv.Store) (Head, uint64, error) {
	head, entry, err := readHead(ctx, store, HeadKey)
	return head, max(entry.Revision, entry.StoreRevision), err
}

func readHead(ctx context.Context, store kv.Store, key string) (Head, kv.Entry, error) {
	entry, err := store.Get(ctx, key)
	if errors.Is(err, kv.ErrUnreadable) {
		return Head{}, entry, err
	}
	if err != nil {
		return Head{}, kv.Entry{}, err
	}
	head, err := Decode(entry.Value)
	return head, entry, errors.Wrapf(err, "key %s", key)
}

// Edit is an edit for Commit.
type Edit struct {
	Document []byte
	Author   string
	// Base is the revision that the edit is based on, or nil for the one in
	// force.
	Base *uint64
	// AboveRevision is a revision that the edit must exceed, because some
	// daemon is known to have it in force. A store restored from a backup may
	// hold an older one.
	AboveRevision uint64
}

// Apply validates a document and makes it the head; see Commit.
func Apply(ctx context.Context, store kv.Store, document []byte, author string, base *uint64) (Head, error) {
	return Commit(ctx, store, Edit{Document: document, Author: author, Base: base})
}

// Commit validates an edit and makes it the head. Its error is settings.Findings,
// an ErrInvalidAuthor, a *ConflictError, an *UncertainError, or a failure of the
// store that changed nothing.
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
	if err := storeInHistory(ctx, store, current); err != nil {
		return Head{}, errors.Wrap(err, "nothing was changed: the revision in force could not be stored in the history")
	}
	return swapHead(ctx, store, nextHead(current, e), current, storeRevision)
}

func checkAuthor(author string) error {
	control := func(r rune) bool { return r < ' ' || r == 0x7f || r == 0xfffd }
	if len(author) > MaxAuthorBytes || strings.ContainsFunc(author, control) {
		return errors.Wrapf(ErrInvalidAuthor, "author %q", author)
	}
	return nil
}

// nextHead returns the head that results from the edit of the current head.
func nextHead(current Head, e Edit) Head {
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

// swapHead replaces the head. A write whose outcome is unknown is retried:
// compare-and-swap makes it take effect at most once.
func swapHead(ctx context.Context, store kv.Store, head, current Head, storeRevision uint64) (Head, error) {
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
		resolved, err := resolveOutcome(ctx, store, head, current, storeRevision)
		if resolved {
			return head, err
		}
		if attempt < maxPutAttempts && sleep(ctx, putRetryDelay) {
			continue
		}
		if uncertain {
			return Head{}, &UncertainError{head.EditID, putErr}
		}
		return Head{}, errors.Wrap(putErr, "nothing was changed")
	}
}

// resolveOutcome reads the outcome of a write that failed or whose response was
// lost. It returns false while the outcome is unknown.
func resolveOutcome(ctx context.Context, store kv.Store, head, current Head, storeRevision uint64) (bool, error) {
	latest, revision, err := Read(ctx, store)
	if err != nil {
		return false, nil
	}
	if _, accepted := latest.findEdit(head.EditID); accepted {
		return true, nil
	}
	if revision != storeRevision {
		return true, &ConflictError{current.Revision, latest}
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

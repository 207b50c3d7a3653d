package edit

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"fuchsiavane.org/core/settings"
	"fuchsiavane.org/node/kv"
	"fuchsiavane.org/node/kv/memstore"
)

// hookStore calls hooks before and after each write.
type hookStore struct {
	kv.Store
	before func(key string) error // an error replaces the write
	after  func(key string) error // an error is returned after the write
}

func (s *hookStore) Put(ctx context.Context, key string, value []byte, ifRevision uint64, lease string) (uint64, error) {
	if s.before != nil {
		if err := s.before(key); err != nil {
			return 0, err
		}
	}
	revision, err := s.Store.Put(ctx, key, value, ifRevision, lease)
	if err == nil && s.after != nil {
		err = s.after(key)
	}
	return revision, err
}

var errConnectionReset = errors.New("connection reset")

func document(slots int) []byte { return []byte(fmt.Sprintf(`{"settings": {"slots": %d}}`, slots)) }

func mustApply(t *testing.T, store kv.Store, slots int) Head {
	t.Helper()
	head, err := Apply(t.Context(), store, document(slots), "first", nil)
	if err != nil {
		t.Fatal(err)
	}
	return head
}

func TestLostAnswerIsSuccess(t *testing.T) {
	is := is.New(t)
	store := &hookStore{Store: memstore.New()}
	mustApply(t, store, 1)
	store.after = func(key string) error { return errConnectionReset }
	head, err := Apply(t.Context(), store, document(2), "second", nil)
	is.NoErr(err)
	is.Equal(head.Revision, uint64(2))
}

func TestLostAnswerIsSuccessAfterFurtherEdits(t *testing.T) {
	is := is.New(t)
	inner := memstore.New()
	mustApply(t, inner, 1)
	store := &hookStore{Store: inner}
	store.after = func(key string) error {
		if key != HeadKey {
			return nil
		}
		for i := range 3 {
			mustApply(t, inner, 10+i)
		}
		return errConnectionReset
	}
	head, err := Apply(t.Context(), store, document(2), "second", nil)
	is.NoErr(err)
	is.Equal(head.Revision, uint64(2))
	latest, _, err := Read(t.Context(), inner)
	is.NoErr(err)
	is.Equal(latest.Revision, uint64(5))
}

// TestLostRequestIsSentAgain checks that a write that fails before it reaches the store
// is sent again and takes effect once.
func TestLostRequestIsSentAgain(t *testing.T) {
	is := is.New(t)
	store := &hookStore{Store: memstore.New()}
	failures := 2
	store.before = func(string) error {
		if failures--; failures >= 0 {
			return errConnectionReset
		}
		return nil
	}
	head, err := Apply(t.Context(), store, document(2), "second", nil)
	is.NoErr(err)
	is.Equal(head.Revision, uint64(1))
}

func TestEditBetweenReadAndWriteIsConflict(t *testing.T) {
	is := is.New(t)
	inner := memstore.New()
	mustApply(t, inner, 1)
	store := &hookStore{Store: inner}
	raced := false
	store.before = func(key string) error {
		if key == HeadKey && !raced {
			raced = true
			mustApply(t, inner, 7)
		}
		return nil
	}
	_, err := Apply(t.Context(), store, document(2), "second", nil)
	var conflict *ConflictError
	is.True(errors.As(err, &conflict))
	is.True(errors.Is(err, ErrConflict))
	is.Equal(conflict.Base, uint64(1))
	is.Equal(string(conflict.Current.Document), string(document(7)))
}

func TestStoreThatStaysAway(t *testing.T) {
	is := is.New(t)
	store := &hookStore{Store: memstore.New()}
	var uncertain *UncertainError
	store.before = func(string) error { return kv.ErrUnavailable }
	_, err := Apply(t.Context(), store, document(2), "second", nil)
	is.True(!errors.As(err, &uncertain)) // the store received no write
	is.True(errors.Is(err, kv.ErrUnavailable))
	store.before = func(string) error { return errConnectionReset }
	_, err = Apply(t.Context(), store, document(2), "second", nil)
	is.True(errors.As(err, &uncertain)) // a write may still take effect
}

// TestCrashBetweenWritesLosesNothing checks that the history holds every replaced
// revision even if an operator's command ends between its write of the history and its
// write of the head.
func TestCrashBetweenWritesLosesNothing(t *testing.T) {
	is := is.New(t)
	inner := memstore.New()
	mustApply(t, inner, 1)
	ctx, cancel := context.WithCancel(t.Context())
	store := &hookStore{Store: inner, before: func(key string) error {
		if key != HeadKey {
			return nil
		}
		cancel()
		return context.Canceled
	}}
	_, err := Apply(ctx, store, document(2), "dies", nil)
	is.True(err != nil)
	mustApply(t, inner, 3)
	for revision, slots := range []int{1, 3} {
		head, err := ReadRevision(t.Context(), inner, uint64(revision+1))
		is.NoErr(err)
		is.Equal(string(head.Document), string(document(slots)))
	}
}

func TestHistoryIsBounded(t *testing.T) {
	is := is.New(t)
	store := memstore.New()
	for i := range HistoryLength + 10 {
		mustApply(t, store, i+1)
	}
	entries, _, err := store.List(t.Context(), historyPrefix)
	is.NoErr(err)
	is.Equal(len(entries), HistoryLength)
	head, _, err := Read(t.Context(), store)
	is.NoErr(err)
	is.Equal(len(head.Recent), HistoryLength)
	for _, stamp := range head.Recent {
		stored, err := ReadRevision(t.Context(), store, stamp.Revision)
		is.NoErr(err)
		is.Equal(stored.EditID, stamp.EditID)
	}
	_, err = ReadRevision(t.Context(), store, 3)
	is.True(errors.Is(err, ErrRevisionNotFound))
}

func TestRevisionGoesAboveOneInForceElsewhere(t *testing.T) {
	is := is.New(t)
	store := memstore.New()
	mustApply(t, store, 1)
	head, err := Commit(t.Context(), store, Edit{Document: document(2), AboveRevision: 57})
	is.NoErr(err)
	is.Equal(head.Revision, uint64(58))
}

// TestLargestDocumentFitsTheStore checks that a document of the maximum size fits the
// store together with the largest envelope.
func TestLargestDocumentFitsTheStore(t *testing.T) {
	is := is.New(t)
	stamp := Stamp{^uint64(0), strings.Repeat("x", 36), strings.Repeat("<", MaxAuthorBytes), time.Now().UTC()}
	head := Head{Stamp: stamp, Document: bytes.Repeat([]byte("x"), settings.MaxDocumentBytes)}
	for range HistoryLength {
		head.Recent = append(head.Recent, stamp)
	}
	value, err := json.Marshal(head)
	is.NoErr(err)
	is.True(len(value) <= kv.MaxValueBytes)
}

func TestAuthorIsBounded(t *testing.T) {
	is := is.New(t)
	_, err := Apply(t.Context(), memstore.New(), document(1), strings.Repeat("x", MaxAuthorBytes+1), nil)
	is.True(err != nil)
	_, err = Apply(t.Context(), memstore.New(), document(1), "a\nb", nil)
	is.True(err != nil)
}

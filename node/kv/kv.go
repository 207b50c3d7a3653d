// Package kv is the seam to the platform's key-value store: a small store
// with compare-and-swap, leases and watches. Everything that has to be agreed
// or kept lives there.
package kv

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// MaxValueBytes is the largest value that the store holds.
const MaxValueBytes = 1 << 20

// Errors of a Store. Any other error means that the outcome is not known: the
// write may have taken effect.
var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("kv: no such key")
	// ErrConflict means that the compare-and-swap failed: nothing was written.
	ErrConflict = errors.New("kv: the key is at another revision")
	// ErrLeaseNotFound means that the lease lapsed.
	ErrLeaseNotFound = errors.New("kv: no such lease")
	// ErrTooLarge means that the value is larger than MaxValueBytes.
	ErrTooLarge = errors.New("kv: the value is too large")
	// ErrUnavailable means that the store did not take the call.
	ErrUnavailable = errors.New("kv: the store is away")
)

// Entry is a key with its value.
type Entry struct {
	Key   string
	Value []byte
	// Revision is the store's revision at which the key was last written.
	Revision uint64
}

// Change is one event of a watch.
type Change struct {
	Entry
	Deleted bool
}

// Store is the platform's store. Implementations are safe for concurrent use.
type Store interface {
	// Get returns a key.
	Get(ctx context.Context, key string) (Entry, error)
	// Put writes a key if it is at the given revision (0: if it does not
	// exist), under a lease unless lease is empty. It returns the new revision.
	Put(ctx context.Context, key string, value []byte, ifRevision uint64, lease string) (uint64, error)
	// Delete removes a key if it is at the given revision.
	Delete(ctx context.Context, key string, ifRevision uint64) error
	// List returns the keys with a prefix and the store's revision.
	List(ctx context.Context, prefix string) ([]Entry, uint64, error)
	// Watch waits until a key with the prefix changes after a revision, at most
	// wait, and returns the changes and the revision to go on from.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Change, uint64, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (string, error)
	// KeepAlive renews a lease.
	KeepAlive(ctx context.Context, lease string) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease string) error
}

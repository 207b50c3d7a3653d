// Package kv defines the interface to the platform's key-value store, which has
// compare-and-swap, leases and watches. The store holds everything that daemons have
// to agree on or that must survive them.
package kv

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// MaxValueBytes is the size of the largest value that the store holds, in bytes.
const MaxValueBytes = 1 << 20

// Errors of a Store. After any other error the outcome is unknown: the write may
// have taken effect.
var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("kv: no such key")
	// ErrConflict means that the key is not at the expected revision; nothing was
	// written.
	ErrConflict = errors.New("kv: the key is at another revision")
	// ErrLeaseNotFound means that the lease expired or was revoked.
	ErrLeaseNotFound = errors.New("kv: no such lease")
	// ErrTooLarge means that the value is larger than the store allows.
	ErrTooLarge = errors.New("kv: the value is too large")
	// ErrUnavailable means that the store did not accept the call; nothing was written.
	ErrUnavailable = errors.New("kv: the store is away")
	// ErrUnreadable means that the store responded, but that a value can't be decoded.
	// Get and Watch return the revision, and the entries that can be decoded, with it.
	ErrUnreadable = errors.New("kv: the value can't be decoded")
)

// Entry is a key with its value and revision.
type Entry struct {
	Key   string
	Value []byte
	// Revision is the store's revision at the last write of the key.
	Revision uint64
	// StoreRevision is the store's revision when Get read the key, from which a watch
	// goes on; 0 if the store doesn't tell.
	StoreRevision uint64
}

// Change is one event of a watch: a written or deleted key.
type Change struct {
	Entry
	Deleted bool
}

// Store is the platform's key-value store. Implementations are safe for concurrent
// use.
type Store interface {
	// Get returns the entry of a key, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// Put writes a key if it is at ifRevision (0: if it does not exist). The key
	// belongs to the lease unless lease is empty. Put returns the new revision.
	Put(ctx context.Context, key string, value []byte, ifRevision uint64, lease string) (uint64, error)
	// Delete deletes a key if it is at ifRevision.
	Delete(ctx context.Context, key string, ifRevision uint64) error
	// List returns the entries whose keys have a prefix, and the store's revision.
	List(ctx context.Context, prefix string) ([]Entry, uint64, error)
	// Watch waits for at most wait until a key with the prefix changes after a
	// revision. It returns the changes and the revision from which to watch next.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Change, uint64, error)
	// Grant creates a lease that expires after ttl without renewal, and returns its
	// id.
	Grant(ctx context.Context, ttl time.Duration) (string, error)
	// KeepAlive renews a lease.
	KeepAlive(ctx context.Context, lease string) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease string) error
}

// Package memstore implements kv.Store in memory. The demo uses it directly, and the
// platform simulator serves it over HTTP.
package memstore

import (
	"context"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"fuchsiavane.org/node/kv"
)

// historyLimit bounds the number of changes kept for watches. When it is exceeded, the
// oldest tenth is discarded, and later watches do not return those changes.
const historyLimit = 10000

// record is the value and revision of a key, and the lease to which it belongs.
type record struct {
	value    []byte
	revision uint64
	lease    string
}

// lease is a lease with its TTL and the time at which it expires.
type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// Store is a kv.Store in memory. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision uint64
	records  map[string]record
	leases   map[string]*lease
	history  []kv.Change
	changed  chan struct{} // closed and replaced at every change
}

var _ kv.Store = (*Store)(nil)

// New returns an empty Store.
func New() *Store {
	return &Store{
		records: map[string]record{},
		leases:  map[string]*lease{},
		changed: make(chan struct{}),
	}
}

// Get implements kv.Store.
func (s *Store) Get(_ context.Context, key string) (kv.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	r, ok := s.records[key]
	if !ok {
		return kv.Entry{}, kv.ErrNotFound
	}
	return kv.Entry{Key: key, Value: r.value, Revision: r.revision, StoreRevision: s.revision}, nil
}

// Put implements kv.Store.
func (s *Store) Put(_ context.Context, key string, value []byte, ifRevision uint64, leaseID string) (uint64, error) {
	if len(value) > kv.MaxValueBytes {
		return 0, kv.ErrTooLarge
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if s.records[key].revision != ifRevision {
		return s.records[key].revision, kv.ErrConflict
	}
	if _, ok := s.leases[leaseID]; leaseID != "" && !ok {
		return 0, kv.ErrLeaseNotFound
	}
	s.revision++
	stored := append([]byte(nil), value...)
	s.records[key] = record{stored, s.revision, leaseID}
	s.appendChange(kv.Change{Entry: kv.Entry{Key: key, Value: stored, Revision: s.revision}})
	return s.revision, nil
}

// Delete implements kv.Store.
func (s *Store) Delete(_ context.Context, key string, ifRevision uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	r, ok := s.records[key]
	if !ok {
		return kv.ErrNotFound
	}
	if r.revision != ifRevision {
		return kv.ErrConflict
	}
	s.remove(key)
	return nil
}

// List implements kv.Store.
func (s *Store) List(_ context.Context, prefix string) ([]kv.Entry, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	var entries []kv.Entry
	for key, r := range s.records {
		if strings.HasPrefix(key, prefix) {
			entries = append(entries, kv.Entry{Key: key, Value: r.value, Revision: r.revision})
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	return entries, s.revision, nil
}

// Watch implements kv.Store. It returns at once if the store's revision is below
// after, as after Restore.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]kv.Change, uint64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changes, revision, changed := s.changesSince(prefix, after)
		if len(changes) > 0 || revision < after {
			return changes, revision, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, revision, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// changesSince returns the changes of keys with a prefix after a revision, the current
// revision, and a channel that is closed at the next change.
func (s *Store) changesSince(prefix string, after uint64) ([]kv.Change, uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
	var changes []kv.Change
	for _, c := range s.history[first:] {
		if strings.HasPrefix(c.Key, prefix) {
			changes = append(changes, c)
		}
	}
	return changes, s.revision, s.changed
}

// Grant implements kv.Store.
func (s *Store) Grant(_ context.Context, ttl time.Duration) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	id := strconv.FormatUint(s.revision, 36)
	s.leases[id] = &lease{ttl, time.Now().Add(ttl)}
	return id, nil
}

// KeepAlive implements kv.Store.
func (s *Store) KeepAlive(_ context.Context, id string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	l, ok := s.leases[id]
	if !ok {
		return kv.ErrLeaseNotFound
	}
	l.expiresAt = time.Now().Add(l.ttl)
	return nil
}

// Revoke implements kv.Store.
func (s *Store) Revoke(_ context.Context, id string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		return kv.ErrLeaseNotFound
	}
	s.endLease(id)
	return nil
}

// expireLeases ends expired leases. The caller holds the lock.
func (s *Store) expireLeases() {
	now := time.Now()
	for id, l := range s.leases {
		if !l.expiresAt.After(now) {
			s.endLease(id)
		}
	}
}

// endLease deletes a lease and its keys. The caller holds the lock.
func (s *Store) endLease(id string) {
	delete(s.leases, id)
	for key, r := range s.records {
		if r.lease == id {
			s.remove(key)
		}
	}
}

// remove deletes a key. The caller holds the lock.
func (s *Store) remove(key string) {
	s.revision++
	delete(s.records, key)
	s.appendChange(kv.Change{Entry: kv.Entry{Key: key, Revision: s.revision}, Deleted: true})
}

// appendChange adds a change to the history and wakes all watches. The caller holds
// the lock.
func (s *Store) appendChange(c kv.Change) {
	s.history = append(s.history, c)
	if len(s.history) > historyLimit {
		s.history = append([]kv.Change(nil), s.history[historyLimit/10:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

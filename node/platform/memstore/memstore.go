// Package memstore is a Store in memory. The demo uses it directly, and the
// stand-in for the platform serves it over HTTP.
package memstore

import (
	"context"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"fuchsiavane.org/node/platform"
)

// historyLimit bounds the changes kept for watches.
const historyLimit = 10000

type record struct {
	value    []byte
	revision uint64
	lease    string
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Store is a platform.Store in memory.
type Store struct {
	mu       sync.Mutex
	revision uint64
	records  map[string]record
	leases   map[string]*lease
	history  []platform.Change
	changed  chan struct{} // closed and replaced at each change
}

var _ platform.Store = (*Store)(nil)

// New returns an empty Store.
func New() *Store {
	return &Store{
		records: map[string]record{},
		leases:  map[string]*lease{},
		changed: make(chan struct{}),
	}
}

// Get implements platform.Store.
func (s *Store) Get(_ context.Context, key string) (platform.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	r, ok := s.records[key]
	if !ok {
		return platform.Entry{}, platform.ErrNotFound
	}
	return platform.Entry{Key: key, Value: r.value, Revision: r.revision}, nil
}

// Put implements platform.Store.
func (s *Store) Put(_ context.Context, key string, value []byte, ifRevision uint64, leaseID string) (uint64, error) {
	if len(value) > platform.MaxValueBytes {
		return 0, platform.ErrTooLarge
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if s.records[key].revision != ifRevision {
		return s.records[key].revision, platform.ErrConflict
	}
	if _, ok := s.leases[leaseID]; leaseID != "" && !ok {
		return 0, platform.ErrLeaseGone
	}
	s.revision++
	kept := append([]byte(nil), value...)
	s.records[key] = record{kept, s.revision, leaseID}
	s.record(platform.Change{Entry: platform.Entry{Key: key, Value: kept, Revision: s.revision}})
	return s.revision, nil
}

// Delete implements platform.Store.
func (s *Store) Delete(_ context.Context, key string, ifRevision uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	r, ok := s.records[key]
	if !ok {
		return platform.ErrNotFound
	}
	if r.revision != ifRevision {
		return platform.ErrConflict
	}
	s.remove(key)
	return nil
}

// List implements platform.Store.
func (s *Store) List(_ context.Context, prefix string) ([]platform.Entry, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	var entries []platform.Entry
	for key, r := range s.records {
		if strings.HasPrefix(key, prefix) {
			entries = append(entries, platform.Entry{Key: key, Value: r.value, Revision: r.revision})
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	return entries, s.revision, nil
}

// Watch implements platform.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]platform.Change, uint64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changes, revision, changed := s.since(prefix, after)
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

func (s *Store) since(prefix string, after uint64) ([]platform.Change, uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
	var changes []platform.Change
	for _, c := range s.history[first:] {
		if strings.HasPrefix(c.Key, prefix) {
			changes = append(changes, c)
		}
	}
	return changes, s.revision, s.changed
}

// Grant implements platform.Store.
func (s *Store) Grant(_ context.Context, ttl time.Duration) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	id := strconv.FormatUint(s.revision, 36)
	s.leases[id] = &lease{ttl, time.Now().Add(ttl)}
	return id, nil
}

// KeepAlive implements platform.Store.
func (s *Store) KeepAlive(_ context.Context, id string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l, ok := s.leases[id]
	if !ok {
		return platform.ErrLeaseGone
	}
	l.expires = time.Now().Add(l.ttl)
	return nil
}

// Revoke implements platform.Store.
func (s *Store) Revoke(_ context.Context, id string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		return platform.ErrLeaseGone
	}
	s.end(id)
	return nil
}

// expire ends lapsed leases. The caller holds the lock.
func (s *Store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if !l.expires.After(now) {
			s.end(id)
		}
	}
}

func (s *Store) end(id string) {
	delete(s.leases, id)
	for key, r := range s.records {
		if r.lease == id {
			s.remove(key)
		}
	}
}

func (s *Store) remove(key string) {
	s.revision++
	delete(s.records, key)
	s.record(platform.Change{Entry: platform.Entry{Key: key, Revision: s.revision}, Deleted: true})
}

func (s *Store) record(c platform.Change) {
	s.history = append(s.history, c)
	if len(s.history) > historyLimit {
		s.history = append([]platform.Change(nil), s.history[historyLimit/10:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

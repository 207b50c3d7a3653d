package memstore

import "maps"

// Backup is a copy of a Store's state, without leases and their keys.
type Backup struct {
	revision uint64
	records  map[string]record
}

// Backup returns a copy of the current state, without leases and their keys.
func (s *Store) Backup() Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := Backup{s.revision, map[string]record{}}
	for key, r := range s.records {
		if r.lease == "" {
			b.records[key] = r
		}
	}
	return b
}

// Restore replaces the state by a backup. Later writes, all leases and the change
// history are lost.
func (s *Store) Restore(b Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = b.revision
	s.records = maps.Clone(b.records)
	s.leases = map[string]*lease{}
	s.history = nil
	close(s.changed)
	s.changed = make(chan struct{})
}

package memstore

import "maps"

// Backup is the state of a Store at one time.
type Backup struct {
	revision uint64
	records  map[string]record
}

// Backup returns the present state without leases.
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

// Restore goes back to an earlier state: later writes, all leases and the
// history of changes are gone.
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

package platformsim

import (
	"net/http"

	"fuchsiavane.org/node/kv/memstore"
)

// handleBackup registers POST /backup, which remembers the store's state, and
// POST /restore, which goes back to it.
func (s *Server) handleBackup() {
	var kept memstore.Backup
	s.mux.HandleFunc("POST /backup", func(http.ResponseWriter, *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		kept = s.store.Backup()
	})
	s.mux.HandleFunc("POST /restore", func(http.ResponseWriter, *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.store.Restore(kept)
	})
}

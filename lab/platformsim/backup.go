package platformsim

import (
	"net/http"

	"fuchsiavane.org/node/kv/memstore"
)

// registerBackup registers POST /backup, which saves the store's state, and POST
// /restore, which restores the saved state.
func (s *Server) registerBackup() {
	var saved memstore.Backup
	s.mux.HandleFunc("POST /backup", func(http.ResponseWriter, *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		saved = s.store.Backup()
	})
	s.mux.HandleFunc("POST /restore", func(http.ResponseWriter, *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.store.Restore(saved)
	})
}

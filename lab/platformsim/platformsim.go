// Package platformsim simulates the platform's key-value store: it serves a
// memstore over HTTP, counts calls and injects faults on request.
package platformsim

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"fuchsiavane.org/node/kv"
	"fuchsiavane.org/node/kv/memstore"
)

// Fault is a set of injected faults. The zero value is a healthy store.
type Fault struct {
	// Down refuses every call with 503.
	Down bool `json:"down"`
	// SlowMs delays every call, in milliseconds.
	SlowMs int `json:"slow_ms"`
	// LoseAnswers executes every write and breaks the connection before responding.
	LoseAnswers bool `json:"lose_answers"`
}

// Stats counts the calls since the start.
type Stats struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
}

// Server serves the simulated store over HTTP. It is safe for concurrent use.
type Server struct {
	store *memstore.Store
	mux   *http.ServeMux

	mu    sync.Mutex
	fault Fault
	stats Stats
	down  chan struct{} // closed while fault.Down is set
}

// New returns a Server that serves the given store.
func New(store *memstore.Store) *Server {
	s := &Server{store: store, mux: http.NewServeMux(), down: make(chan struct{})}
	s.registerBackup()
	s.mux.HandleFunc("/fault", s.setFault)
	s.mux.HandleFunc("GET /v1/stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Stats()) })
	s.handle("GET /v1/kv/{key...}", &s.stats.Reads, s.get)
	s.handle("PUT /v1/kv/{key...}", &s.stats.Writes, s.put)
	s.handle("DELETE /v1/kv/{key...}", &s.stats.Writes, s.remove)
	s.handle("GET /v1/list", &s.stats.Reads, s.list)
	s.handle("GET /v1/watch", &s.stats.Watches, s.watch)
	s.handle("POST /v1/leases", &s.stats.Writes, s.grant)
	s.handle("POST /v1/leases/{id}/keepalive", &s.stats.Writes, s.keepAlive)
	s.handle("DELETE /v1/leases/{id}", &s.stats.Writes, s.revoke)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Stats returns the calls counted so far.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// SetFault replaces the injected faults. Setting Down breaks the connections of
// waiting watches.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Down && !s.fault.Down {
		close(s.down)
	}
	if !f.Down && s.fault.Down {
		s.down = make(chan struct{})
	}
	s.fault = f
}

func (s *Server) setFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFault(f)
}

// handle registers a handler whose calls are counted and subject to faults.
func (s *Server) handle(pattern string, counter *uint64, serve http.HandlerFunc) {
	s.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		*counter++
		fault, down := s.fault, s.down
		s.mu.Unlock()
		time.Sleep(time.Duration(fault.SlowMs) * time.Millisecond)
		if fault.Down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if fault.LoseAnswers && r.Method != http.MethodGet {
			serve(discardWriter{}, r)
			panic(http.ErrAbortHandler)
		}
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		go cancelWhenDown(ctx, cancel, down)
		serve(w, r.WithContext(ctx))
	})
}

// cancelWhenDown calls cancel when the store goes down.
func cancelWhenDown(ctx context.Context, cancel context.CancelFunc, down <-chan struct{}) {
	select {
	case <-down:
		cancel()
	case <-ctx.Done():
	}
}

// discardWriter is an http.ResponseWriter whose response is lost.
type discardWriter struct{}

func (discardWriter) Header() http.Header         { return http.Header{} }
func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (discardWriter) WriteHeader(int)             {}

type entryBody struct {
	Key      string `json:"key"`
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type listBody struct {
	Entries  []entryBody `json:"entries"`
	Revision uint64      `json:"revision"`
}

type watchBody struct {
	Events   []entryBody `json:"events"`
	Revision uint64      `json:"revision"`
}

type putBody struct {
	Revision uint64 `json:"revision"`
}

type conflictBody struct {
	Current uint64 `json:"current"`
}

type leaseBody struct {
	ID string `json:"id"`
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	entry, err := s.store.Get(r.Context(), r.PathValue("key"))
	if err != nil {
		writeError(w, err, 0)
		return
	}
	w.Header().Set("Revision", strconv.FormatUint(entry.Revision, 10))
	_, _ = w.Write(entry.Value)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	ifRevision, err := queryUint(r, "if-revision")
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(io.LimitReader(r.Body, kv.MaxValueBytes+1))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	revision, err := s.store.Put(r.Context(), r.PathValue("key"), value, ifRevision, r.URL.Query().Get("lease"))
	if err != nil {
		writeError(w, err, revision)
		return
	}
	writeJSON(w, putBody{revision})
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	ifRevision, err := queryUint(r, "if-revision")
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := s.store.Delete(r.Context(), r.PathValue("key"), ifRevision); err != nil {
		writeError(w, err, 0)
		return
	}
	writeJSON(w, struct{}{})
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	entries, revision, _ := s.store.List(r.Context(), r.URL.Query().Get("prefix"))
	body := listBody{Entries: []entryBody{}, Revision: revision}
	for _, e := range entries {
		body.Entries = append(body.Entries, newEntryBody(e, false))
	}
	writeJSON(w, body)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	after, err := queryUint(r, "after")
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	wait, err := queryUint(r, "timeout-ms")
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	changes, revision, err := s.store.Watch(r.Context(), r.URL.Query().Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	if err != nil {
		panic(http.ErrAbortHandler) // the caller has left or the store went down
	}
	body := watchBody{Events: []entryBody{}, Revision: revision}
	for _, c := range changes {
		body.Events = append(body.Events, newEntryBody(c.Entry, c.Deleted))
	}
	writeJSON(w, body)
}

func (s *Server) grant(w http.ResponseWriter, r *http.Request) {
	var request struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil || request.TTL <= 0 {
		http.Error(w, "ttl_ms must be above 0", http.StatusBadRequest)
		return
	}
	id, _ := s.store.Grant(r.Context(), time.Duration(request.TTL)*time.Millisecond)
	writeJSON(w, leaseBody{id})
}

func (s *Server) keepAlive(w http.ResponseWriter, r *http.Request) {
	if err := s.store.KeepAlive(r.Context(), r.PathValue("id")); err != nil {
		writeError(w, err, 0)
		return
	}
	writeJSON(w, struct{}{})
}

func (s *Server) revoke(w http.ResponseWriter, r *http.Request) {
	if err := s.store.Revoke(r.Context(), r.PathValue("id")); err != nil {
		writeError(w, err, 0)
		return
	}
	writeJSON(w, struct{}{})
}

func newEntryBody(e kv.Entry, deleted bool) entryBody {
	return entryBody{e.Key, base64.StdEncoding.EncodeToString(e.Value), e.Revision, deleted}
}

func queryUint(r *http.Request, name string) (uint64, error) {
	n, err := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	return n, errors.Wrap(err, name)
}

func writeError(w http.ResponseWriter, err error, current uint64) {
	switch {
	case errors.Is(err, kv.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, kv.ErrConflict):
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(conflictBody{current})
	case errors.Is(err, kv.ErrLeaseNotFound):
		http.Error(w, err.Error(), http.StatusGone)
	case errors.Is(err, kv.ErrTooLarge):
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
	default:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

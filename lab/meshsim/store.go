// Package meshsim simulates the platform of package platform: its key-value store and
// the upstreams that announce themselves. It implements the platform's protocol
// independently of the adapter.
package meshsim

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"fuchsiavane.org/node/kv"
	"fuchsiavane.org/node/kv/memstore"
)

// Fault is a failure mode of the store.
type Fault int

// Failure modes of the store.
const (
	// Healthy is a store without a fault.
	Healthy Fault = iota
	// Unavailable responds to every call with 503 and does nothing.
	Unavailable
	// Silent accepts calls and never responds.
	Silent
	// LostResponse executes calls and then breaks the connection.
	LostResponse
	// Compacted responds to every watch with 410, as after its history was compacted.
	Compacted
)

// silentTimeout bounds a call to a Silent store, so that tests end.
const silentTimeout = 20 * time.Second

// Store is the platform's key-value store. It is safe for concurrent use.
type Store struct {
	data *memstore.Store

	mu    sync.Mutex
	fault Fault
	calls int
	// leases maps the platform's lease numbers to the lease ids of data.
	leases    map[uint64]string
	lastLease uint64 // number of the last lease granted
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{data: memstore.New(), leases: map[uint64]string{}} }

// SetFault sets the failure mode of later calls.
func (s *Store) SetFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Configure writes the operator's configuration.
func (s *Store) Configure(value []byte) error {
	return s.Put(operatorKey, value)
}

// Put writes an entry as another writer, whatever its revision.
func (s *Store) Put(key string, value []byte) error {
	entry, err := s.data.Get(context.Background(), key)
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return err
	}
	_, err = s.data.Put(context.Background(), key, value, entry.Revision, "")
	return err
}

const operatorKey = "op/config"

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	fault := s.fault
	s.mu.Unlock()
	switch fault {
	case Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Silent:
		select {
		case <-r.Context().Done():
		case <-time.After(silentTimeout):
		}
		panic(http.ErrAbortHandler)
	case LostResponse:
		s.handle(discardWriter{}, r)
		panic(http.ErrAbortHandler)
	case Compacted:
		if r.URL.Path == "/api/kv-watch" {
			w.WriteHeader(http.StatusGone)
			return
		}
	}
	s.handle(w, r)
}

// discardWriter is an http.ResponseWriter whose response is lost.
type discardWriter struct{}

func (discardWriter) Header() http.Header         { return http.Header{} }
func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (discardWriter) WriteHeader(int)             {}

func (s *Store) handle(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/api/kv-key":
		s.get(w, r)
	case r.URL.Path == "/api/kv-range":
		s.list(w, r)
	case r.URL.Path == "/api/kv-watch":
		s.watch(w, r)
	case r.URL.Path == "/api/kv-txn":
		s.transact(w, r)
	case r.URL.Path == "/api/kv-lease":
		s.grant(w, r)
	case strings.HasPrefix(r.URL.Path, "/api/kv-keep/"):
		s.handleLease(w, r, "/api/kv-keep/", s.data.KeepAlive)
	case strings.HasPrefix(r.URL.Path, "/api/kv-lease-end/"):
		s.handleLease(w, r, "/api/kv-lease-end/", s.data.Revoke)
	default:
		http.NotFound(w, r)
	}
}

type object map[string]any

func writeJSON(w http.ResponseWriter, status int, body object) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func newItem(e kv.Entry) object {
	return object{
		"key": e.Key, "value": base64.StdEncoding.EncodeToString(e.Value),
		"revision": e.Revision, "created_rev": e.Revision, "lease": 0,
	}
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	entry, err := s.data.Get(r.Context(), r.URL.Query().Get("key"))
	if err != nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	body := newItem(entry)
	body["at_rev"] = entry.StoreRevision
	writeJSON(w, http.StatusOK, body)
}

// itemsPerPage is the maximum number of items in one page of a list.
const itemsPerPage = 2

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	entries, revision, err := s.data.List(r.Context(), r.URL.Query().Get("prefix"))
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	items := []object{}
	more := false
	for _, e := range entries {
		if e.Key <= r.URL.Query().Get("after") {
			continue
		}
		if len(items) == itemsPerPage {
			more = true
			break
		}
		items = append(items, newItem(e))
	}
	writeJSON(w, http.StatusOK, object{"items": items, "has_more": more, "at_rev": revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("wait_ms"))
	if err != nil || waitErr != nil || wait > 30_000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	changes, revision, err := s.data.Watch(r.Context(), query.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	if err != nil {
		w.WriteHeader(http.StatusGone)
		return
	}
	events := []object{}
	for _, c := range changes {
		if c.Deleted {
			events = append(events, object{"key": c.Key, "revision": c.Revision, "deleted": true})
			continue
		}
		events = append(events, newItem(c.Entry))
	}
	writeJSON(w, http.StatusOK, object{"events": events, "at_rev": revision})
}

type txnBody struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"expected_rev"`
	Puts []struct {
		Key   string `json:"key"`
		Value string `json:"value"`
		Lease uint64 `json:"lease"`
	} `json:"puts"`
	Remove []string `json:"remove"`
}

// transact executes a transaction that changes one key. Daemons send no others.
func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	var body txnBody
	if err != nil || json.Unmarshal(raw, &body) != nil || len(body.Expected) != 1 || len(body.Puts)+len(body.Remove) != 1 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	expected := body.Expected[0]
	if strings.HasPrefix(expected.Key, "op/") || strings.HasPrefix(expected.Key, "servers/") {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	revision := uint64(0)
	if len(body.Remove) == 1 {
		err = s.data.Delete(r.Context(), body.Remove[0], expected.Revision)
	} else {
		var value []byte
		if value, err = base64.StdEncoding.DecodeString(body.Puts[0].Value); err == nil {
			revision, err = s.data.Put(r.Context(), body.Puts[0].Key, value, expected.Revision, s.leaseID(body.Puts[0].Lease))
		}
	}
	switch {
	case errors.Is(err, kv.ErrConflict):
		writeJSON(w, http.StatusPreconditionFailed, object{"items": []object{}})
	case errors.Is(err, kv.ErrLeaseNotFound):
		w.WriteHeader(http.StatusNotFound)
	case err != nil:
		w.WriteHeader(http.StatusBadRequest)
	default:
		writeJSON(w, http.StatusOK, object{"revision": revision})
	}
}

// grant creates a lease.
func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var request struct {
		TTL string `json:"ttl_time"`
	}
	err := json.NewDecoder(r.Body).Decode(&request)
	ttl, ttlErr := time.ParseDuration(request.TTL)
	if err != nil || ttlErr != nil || ttl <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	id, err := s.data.Grant(r.Context(), ttl)
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	s.lastLease++
	number := s.lastLease
	s.leases[number] = id
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, object{"lease": number, "ttl_time": request.TTL})
}

// unknownLease is an id that data never gives to a lease.
const unknownLease = "none"

// leaseID returns the id in data of the lease with the given number, or "" for 0.
func (s *Store) leaseID(number uint64) string {
	if number == 0 {
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if id, ok := s.leases[number]; ok {
		return id
	}
	return unknownLease
}

// handleLease applies apply, which renews or revokes, to the lease in the path.
func (s *Store) handleLease(w http.ResponseWriter, r *http.Request, prefix string, apply func(context.Context, string) error) {
	number, err := strconv.ParseUint(strings.TrimPrefix(r.URL.Path, prefix), 10, 64)
	if err != nil || number == 0 || apply(r.Context(), s.leaseID(number)) != nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, object{})
}

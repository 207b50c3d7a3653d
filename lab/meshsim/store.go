// Package meshsim stands in for the users' platform: its key-value store and the
// upstreams that announce themselves. It is made after the platform's protocol
// and knows nothing of the adapter.
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

// Fault is how the store misbehaves.
type Fault int

// Troubles.
const (
	// Healthy stores answer.
	Healthy Fault = iota
	// Unavailable stores answer 503 and do nothing.
	Unavailable
	// Silent stores take calls and never answer.
	Silent
	// LostResponse stores do what is asked and break the connection.
	LostResponse
	// Compacted stores have lost the history of every watch.
	Compacted
)

// silence bounds the wait of a call to a silent store, so that tests end.
const silence = 20 * time.Second

// Store is the platform's key-value store. It is safe for concurrent use.
type Store struct {
	data *memstore.Store

	mu      sync.Mutex
	trouble Fault
	calls   int
	// leases holds the names that the data has for leases, which are numbers here.
	leases map[uint64]string
	last   uint64 // the lease that was given last
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{data: memstore.New(), leases: map[uint64]string{}} }

// SetFault sets how the store misbehaves from now on.
func (s *Store) SetFault(t Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trouble = t
}

// Calls returns the calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Configure writes the operator's configuration.
func (s *Store) Configure(value []byte) error {
	entry, err := s.data.Get(context.Background(), operatorKey)
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return err
	}
	_, err = s.data.Put(context.Background(), operatorKey, value, entry.Revision, "")
	return err
}

const operatorKey = "op/config"

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	trouble := s.trouble
	s.mu.Unlock()
	switch trouble {
	case Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Silent:
		select {
		case <-r.Context().Done():
		case <-time.After(silence):
		}
		panic(http.ErrAbortHandler)
	case LostResponse:
		s.answer(discard{}, r)
		panic(http.ErrAbortHandler)
	case Compacted:
		if r.URL.Path == "/api/kv-watch" {
			w.WriteHeader(http.StatusGone)
			return
		}
	}
	s.answer(w, r)
}

// discard is a response that nobody gets.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(p []byte) (int, error) { return len(p), nil }
func (discard) WriteHeader(int)             {}

func (s *Store) answer(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/api/kv-key":
		s.key(w, r)
	case r.URL.Path == "/api/kv-range":
		s.list(w, r)
	case r.URL.Path == "/api/kv-watch":
		s.watch(w, r)
	case r.URL.Path == "/api/kv-txn":
		s.change(w, r)
	case r.URL.Path == "/api/kv-lease":
		s.grant(w, r)
	case strings.HasPrefix(r.URL.Path, "/api/kv-keep/"):
		s.onLease(w, r, "/api/kv-keep/", s.data.KeepAlive)
	case strings.HasPrefix(r.URL.Path, "/api/kv-lease-end/"):
		s.onLease(w, r, "/api/kv-lease-end/", s.data.Revoke)
	default:
		http.NotFound(w, r)
	}
}

type object map[string]any

func write(w http.ResponseWriter, status int, body object) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func itemOf(e kv.Entry) object {
	return object{
		"key": e.Key, "value": base64.StdEncoding.EncodeToString(e.Value),
		"revision": e.Revision, "created_rev": e.Revision, "lease": 0,
	}
}

func (s *Store) key(w http.ResponseWriter, r *http.Request) {
	entry, err := s.data.Get(r.Context(), r.URL.Query().Get("key"))
	if err != nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	body := itemOf(entry)
	body["at_rev"] = entry.Revision
	write(w, http.StatusOK, body)
}

// pageItems is the number of items of one page.
const pageItems = 2

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
		if len(items) == pageItems {
			more = true
			break
		}
		items = append(items, itemOf(e))
	}
	write(w, http.StatusOK, object{"items": items, "has_more": more, "at_rev": revision})
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
		events = append(events, itemOf(c.Entry))
	}
	write(w, http.StatusOK, object{"events": events, "at_rev": revision})
}

type changeBody struct {
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

// change takes changes of one key, the only ones that the daemons make.
func (s *Store) change(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	var body changeBody
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
			revision, err = s.data.Put(r.Context(), body.Puts[0].Key, value, expected.Revision, s.lease(body.Puts[0].Lease))
		}
	}
	switch {
	case errors.Is(err, kv.ErrConflict):
		write(w, http.StatusPreconditionFailed, object{"items": []object{}})
	case errors.Is(err, kv.ErrLeaseGone):
		w.WriteHeader(http.StatusNotFound)
	case err != nil:
		w.WriteHeader(http.StatusBadRequest)
	default:
		write(w, http.StatusOK, object{"revision": revision})
	}
}

// grant makes a lease.
func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var term struct {
		TTL string `json:"ttl_time"`
	}
	err := json.NewDecoder(r.Body).Decode(&term)
	ttl, ttlErr := time.ParseDuration(term.TTL)
	if err != nil || ttlErr != nil || ttl <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	name, err := s.data.Grant(r.Context(), ttl)
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	s.last++
	number := s.last
	s.leases[number] = name
	s.mu.Unlock()
	write(w, http.StatusOK, object{"lease": number, "ttl_time": term.TTL})
}

// noLease is a name that the data has for no lease.
const noLease = "none"

// lease returns the data's name of a lease, empty for 0.
func (s *Store) lease(number uint64) string {
	if number == 0 {
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if name, ok := s.leases[number]; ok {
		return name
	}
	return noLease
}

// onLease renews or ends the lease that the path names.
func (s *Store) onLease(w http.ResponseWriter, r *http.Request, prefix string, do func(context.Context, string) error) {
	number, err := strconv.ParseUint(strings.TrimPrefix(r.URL.Path, prefix), 10, 64)
	if err != nil || number == 0 || do(r.Context(), s.lease(number)) != nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	write(w, http.StatusOK, object{})
}

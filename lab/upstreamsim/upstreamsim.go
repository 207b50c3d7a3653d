// Package upstreamsim is a stand-in for an upstream: it works for a while,
// calls on through its daemon's local port, and keeps a record of its runs.
package upstreamsim

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"fuchsiavane.org/core/callctx"
	"fuchsiavane.org/node/call"
)

// Config is how an upstream behaves. The query of a request may override it:
// work-ms, bytes, status, and next (a service to call).
type Config struct {
	// Work is the time spent on a request.
	Work time.Duration
	// Local is the base URL of the daemon's local port.
	Local string
	// Next lists the services called for each request, one after another.
	Next []string
}

// Record is a run as the upstream saw it.
type Record struct {
	Key    string `json:"key"`
	Method string `json:"method"`
	Path   string `json:"path"`
}

// maxRecords bounds the record of runs.
const maxRecords = 100000

// Upstream is the stand-in. It is safe for concurrent use.
type Upstream struct {
	config Config
	client *http.Client

	mu      sync.Mutex
	records []Record
}

// New returns an Upstream.
func New(config Config) *Upstream {
	transport := &http.Transport{MaxIdleConnsPerHost: 256}
	return &Upstream{config: config, client: &http.Client{Transport: transport}}
}

// Runs returns the runs so far.
func (u *Upstream) Runs() []Record {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Record(nil), u.records...)
}

// ServeHTTP implements http.Handler. GET /runs returns the record of runs.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/runs" {
		_ = json.NewEncoder(w).Encode(u.Runs())
		return
	}
	u.record(Record{r.Header.Get(call.HeaderKey), r.Method, r.URL.Path})
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the caller went away
	}
	if !u.work(r) {
		return
	}
	for _, service := range u.next(r) {
		if status := u.callOn(r, service); status >= 300 {
			http.Error(w, fmt.Sprintf("call to %s: status %d", service, status), status)
			return
		}
	}
	u.answer(w, r, body)
}

func (u *Upstream) record(record Record) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.records) < maxRecords {
		u.records = append(u.records, record)
	}
}

// work spends the request's time and reports whether the caller still waits.
func (u *Upstream) work(r *http.Request) bool {
	work := u.config.Work
	if ms, err := strconv.Atoi(r.URL.Query().Get("work-ms")); err == nil {
		work = time.Duration(ms) * time.Millisecond
	}
	if work == 0 {
		return true
	}
	timer := time.NewTimer(work)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (u *Upstream) next(r *http.Request) []string {
	if q := r.URL.Query().Get("next"); q != "" {
		return strings.Split(q, ",")
	}
	return u.config.Next
}

func (u *Upstream) callOn(r *http.Request, service string) int {
	request, err := http.NewRequestWithContext(r.Context(), http.MethodGet, u.config.Local+"/", http.NoBody)
	if err != nil {
		return http.StatusInternalServerError
	}
	request.Host = service
	request.Header.Set(callctx.Header, r.Header.Get(callctx.Header))
	response, err := u.client.Do(request)
	if err != nil {
		return http.StatusBadGateway
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return http.StatusBadGateway
	}
	return response.StatusCode
}

func (u *Upstream) answer(w http.ResponseWriter, r *http.Request, body []byte) {
	query := r.URL.Query()
	if status, err := strconv.Atoi(query.Get("status")); err == nil {
		w.WriteHeader(status)
	}
	if n, err := strconv.Atoi(query.Get("bytes")); err == nil {
		_, _ = io.CopyN(w, zeros{}, int64(n))
		return
	}
	_, _ = fmt.Fprintf(w, "%s %s %d\n", r.Method, r.URL.Path, len(body))
}

// zeros is an endless reader of the digit zero.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = '0'
	}
	return len(p), nil
}

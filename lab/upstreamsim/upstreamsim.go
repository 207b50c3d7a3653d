// Package upstreamsim simulates an upstream: each request takes a configured time,
// makes nested calls through the daemon's local port, and is recorded as a run.
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

// Config configures an upstream. The query parameters work-ms and next (a
// comma-separated list of services) of a request override Work and Next; bytes
// and status set the length of the response's body and its status.
type Config struct {
	// Work is the time that a request takes before its nested calls.
	Work time.Duration
	// Local is the base URL of the daemon's local port.
	Local string
	// Next lists the services that each request calls, in sequence.
	Next []string
}

// Record describes one run of a request at the upstream.
type Record struct {
	Key    string `json:"key"`
	Method string `json:"method"`
	Path   string `json:"path"`
}

// maxRecords bounds the recorded runs; later runs are not recorded.
const maxRecords = 100000

// Upstream is an HTTP handler that simulates an upstream. It is safe for
// concurrent use.
type Upstream struct {
	config Config
	client *http.Client

	mu      sync.Mutex
	records []Record
}

// New returns an Upstream with the given configuration and no runs.
func New(config Config) *Upstream {
	transport := &http.Transport{MaxIdleConnsPerHost: 256}
	return &Upstream{config: config, client: &http.Client{Transport: transport}}
}

// Runs returns a copy of the recorded runs, oldest first.
func (u *Upstream) Runs() []Record {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Record(nil), u.records...)
}

// ServeHTTP implements http.Handler. The path /runs returns the recorded runs as
// JSON and is not recorded itself.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/runs" {
		_ = json.NewEncoder(w).Encode(u.Runs())
		return
	}
	u.record(Record{r.Header.Get(call.HeaderKey), r.Method, r.URL.Path})
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the caller abandoned the request
	}
	if !u.work(r) {
		return
	}
	for _, service := range u.next(r) {
		if status := u.callNext(r, service); status >= 300 {
			http.Error(w, fmt.Sprintf("call to %s: status %d", service, status), status)
			return
		}
	}
	u.respond(w, r, body)
}

func (u *Upstream) record(record Record) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.records) < maxRecords {
		u.records = append(u.records, record)
	}
}

// work waits for the work time of the request. It returns false if the request is
// cancelled first.
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

func (u *Upstream) callNext(r *http.Request, service string) int {
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

func (u *Upstream) respond(w http.ResponseWriter, r *http.Request, body []byte) {
	query := r.URL.Query()
	if status, err := strconv.Atoi(query.Get("status")); err == nil {
		w.WriteHeader(status)
	}
	if n, err := strconv.Atoi(query.Get("bytes")); err == nil {
		_, _ = io.CopyN(w, zeroReader{}, int64(n))
		return
	}
	_, _ = fmt.Fprintf(w, "%s %s %d\n", r.Method, r.URL.Path, len(body))
}

// zeroReader is an infinite io.Reader of the digit zero.
type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = '0'
	}
	return len(p), nil
}

package meshsim

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Run is a request as the upstream ran it.
type Run struct {
	ID, Method, Target, Caller, Body string
}

// Upstream is a server that announces itself to the daemon beside it. It is safe
// for concurrent use.
type Upstream struct {
	// ID names this incarnation.
	ID      string
	Service string
	// Address is where it takes requests.
	Address string
	// Slots is the number of requests that it says it runs at a time.
	Slots int
	// Handler makes the answer to a request that runs; nil for a usual one.
	Handler func(w http.ResponseWriter, r *http.Request)

	sequence atomic.Uint64
	born     int64

	mu   sync.Mutex
	runs []Run
}

// NewUpstream returns an upstream that starts now.
func NewUpstream(id, service string) *Upstream {
	return &Upstream{ID: id, Service: service, Slots: 20, born: time.Now().UnixMilli()}
}

// Runs returns the requests that ran.
func (u *Upstream) Runs() []Run {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Run(nil), u.runs...)
}

// ServeHTTP implements http.Handler.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != u.ID {
		w.Header().Set("X-Instance-Id", u.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the caller has left
	}
	u.mu.Lock()
	u.runs = append(u.runs, Run{r.Header.Get("X-Request-Id"), r.Method, r.RequestURI, r.Header.Get("X-Caller-Service"), string(body)})
	u.mu.Unlock()
	if u.Handler != nil {
		u.Handler(w, r)
		return
	}
	u.WriteResponse(w, r)
}

// WriteResponse writes the usual answer.
func (u *Upstream) WriteResponse(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Response-Signature", "signature-of-"+u.ID)
	_, _ = io.WriteString(w, "answer of "+u.ID)
}

// Announce sends a heartbeat to a daemon. phase is ready or draining.
func (u *Upstream) Announce(control, phase string) error {
	body, err := json.Marshal(object{
		"address": u.Address, "born": u.born,
		"info":   object{"service": u.Service, "version": "v1", "zone": "z", "capacity_slots": u.Slots},
		"status": object{"phase": phase, "sequence": u.sequence.Add(1), "cold_remaining": "0ms"},
	})
	if err != nil {
		return errors.Wrap(err, "heartbeat")
	}
	return post(control, "heartbeat", u.ID, body)
}

// Deregister tells a daemon that the upstream ends.
func (u *Upstream) Deregister(control string) error { return post(control, "deregister", u.ID, nil) }

func post(control, verb, id string, body []byte) error {
	url := fmt.Sprintf("http://%s/api/instances/%s/%s", control, id, verb)
	response, err := http.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, verb)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Wrap(err, verb)
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("%s: status %d: %s", verb, response.StatusCode, strings.TrimSpace(string(text)))
	}
	return nil
}

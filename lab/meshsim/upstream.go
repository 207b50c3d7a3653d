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

// Run is a request that the upstream ran.
type Run struct {
	ID, Method, Target, Caller, Body string
}

// Upstream is a server that announces itself to the daemon of its instance. It is safe
// for concurrent use.
type Upstream struct {
	// ID identifies this incarnation of the upstream.
	ID      string
	Service string
	// Address is the host and port at which the upstream takes requests.
	Address string
	// Slots is the announced number of requests that the upstream runs at a time.
	Slots int
	// Handler responds to requests that run; nil means WriteResponse.
	Handler func(w http.ResponseWriter, r *http.Request)
	// Intercept responds to a request before its body is read, in place of Handler. It
	// returns false for a request that it leaves alone; nil intercepts none.
	Intercept func(w http.ResponseWriter, r *http.Request) bool

	sequence  atomic.Uint64
	startedAt int64

	mu   sync.Mutex
	runs []Run
}

// NewUpstream returns an upstream whose start time is now.
func NewUpstream(id, service string) *Upstream {
	return &Upstream{ID: id, Service: service, Slots: 20, startedAt: time.Now().UnixMilli()}
}

// Runs returns the requests that ran so far, in order.
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
	if u.Intercept != nil && u.Intercept(w, r) {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the caller has abandoned the request
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

// WriteResponse writes the default response, with the request's id and a signature.
func (u *Upstream) WriteResponse(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Response-Signature", "signature-of-"+u.ID)
	_, _ = io.WriteString(w, "answer of "+u.ID)
}

// Announce sends a heartbeat to the daemon with the given control address. phase is
// ready or draining.
func (u *Upstream) Announce(control, phase string) error {
	body, err := json.Marshal(object{
		"address": u.Address, "born": u.startedAt,
		"info":   object{"service": u.Service, "version": "v1", "zone": "z", "capacity_slots": u.Slots},
		"status": object{"phase": phase, "sequence": u.sequence.Add(1), "cold_remaining": "0ms"},
	})
	if err != nil {
		return errors.Wrap(err, "heartbeat")
	}
	return post(control, "heartbeat", u.ID, body)
}

// Deregister announces the end of the upstream to the daemon with the given control
// address.
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

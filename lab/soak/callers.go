package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"fuchsiavane.org/lab/meshsim"
)

// heartbeatInterval is the interval between heartbeats of an upstream.
const heartbeatInterval = 300 * time.Millisecond

// replaceUpstream replaces the upstream of an instance by a new one at the same
// address.
func (s *harness) replaceUpstream(i *instance, address string) {
	name, service := i.identity()
	u := meshsim.NewUpstream(fmt.Sprintf("%s-%d", name, s.ids.Add(1)), service)
	u.Address = address
	ctx, stop := context.WithCancel(context.Background())
	next := &upstream{Upstream: u, phase: "ready", stop: stop}
	i.mu.Lock()
	if i.current != nil {
		i.current.stop()
	}
	i.current = next
	i.mu.Unlock()
	go s.announce(ctx, i, next)
}

// announce sends heartbeats of an upstream to its daemon until ctx ends, and records
// the first acknowledged heartbeat with the phase draining.
func (s *harness) announce(ctx context.Context, i *instance, u *upstream) {
	for ctx.Err() == nil {
		i.mu.Lock()
		phase := u.phase
		i.mu.Unlock()
		err := u.Announce(i.controlAddr, phase)
		if err == nil && phase == "draining" {
			i.mu.Lock()
			if u.drained.IsZero() {
				u.drained = time.Now()
			}
			i.mu.Unlock()
		}
		time.Sleep(heartbeatInterval)
	}
}

// runClient sends requests to an instance until stop is closed. It keeps its
// connection while the process runs.
func (s *harness) runClient(i *instance, stop <-chan struct{}) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: 4 * time.Second}
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(meanRunTime):
		}
		service, kind := services[n%len(services)], []string{"safe", "unsafe"}[n/len(services)%2]
		s.sendRequest(client, i, service, kind)
	}
}

// sendRequest sends one request and checks its response.
func (s *harness) sendRequest(client *http.Client, i *instance, service, kind string) {
	id := fmt.Sprintf("%016x", s.ids.Add(1))
	record := &request{unsafe: kind == "unsafe", service: service}
	s.mu.Lock()
	s.requests[id] = record
	s.mu.Unlock()
	method := http.MethodGet
	if record.unsafe {
		method = http.MethodPost
	}
	r, err := http.NewRequest(method, fmt.Sprintf("http://%s/%s/%s/%s", i.callerAddr, service, kind, id), http.NoBody)
	if err != nil {
		s.addViolation("request: %v", err)
		return
	}
	if record.unsafe {
		// The client must not resend by itself; a body without GetBody prevents it.
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader("paid")), 4
	}
	r.Host = host
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Request-Deadline-Ms", "3000")
	start := time.Now()
	response, err := client.Do(r)
	if err != nil {
		s.recordIncomplete()
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		s.recordIncomplete()
		return
	}
	s.checkResponse(record, id, response, string(body), time.Since(start))
}

// recordIncomplete counts a request without a complete response.
func (s *harness) recordIncomplete() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Incomplete++
}

// checkResponse counts a complete response and checks it.
func (s *harness) checkResponse(record *request, id string, response *http.Response, body string, took time.Duration) {
	s.mu.Lock()
	record.status = response.StatusCode
	switch {
	case response.StatusCode == http.StatusOK:
		s.report.Succeeded++
	case response.StatusCode == http.StatusServiceUnavailable:
		s.report.Refused++
	default:
		s.report.Failed++
	}
	s.mu.Unlock()
	switch {
	case response.StatusCode == http.StatusOK && (response.Header.Get("X-Response-Signature") == "" || !strings.HasSuffix(body, " to "+id)):
		s.addViolation("MIXED: %s got %q", id, body)
	case response.StatusCode == http.StatusNotFound:
		s.addViolation("DENIED: %s got 404", id)
	case response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") == "":
		s.addViolation("%s got 503 without Retry-After", id)
	}
}

// awaitServing waits until each instance serves both services and the newest
// configuration, and reports whether all did before the timeout.
func (s *harness) awaitServing(timeout time.Duration) bool {
	end := time.Now().Add(timeout)
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, i := range s.instances {
		for _, path := range []string{"/desk/safe/", "/registry/safe/", fmt.Sprintf("/version-%d/", s.version.Load())} {
			for !s.serves(client, i, path) {
				if time.Now().After(end) {
					name, _ := i.identity()
					s.addViolation("RECOVER: %s does not serve %s", name, path)
					return false
				}
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
	return true
}

// serves reports whether a request through an instance gets 200.
func (s *harness) serves(client *http.Client, i *instance, path string) bool {
	id := fmt.Sprintf("%016x", s.ids.Add(1))
	service := "desk"
	if strings.HasPrefix(path, "/registry/") {
		service = "registry"
	}
	s.mu.Lock()
	s.requests[id] = &request{service: service}
	s.mu.Unlock()
	r, err := http.NewRequest(http.MethodGet, "http://"+i.callerAddr+path+id, http.NoBody)
	if err != nil {
		return false
	}
	r.Host = host
	r.Header.Set("X-Request-Id", id)
	response, err := client.Do(r)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

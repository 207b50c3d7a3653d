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

// heartbeat is the pause between announcements.
const heartbeat = 300 * time.Millisecond

// replaceUpstream puts a new upstream beside an instance, at the same address.
func (s *soak) replaceUpstream(i *instance, address string) {
	u := meshsim.NewUpstream(fmt.Sprintf("%s-%d", i.name, s.ids.Add(1)), i.service)
	u.Address = address
	ctx, stop := context.WithCancel(context.Background())
	next := &server{Upstream: u, phase: "ready", stop: stop}
	i.mu.Lock()
	if i.current != nil {
		i.current.stop()
	}
	i.current = next
	i.mu.Unlock()
	go s.announce(ctx, i, next)
}

// announce sends heartbeats until the upstream ends.
func (s *soak) announce(ctx context.Context, i *instance, u *server) {
	for ctx.Err() == nil {
		i.mu.Lock()
		phase := u.phase
		i.mu.Unlock()
		err := u.Announce(i.control, phase)
		if err == nil && phase == "draining" {
			i.mu.Lock()
			if u.drained.IsZero() {
				u.drained = time.Now()
			}
			i.mu.Unlock()
		}
		time.Sleep(heartbeat)
	}
}

// call is one client of an instance: it keeps using its connection until the
// process is gone.
func (s *soak) call(i *instance, stop <-chan struct{}) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: 4 * time.Second}
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(work):
		}
		service, kind := services[n%len(services)], []string{"safe", "unsafe"}[n/len(services)%2]
		s.one(client, i, service, kind)
	}
}

// one makes one request and checks its answer.
func (s *soak) one(client *http.Client, i *instance, service, kind string) {
	id := fmt.Sprintf("%016x", s.ids.Add(1))
	known := &request{unsafe: kind == "unsafe", service: service}
	s.mu.Lock()
	s.requests[id] = known
	s.mu.Unlock()
	method := http.MethodGet
	if known.unsafe {
		method = http.MethodPost
	}
	r, err := http.NewRequest(method, fmt.Sprintf("http://%s/%s/%s/%s", i.callers, service, kind, id), http.NoBody)
	if err != nil {
		s.broken("request: %v", err)
		return
	}
	if known.unsafe {
		// The client must not send it again by itself.
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader("paid")), 4
	}
	r.Host = host
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Request-Deadline-Ms", "3000")
	began := time.Now()
	response, err := client.Do(r)
	if err != nil {
		s.cut()
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		s.cut()
		return
	}
	s.answered(known, id, response, string(body), time.Since(began))
}

func (s *soak) cut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Incomplete++
}

// answered checks a whole answer.
func (s *soak) answered(known *request, id string, response *http.Response, body string, took time.Duration) {
	s.mu.Lock()
	known.status = response.StatusCode
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
		s.broken("MIXED: %s got %q", id, body)
	case response.StatusCode == http.StatusNotFound:
		s.broken("DENIED: %s got 404", id)
	case response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") == "":
		s.broken("%s got 503 without Retry-After", id)
	}
}

// allServe reports whether each instance serves both services and the newest
// configuration within a time.
func (s *soak) allServe(within time.Duration) bool {
	end := time.Now().Add(within)
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, i := range s.instances {
		for _, path := range []string{"/desk/safe/", "/registry/safe/", fmt.Sprintf("/version-%d/", s.version.Load())} {
			for !s.serves(client, i, path) {
				if time.Now().After(end) {
					s.broken("RECOVER: %s does not serve %s", i.name, path)
					return false
				}
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
	return true
}

func (s *soak) serves(client *http.Client, i *instance, path string) bool {
	id := fmt.Sprintf("%016x", s.ids.Add(1))
	service := "desk"
	if strings.HasPrefix(path, "/registry/") {
		service = "registry"
	}
	s.mu.Lock()
	s.requests[id] = &request{service: service}
	s.mu.Unlock()
	r, err := http.NewRequest(http.MethodGet, "http://"+i.callers+path+id, http.NoBody)
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

package mesh

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// shedder is an upstream handler that refuses the first refusals of each request whose
// id it knows, without running it, and counts the arrivals by instance.
type shedder struct {
	mu       sync.Mutex
	refusals map[string]int
	arrivals map[string]map[string]int // by request id and instance
}

func newShedder() *shedder {
	return &shedder{refusals: map[string]int{}, arrivals: map[string]map[string]int{}}
}

// shedFirst has the next n arrivals of a request refused.
func (s *shedder) shedFirst(id string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusals[id] = n
}

// sheds counts an arrival, and reports whether it is to be refused.
func (s *shedder) sheds(id, instance string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.arrivals[id] == nil {
		s.arrivals[id] = map[string]int{}
	}
	s.arrivals[id][instance]++
	s.refusals[id]--
	return s.refusals[id] >= 0
}

// seen returns the number of arrivals of a request and of the instances that got them.
func (s *shedder) seen(id string) (arrivals, instances int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.arrivals[id] {
		arrivals += n
	}
	return arrivals, len(s.arrivals[id])
}

// install makes an instance's upstream shed, and serve with then what is not shed.
func (s *shedder) install(i *instance, then http.HandlerFunc) {
	i.upstream.Handler = func(w http.ResponseWriter, r *http.Request) {
		if s.sheds(r.Header.Get("X-Request-Id"), i.upstream.ID) {
			w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
			w.Header().Set("X-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		then(w, r)
	}
}

// warmUp makes calls whose first sends allow retries.
func warmUp(entry *instance, path string) {
	for range 100 {
		entry.call(http.MethodGet, path, "")
	}
}

// TestRefusedRequestsReturnToTheSameUpstreams checks that a request which upstreams
// refuse without running it is sent again within the retry allowance, and that it never
// reaches more upstreams than its route allows. It may be non-idempotent: it runs once.
func TestRefusedRequestsReturnToTheSameUpstreams(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.configure(1, route("/x/", "unsafe", "desk", 0))
	entry, shed := f.start("registry", "south-1"), newShedder()
	for range 4 {
		desk := f.start("desk", "south-1")
		shed.install(desk, desk.upstream.WriteResponse)
	}
	entry.await("ready", "/x/1", status(http.StatusOK))
	warmUp(entry, "/x/1")
	for n := range 6 {
		id := fmt.Sprintf("%016x", 1<<40+n)
		shed.shedFirst(id, n)
		is.Equal(entry.call(http.MethodPost, "/x/1", "", "X-Request-Id", id).status, http.StatusOK)
		arrivals, instances := shed.seen(id)
		is.Equal(arrivals, n+1)
		is.True(instances <= 2) // max_attempts of the route
	}
	const id = "00000000000abcde"
	shed.shedFirst(id, 1000)
	refused := entry.call(http.MethodPost, "/x/1", "", "X-Request-Id", id)
	is.Equal(refused.status, http.StatusServiceUnavailable) // it has not run
	arrivals, instances := shed.seen(id)
	is.True(arrivals <= 6)
	is.True(instances <= 2)
}

// TestCallsOfRepeatedRunsArePaid checks that a call made by a run that is itself a retry
// takes a retry of the service that it goes to, and is refused if there is none.
func TestCallsOfRepeatedRunsArePaid(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.configure(1, route("/outer/", "safe", "desk", 0), route("/inner/", "safe", "registry", 0))
	entry, shed := f.start("registry", "south-1"), newShedder()
	var inner sync.Map // status of the inner call by the id of the outer one
	var desks []*instance
	for range 2 {
		desk := f.start("desk", "south-1")
		desks = append(desks, desk)
		shed.install(desk, func(w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get("X-Request-Id")
			inner.Store(id, desk.call(http.MethodGet, "/inner/1", "", "X-Request-Id", id+".1").status)
			desk.upstream.WriteResponse(w, r)
		})
	}
	for _, desk := range desks {
		desk.awaitServing(entry) // otherwise inner calls count as first sends and don't run
	}
	entry.await("the outer route", "/outer/1", status(http.StatusOK))
	warmUp(entry, "/outer/1")
	const first = "0000000000000aaa"
	is.Equal(entry.call(http.MethodGet, "/outer/1", "", "X-Request-Id", first).status, http.StatusOK)
	got, _ := inner.Load(first)
	is.Equal(got, http.StatusOK)
	firstSends := len(entry.upstream.Runs())
	served, refused := 0, 0
	for n := range 60 {
		id := fmt.Sprintf("%016x", 1<<41+n)
		shed.shedFirst(id, 1)
		entry.call(http.MethodGet, "/outer/1", "", "X-Request-Id", id)
		switch status, ran := inner.Load(id); {
		case ran && status == http.StatusOK:
			served++
		case ran:
			refused++
		}
	}
	t.Logf("inner calls of repeated runs: %d served, %d refused; %d first sends", served, refused, firstSends)
	is.True(served > 0)
	is.True(served <= firstSends/5)
	is.True(len(entry.upstream.Runs())-firstSends == served)
}

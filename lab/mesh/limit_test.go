package mesh

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// arrivals records when requests arrive at an upstream.
type arrivals struct {
	mu    sync.Mutex
	times []time.Time
}

func (a *arrivals) add() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times = append(a.times, time.Now())
}

// most returns the largest number of arrivals in any window of a length that begins at
// or after a time.
func (a *arrivals) most(from time.Time, length time.Duration) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	most := 0
	for i, start := range a.times {
		if start.Before(from) {
			continue
		}
		end, _ := slices.BinarySearchFunc(a.times, start.Add(length), time.Time.Compare)
		most = max(most, end-i)
	}
	return most
}

// flood sends requests from several callers at each instance until the context ends.
func flood(ctx context.Context, path string, from ...*instance) *sync.WaitGroup {
	var group sync.WaitGroup
	for _, i := range from {
		for range 4 {
			group.Go(func() {
				for ctx.Err() == nil {
					_ = i.call(http.MethodGet, path, "")
					time.Sleep(pollInterval)
				}
			})
		}
	}
	return &group
}

// TestUpstreamGetsNoMoreThanItsLimit guards against an upstream that gets more requests,
// of all instances together, than the limit that its answers name, also after its
// daemon has restarted.
func TestUpstreamGetsNoMoreThanItsLimit(t *testing.T) {
	const (
		limit = 10 // requests per second
		// window, slack and extra are the bounds of the rule: in 4 s at most 1.5 times
		// the limit, and 5 requests.
		window, slack, extra = 4 * time.Second, 1.5, 5
		most                 = int(limit*slack*float64(window/time.Second)) + extra
	)
	is := is.New(t)
	f := newFleet(t)
	desk, other := f.start("desk", "south-1"), f.start("registry", "south-1")
	f.configure(1, route("/x/", "safe", "desk", 0))
	desk.await("ready", "/x/1", status(200))
	other.await("ready", "/x/1", status(200))
	var seen arrivals
	desk.upstream.Handler = func(w http.ResponseWriter, r *http.Request) {
		seen.add()
		time.Sleep(pollInterval)
		w.Header().Set("Server-Limit", "10.0")
		desk.upstream.WriteResponse(w, r)
	}
	ctx, stop := context.WithCancel(context.Background())
	group := flood(ctx, "/x/1", desk, other)
	time.Sleep(time.Second)
	named := time.Now()
	time.Sleep(window)
	desk.stop()
	<-desk.done
	desk.run()
	time.Sleep(window)
	stop()
	group.Wait()
	is.True(seen.most(named, window) <= most)
	is.True(len(seen.times) >= limit*int(window/time.Second)) // it is used
}

// TestUpstreamThatLeavesByItsAnswersGetsNothingNew guards against requests to an
// upstream whose answers say that it leaves, while its heartbeats still say ready.
func TestUpstreamThatLeavesByItsAnswersGetsNothingNew(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	desk, other := f.start("desk", "south-1"), f.start("registry", "south-1")
	f.configure(1, route("/x/", "safe", "desk", 0))
	desk.await("ready", "/x/1", status(200))
	other.await("ready", "/x/1", status(200))
	desk.upstream.Handler = func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Server-Leaving", "1")
		desk.upstream.WriteResponse(w, r)
	}
	is.Equal(other.call(http.MethodGet, "/x/1", "").status, 200)
	runs := len(desk.upstream.Runs())
	time.Sleep(3 * heartbeatInterval)
	for _, i := range []*instance{desk, other} {
		is.Equal(i.call(http.MethodGet, "/x/1", "").status, 503)
	}
	is.Equal(len(desk.upstream.Runs()), runs)
}

package daemon_test

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"fuchsiavane.org/node/admin"
	"fuchsiavane.org/node/daemon/daemontest"
	"fuchsiavane.org/node/kv/memstore"
)

// counter is an upstream that answers at once and counts its runs.
type counter struct{ runs atomic.Int64 }

func (c *counter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	c.runs.Add(1)
	_, _ = io.WriteString(w, "done\n")
}

// halfDead is an upstream that, once told to, accepts calls and never answers.
type halfDead struct {
	dead atomic.Bool
	// runs counts all calls, stuck those without an answer.
	runs, stuck atomic.Int64
}

func (h *halfDead) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.runs.Add(1)
	if !h.dead.Load() {
		_, _ = io.WriteString(w, "done\n")
		return
	}
	h.stuck.Add(1)
	<-r.Context().Done()
}

// An upstream that accepts calls and never answers is left, by calls that any
// instance may run and by those that the owner of their key runs.
func TestHalfDeadUpstreamIsLeft(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			t.Parallel()
			testHalfDeadUpstreamIsLeft(t, method)
		})
	}
}

func testHalfDeadUpstreamIsLeft(t *testing.T, method string) {
	is := is.New(t)
	store := memstore.New()
	daemontest.Apply(t, store, `{"settings": {"timeout_ms": 300, "attempts": 1}}`)
	entry := daemontest.Start(t, store, daemontest.Options{ID: "entry", Service: "front", Upstream: &counter{}})
	for i := range 3 {
		daemontest.Start(t, store, daemontest.Options{ID: fmt.Sprintf("good-%d", i), Service: "bench", Upstream: &counter{}})
	}
	stuck := &halfDead{}
	daemontest.Start(t, store, daemontest.Options{ID: "stuck", Service: "bench", Upstream: stuck})
	entry.AwaitPeers(1, "good-0", "good-1", "good-2", "stuck")
	for end := time.Now().Add(20 * time.Second); stuck.runs.Load() < 5 && time.Now().Before(end); {
		entry.Call(method, "bench", "/", "") // until it takes part
	}
	stuck.dead.Store(true)
	const total = 600
	var whole atomic.Int64
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() {
			for range total / 4 {
				if entry.Call(method, "bench", "/", "").Status == http.StatusOK {
					whole.Add(1)
				}
			}
		})
	}
	group.Wait()
	is.True(stuck.stuck.Load() > 0)
	// Without ejection a quarter of the calls would go there.
	is.True(stuck.stuck.Load() < total/20)
	is.True(whole.Load() >= total-total/20)
}

// Calls stay in the data centre while it can serve them, leave it for the region
// when it can't, and stay in the region if the settings say never.
func TestCallsStayNear(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	store := memstore.New()
	daemontest.Apply(t, store, `{"settings": {"cross_region": "never"}}`)
	near, region, far := &counter{}, &counter{}, &counter{}
	entry := daemontest.Start(t, store, daemontest.Options{ID: "entry", Service: "front", Upstream: &counter{}})
	nearInstance := daemontest.Start(t, store, daemontest.Options{ID: "near", Service: "bench", Upstream: near})
	regionInstance := daemontest.Start(t, store, daemontest.Options{ID: "region", Service: "bench", DataCentre: "south-2", Upstream: region})
	daemontest.Start(t, store, daemontest.Options{ID: "far", Service: "bench", Region: "north", Upstream: far})
	entry.AwaitPeers(1, "near", "region", "far")
	for range 20 {
		is.Equal(entry.Call("GET", "bench", "/", "").Status, http.StatusOK)
	}
	is.Equal(near.runs.Load(), int64(20))
	nearInstance.Stop()
	is.Equal(entry.Call("GET", "bench", "/", "").Status, http.StatusOK)
	is.Equal(region.runs.Load(), int64(1))
	regionInstance.Stop()
	reply := entry.Call("GET", "bench", "/", "")
	is.Equal(reply.Status, http.StatusServiceUnavailable)
	is.Equal(string(reply.Outcome), "not-run")
	is.Equal(far.runs.Load(), int64(0))
}

// Large answers from another region come no faster than the share of the link.
func TestLinkBetweenRegionsIsPaced(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	store := memstore.New()
	// Two daemons share 8 Mbit/s; of that 80% is for calls.
	daemontest.Apply(t, store, `{"settings": {"region_link_mbit": 8, "timeout_ms": 30000}}`)
	const size = 500_000
	archive := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, size)) })
	entry := daemontest.Start(t, store, daemontest.Options{ID: "entry", Service: "front", Upstream: &counter{}})
	daemontest.Start(t, store, daemontest.Options{ID: "far", Service: "bench", Region: "north", Upstream: archive})
	entry.AwaitPeers(1, "far")
	entry.Await("share of the link", func(s admin.Status) bool { return s.RegionLinkShare > 0 })
	began := time.Now()
	sent := 0
	for time.Since(began) < 3*time.Second {
		reply := entry.Call("GET", "bench", "/", "")
		if reply.Status == http.StatusOK && reply.Err == nil {
			sent += len(reply.Body)
		}
	}
	took := time.Since(began).Seconds()
	const share = 8e6 / 8 // the whole link, in bytes per second
	is.True(sent > 0)
	is.True(float64(sent) <= share*(took+1)+size)
}

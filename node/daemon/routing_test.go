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

// countingUpstream is an upstream that responds at once and counts its runs.
type countingUpstream struct{ runs atomic.Int64 }

func (c *countingUpstream) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	c.runs.Add(1)
	_, _ = io.WriteString(w, "done\n")
}

// hangingUpstream is an upstream that accepts requests and never responds once hang
// is set.
type hangingUpstream struct {
	hang atomic.Bool
	// runs counts all requests, hung those without a response.
	runs, hung atomic.Int64
}

func (h *hangingUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.runs.Add(1)
	if !h.hang.Load() {
		_, _ = io.WriteString(w, "done\n")
		return
	}
	h.hung.Add(1)
	<-r.Context().Done()
}

// TestHalfDeadUpstreamIsLeft checks that an upstream that accepts requests and never
// responds is ejected, both for calls that any instance may run (GET) and for those
// that the owner of their key runs (POST).
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
	entry := daemontest.Start(t, store, daemontest.Options{ID: "entry", Service: "front", Upstream: &countingUpstream{}})
	for i := range 3 {
		daemontest.Start(t, store, daemontest.Options{ID: fmt.Sprintf("good-%d", i), Service: "bench", Upstream: &countingUpstream{}})
	}
	hanging := &hangingUpstream{}
	daemontest.Start(t, store, daemontest.Options{ID: "stuck", Service: "bench", Upstream: hanging})
	entry.AwaitPeers(1, "good-0", "good-1", "good-2", "stuck")
	for end := time.Now().Add(20 * time.Second); hanging.runs.Load() < 5 && time.Now().Before(end); {
		entry.Call(method, "bench", "/", "") // until it receives requests
	}
	hanging.hang.Store(true)
	const total = 600
	var succeeded atomic.Int64
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() {
			for range total / 4 {
				if entry.Call(method, "bench", "/", "").Status == http.StatusOK {
					succeeded.Add(1)
				}
			}
		})
	}
	group.Wait()
	is.True(hanging.hung.Load() > 0)
	// Without ejection it would get a quarter of the calls.
	is.True(hanging.hung.Load() < total/20)
	is.True(succeeded.Load() >= total-total/20)
}

// TestCallsStayNear checks that calls stay in the data centre while it can serve them,
// go to another data centre of the region otherwise, and never leave the region if
// cross_region is never.
func TestCallsStayNear(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	store := memstore.New()
	daemontest.Apply(t, store, `{"settings": {"cross_region": "never"}}`)
	near, region, remote := &countingUpstream{}, &countingUpstream{}, &countingUpstream{}
	entry := daemontest.Start(t, store, daemontest.Options{ID: "entry", Service: "front", Upstream: &countingUpstream{}})
	nearInstance := daemontest.Start(t, store, daemontest.Options{ID: "near", Service: "bench", Upstream: near})
	regionInstance := daemontest.Start(t, store, daemontest.Options{ID: "region", Service: "bench", DataCentre: "south-2", Upstream: region})
	daemontest.Start(t, store, daemontest.Options{ID: "far", Service: "bench", Region: "north", Upstream: remote})
	entry.AwaitPeers(1, "near", "region", "far")
	for range 20 {
		is.Equal(entry.Call("GET", "bench", "/", "").Status, http.StatusOK)
	}
	is.Equal(near.runs.Load(), int64(20))
	nearInstance.Stop()
	is.Equal(entry.Call("GET", "bench", "/", "").Status, http.StatusOK)
	is.Equal(region.runs.Load(), int64(1))
	regionInstance.Stop()
	response := entry.Call("GET", "bench", "/", "")
	is.Equal(response.Status, http.StatusServiceUnavailable)
	is.Equal(string(response.Outcome), "not-run")
	is.Equal(remote.runs.Load(), int64(0))
}

// TestLinkBetweenRegionsIsPaced checks that large responses from another region arrive
// no faster than the capacity of the region link.
func TestLinkBetweenRegionsIsPaced(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	store := memstore.New()
	// The two daemons share 8 Mbit/s, of which calls may use 80%.
	daemontest.Apply(t, store, `{"settings": {"region_link_mbit": 8, "timeout_ms": 30000}}`)
	const size = 500_000
	archive := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, size)) })
	entry := daemontest.Start(t, store, daemontest.Options{ID: "entry", Service: "front", Upstream: &countingUpstream{}})
	daemontest.Start(t, store, daemontest.Options{ID: "far", Service: "bench", Region: "north", Upstream: archive})
	entry.AwaitPeers(1, "far")
	entry.Await("share of the link", func(s admin.Status) bool { return s.RegionLinkShare > 0 })
	start := time.Now()
	received := 0
	for time.Since(start) < 3*time.Second {
		response := entry.Call("GET", "bench", "/", "")
		if response.Status == http.StatusOK && response.Err == nil {
			received += len(response.Body)
		}
	}
	elapsed := time.Since(start).Seconds()
	const capacity = 8e6 / 8 // the whole link, in bytes per second
	is.True(received > 0)
	is.True(float64(received) <= capacity*(elapsed+1)+size)
}

package daemon_test

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"fuchsiavane.org/core/callctx"
	"fuchsiavane.org/node/call"
	"fuchsiavane.org/node/daemon/daemontest"
	"fuchsiavane.org/node/kv/memstore"
)

// callingUpstream is an upstream that calls the service deep once for each request.
type callingUpstream struct {
	local atomic.Pointer[string]
	runs  atomic.Int64
}

func (c *callingUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.runs.Add(1)
	request, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+*c.local.Load()+r.URL.Path, http.NoBody)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	request.Host = "deep"
	request.Header.Set(callctx.Header, r.Header.Get(callctx.Header))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer response.Body.Close()
	w.WriteHeader(response.StatusCode)
	_, _ = io.Copy(w, response.Body)
}

// floodCounts counts the outcomes of a flood's calls.
type floodCounts struct {
	succeeded, notRun, atEntry atomic.Int64
}

// TestRulingsCompleteInAFloodOfBulk floods a chain of two services, over real ports,
// with bulk requests far above the capacity of the deep service. Rulings must
// complete, most bulk requests must be refused by the entry daemon before the first
// upstream runs them, and refusals must end with the flood.
func TestRulingsCompleteInAFloodOfBulk(t *testing.T) {
	is := is.New(t)
	store := memstore.New()
	daemontest.Apply(t, store, `{
		"settings": {"timeout_ms": 10000, "queue_ms": 500, "attempts": 2, "slow_start_ms": 0},
		"ranks": [{"name": "ruling", "share": 0.25, "protected": true}, {"name": "bulk", "share": 0.1}],
		"services": {
			"front": {"settings": {"slots": 50, "rank": "bulk"}, "paths": {"/rulings": {"settings": {"rank": "ruling"}}}},
			"deep": {"settings": {"slots": 4, "rank": "bulk"}, "paths": {"/rulings": {"settings": {"rank": "ruling"}}}}
		}}`)
	front := &callingUpstream{}
	deep := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(w, "done\n")
	})
	entry := daemontest.Start(t, store, daemontest.Options{ID: "front-0", Service: "front", Upstream: front})
	front.local.Store(&entry.Config.LocalListen)
	daemontest.Start(t, store, daemontest.Options{ID: "deep-0", Service: "deep", Upstream: deep})
	entry.AwaitPeers(1, "deep-0")

	stop := make(chan struct{})
	var counts floodCounts
	var group sync.WaitGroup
	for range 80 {
		group.Go(func() { counts.flood(entry, stop) })
	}
	const rulings = 100
	succeeded := 0
	for range rulings {
		if entry.Call("GET", "front", "/rulings", "").Status == http.StatusOK {
			succeeded++
		}
		time.Sleep(5 * time.Millisecond)
	}
	close(stop)
	group.Wait()
	t.Logf("rulings %d of %d; flood: whole %d, not run %d, of these at the entry %d; runs of the first upstream %d",
		succeeded, rulings, counts.succeeded.Load(), counts.notRun.Load(), counts.atEntry.Load(), front.runs.Load())
	is.True(succeeded*100 >= rulings*99)
	is.True(counts.succeeded.Load() > 0)
	is.True(counts.atEntry.Load() > front.runs.Load())
	awaitBulk(t, entry)
}

func (f *floodCounts) flood(entry *daemontest.Instance, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		response := entry.Call("GET", "front", "/archives", "")
		if response.Status == http.StatusOK {
			f.succeeded.Add(1)
		}
		if response.Outcome != call.NotRun {
			continue
		}
		f.notRun.Add(1)
		if strings.Contains(string(response.Body), "on the call path") && response.Header.Get("Retry-After") != "" {
			f.atEntry.Add(1)
		}
	}
}

// awaitBulk waits until 20 consecutive bulk requests succeed.
func awaitBulk(t *testing.T, entry *daemontest.Instance) {
	t.Helper()
	const consecutive = 20
	deadline := time.Now().Add(20 * time.Second)
	for served := 0; served < consecutive; {
		if time.Now().After(deadline) {
			t.Fatal("bulk is still refused after the flood")
		}
		served++
		if entry.Call("GET", "front", "/archives", "").Status != http.StatusOK {
			served = 0
			time.Sleep(20 * time.Millisecond)
		}
	}
}

package daemon_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"fuchsiavane.org/node/call"
)

const onceDocument = `{"settings": {"timeout_ms": 5000, "attempts": 3, "retry_ratio": 1, "slots": 50, "drain_ms": 5000}}`

// serveRuling responds after 5 ms with a unique ruling, or breaks the connection if the
// query has crash.
func serveRuling(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("crash") {
		// Break the connection during the run.
		panic(http.ErrAbortHandler)
	}
	time.Sleep(5 * time.Millisecond)
	fmt.Fprint(w, "ruling ", uuid.NewString())
}

func TestResendThroughAnyEntryRunsOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 3, onceDocument, serveRuling)
	for range 20 {
		key := newKey()
		results := make([]result, 6)
		var group sync.WaitGroup
		for i := range results {
			group.Go(func() { results[i] = f.post(t, i%3, "/rulings", key, "bib 17") })
		}
		group.Wait()
		for _, r := range results {
			is.Equal(r, results[0])
			is.Equal(r.status, http.StatusOK)
			is.Equal(r.outcome, call.Ran)
		}
		is.Equal(f.runsOf(key), 1)
	}
}

func TestUpstreamCrashMidRunStaysUnknown(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 2, onceDocument, serveRuling)
	for i := range 20 {
		// Earlier runs leave the connection to the upstream open, so that the crash
		// breaks a reused connection.
		for range 4 {
			is.Equal(f.post(t, i%2, "/rulings", "", "").status, http.StatusOK)
		}
		key := newKey()
		body := []string{"", "bib 17"}[i%2]
		first := f.post(t, 0, "/rulings?crash", key, body)
		is.Equal(first.outcome, call.Unknown)
		again := f.post(t, 1, "/rulings?crash", key, body)
		is.Equal(again.outcome, call.Unknown)
		is.Equal(again.status, http.StatusConflict)
		is.Equal(f.runsOf(key), 1)
	}
}

func TestStoreOutageIsNotSeenByRulings(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 2, onceDocument, serveRuling)
	f.store.setUnavailable(true)
	for i := range 20 {
		is.Equal(f.post(t, i%2, "/rulings", newKey(), "bib").status, http.StatusOK)
		is.Equal(f.post(t, i%2, "/rulings", "", "bib").status, http.StatusOK)
	}
	opaque := f.post(t, 0, "/rulings", "bib-17", "bib")
	is.Equal(opaque.status, http.StatusServiceUnavailable)
	is.Equal(f.runsOf("bib-17"), 0)
	f.store.setUnavailable(false)
	is.Equal(f.post(t, 0, "/rulings", "bib-17", "bib").status, http.StatusOK)
	is.Equal(f.post(t, 1, "/rulings", "bib-17", "bib").status, http.StatusOK) // the owner replays the response
	is.Equal(f.runsOf("bib-17"), 1)
}

// TestOwnerLeavesWithoutLoss drains an instance while callers post rulings through
// the others and resend those that fail.
func TestOwnerLeavesWithoutLoss(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 3, onceDocument, serveRuling)
	stop := make(chan struct{})
	var group sync.WaitGroup
	var mu sync.Mutex
	keys := map[string]result{}
	for entry := range 2 {
		for range 4 {
			group.Go(func() {
				for {
					select {
					case <-stop:
						return
					default:
					}
					key := newKey()
					r := f.post(t, entry, "/rulings", key, "bib")
					if r.status != http.StatusOK {
						r = f.post(t, 1-entry, "/rulings", key, "bib")
					}
					mu.Lock()
					keys[key] = r
					mu.Unlock()
				}
			})
		}
	}
	time.Sleep(300 * time.Millisecond)
	f.instances[2].Stop()
	time.Sleep(2 * time.Second)
	close(stop)
	group.Wait()
	served := 0
	for key, r := range keys {
		is.True(f.runsOf(key) <= 1)
		if r.outcome == call.NotRun {
			is.Equal(f.runsOf(key), 0)
		}
		if r.status == http.StatusOK {
			served++
		} else {
			t.Logf("key %s: %+v", key, r)
		}
	}
	t.Logf("%d of %d served", served, len(keys))
	is.Equal(served, len(keys))
}

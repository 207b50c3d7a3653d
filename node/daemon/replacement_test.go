package daemon_test

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"fuchsiavane.org/node/config"
	"fuchsiavane.org/node/daemon/daemontest"
	"fuchsiavane.org/node/kv"
	"fuchsiavane.org/node/kv/memstore"
)

// slowUpstream responds after 20 ms, so that a drain finds requests in progress.
var slowUpstream = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
	time.Sleep(20 * time.Millisecond)
	_, _ = io.WriteString(w, "done\n")
})

// results counts successful responses and all others by their content.
type results struct {
	mu        sync.Mutex
	succeeded int
	others    map[string]int
}

func (r *results) add(response daemontest.Response) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if response.Err == nil && response.Status == http.StatusOK {
		r.succeeded++
		return
	}
	if r.others == nil {
		r.others = map[string]int{}
	}
	r.others[fmt.Sprintf("%d %s %s %v", response.Status, response.Outcome, response.Body, response.Err)]++
}

// callUntil sends requests through an entry daemon from several callers until stop is
// closed.
func callUntil(entry *daemontest.Instance, callers int, stop <-chan struct{}) (*results, *sync.WaitGroup) {
	r := &results{}
	group := &sync.WaitGroup{}
	for range callers {
		group.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					r.add(entry.Call("GET", "bench", "/", ""))
				}
			}
		})
	}
	return r, group
}

func benchOptions(i int) daemontest.Options {
	return daemontest.Options{ID: fmt.Sprintf("bench-%d", i), Service: "bench", Upstream: slowUpstream}
}

// TestRollingReplacementCutsNothing replaces every instance of a service, one after
// another, under load. No request may be cut, refused or lost.
func TestRollingReplacementCutsNothing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	store, entry, old := startBench(t)
	stop := make(chan struct{})
	got, group := callUntil(entry, 8, stop)
	for i, instance := range old {
		instance.Stop()
		replacement := benchOptions(i)
		replacement.ID += "-new"
		daemontest.Start(t, store, replacement)
		entry.AwaitPeers(1, replacement.ID)
	}
	close(stop)
	group.Wait()
	is.Equal(got.others, nil)
	is.True(got.succeeded > 50)
}

// TestRestartWithSameNameAndAddress restarts an instance with its previous id and
// address under load.
func TestRestartWithSameNameAndAddress(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	store, entry, old := startBench(t)
	stop := make(chan struct{})
	got, group := callUntil(entry, 4, stop)
	old[0].Stop()
	options := benchOptions(0)
	options.Edit = func(c *config.Config) {
		upstream := c.Upstream
		*c = old[0].Config
		c.Upstream = upstream
	}
	restarted := daemontest.Start(t, store, options)
	restarted.AwaitPeers(1, "entry", "bench-1", "bench-2")
	close(stop)
	group.Wait()
	is.Equal(got.others, nil)
	old[1].Stop()
	old[2].Stop()
	awaitCall(t, entry, http.StatusOK) // only the restarted instance remains
}

// startBench starts an entry daemon and three instances of the service bench.
func startBench(t *testing.T) (kv.Store, *daemontest.Instance, []*daemontest.Instance) {
	t.Helper()
	store := memstore.New()
	daemontest.Apply(t, store, `{"settings": {"timeout_ms": 5000, "queue_ms": 1000}}`)
	entry := daemontest.Start(t, store, daemontest.Options{ID: "entry", Service: "front", Upstream: &countingUpstream{}})
	var instances []*daemontest.Instance
	var ids []string
	for i := range 3 {
		o := benchOptions(i)
		instances = append(instances, daemontest.Start(t, store, o))
		ids = append(ids, o.ID)
	}
	entry.AwaitPeers(1, ids...)
	return store, entry, instances
}

// awaitCall calls until the response has the wanted status.
func awaitCall(t *testing.T, entry *daemontest.Instance, want int) {
	t.Helper()
	var last daemontest.Response
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if last = entry.Call("GET", "bench", "/", ""); last.Status == want {
			return
		}
	}
	t.Fatalf("status %d, %s, want %d", last.Status, last.Body, want)
}

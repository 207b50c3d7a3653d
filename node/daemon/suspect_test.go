package daemon_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"fuchsiavane.org/core/once"
	"fuchsiavane.org/node/call"
	"fuchsiavane.org/node/daemon/daemontest"
	"fuchsiavane.org/node/kv/memstore"
)

// mortal is an upstream that dies, with all its connections, when it is asked
// for /poison.
type mortal struct {
	server atomic.Pointer[httptest.Server]
	dead   atomic.Bool
	die    sync.Once
}

func (m *mortal) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/poison" {
		_, _ = io.Copy(io.Discard, r.Body) // or the server does not see the connection end
		m.die.Do(func() {
			m.dead.Store(true)
			_ = m.server.Load().Listener.Close()
			go m.server.Load().CloseClientConnections()
		})
		<-r.Context().Done()
		return
	}
	time.Sleep(20 * time.Millisecond)
	_, _ = io.WriteString(w, "result\n")
}

func TestCrashingRequestLosesAtMostTwoUpstreams(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	store := memstore.New()
	daemontest.Apply(t, store, `{"settings": {"timeout_ms": 5000, "attempts": 6, "retry_ratio": 1}}`)
	entry := daemontest.Start(t, store, daemontest.Options{ID: "entry", Service: "front", Upstream: &counter{}})
	other := daemontest.Start(t, store, daemontest.Options{ID: "other", Service: "front", Upstream: &counter{}})
	instances := []*daemontest.Instance{entry, other}
	var upstreams []*mortal
	var ids []string
	for i := range 5 {
		m := &mortal{}
		ids = append(ids, fmt.Sprint("bench-", i))
		instance := daemontest.Start(t, store, daemontest.Options{ID: ids[i], Service: "bench", Upstream: m})
		m.server.Store(instance.Upstream)
		instances = append(instances, instance)
		upstreams = append(upstreams, m)
	}
	for _, instance := range instances {
		instance.AwaitPeers(1, ids...)
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	var whole, refused atomic.Int64
	for caller := range 8 {
		group.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				r := entry.Call("GET", "bench", fmt.Sprintf("/glide?caller=%d&n=%d", caller, i), "")
				if r.Status == http.StatusOK {
					whole.Add(1)
				}
				if r.Status == http.StatusUnprocessableEntity {
					refused.Add(1)
				}
			}
		})
	}
	var last daemontest.Response
	for i := range 10 { // its caller sends it again and again, by any entry
		last = instances[i%2].Call("GET", "bench", "/poison", "")
		is.NoErr(last.Err)
		is.True(last.Outcome != call.Ran)
	}
	close(stop)
	group.Wait()
	dead := 0
	for _, m := range upstreams {
		if m.dead.Load() {
			dead++
		}
	}
	is.True(dead >= 1)
	is.True(dead <= 2)
	is.Equal(last.Status, http.StatusUnprocessableEntity)
	is.Equal(last.Outcome, call.NotRun)
	is.Equal(refused.Load(), int64(0)) // no innocent request is quarantined
	is.True(whole.Load() > 0)
}

// A key that its caller brought and that ran is never called not-run, also when
// the entry daemon itself refuses it as quarantined.
func TestCrashingKeyIsNeverCalledNotRun(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	store := memstore.New()
	daemontest.Apply(t, store, onceDocument)
	entry := daemontest.Start(t, store, daemontest.Options{ID: "entry", Service: "front", Upstream: &counter{}})
	var ids []string
	owned := func() int { return 0 }
	for i := range 3 {
		m := &mortal{}
		ids = append(ids, fmt.Sprint("registry-", i))
		instance := daemontest.Start(t, store, daemontest.Options{ID: ids[i], Service: "registry", Upstream: m})
		m.server.Store(instance.Upstream)
		before := owned
		owned = func() int { return before() + instance.Daemon.Claims().Shards }
	}
	entry.AwaitPeers(1, ids...)
	for end := time.Now().Add(ownersLimit); owned() < once.Shards && time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
	}
	post := func(key string) daemontest.Response {
		return entry.Call("POST", "registry", "/poison", "bib 17", call.HeaderKey, key)
	}
	first := newKey()
	is.Equal(post(first).Outcome, call.Unknown)
	quarantined := false
	for range 20 { // other keys with the same body, until it is quarantined
		quarantined = post(newKey()).Status == http.StatusUnprocessableEntity
		if quarantined {
			break
		}
	}
	is.True(quarantined)
	is.Equal(post(first).Outcome, call.Unknown)
}

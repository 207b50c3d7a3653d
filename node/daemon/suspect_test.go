package daemon_test

import (
	"context"
	"encoding/json"
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
	coresuspect "fuchsiavane.org/core/suspect"
	"fuchsiavane.org/node/call"
	"fuchsiavane.org/node/daemon/daemontest"
	"fuchsiavane.org/node/event"
	"fuchsiavane.org/node/kv/memstore"
	"fuchsiavane.org/node/link"
	"fuchsiavane.org/node/suspect"
)

// crashingUpstream is an upstream that closes its listener and all connections when
// /poison is requested.
type crashingUpstream struct {
	server  atomic.Pointer[httptest.Server]
	crashed atomic.Bool
	crash   sync.Once
}

func (u *crashingUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/poison" {
		_, _ = io.Copy(io.Discard, r.Body) // otherwise the server does not detect the closed connection
		u.crash.Do(func() {
			u.crashed.Store(true)
			_ = u.server.Load().Listener.Close()
			go u.server.Load().CloseClientConnections()
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
	entry := daemontest.Start(t, store, daemontest.Options{ID: "entry", Service: "front", Upstream: &countingUpstream{}})
	other := daemontest.Start(t, store, daemontest.Options{ID: "other", Service: "front", Upstream: &countingUpstream{}})
	instances := []*daemontest.Instance{entry, other}
	var upstreams []*crashingUpstream
	var ids []string
	for i := range 5 {
		u := &crashingUpstream{}
		ids = append(ids, fmt.Sprint("bench-", i))
		instance := daemontest.Start(t, store, daemontest.Options{ID: ids[i], Service: "bench", Upstream: u})
		u.server.Store(instance.Upstream)
		instances = append(instances, instance)
		upstreams = append(upstreams, u)
	}
	for _, instance := range instances {
		instance.AwaitPeers(1, ids...)
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	var succeeded, refused atomic.Int64
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
					succeeded.Add(1)
				}
				if r.Status == http.StatusUnprocessableEntity {
					refused.Add(1)
				}
			}
		})
	}
	var last daemontest.Response
	for i := range 10 { // the caller resends it through both entry daemons
		last = instances[i%2].Call("GET", "bench", "/poison", "")
		is.NoErr(last.Err)
		is.True(last.Outcome != call.Ran)
	}
	close(stop)
	group.Wait()
	crashed := 0
	for _, u := range upstreams {
		if u.crashed.Load() {
			crashed++
		}
	}
	is.True(crashed >= 1)
	is.True(crashed <= 2)
	is.Equal(last.Status, http.StatusUnprocessableEntity)
	is.Equal(last.Outcome, call.NotRun)
	is.Equal(refused.Load(), int64(0)) // no other request is quarantined
	is.True(succeeded.Load() > 0)
}

// TestCrashingKeyIsNeverCalledNotRun checks that a request with an idempotency key that
// ran is never reported as not-run, even when the entry daemon refuses it because its
// fingerprint is quarantined.
func TestCrashingKeyIsNeverCalledNotRun(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	store := memstore.New()
	daemontest.Apply(t, store, onceDocument)
	entry := daemontest.Start(t, store, daemontest.Options{ID: "entry", Service: "front", Upstream: &countingUpstream{}})
	var ids []string
	owned := func() int { return 0 }
	for i := range 3 {
		u := &crashingUpstream{}
		ids = append(ids, fmt.Sprint("registry-", i))
		instance := daemontest.Start(t, store, daemontest.Options{ID: ids[i], Service: "registry", Upstream: u})
		u.server.Store(instance.Upstream)
		before := owned
		owned = func() int { return before() + instance.Daemon.Claims().Shards }
	}
	entry.AwaitPeers(1, ids...)
	for end := time.Now().Add(ownersTimeout); owned() < once.Shards && time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
	}
	post := func(key string) daemontest.Response {
		return entry.Call("POST", "registry", "/poison", "bib 17", call.HeaderKey, key)
	}
	first := newKey()
	is.Equal(post(first).Outcome, call.Unknown)
	quarantined := false
	for range 20 { // new keys with the same body, until the request is quarantined
		quarantined = post(newKey()).Status == http.StatusUnprocessableEntity
		if quarantined {
			break
		}
	}
	is.True(quarantined)
	is.Equal(post(first).Outcome, call.Unknown)
}

// TestNewProcessKnowsQuarantines guards against a daemon that starts after a crash and
// gives a quarantined request to its upstream, since only those that ran then know of it.
func TestNewProcessKnowsQuarantines(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	store := memstore.New()
	var runs atomic.Int64
	upstream := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) })
	older := daemontest.Start(t, store, daemontest.Options{ID: "bench-1", Service: "bench", Upstream: upstream})
	sender := link.NewPool(link.Identity{Instance: "sender"}, link.DefaultTiming(), event.Discard())
	defer sender.Close()
	send := func(to *daemontest.Instance, r call.Request) *call.Answer {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		r.Service, r.Idempotent, r.Deadline, r.ID = "bench", true, time.Now().Add(20*time.Second), r.Run
		answer, err := sender.Do(ctx, to.Config.PeerListen, link.ClassUrgent, &r)
		is.NoErr(err)
		is.NoErr(answer.Body.Close())
		return answer
	}
	poison := coresuspect.Suspicion{
		Fingerprint: coresuspect.FingerprintOf("bench", http.MethodGet, "/poison", "", nil),
		Crashes:     2, Quarantined: true, Until: time.Now().Add(time.Hour),
	}
	news, err := json.Marshal([]coresuspect.Suspicion{poison})
	is.NoErr(err)
	send(older, call.Request{Run: "news", Method: http.MethodPost, RequestURI: "/", Path: "/", Header: http.Header{suspect.HeaderSuspect: {"told"}}, Body: news})
	newer := daemontest.Start(t, store, daemontest.Options{ID: "bench-2", Service: "bench", Upstream: upstream})
	newer.AwaitPeers(0, "bench-1")
	var answer *call.Answer
	for attempt := 0; answer == nil || answer.Refusal != call.RefusedQuarantined; attempt++ {
		is.True(attempt < 1000) // the quarantine must arrive
		if attempt > 0 {
			time.Sleep(10 * time.Millisecond)
		}
		answer = send(newer, call.Request{Run: fmt.Sprint("poison-", attempt), Method: http.MethodGet, RequestURI: "/poison", Path: "/poison", Header: http.Header{}})
	}
	is.Equal(answer.Outcome, call.NotRun)
	is.Equal(send(newer, call.Request{Run: "other", Method: http.MethodGet, RequestURI: "/glide", Path: "/glide", Header: http.Header{}}).Outcome, call.Ran)
}

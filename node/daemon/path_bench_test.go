package daemon

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"fuchsiavane.org/node/config"
	"fuchsiavane.org/node/event"
	"fuchsiavane.org/node/freeport"
	"fuchsiavane.org/node/kv"
	"fuchsiavane.org/node/kv/memstore"
)

// BenchmarkPath makes calls through two daemons in one process, for profiling the
// request path. lab/bench compares it with direct calls.
func BenchmarkPath(b *testing.B) {
	payload := bytes.Repeat([]byte("x"), 1024)
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write(payload)
	}))
	defer upstream.Close()
	store := memstore.New()
	entry := startDaemon(b, store, "entry", upstream.URL)
	startDaemon(b, store, "bench", upstream.URL)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	call := func() int {
		request, _ := http.NewRequest(http.MethodPut, "http://"+entry.config.CallerListen+"/", bytes.NewReader(make([]byte, 512)))
		request.Host = "bench"
		response, err := client.Do(request)
		if err != nil {
			return 0
		}
		defer response.Body.Close()
		_, _ = io.Copy(io.Discard, response.Body)
		return response.StatusCode
	}
	for call() != http.StatusOK {
		time.Sleep(10 * time.Millisecond)
	}
	b.ReportAllocs()
	b.SetParallelism(2)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if call() != http.StatusOK {
				b.Error("call failed")
			}
		}
	})
}

// startDaemon runs a daemon on free loopback ports until the test ends.
func startDaemon(t testing.TB, store kv.Store, service, upstream string) *Daemon {
	t.Helper()
	c := config.Config{
		InstanceID: service + "-0", Service: service, Region: "south", DataCentre: "south-1",
		CallerListen: freeAddr(t), LocalListen: freeAddr(t), PeerListen: freeAddr(t), AdminListen: freeAddr(t),
		Upstream: upstream, Platform: "http://in-process", LogLevel: "error",
	}
	d, err := New(c, store, event.Discard())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = d.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return d
}

func freeAddr(t testing.TB) string {
	t.Helper()
	addrs, err := freeport.Addrs(1)
	if err != nil {
		t.Fatal(err)
	}
	return addrs[0]
}

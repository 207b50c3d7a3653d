package mesh

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// BenchmarkRoutedPath makes requests through two daemons in this process, for
// profiles of the routed path.
func BenchmarkRoutedPath(b *testing.B) {
	f := newFleet(b)
	entry, served := f.start("desk", "south-1"), f.start("registry", "south-1")
	served.upstream.Slots = 200
	f.configure(1, route("/x/", "safe", "registry", 0))
	entry.await("ready", "/x/1", status(http.StatusOK))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	url := "http://" + entry.settings.Callers.String() + "/x/1"
	var number atomic.Int64
	b.ReportAllocs()
	b.SetParallelism(2)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			request, err := http.NewRequest(http.MethodGet, url, strings.NewReader(""))
			if err != nil {
				b.Error(err)
				return
			}
			request.Host = "h.example"
			request.Header.Set("X-Request-Id", fmt.Sprintf("%016x", number.Add(1)))
			request.Header.Set("X-Request-Deadline-Ms", "5000")
			response, err := client.Do(request)
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if response.StatusCode != http.StatusOK {
				b.Errorf("status %d", response.StatusCode)
			}
		}
	})
}

package mesh

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPlannedStopCutsNothing drains the daemon of a healthy upstream under load. Every
// request that its port has accepted must get a complete response, and peers must use
// the upstream again after the daemon's restart.
func TestPlannedStopCutsNothing(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	desk, registry := f.start("desk", "south-1"), f.start("registry", "south-1")
	f.configure(1, route("/x/", "safe", "registry", 0), route("/y/", "safe", "desk", 0))
	desk.await("ready", "/x/1", status(200))
	registry.await("ready", "/y/1", status(200))
	registry.upstream.Handler = func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(100 * time.Millisecond)
		registry.upstream.WriteResponse(w, r)
	}
	stopped := make(chan struct{})
	cut := atomic.Int64{}
	succeeded := atomic.Int64{}
	for range 4 {
		go func() {
			for {
				select {
				case <-stopped:
					return
				default:
				}
				switch a := desk.call(http.MethodGet, "/x/1", ""); {
				case a.err != nil || a.status == 502 || a.status == 504:
					t.Logf("cut: %+v", a)
					cut.Add(1)
				case a.status == 200:
					succeeded.Add(1)
				default:
					time.Sleep(pollInterval) // refused as not run
				}
			}
		}()
	}
	for succeeded.Load() < 8 {
		time.Sleep(pollInterval)
	}
	registry.stop()
	<-registry.done
	close(stopped)
	is.Equal(cut.Load(), int64(0))
	registry.run()
	desk.await("again", "/x/1", status(200))
}

// TestUpstreamKeepsItsWorkWhileCallersAreTold checks that a draining daemon, which
// spends seconds notifying its callers, keeps serving peers until shortly before it
// refuses requests. Its upstream is healthy, so a restart should remove it for as short
// a time as possible: few upstreams may remain.
func TestUpstreamKeepsItsWorkWhileCallersAreTold(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	desk, registry := f.start("desk", "south-1"), f.start("registry", "south-1")
	registry.stop()
	<-registry.done
	registry.settings.NoticePeriod = 3 * time.Second
	registry.run()
	f.configure(1, route("/x/", "unsafe", "registry", 1))
	desk.await("ready", "/x/1", status(200))
	registry.stop()
	start := time.Now()
	for time.Since(start) < registry.settings.NoticePeriod-peerNoticePeriod-100*time.Millisecond {
		a := desk.call(http.MethodPost, "/x/1", "")
		if time.Since(start) < registry.settings.NoticePeriod-peerNoticePeriod { // otherwise the machine is too slow for this check
			is.Equal(a.status, 200)
		}
		time.Sleep(pollInterval)
	}
	ready, err := http.Get("http://" + registry.settings.ReadyListen.String() + "/api/readyz")
	if err == nil { // it may have stopped already on a slow machine
		is.Equal(ready.StatusCode, 503)
		is.NoErr(ready.Body.Close())
	}
}

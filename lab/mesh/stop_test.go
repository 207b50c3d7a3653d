package mesh

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPlannedStopCutsNothing stops the daemon beside a living upstream under
// load: every request that its port has taken is answered whole, and peers use
// the upstream again when the daemon is back.
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
	whole := atomic.Int64{}
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
					whole.Add(1)
				default:
					time.Sleep(interval) // refused as not run
				}
			}
		}()
	}
	for whole.Load() < 8 {
		time.Sleep(interval)
	}
	registry.stop()
	<-registry.done
	close(stopped)
	is.Equal(cut.Load(), int64(0))
	registry.run()
	desk.await("again", "/x/1", status(200))
}

// TestUpstreamKeepsItsWorkWhileCallersAreTold: a stopping daemon turns callers away for
// seconds. Its upstream is sound and serves peers until shortly before the daemon
// refuses: where few upstreams are left, a restart takes one away for less time.
func TestUpstreamKeepsItsWorkWhileCallersAreTold(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	desk, registry := f.start("desk", "south-1"), f.start("registry", "south-1")
	registry.stop()
	<-registry.done
	registry.settings.Notice = 3 * time.Second
	registry.run()
	f.configure(1, route("/x/", "unsafe", "registry", 1))
	desk.await("ready", "/x/1", status(200))
	registry.stop()
	began := time.Now()
	for time.Since(began) < registry.settings.Notice-peersNotice-100*time.Millisecond {
		a := desk.call(http.MethodPost, "/x/1", "")
		if time.Since(began) < registry.settings.Notice-peersNotice { // else the machine is too slow to tell
			is.Equal(a.status, 200)
		}
		time.Sleep(interval)
	}
	ready, err := http.Get("http://" + registry.settings.Ready.String() + "/api/readyz")
	if err == nil { // it may have stopped already on a slow machine
		is.Equal(ready.StatusCode, 503)
		is.NoErr(ready.Body.Close())
	}
}

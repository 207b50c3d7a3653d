package daemontest

import (
	"sync"
	"testing"
)

// fleets holds the instances of each running test.
var (
	fleetsMu sync.Mutex
	fleets   = map[testing.TB][]*Instance{}
)

// join adds an instance to its test's fleet, which is stopped as one when the
// test ends, since a planned stop takes a while.
func join(t testing.TB, i *Instance) {
	fleetsMu.Lock()
	defer fleetsMu.Unlock()
	if fleets[t] == nil {
		t.Cleanup(func() { stopFleet(t) })
	}
	fleets[t] = append(fleets[t], i)
}

func stopFleet(t testing.TB) {
	fleetsMu.Lock()
	fleet := fleets[t]
	delete(fleets, t)
	fleetsMu.Unlock()
	for _, i := range fleet {
		i.stop()
		i.Upstream.CloseClientConnections()
	}
	for _, i := range fleet {
		<-i.done
		i.Upstream.Close()
	}
}

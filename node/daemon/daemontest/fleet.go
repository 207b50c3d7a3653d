package daemontest

import (
	"sync"
	"testing"
)

// fleets holds the running instances of each test.
var (
	fleetsMu sync.Mutex
	fleets   = map[testing.TB][]*Instance{}
)

// addToFleet adds an instance to its test's fleet. The instances of a fleet are
// stopped in parallel when the test ends, since a drain takes seconds.
func addToFleet(t testing.TB, i *Instance) {
	fleetsMu.Lock()
	defer fleetsMu.Unlock()
	if fleets[t] == nil {
		t.Cleanup(func() { stopFleet(t) })
	}
	fleets[t] = append(fleets[t], i)
}

// stopFleet drains a test's instances in parallel and closes their upstreams.
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
		<-i.result
		i.Upstream.Close()
	}
}

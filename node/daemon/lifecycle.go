package daemon

import (
	"sync"

	"fuchsiavane.org/core/chart"
)

// Events of the state chart daemon-life.
const (
	eventPortsOpen chart.Event = "ports-open"
	eventLeave     chart.Event = "leave"
	eventFinished  chart.Event = "finished"
	eventFail      chart.Event = "fail"
)

var lifecycleChart = chart.Load("daemon-life")

// lifecycle is a daemon's current state in the state chart daemon-life. It is safe
// for concurrent use.
type lifecycle struct {
	mu    sync.Mutex
	state chart.State
}

func newLifecycle() *lifecycle { return &lifecycle{state: lifecycleChart.Initial} }

// fire applies an event and reports whether the current state accepts it.
func (l *lifecycle) fire(event chart.Event) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	to, ok := lifecycleChart.Next(l.state, event)
	l.state = to
	return ok
}

// String returns the name of the current state.
func (l *lifecycle) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return string(l.state)
}

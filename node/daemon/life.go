package daemon

import (
	"sync"

	"fuchsiavane.org/core/chart"
)

// Events of the chart daemon-life.
const (
	eventPortsOpen chart.Event = "ports-open"
	eventLeave     chart.Event = "leave"
	eventFinished  chart.Event = "finished"
	eventFail      chart.Event = "fail"
)

var lifeChart = chart.Load("daemon-life")

// life is where a daemon stands in the chart daemon-life. It is safe for
// concurrent use.
type life struct {
	mu    sync.Mutex
	state chart.State
}

func newLife() *life { return &life{state: lifeChart.Initial} }

// fire moves by an event and reports whether the state takes it.
func (l *life) fire(event chart.Event) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	to, ok := lifeChart.Next(l.state, event)
	l.state = to
	return ok
}

// String returns the name of the state.
func (l *life) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return string(l.state)
}

// Package experiment measures overload control under load. It runs the decisions
// of core/admission, core/limit and core/level with simulated callers, network and
// upstreams, in virtual time and from a seed, and compares them with no control
// and with a static limit. Links, membership and settings are not simulated.
package experiment

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// epoch is the virtual time at which every run starts.
var epoch = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// eventLoop runs scheduled functions in virtual time. Events of the same time run
// in the order in which they were scheduled.
type eventLoop struct {
	now       time.Time
	random    *rand.Rand
	events    eventHeap
	lastOrder uint64
}

// event is a function that runs at a virtual time; order breaks ties.
type event struct {
	at    time.Duration // since epoch
	order uint64
	do    func()
}

func newEventLoop(seed uint64) *eventLoop {
	return &eventLoop{now: epoch, random: rand.New(rand.NewPCG(seed, 0))}
}

// after schedules do to run after d.
func (l *eventLoop) after(d time.Duration, do func()) {
	l.lastOrder++
	heap.Push(&l.events, event{l.elapsed() + d, l.lastOrder, do})
}

// runUntil runs the events up to a virtual time and sets the clock to it.
func (l *eventLoop) runUntil(until time.Time) {
	for len(l.events) > 0 && l.events[0].at <= until.Sub(epoch) {
		e := heap.Pop(&l.events).(event)
		l.now = epoch.Add(e.at)
		e.do()
	}
	l.now = until
}

// elapsed returns the virtual time since epoch.
func (l *eventLoop) elapsed() time.Duration { return l.now.Sub(epoch) }

// eventHeap is a heap of events, the earliest first.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at == h[j].at {
		return h[i].order < h[j].order
	}
	return h[i].at < h[j].at
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}

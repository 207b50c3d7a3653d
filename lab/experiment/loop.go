// Package experiment measures the policy under load: it runs the real decisions
// of core/admission, core/limit and core/level between small stand-ins for
// callers, network and upstreams, in virtual time and from a seed, side by side
// with no control and with a static limit. It is no simulator of the cluster:
// links, membership and settings are left out.
package experiment

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// epoch is the time at which every run starts.
var epoch = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// loop is a discrete-event loop in virtual time.
type loop struct {
	now    time.Time
	random *rand.Rand
	events eventHeap
	last   uint64
}

type event struct {
	at    time.Duration // since epoch
	order uint64
	do    func()
}

func newLoop(seed uint64) *loop {
	return &loop{now: epoch, random: rand.New(rand.NewPCG(seed, 0))}
}

// after schedules a function.
func (l *loop) after(d time.Duration, do func()) {
	l.last++
	heap.Push(&l.events, event{l.since() + d, l.last, do})
}

// run runs events until the given time.
func (l *loop) run(until time.Time) {
	for len(l.events) > 0 && l.events[0].at <= until.Sub(epoch) {
		e := heap.Pop(&l.events).(event)
		l.now = epoch.Add(e.at)
		e.do()
	}
	l.now = until
}

// since returns the time since the start.
func (l *loop) since() time.Duration { return l.now.Sub(epoch) }

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

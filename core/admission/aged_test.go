package admission

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"fuchsiavane.org/core/level"
)

// callTree simulates root requests that each make several nested calls, one after the
// other, to an upstream that announces its slots. Root requests are refused on entry
// by the admission level as it was levelDelay earlier.
type callTree struct {
	now        time.Time
	random     *rand.Rand
	controller *Controller
	events     eventQueue
	waiting    map[Ticket]*treeRoot
	levels     [][]level.Level // one entry per level.Interval
	// offered, completed and failed count root requests by rank.
	offered, completed, failed []int
	maxWait                    time.Duration
}

type treeRoot struct {
	id             string
	rank           int
	remainingCalls int
	deadline       time.Time
	callStarted    time.Time
}

type event struct {
	at time.Time
	do func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

const (
	treeSlots   = 16
	meanRunTime = 50 * time.Millisecond
	// levelDelay is the time until a new admission level applies to entering root
	// requests.
	levelDelay  = 300 * time.Millisecond
	treeTimeout = 1500 * time.Millisecond
	callTimeout = 700 * time.Millisecond
)

func newCallTree(ranks int) *callTree {
	c := Config{Announced: true, Slots: treeSlots, QueueTimeout: 400 * time.Millisecond}
	for range ranks {
		c.Ranks = append(c.Ranks, Rank{})
	}
	now := time.Unix(0, 0)
	return &callTree{
		now: now, random: rand.New(rand.NewPCG(1, 1)), controller: New(now, c), waiting: map[Ticket]*treeRoot{},
		offered: make([]int, ranks), completed: make([]int, ranks), failed: make([]int, ranks),
	}
}

func (t *callTree) after(d time.Duration, do func()) { heap.Push(&t.events, event{t.now.Add(d), do}) }

// arrive starts random arrivals of root requests of a rank at a rate, each with a
// number of calls.
func (t *callTree) arrive(rank int, perSecond float64, calls int) {
	t.after(time.Duration(t.random.ExpFloat64()/perSecond*float64(time.Second)), func() {
		r := &treeRoot{fmt.Sprint(rank, t.random.Uint64()), rank, calls, t.now.Add(treeTimeout), time.Time{}}
		t.offered[rank]++
		if applied := len(t.levels) - int(levelDelay/level.Interval); applied < 0 || !level.Refuses(t.levels[applied][rank], r.id) {
			t.call(r)
		}
		t.arrive(rank, perSecond, calls)
	})
}

// call makes the next call of a root request.
func (t *callTree) call(r *treeRoot) {
	if r.remainingCalls == 0 {
		t.completed[r.rank]++
		return
	}
	r.remainingCalls--
	r.callStarted = t.now
	deadline := t.now.Add(callTimeout)
	if r.deadline.Before(deadline) {
		deadline = r.deadline
	}
	d := t.controller.Offer(t.now, Request{ID: r.id, Rank: r.rank, Deadline: deadline, Timestamp: r.deadline.Add(-treeTimeout), Nested: true})
	t.applyGrants(d.Grants)
	switch d.Verdict {
	case Admitted:
		t.run(d.Ticket, r)
	case Queued:
		t.waiting[d.Ticket] = r
	case Refused:
		t.failed[r.rank]++
	}
}

func (t *callTree) applyGrants(grants []Grant) {
	for _, g := range grants {
		r := t.waiting[g.Ticket]
		delete(t.waiting, g.Ticket)
		if g.Reason != ReasonNone {
			t.failed[r.rank]++
			continue
		}
		t.run(g.Ticket, r)
	}
}

func (t *callTree) run(ticket Ticket, r *treeRoot) {
	t.maxWait = max(t.maxWait, t.now.Sub(r.callStarted))
	runTime := time.Duration((0.5 + t.random.Float64()) * float64(meanRunTime))
	t.after(runTime, func() {
		t.applyGrants(t.controller.Finish(t.now, ticket, Sample{Latency: runTime}))
		t.call(r)
	})
}

// simulate runs the events of a time span and records the levels once per
// level.Interval.
func (t *callTree) simulate(length time.Duration) {
	var tick func()
	tick = func() {
		t.applyGrants(t.controller.Expire(t.now))
		levels := make([]level.Level, len(t.offered))
		for i := range levels {
			levels[i] = t.controller.Level(i)
		}
		t.levels = append(t.levels, levels)
		t.after(level.Interval, tick)
	}
	if len(t.levels) == 0 {
		tick()
	}
	for end := t.now.Add(length); len(t.events) > 0 && t.events[0].at.Before(end); {
		e := heap.Pop(&t.events).(event)
		t.now = e.at
		e.do()
	}
}

// capacity is the number of calls that the upstream completes per second.
const capacity = treeSlots * float64(time.Second) / float64(meanRunTime)

// TestCallTreesSurviveOverload checks that at up to four times the capacity the
// admitted root requests, of eight calls each, complete and the slots stay in use.
func TestCallTreesSurviveOverload(t *testing.T) {
	const calls = 8
	for _, load := range []float64{0.8, 1.2, 2, 4} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			tree := newCallTree(1)
			tree.arrive(0, load*capacity/calls, calls)
			tree.simulate(10 * time.Second) // until the level converges
			completedBefore, failedBefore := tree.completed[0], tree.failed[0]
			tree.simulate(20 * time.Second)
			completed, failed := float64(tree.completed[0]-completedBefore), float64(tree.failed[0]-failedBefore)
			t.Logf("completed %.0f, failed %.0f, of a capacity of %.0f", completed, failed, 20*capacity/calls)
			is := is.New(t)
			is.True(completed >= 0.85*20*min(load, 1)*capacity/calls)
			is.True(failed <= 0.1*completed)
		})
	}
}

// TestUrgentRootsGoFirst checks, at twice the capacity, that no rank completes a
// smaller fraction of its root requests than a less urgent one, and that the least
// urgent rank is not starved.
func TestUrgentRootsGoFirst(t *testing.T) {
	is := is.New(t)
	tree := newCallTree(3)
	tree.arrive(0, 0.2*capacity, 1)
	tree.arrive(1, 1.4*capacity/8, 8)
	tree.arrive(2, 0.4*capacity/4, 4)
	tree.simulate(30 * time.Second)
	ratio := make([]float64, 3)
	for i := range ratio {
		ratio[i] = float64(tree.completed[i]) / float64(tree.offered[i])
	}
	t.Log(ratio, tree.maxWait)
	is.True(ratio[0] >= 0.97)
	is.True(ratio[1] >= ratio[2])
	is.True(ratio[2] >= 0.15)
}

// TestRefusalsEndWithTheOverload checks that nothing is refused any more three seconds
// after the load falls below the capacity.
func TestRefusalsEndWithTheOverload(t *testing.T) {
	is := is.New(t)
	tree := newCallTree(1)
	rate := 3 * capacity / 8
	stop := tree.now.Add(10 * time.Second)
	var arrive func()
	arrive = func() {
		if tree.now.After(stop) {
			rate = 0.6 * capacity / 8
		}
		tree.offered[0]++
		r := &treeRoot{fmt.Sprint(tree.random.Uint64()), 0, 8, tree.now.Add(treeTimeout), time.Time{}}
		if !level.Refuses(tree.controller.Level(0), r.id) {
			tree.call(r)
		}
		tree.after(time.Duration(tree.random.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	arrive()
	tree.simulate(10 * time.Second)
	is.True(tree.controller.Level(0) > 0)
	tree.simulate(3 * time.Second)
	is.Equal(tree.controller.Level(0), level.Level(0))
}

// arriveWithStep starts random arrivals of root requests of a rank, at a rate that
// changes from before to after at a given time. They are refused on entry by the
// admission level as it was levelDelay earlier.
func (t *callTree) arriveWithStep(rank, calls int, before, after float64, at time.Time) {
	var arrive func()
	arrive = func() {
		t.offered[rank]++
		r := &treeRoot{fmt.Sprint(rank, t.random.Uint64()), rank, calls, t.now.Add(treeTimeout), time.Time{}}
		if applied := len(t.levels) - int(levelDelay/level.Interval); applied < 0 || !level.Refuses(t.levels[applied][rank], r.id) {
			t.call(r)
		}
		rate := before
		if !t.now.Before(at) {
			rate = after
		}
		t.after(time.Duration(t.random.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	arrive()
}

// TestOnsetOfOverload checks a sudden overload, as when upstreams are removed or
// callers arrive together: most of the capacity goes to root requests that complete
// from the first second on, although the levels need seconds to settle.
func TestOnsetOfOverload(t *testing.T) {
	const calls = 10
	for _, load := range []float64{1.3, 1.8, 2.5, 4} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			tree := newCallTree(1)
			onset := tree.now.Add(5 * time.Second)
			tree.arriveWithStep(0, calls, 0.65*capacity/calls, load*capacity/calls, onset)
			tree.simulate(5 * time.Second)
			before := tree.completed[0]
			tree.simulate(4 * time.Second)
			completed := float64(tree.completed[0] - before)
			t.Logf("completed %.0f of a capacity of %.0f", completed, 4*capacity/calls)
			is.New(t).True(completed >= 0.85*4*capacity/calls)
		})
	}
}

// TestUrgentWorkAtTheOnset checks that at the onset of an overload urgent requests of
// one call get slots before the calls of slightly older root requests, and that the
// less urgent ranks still complete some root requests.
func TestUrgentWorkAtTheOnset(t *testing.T) {
	is := is.New(t)
	tree := newCallTree(3)
	onset := tree.now.Add(5 * time.Second)
	for rank, calls := range []int{1, 5, 10} {
		demand := []float64{0.08, 0.6, 0.32}[rank] * capacity / float64(calls)
		tree.arriveWithStep(rank, calls, 0.65*demand, 2.5*demand, onset)
	}
	tree.simulate(5 * time.Second)
	offered, completed := tree.offered[0], slices.Clone(tree.completed)
	tree.simulate(4 * time.Second)
	is.True(float64(tree.completed[0]-completed[0]) >= 0.85*float64(tree.offered[0]-offered))
	is.True(tree.completed[1] > completed[1])
	is.True(tree.completed[2] > completed[2])
}

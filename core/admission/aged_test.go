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

// callTree plays roots that each make several calls, one after the other, at an
// upstream that announces its slots. Roots are refused where they enter, by the
// level that was told some time ago.
type callTree struct {
	now        time.Time
	random     *rand.Rand
	controller *Controller
	events     eventQueue
	waiting    map[Ticket]*treeRoot
	levels     [][]level.Level // by step, for the delay
	// By rank.
	asked, whole, lost []int
	maxWait            time.Duration
}

type treeRoot struct {
	id       string
	rank     int
	left     int // calls still to make
	deadline time.Time
	asked    time.Time
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
	treeSlots = 16
	treeRun   = 50 * time.Millisecond
	// treeDelay is the time from a level to its effect where roots enter.
	treeDelay   = 300 * time.Millisecond
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
		asked: make([]int, ranks), whole: make([]int, ranks), lost: make([]int, ranks),
	}
}

func (t *callTree) after(d time.Duration, do func()) { heap.Push(&t.events, event{t.now.Add(d), do}) }

// arrive lets roots of a rank come at a rate, each with a number of calls.
func (t *callTree) arrive(rank int, perSecond float64, calls int) {
	t.after(time.Duration(t.random.ExpFloat64()/perSecond*float64(time.Second)), func() {
		r := &treeRoot{fmt.Sprint(rank, t.random.Uint64()), rank, calls, t.now.Add(treeTimeout), time.Time{}}
		t.asked[rank]++
		if told := len(t.levels) - int(treeDelay/level.Interval); told < 0 || !level.Refuses(t.levels[told][rank], r.id) {
			t.call(r)
		}
		t.arrive(rank, perSecond, calls)
	})
}

// call makes the next call of a root.
func (t *callTree) call(r *treeRoot) {
	if r.left == 0 {
		t.whole[r.rank]++
		return
	}
	r.left--
	r.asked = t.now
	deadline := t.now.Add(callTimeout)
	if r.deadline.Before(deadline) {
		deadline = r.deadline
	}
	d := t.controller.Offer(t.now, Request{ID: r.id, Rank: r.rank, Deadline: deadline, Timestamp: r.deadline.Add(-treeTimeout), Nested: true})
	t.settle(d.Grants)
	switch d.Verdict {
	case Admitted:
		t.run(d.Ticket, r)
	case Queued:
		t.waiting[d.Ticket] = r
	case Refused:
		t.lost[r.rank]++
	}
}

func (t *callTree) settle(grants []Grant) {
	for _, g := range grants {
		r := t.waiting[g.Ticket]
		delete(t.waiting, g.Ticket)
		if g.Reason != ReasonNone {
			t.lost[r.rank]++
			continue
		}
		t.run(g.Ticket, r)
	}
}

func (t *callTree) run(ticket Ticket, r *treeRoot) {
	t.maxWait = max(t.maxWait, t.now.Sub(r.asked))
	took := time.Duration((0.5 + t.random.Float64()) * float64(treeRun))
	t.after(took, func() {
		t.settle(t.controller.Finish(t.now, ticket, Sample{Latency: took}))
		t.call(r)
	})
}

// play runs for a time. The levels are noted once every interval.
func (t *callTree) play(length time.Duration) {
	var tick func()
	tick = func() {
		t.settle(t.controller.Expire(t.now))
		told := make([]level.Level, len(t.asked))
		for i := range told {
			told[i] = t.controller.Level(i)
		}
		t.levels = append(t.levels, told)
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

// capacity is the calls that the upstream runs in a second.
const capacity = treeSlots * float64(time.Second) / float64(treeRun)

// TestCallTreesSurviveOverload plays roots of eight calls at twice the capacity:
// those that are let in end whole, and the slots stay in use.
func TestCallTreesSurviveOverload(t *testing.T) {
	const calls = 8
	for _, load := range []float64{0.8, 1.2, 2, 4} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			tree := newCallTree(1)
			tree.arrive(0, load*capacity/calls, calls)
			tree.play(10 * time.Second) // the level finds its place
			wholeBefore, lostBefore := tree.whole[0], tree.lost[0]
			tree.play(20 * time.Second)
			whole, lost := float64(tree.whole[0]-wholeBefore), float64(tree.lost[0]-lostBefore)
			t.Logf("whole %.0f, lost %.0f, of a capacity of %.0f", whole, lost, 20*capacity/calls)
			is := is.New(t)
			is.True(whole >= 0.85*20*min(load, 1)*capacity/calls)
			is.True(lost <= 0.1*whole)
		})
	}
}

// TestUrgentRootsGoFirst plays three ranks at twice the capacity: none is served
// less often than a less urgent one, and the least urgent is not starved.
func TestUrgentRootsGoFirst(t *testing.T) {
	is := is.New(t)
	tree := newCallTree(3)
	tree.arrive(0, 0.2*capacity, 1)
	tree.arrive(1, 1.4*capacity/8, 8)
	tree.arrive(2, 0.4*capacity/4, 4)
	tree.play(30 * time.Second)
	part := make([]float64, 3)
	for i := range part {
		part[i] = float64(tree.whole[i]) / float64(tree.asked[i])
	}
	t.Log(part, tree.maxWait)
	is.True(part[0] >= 0.97)
	is.True(part[1] >= part[2])
	is.True(part[2] >= 0.15)
}

// TestRefusalsEndWithTheOverload: a second after the load falls below what the
// slots take, nothing is refused.
func TestRefusalsEndWithTheOverload(t *testing.T) {
	is := is.New(t)
	tree := newCallTree(1)
	rate := 3 * capacity / 8
	stop := tree.now.Add(10 * time.Second)
	var come func()
	come = func() {
		if tree.now.After(stop) {
			rate = 0.6 * capacity / 8
		}
		tree.asked[0]++
		r := &treeRoot{fmt.Sprint(tree.random.Uint64()), 0, 8, tree.now.Add(treeTimeout), time.Time{}}
		if !level.Refuses(tree.controller.Level(0), r.id) {
			tree.call(r)
		}
		tree.after(time.Duration(tree.random.ExpFloat64()/rate*float64(time.Second)), come)
	}
	come()
	tree.play(10 * time.Second)
	is.True(tree.controller.Level(0) > 0)
	tree.play(3 * time.Second)
	is.Equal(tree.controller.Level(0), level.Level(0))
}

// burst lets roots of each rank come at a rate that changes at some time, refused
// where they enter by the level that was told some time ago.
func (t *callTree) burst(rank, calls int, before, after float64, at time.Time) {
	var come func()
	come = func() {
		t.asked[rank]++
		r := &treeRoot{fmt.Sprint(rank, t.random.Uint64()), rank, calls, t.now.Add(treeTimeout), time.Time{}}
		if told := len(t.levels) - int(treeDelay/level.Interval); told < 0 || !level.Refuses(t.levels[told][rank], r.id) {
			t.call(r)
		}
		rate := before
		if !t.now.Before(at) {
			rate = after
		}
		t.after(time.Duration(t.random.ExpFloat64()/rate*float64(time.Second)), come)
	}
	come()
}

// TestOnsetOfOverload plays a calm time and then a sudden overload, as when upstreams
// are taken away or callers come together: from its first second on most of what the
// slots take ends in whole roots, although the levels need seconds to find their place.
func TestOnsetOfOverload(t *testing.T) {
	const calls = 10
	for _, load := range []float64{1.3, 1.8, 2.5, 4} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			tree := newCallTree(1)
			onset := tree.now.Add(5 * time.Second)
			tree.burst(0, calls, 0.65*capacity/calls, load*capacity/calls, onset)
			tree.play(5 * time.Second)
			before := tree.whole[0]
			tree.play(4 * time.Second)
			whole := float64(tree.whole[0] - before)
			t.Logf("whole %.0f of a capacity of %.0f", whole, 4*capacity/calls)
			is.New(t).True(whole >= 0.85*4*capacity/calls)
		})
	}
}

// TestUrgentWorkAtTheOnset: urgent requests of one call go before the calls of roots
// that are not much older, and the less urgent ranks still end some roots whole.
func TestUrgentWorkAtTheOnset(t *testing.T) {
	is := is.New(t)
	tree := newCallTree(3)
	onset := tree.now.Add(5 * time.Second)
	for rank, calls := range []int{1, 5, 10} {
		demand := []float64{0.08, 0.6, 0.32}[rank] * capacity / float64(calls)
		tree.burst(rank, calls, 0.65*demand, 2.5*demand, onset)
	}
	tree.play(5 * time.Second)
	asked, whole := tree.asked[0], slices.Clone(tree.whole)
	tree.play(4 * time.Second)
	is.True(float64(tree.whole[0]-whole[0]) >= 0.85*float64(tree.asked[0]-asked))
	is.True(tree.whole[1] > whole[1])
	is.True(tree.whole[2] > whole[2])
}

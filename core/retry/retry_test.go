package retry

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// tree runs the call tree of one request, in which answers are lost at random.
type tree struct {
	t       *rapid.T
	runs    map[string]int
	retries int
}

const (
	treeDepth  = 12
	treeFanOut = 3
)

// run is one run of a service in the tree, which calls its children.
func (tr *tree) run(path string, depth int, b *Budget) {
	tr.runs[path]++
	if depth == treeDepth {
		return
	}
	deepChild := rapid.IntRange(0, treeFanOut-1).Draw(tr.t, "deep")
	for child := range treeFanOut {
		childDepth := treeDepth // other children are leaves, or the tree would have 3^12 nodes
		if child == deepChild {
			childDepth = depth + 1
		}
		tr.call(fmt.Sprint(path, "/", depth, ".", child), childDepth, b)
	}
}

// call sends to a child until an attempt succeeds or the budget is empty.
func (tr *tree) call(path string, depth int, b *Budget) {
	for {
		lent := b.Lend()
		child := NewBudget(lent)
		event := rapid.IntRange(0, 3).Draw(tr.t, "event")
		switch event {
		case 0: // the answer arrives
			tr.run(path, depth, child)
			b.Return(lent, child.TakeAll())
			return
		case 1: // the run fails and is answered
			tr.run(path, depth, child)
			b.Return(lent, child.TakeAll())
		case 2: // the answer is lost, or the caller abandons the request
			tr.run(path, depth, child)
		case 3: // refused before it ran
			b.Return(lent, lent)
		}
		if !b.Take() {
			return
		}
		tr.retries++
	}
}

func TestRetriesOfATreeAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		attempts := rapid.IntRange(1, 6).Draw(t, "attempts")
		tr := &tree{t: t, runs: map[string]int{}}
		tr.call("root", 0, NewBudget(attempts-1))
		if tr.retries > attempts-1 {
			t.Fatalf("%d retries with attempts %d", tr.retries, attempts)
		}
		for path, n := range tr.runs {
			if n > attempts {
				t.Fatalf("%s ran %d times with attempts %d", path, n, attempts)
			}
		}
	})
}

func TestReturnNeverExceedsTheLoan(t *testing.T) {
	is := is.New(t)
	b := NewBudget(4)
	lent := b.Lend()
	is.Equal(lent, 2)
	b.Return(lent, 100)
	is.Equal(b.Remaining(), 4)
	b.Return(0, 3)
	b.Return(2, -5)
	is.Equal(b.TakeAll(), 4)
	is.True(!b.Take())
	is.Equal(NewBudget(-1).Remaining(), 0)
}

func TestRatioBoundsTheSumOfRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ratio := rapid.SampledFrom([]float64{0, 0.1, 0.5, 1}).Draw(t, "ratio")
		r := NewRatios()
		first, taken := 0, 0
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "first") {
				first++
				r.CountFirstSend("registry", ratio)
			} else if r.Take("registry", ratio) {
				taken++
			}
		}
		if bound := ratioBurst + ratio*float64(first); float64(taken) > bound {
			t.Fatalf("%d retries of %d first sends", taken, first)
		}
		if ratio == 0 && taken > 0 {
			t.Fatalf("%d retries with ratio 0", taken)
		}
	})
}

func TestResendsAreBoundedAndFirstSendsAreNot(t *testing.T) {
	is := is.New(t)
	r := NewResends()
	const first = 100
	allowed := 0
	for i := range first {
		key := fmt.Sprint("key", i)
		is.True(r.Admit("coach", "bench", key, 0.1))
		for range 5 {
			if r.Admit("coach", "bench", key, 0.1) {
				allowed++
			}
		}
	}
	is.True(allowed <= ratioBurst+first/10)
	is.True(allowed >= ratioBurst)
	is.True(!r.Admit("coach", "bench", "key0", 0.1))
	is.True(r.Admit("official", "bench", "key0", 0.1)) // the first send of another caller
	for i := range 3 * generationKeys {
		r.Admit("retailer", "bench", fmt.Sprint(i), 0)
	}
	is.True(len(r.recent)+len(r.older) <= 2*generationKeys)
}

func TestBackoffGrowsToItsBound(t *testing.T) {
	is := is.New(t)
	is.Equal(Backoff(0, 0), 5*time.Millisecond)
	is.Equal(Backoff(1, 0.5), 7500*time.Microsecond)
	is.Equal(Backoff(3, 0), 20*time.Millisecond)
	is.True(Backoff(100, 0.999) < maxBackoff)
	is.True(Backoff(100, 0) >= maxBackoff/2)
}

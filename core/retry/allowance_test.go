package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// start is when the daemons of these tests start.
var start = time.Unix(1_700_000_000, 0)

func take(a *Allowances, now time.Time, service string, nested bool, t Limits) bool {
	_, ok := a.Take(now, service, nested, t)
	return ok
}

// TestAllowancesKeepTheTermsOfTheFleet: the retries of all daemons together in any
// window stay within the burst and the ratio times the first sends of some window, a
// part longer, that ends in it.
func TestAllowancesKeepTheTermsOfTheFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		terms := Limits{
			Ratio: rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "ratio"),
			Burst: rapid.IntRange(0, 20).Draw(t, "burst"), Window: 10 * time.Second,
		}
		fleet := make([]*Allowances, rapid.IntRange(1, 6).Draw(t, "daemons"))
		for i := range fleet {
			fleet[i] = NewAllowances(start)
			fleet[i].SetDaemons(len(fleet))
		}
		now := start
		var first, again []time.Time
		for range rapid.IntRange(1, 600).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			a := fleet[rapid.IntRange(0, len(fleet)-1).Draw(t, "daemon")]
			switch {
			case rapid.Bool().Draw(t, "first"):
				a.CountFirstSend(now, "registry", terms)
				first = append(first, now)
			case take(a, now, "registry", rapid.Bool().Draw(t, "nested"), terms):
				again = append(again, now)
			}
			most := 0
			recent := between(again, now.Add(-terms.Window), now)
			for _, at := range recent {
				most = max(most, len(between(first, at.Add(-terms.Window-terms.Window/windowParts), at)))
			}
			if bound := terms.Ratio*float64(most) + float64(terms.Burst); float64(len(recent)) > bound {
				t.Fatalf("%d retries, bound %v", len(recent), bound)
			}
		}
	})
}

func between(times []time.Time, from, to time.Time) []time.Time {
	var found []time.Time
	for _, at := range times {
		if !at.Before(from) && !at.After(to) {
			found = append(found, at)
		}
	}
	return found
}

// TestAllowanceOfCalmTimesServesTheTrouble plays upstreams that begin to turn half of
// their requests away after a calm window: a hundred requests in turn that fail get the
// retry that most of them need, in place of one in twenty as they arrive.
func TestAllowanceOfCalmTimesServesTheTrouble(t *testing.T) {
	is := is.New(t)
	terms := Limits{Ratio: 0.1, Window: 10 * time.Second}
	a := NewAllowances(start)
	now := start
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		a.CountFirstSend(now, "registry", terms)
	}
	served := 0
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		a.CountFirstSend(now, "registry", terms)
		if take(a, now, "registry", false, terms) {
			served++
		}
	}
	is.True(served > 90)
}

// TestRootsAreNotStarvedByRuns: calls of runs leave a part of the allowance to roots.
func TestRootsAreNotStarvedByRuns(t *testing.T) {
	is := is.New(t)
	terms := Limits{Ratio: 0.1, Window: 10 * time.Second}
	a := NewAllowances(start)
	now := start
	for range 1000 {
		a.CountFirstSend(now, "registry", terms)
	}
	for take(a, now, "registry", true, terms) {
	}
	is.True(take(a, now, "registry", false, terms))
	is.True(!take(a, now, "registry", false, Limits{Window: terms.Window}))
}

// TestBurstIsSharedByTheFleet: what may come at once is shared by the daemons, however
// many there are.
func TestBurstIsSharedByTheFleet(t *testing.T) {
	is := is.New(t)
	terms := Limits{Ratio: 0.1, Burst: 115, Window: 10 * time.Second}
	taken := 0
	for range 84 {
		a := NewAllowances(start)
		a.SetDaemons(84)
		for take(a, start, "registry", false, terms) {
			taken++
		}
	}
	is.True(taken > 0)
	is.True(taken <= terms.Burst)
}

// TestFleetThatRestartsKeepsTheBurst: daemons that start together know nothing of each
// other for a moment; each has one retry of the burst until then.
func TestFleetThatRestartsKeepsTheBurst(t *testing.T) {
	is := is.New(t)
	terms := Limits{Ratio: 0.1, Burst: 115, Window: 10 * time.Second}
	taken := 0
	for range 84 {
		a := NewAllowances(start)
		for take(a, start, "registry", false, terms) {
			taken++
		}
	}
	is.Equal(taken, 84)
}

// TestWindowMayChange: a new window begins with nothing counted.
func TestWindowMayChange(t *testing.T) {
	is := is.New(t)
	a := NewAllowances(start)
	a.SetDaemons(1)
	terms := Limits{Ratio: 0.1, Burst: 1, Window: 10 * time.Second}
	now := start.Add(time.Minute)
	is.True(take(a, now, "registry", false, terms))
	is.True(!take(a, now, "registry", false, terms))
	terms.Window = time.Minute
	is.True(take(a, now, "registry", false, terms))
	is.True(!take(a, now.Add(59*time.Second), "registry", false, terms))
	is.True(take(a, now.Add(2*time.Minute), "registry", false, terms))
}

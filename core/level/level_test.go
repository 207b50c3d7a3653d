package level

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

func TestWorseLevelRefusesWhatABetterOneRefuses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := rapid.Uint32().Draw(t, "a"), rapid.Uint32().Draw(t, "b")
		id := rapid.String().Draw(t, "id")
		if Refuses(min(a, b), id) && !Refuses(max(a, b), id) {
			t.Fatal("a worse level lets through what a better one refuses")
		}
	})
}

func TestLevelPassesItsPart(t *testing.T) {
	is := is.New(t)
	const requests = 20000
	for _, pass := range []float64{0, 0.1, 0.5, 1} {
		passed := 0
		for i := range requests {
			if !Refuses(FromFraction(pass), fmt.Sprintf("00000000-0000-7000-8000-%012d", i)) {
				passed++
			}
		}
		is.True(math.Abs(float64(passed)/requests-pass) < 0.02)
	}
}

func TestMeterFollowsOverloadAndItsEnd(t *testing.T) {
	is := is.New(t)
	m := NewMeter(1)
	now := start
	step := func(offered, capacity int) {
		now = now.Add(Interval)
		passed := int(float64(offered) * AdmittedFraction(m.Level(0)))
		for range passed {
			m.CountAdmitted(0)
		}
		for range passed - capacity {
			m.CountShed(0)
		}
		m.Step(now, min(float64(passed)/float64(capacity), 1), func(int) float64 { return 0 })
	}
	for range 30 {
		step(1000, 100)
	}
	is.True(AdmittedFraction(m.Level(0)) >= 0.095)                 // the slots are in use
	is.True(AdmittedFraction(m.Level(0)) <= 0.1*(1+seeking)+0.001) // and not much more is let through
	for range 20 {
		step(90, 100)
	}
	is.Equal(m.Level(0), Level(0))
}

// A rank without a floor that lost all it let through, and then asks for little,
// is served again soon after slots are idle.
func TestMeterForgetsLossesOfARankThatAsksForLittle(t *testing.T) {
	is := is.New(t)
	m := NewMeter(1)
	now := start
	step := func(used float64) {
		now = now.Add(Interval)
		m.Step(now, used, func(int) float64 { return 0 })
	}
	for range 30 {
		for range 100 {
			m.CountAdmitted(0)
			m.CountShed(0)
		}
		step(1)
	}
	is.True(AdmittedFraction(m.Level(0)) < 0.01)
	for range 50 {
		step(0.5) // at 1 in 1024, no request happens to pass
	}
	is.Equal(m.Level(0), Level(0))
}

func TestViewFadesWithoutNews(t *testing.T) {
	is := is.New(t)
	v := NewView()
	key := Key{"registry", "GET /", "bulk"}
	v.Record(start, key, FromFraction(0))
	is.True(v.Level(start, key) > FromFraction(0.1))
	is.True(v.Level(start.Add(freshTime), key) > FromFraction(0.1))
	is.Equal(v.Level(start.Add(freshTime+11*doubling), key), Level(0))
	is.Equal(v.Level(start, Key{"registry", "POST /", "bulk"}), Level(0)) // other paths are apart
}

func TestViewIsBounded(t *testing.T) {
	is := is.New(t)
	v := NewView()
	for i := range 2 * maxEntries {
		v.Record(start, Key{fmt.Sprint(i), "", ""}, FromFraction(0.5))
	}
	is.Equal(v.Len(), maxEntries)
	v.Record(start.Add(time.Minute), Key{"new", "", ""}, FromFraction(0.5))
	is.Equal(v.Len(), 1) // entries that faded make room
}

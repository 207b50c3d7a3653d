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
			t.Fatal("a stricter level admits a request that a looser one refuses")
		}
	})
}

func TestLevelAdmitsItsFraction(t *testing.T) {
	is := is.New(t)
	const requests = 20000
	for _, fraction := range []float64{0, 0.1, 0.5, 1} {
		admitted := 0
		for i := range requests {
			if !Refuses(FromFraction(fraction), fmt.Sprintf("00000000-0000-7000-8000-%012d", i)) {
				admitted++
			}
		}
		is.True(math.Abs(float64(admitted)/requests-fraction) < 0.02)
	}
}

func TestMeterFollowsOverloadAndItsEnd(t *testing.T) {
	is := is.New(t)
	m := NewMeter(1)
	now := start
	step := func(offered, capacity int) {
		now = now.Add(Interval)
		admitted := int(float64(offered) * AdmittedFraction(m.Level(0)))
		for range admitted {
			m.CountAdmitted(0)
		}
		for range admitted - capacity {
			m.CountShed(0)
		}
		m.Step(now, min(float64(admitted)/float64(capacity), 1), func(int) float64 { return 0 })
	}
	for range 30 {
		step(1000, 100)
	}
	is.True(AdmittedFraction(m.Level(0)) >= 0.095)                      // the slots are in use
	is.True(AdmittedFraction(m.Level(0)) <= 0.1*(1+noShedExcess)+0.001) // and not much more is admitted
	for range 20 {
		step(90, 100)
	}
	is.Equal(m.Level(0), Level(0))
}

// TestMeterRecoversForRankWithFewRequests checks that a rank without a guaranteed
// share, of which all requests were shed and which then sends few, is served again soon
// after slots are idle. At its level none of the few requests is admitted, so the level
// must fall without them.
func TestMeterRecoversForRankWithFewRequests(t *testing.T) {
	is := is.New(t)
	m := NewMeter(1)
	now := start
	step := func(utilization float64) {
		now = now.Add(Interval)
		m.Step(now, utilization, func(int) float64 { return 0 })
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
		step(0.5) // 1 in 1024 is admitted, which of few requests is none
	}
	is.Equal(m.Level(0), Level(0))
}

// TestViewFadesWithoutNews checks that a level is held for holdTime after its last
// report, and that the admitted fraction then rises until all requests are admitted.
func TestViewFadesWithoutNews(t *testing.T) {
	is := is.New(t)
	v := NewView()
	key := Key{"registry", "GET /", "bulk"}
	v.Record(start, key, FromFraction(0))
	is.True(v.Level(start, key) > FromFraction(0.1))
	is.True(v.Level(start.Add(holdTime), key) > FromFraction(0.1))
	is.Equal(v.Level(start.Add(holdTime+11*doublingTime), key), Level(0))
	is.Equal(v.Level(start, Key{"registry", "POST /", "bulk"}), Level(0)) // other paths have their own level
}

func TestViewIsBounded(t *testing.T) {
	is := is.New(t)
	v := NewView()
	for i := range 2 * maxEntries {
		v.Record(start, Key{fmt.Sprint(i), "", ""}, FromFraction(0.5))
	}
	is.Equal(v.Len(), maxEntries)
	v.Record(start.Add(time.Minute), Key{"new", "", ""}, FromFraction(0.5))
	is.Equal(v.Len(), 1) // expired entries were evicted
}

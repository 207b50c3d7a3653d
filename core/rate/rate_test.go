package rate

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func TestNoLimitAllowsAll(t *testing.T) {
	is := is.New(t)
	var b Bucket
	for range 1000 {
		is.True(b.Take(start))
	}
	is.Equal(b.Wait(start, 1000), time.Duration(0))
}

// TestLimitHoldsInEveryWindow checks that no window gets more requests than the limit
// allows and burstTime more, whatever the order of limits, pauses and requests, and
// that a limit is used by those who wait.
func TestLimitHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(0, 50).Draw(t, "limit")
		var b Bucket
		b.SetLimit(start, limit)
		limit = max(limit, MinPerSecond)
		now := start
		var taken []time.Time
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "again") {
				b.SetLimit(now, limit)
			}
			for b.Take(now) {
				taken = append(taken, now)
			}
			if wait := b.Wait(now, 1); wait <= 0 {
				t.Fatalf("no token, but a wait of %v", wait)
			}
		}
		for i, from := range taken {
			for j := i; j < len(taken); j++ {
				length := taken[j].Sub(from).Seconds()
				if most := limit*(length+burstTime.Seconds()) + 1.001; float64(j-i+1) > most {
					t.Fatalf("%d requests in %.3f s at a limit of %.2f", j-i+1, length, limit)
				}
			}
		}
		if least := limit*now.Sub(start).Seconds() - 1.001; float64(len(taken)) < least {
			t.Fatalf("%d requests of %.1f that the limit allows", len(taken), least)
		}
	})
}

package soak

import (
	"math/rand/v2"
	"time"
)

// draw is a seeded source of choices for one series.
type draw struct{ random *rand.Rand }

func newDraw(seed uint64) *draw { return &draw{rand.New(rand.NewPCG(seed, 2))} }

func (d *draw) intN(n int) int { return d.random.IntN(n) }

// duration returns a time between two bounds.
func (d *draw) duration(least, most time.Duration) time.Duration {
	return least + time.Duration(d.random.Int64N(int64(most-least)))
}

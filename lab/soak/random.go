package soak

import (
	"math/rand/v2"
	"time"
)

// randomSource is the seeded source of random choices of one fault series.
type randomSource struct{ random *rand.Rand }

func newRandomSource(seed uint64) *randomSource { return &randomSource{rand.New(rand.NewPCG(seed, 2))} }

func (d *randomSource) intN(n int) int { return d.random.IntN(n) }

// duration returns a random duration from low, inclusive, to high, exclusive.
func (d *randomSource) duration(low, high time.Duration) time.Duration {
	return low + time.Duration(d.random.Int64N(int64(high-low)))
}

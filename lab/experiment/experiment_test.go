package experiment

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Stated targets.
const (
	// protectedKept is the part of its goodput that protected work keeps in a
	// flood of the least urgent rank.
	protectedKept = 0.99
	// chainGoodput is the goodput of an overloaded chain as a part of the deepest
	// service's capacity, and chainWasted the most upstream work lost.
	chainGoodput = 0.90
	chainWasted  = 0.05
	// recoveryTime is the time to 95% of the former service.
	recoveryTime = 5 * time.Second
)

// Places in Scenarios.
const (
	floodLeast = iota
	floodMost
	deepChain
	slowDeep
	surge
	resends
	cold
	sheds
	dearChain
)

// forSeeds runs a scenario with some seeds. Recovery is checked in each.
func forSeeds(t *testing.T, scenario, seeds int, check func(is *is.I, r Result)) {
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprintf("seed %d", seed+1), func(t *testing.T) {
			t.Parallel()
			r := Run(seed+1, Scenarios()[scenario], Fuchsiavane)
			t.Logf("%+v", r)
			is := is.New(t)
			is.True(r.Recovered)
			is.True(r.RecoveryTime <= recoveryTime)
			check(is, r)
		})
	}
}

func TestProtectedRankInAFloodOfTheLeastUrgent(t *testing.T) {
	forSeeds(t, floodLeast, 2, func(is *is.I, r Result) {
		is.True(r.Served[ruling] >= protectedKept*r.ServedBefore[ruling])
	})
}

func TestFloorsInAFloodOfTheMostUrgent(t *testing.T) {
	forSeeds(t, floodMost, 2, func(is *is.I, r Result) {
		is.True(r.RankGoodput[lookup] >= shares[lookup])
		is.True(r.RankGoodput[bulk] >= shares[bulk])
	})
}

func TestDeepChainAtThreeTimesItsCapacity(t *testing.T) {
	forSeeds(t, deepChain, 2, func(is *is.I, r Result) {
		is.True(r.Goodput >= chainGoodput)
		is.True(r.Wasted <= chainWasted)
	})
}

// The same with upper services whose work is not small against the deepest's.
func TestDeepChainWithDearUpperServices(t *testing.T) {
	forSeeds(t, dearChain, 1, func(is *is.I, r Result) {
		is.True(r.Goodput >= chainGoodput)
		is.True(r.Wasted <= chainWasted)
	})
}

func TestRecovery(t *testing.T) {
	for _, scenario := range []int{slowDeep, surge, resends, cold, sheds} {
		t.Run(Scenarios()[scenario].Name, func(t *testing.T) {
			forSeeds(t, scenario, 1, func(*is.I, Result) {})
		})
	}
}

func TestSameSeedSameResult(t *testing.T) {
	is := is.New(t)
	s := Scenarios()[surge]
	s.TriggerTime = time.Second
	is.Equal(Run(7, s, Fuchsiavane), Run(7, s, Fuchsiavane))
}

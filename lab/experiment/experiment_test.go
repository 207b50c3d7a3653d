package experiment

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Targets that the scenarios must meet.
const (
	// minProtectedRatio is the minimum fraction of its former success ratio that the
	// protected rank keeps in a flood of the least urgent rank.
	minProtectedRatio = 0.99
	// minChainGoodput is the minimum goodput of an overloaded chain as a fraction of
	// the deepest service's capacity; maxChainWaste is the maximum fraction of wasted
	// upstream work.
	minChainGoodput = 0.90
	maxChainWaste   = 0.05
	// maxRecoveryTime is the maximum time to 95% of the success ratio before the
	// trigger.
	maxRecoveryTime = 5 * time.Second
)

// Indexes into Scenarios.
const (
	floodLeastUrgent = iota
	floodMostUrgent
	deepChain
	slowDeepest
	surge
	surgeWithResends
	coldStart
	upstreamSheds
	costlyUpperServices
)

// forSeeds runs a scenario with each seed from 1 to seeds, and checks recovery in
// every run.
func forSeeds(t *testing.T, scenario, seeds int, check func(is *is.I, r Result)) {
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprintf("seed %d", seed+1), func(t *testing.T) {
			t.Parallel()
			r := Run(seed+1, Scenarios()[scenario], Fuchsiavane)
			t.Logf("%+v", r)
			is := is.New(t)
			is.True(r.Recovered)
			is.True(r.RecoveryTime <= maxRecoveryTime)
			check(is, r)
		})
	}
}

func TestProtectedRankInAFloodOfTheLeastUrgent(t *testing.T) {
	forSeeds(t, floodLeastUrgent, 2, func(is *is.I, r Result) {
		is.True(r.Served[ruling] >= minProtectedRatio*r.ServedBefore[ruling])
	})
}

func TestFloorsInAFloodOfTheMostUrgent(t *testing.T) {
	forSeeds(t, floodMostUrgent, 2, func(is *is.I, r Result) {
		is.True(r.RankGoodput[lookup] >= shares[lookup])
		is.True(r.RankGoodput[bulk] >= shares[bulk])
	})
}

func TestDeepChainAtThreeTimesItsCapacity(t *testing.T) {
	forSeeds(t, deepChain, 2, func(is *is.I, r Result) {
		is.True(r.Goodput >= minChainGoodput)
		is.True(r.Wasted <= maxChainWaste)
	})
}

// TestDeepChainWithCostlyUpperServices repeats the chain overload with upper services
// whose work takes half as long as the deepest service's.
func TestDeepChainWithCostlyUpperServices(t *testing.T) {
	forSeeds(t, costlyUpperServices, 1, func(is *is.I, r Result) {
		is.True(r.Goodput >= minChainGoodput)
		is.True(r.Wasted <= maxChainWaste)
	})
}

func TestRecovery(t *testing.T) {
	for _, scenario := range []int{slowDeepest, surge, surgeWithResends, coldStart, upstreamSheds} {
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

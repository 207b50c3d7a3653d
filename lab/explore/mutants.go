package explore

// SmallOnce and SmallRetries are the bounds that CI explores.
var (
	SmallOnce    = OnceBounds{TimeSteps: 3, Timestamps: []int{1}, Crashes: 1, Leaves: 1, Edits: 3}
	SmallRetries = RetryBounds{Attempts: 5, FanOut: 3, Levels: 3}
)

// SmallOnceDepth and SmallRetriesDepth are the depths, in steps, that CI explores.
const (
	SmallOnceDepth    = 6
	SmallRetriesDepth = 60
)

// mutantDepth is the maximum depth, in steps, of the search in a mutant.
const mutantDepth = 12

// Mutant is a system without one of its rules.
type Mutant struct {
	Name string
	// Violates is the violation that a search must find.
	Violates string
	// Start starts the mutant.
	Start func() System
	// Intact starts the same system with the rule.
	Intact func() System
	// Depth is the maximum depth of the search, in steps.
	Depth int
}

// Mutants returns one mutant for each rule.
func Mutants() []Mutant {
	const (
		ranTwice    = "key 0 ran 2 times"
		falseNotRun = "a key that ran was called not-run"
	)
	noFaults := OnceBounds{Timestamps: []int{1}, Edits: 2}
	leaving := OnceBounds{Timestamps: []int{1}, Leaves: 1, Edits: 3}
	crashing := OnceBounds{Timestamps: []int{1}, Crashes: 1, Edits: 2}
	once := func(name, violates string, rules OnceRules, bounds OnceBounds) Mutant {
		return Mutant{name, violates, NewOnce(rules, bounds), NewOnce(OnceRules{}, bounds), mutantDepth}
	}
	retries := func(name string, rules RetryRules) Mutant {
		return Mutant{name, "more retries than the root's budget", NewRetries(rules, SmallRetries), NewRetries(RetryRules{}, SmallRetries), mutantDepth}
	}
	return []Mutant{
		once("begin now", ranTwice, OnceRules{ClaimFromNow: true}, leaving),
		once("hold unconfirmed", ranTwice, OnceRules{UseUnconfirmed: true}, noFaults),
		once("release uncut", ranTwice, OnceRules{ReleaseUntruncated: true}, leaving),
		once("same run", ranTwice, OnceRules{SameStart: true}, crashing),
		once("stranger says not-run", falseNotRun, OnceRules{NonOwnerSaysNotRun: true}, noFaults),
		once("forget without floor", ranTwice, OnceRules{ExpireWithoutMinTimestamp: true}, noFaults),
		retries("lost answer unspent", RetryRules{RefundLost: true}),
		retries("lend without giving up", RetryRules{LendWithoutTaking: true}),
	}
}

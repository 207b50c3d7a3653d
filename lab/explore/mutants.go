package explore

// Bounds that CI explores.
var (
	SmallOnce    = OnceBounds{TimeSteps: 3, Timestamps: []int{1}, Crashes: 1, Leaves: 1, Edits: 3}
	SmallRetries = RetryBounds{Attempts: 5, FanOut: 3, Levels: 3}
)

// Depths, in steps, that CI explores.
const (
	SmallOnceDepth    = 6
	SmallRetriesDepth = 60
)

// mutantDepth bounds the search for a mutant's trace.
const mutantDepth = 12

// Mutant is a system with one rule broken.
type Mutant struct {
	Name string
	// Breaks is the property that fails.
	Violates string
	Start    func() System
	// Whole is the same system with the rule.
	Intact func() System
	Depth  int
}

// Mutants returns a system for each rule, without that rule.
func Mutants() []Mutant {
	const (
		twice = "key 0 ran 2 times"
		lie   = "a key that ran was called not-run"
	)
	still := OnceBounds{Timestamps: []int{1}, Edits: 2}
	leaving := OnceBounds{Timestamps: []int{1}, Leaves: 1, Edits: 3}
	crashing := OnceBounds{Timestamps: []int{1}, Crashes: 1, Edits: 2}
	once := func(name, breaks string, rules OnceRules, bounds OnceBounds) Mutant {
		return Mutant{name, breaks, NewOnce(rules, bounds), NewOnce(OnceRules{}, bounds), mutantDepth}
	}
	retries := func(name string, rules RetryRules) Mutant {
		return Mutant{name, "more retries than the root's budget", NewRetries(rules, SmallRetries), NewRetries(RetryRules{}, SmallRetries), mutantDepth}
	}
	return []Mutant{
		once("begin now", twice, OnceRules{ClaimFromNow: true}, leaving),
		once("hold unconfirmed", twice, OnceRules{HoldUnconfirmed: true}, still),
		once("release uncut", twice, OnceRules{ReleaseUntruncated: true}, leaving),
		once("same run", twice, OnceRules{SameStart: true}, crashing),
		once("stranger says not-run", lie, OnceRules{NonOwnerSaysNotRun: true}, still),
		once("forget without floor", twice, OnceRules{ForgetWithoutMinTimestamp: true}, still),
		retries("lost answer unspent", RetryRules{RefundLost: true}),
		retries("lend without giving up", RetryRules{LendWithoutTaking: true}),
	}
}

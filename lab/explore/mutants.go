package explore

// Bounds that CI explores.
var (
	SmallOnce    = OnceBounds{Time: 3, Births: []int{1}, Crashes: 1, Leaves: 1, Edits: 3}
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
	Breaks string
	Start  func() System
	// Whole is the same system with the rule.
	Whole func() System
	Depth int
}

// Mutants returns a system for each rule, without that rule.
func Mutants() []Mutant {
	const (
		twice = "key 0 ran 2 times"
		lie   = "a key that ran was called not-run"
	)
	still := OnceBounds{Births: []int{1}, Edits: 2}
	leaving := OnceBounds{Births: []int{1}, Leaves: 1, Edits: 3}
	crashing := OnceBounds{Births: []int{1}, Crashes: 1, Edits: 2}
	once := func(name, breaks string, rules OnceRules, bounds OnceBounds) Mutant {
		return Mutant{name, breaks, NewOnce(rules, bounds), NewOnce(OnceRules{}, bounds), mutantDepth}
	}
	retries := func(name string, rules RetryRules) Mutant {
		return Mutant{name, "more retries than the root's budget", NewRetries(rules, SmallRetries), NewRetries(RetryRules{}, SmallRetries), mutantDepth}
	}
	return []Mutant{
		once("begin now", twice, OnceRules{BeginNow: true}, leaving),
		once("hold unconfirmed", twice, OnceRules{HoldUnconfirmed: true}, still),
		once("release uncut", twice, OnceRules{ReleaseUncut: true}, leaving),
		once("same run", twice, OnceRules{SameRun: true}, crashing),
		once("stranger says not-run", lie, OnceRules{StrangerSaysNotRun: true}, still),
		once("forget without floor", twice, OnceRules{ForgetNoFloor: true}, still),
		retries("lost answer unspent", RetryRules{LostUnspent: true}),
		retries("lend without giving up", RetryRules{LendCopies: true}),
	}
}

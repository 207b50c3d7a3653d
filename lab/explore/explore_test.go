package explore

import (
	"testing"

	"github.com/matryer/is"
)

func TestAtMostOnceToABound(t *testing.T) {
	is := is.New(t)
	r := Search(NewOnce(OnceRules{}, SmallOnce), SmallOnceDepth)
	t.Logf("%d states, %d transitions, depth %d, %v", r.States, r.Transitions, r.Depth, r.Duration)
	is.Equal(r.Violation, "")
	is.True(r.States > 1000)
}

func TestRetriesConservedToABound(t *testing.T) {
	is := is.New(t)
	r := Search(NewRetries(RetryRules{}, SmallRetries), SmallRetriesDepth)
	t.Logf("%d states, %d transitions, depth %d, complete %v, %v", r.States, r.Transitions, r.Depth, r.Complete, r.Duration)
	is.Equal(r.Violation, "")
	is.True(r.States > 1000)
}

// TestMutantsAreFound checks that the search finds a violation for each rule left
// out, and none in the same number of steps with the rule.
func TestMutantsAreFound(t *testing.T) {
	for _, m := range Mutants() {
		t.Run(m.Name, func(t *testing.T) {
			is := is.New(t)
			r := Search(m.Start, m.Depth)
			t.Logf("%s after %q: %d states, %v", r.Violation, r.Trace, r.States, r.Duration)
			is.Equal(r.Violation, m.Violates)
			intact := Search(m.Intact, len(r.Trace)) // to the same depth, with the rule
			t.Logf("with the rule: %d states to depth %d, %v", intact.States, intact.Depth, intact.Duration)
			is.Equal(intact.Violation, "")
		})
	}
}

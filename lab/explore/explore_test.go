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

// Each rule is needed: without it a short trace breaks a property.
func TestMutantsAreFound(t *testing.T) {
	for _, m := range Mutants() {
		t.Run(m.Name, func(t *testing.T) {
			is := is.New(t)
			r := Search(m.Start, m.Depth)
			t.Logf("%s after %q: %d states, %v", r.Violation, r.Trace, r.States, r.Duration)
			is.Equal(r.Violation, m.Violates)
			whole := Search(m.Intact, len(r.Trace)) // the same walk finds nothing with the rule
			t.Logf("whole: %d states to depth %d, %v", whole.States, whole.Depth, whole.Duration)
			is.Equal(whole.Violation, "")
		})
	}
}

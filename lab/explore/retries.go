package explore

import (
	"fmt"

	"fuchsiavane.org/core/retry"
)

// RetryRules selects the rules of the retry budget that a mutant leaves out. The
// zero value is the unchanged protocol.
type RetryRules struct {
	// RefundLost returns all lent retries to the caller when an answer is lost.
	RefundLost bool
	// LendWithoutTaking lends retries and also keeps them.
	LendWithoutTaking bool
}

// RetryBounds limits the call tree that is explored.
type RetryBounds struct {
	// Attempts is the number of attempts given to the root request; its retry budget is
	// one less.
	Attempts int
	// FanOut is the maximum number of calls of a run, Levels the depth of the tree.
	FanOut, Levels int
}

// callNode is a call in progress, with the retry budget of its run and the retries
// that were lent to it.
type callNode struct {
	parent *callNode
	budget *retry.Budget // of the run at the node
	lent   int
	calls  int       // made by the run
	level  int       // 0 for the root
	child  *callNode // the nested call in progress
}

// retrySystem is one root request whose runs make nested calls, one at a time. Each
// call succeeds, fails or loses its answer.
type retrySystem struct {
	rules   RetryRules
	bounds  RetryBounds
	root    *callNode
	current *callNode
	retries int  // retries made so far
	done    bool // the run of the root has ended
}

// NewRetries returns a function that starts a retry-budget system.
func NewRetries(rules RetryRules, bounds RetryBounds) func() System {
	return func() System {
		root := &callNode{budget: retry.NewBudget(bounds.Attempts - 1)}
		s := &retrySystem{rules: rules, bounds: bounds, root: root, current: root}
		return s
	}
}

// runSteps names the steps of the run in progress, by index.
var runSteps = [...]string{"answers", "fails and says so", "fails and its answer is lost", "calls"}

// Steps implements System.
func (s *retrySystem) Steps() int {
	switch {
	case s.done:
		return 0
	case s.current.level < s.bounds.Levels && s.current.calls < s.bounds.FanOut:
		return len(runSteps)
	}
	return len(runSteps) - 1
}

// Name implements System.
func (s *retrySystem) Name(step int) string {
	return fmt.Sprintf("the run at level %d %s", s.current.level, runSteps[step])
}

// Do implements System.
func (s *retrySystem) Do(step int) {
	if step == 3 {
		s.current.calls++
		s.send(s.current)
		return
	}
	call := s.current
	caller := call.parent
	if caller == nil {
		s.done = true
		return
	}
	switch {
	case step != 2:
		caller.budget.Return(call.lent, call.budget.TakeAll())
	case s.rules.RefundLost:
		caller.budget.Return(call.lent, call.lent)
	}
	caller.child = nil
	s.current = caller
	if step != 0 && caller.budget.Take() {
		s.retries++
		s.send(caller)
	}
}

// send makes a nested call from a run and lends it retries.
func (s *retrySystem) send(from *callNode) {
	lent := from.budget.Lend()
	if s.rules.LendWithoutTaking {
		from.budget.Return(lent, lent)
	}
	from.child = &callNode{parent: from, budget: retry.NewBudget(lent), lent: lent, level: from.level + 1}
	s.current = from.child
}

// State implements System.
func (s *retrySystem) State() string {
	b := encode(nil, s.retries, asInt(s.done))
	for n := s.root; n != nil; n = n.child {
		b = encode(b, n.budget.Remaining(), n.lent, n.calls, n.level)
	}
	return string(b)
}

// Violation implements System.
func (s *retrySystem) Violation() string {
	if s.retries > s.bounds.Attempts-1 {
		return "more retries than the root's budget"
	}
	return ""
}

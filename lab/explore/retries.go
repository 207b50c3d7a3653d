package explore

import (
	"fmt"

	"fuchsiavane.org/core/retry"
)

// RetryRules are the rules of the retry budget that a mutant breaks. The zero
// value is the protocol as it is.
type RetryRules struct {
	// LostUnspent takes the whole part back when an answer is lost.
	LostUnspent bool
	// LendCopies lends a part and keeps it.
	LendCopies bool
}

// RetryBounds bound the call tree explored.
type RetryBounds struct {
	// Attempts is the number given to the root.
	Attempts int
	// FanOut is the number of calls that a run makes, Levels the depth.
	FanOut, Levels int
}

// node is a call in progress: the budget of the run that makes it, and what was
// lent with it.
type node struct {
	parent *node
	budget *retry.Budget // of the run at this node
	lent   int
	made   int // calls that the run has made
	level  int
	child  *node // the call in progress
}

// retrySystem is one request that calls down its tree, one call at a time.
// Answers come, fail or are lost.
type retrySystem struct {
	rules   RetryRules
	bounds  RetryBounds
	root    *node
	current *node
	retries int
	over    bool
}

// NewRetries returns the start of a system under rules and bounds.
func NewRetries(rules RetryRules, bounds RetryBounds) func() System {
	return func() System {
		root := &node{budget: retry.NewBudget(bounds.Attempts - 1)}
		s := &retrySystem{rules: rules, bounds: bounds, root: root, current: root}
		return s
	}
}

// fates of the run in progress, in the order of its steps.
var retryFates = [...]string{"answers", "fails and says so", "fails and its answer is lost", "calls"}

// Steps implements System.
func (s *retrySystem) Steps() int {
	switch {
	case s.over:
		return 0
	case s.current.level < s.bounds.Levels && s.current.made < s.bounds.FanOut:
		return len(retryFates)
	}
	return len(retryFates) - 1
}

// Name implements System.
func (s *retrySystem) Name(step int) string {
	return fmt.Sprintf("the run at level %d %s", s.current.level, retryFates[step])
}

// Do implements System.
func (s *retrySystem) Do(step int) {
	if step == 3 {
		s.current.made++
		s.send(s.current)
		return
	}
	n := s.current
	p := n.parent
	if p == nil {
		s.over = true
		return
	}
	switch {
	case step != 2:
		p.budget.Return(n.lent, n.budget.TakeAll())
	case s.rules.LostUnspent:
		p.budget.Return(n.lent, n.lent)
	}
	p.child = nil
	s.current = p
	if step != 0 && p.budget.Take() {
		s.retries++
		s.send(p)
	}
}

// send makes a call from a run.
func (s *retrySystem) send(from *node) {
	lent := from.budget.Lend()
	if s.rules.LendCopies {
		from.budget.Return(lent, lent)
	}
	from.child = &node{parent: from, budget: retry.NewBudget(lent), lent: lent, level: from.level + 1}
	s.current = from.child
}

// State implements System.
func (s *retrySystem) State() string {
	b := encode(nil, s.retries, asInt(s.over))
	for n := s.root; n != nil; n = n.child {
		b = encode(b, n.budget.Remaining(), n.lent, n.made, n.level)
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

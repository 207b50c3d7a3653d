// Package explore searches the state space of small systems, to a bounded depth,
// for violations of their properties. The systems combine the code in core with a
// store and a network that lose, delay and reorder messages.
//
// The search reaches a state again by replaying its steps from the start, so a
// system need not be copyable, only deterministic.
package explore

import "time"

// System is the state of a small deterministic system.
type System interface {
	// Steps returns the number of possible next steps.
	Steps() int
	// Name describes a possible next step by its index.
	Name(step int) string
	// Do executes a possible next step by its index.
	Do(step int)
	// State encodes everything that later steps depend on.
	State() string
	// Violation describes a violated property; empty if none is.
	Violation() string
}

// Result holds the outcome of a search.
type Result struct {
	// States is the number of distinct states, Transitions the number of steps
	// executed from them.
	States, Transitions int
	// Depth is the number of steps of the longest trace explored.
	Depth int
	// Complete reports whether no state beyond Depth exists.
	Complete bool
	// Duration is the wall-clock time of the search.
	Duration time.Duration
	// Violation is the violated property, empty if none was found, and Trace a
	// shortest sequence of steps to it.
	Violation string
	Trace     []string
}

// Search explores a system breadth first up to a depth in steps, or until it finds
// a violation.
func Search(start func() System, depth int) Result {
	startedAt := time.Now()
	r := Result{States: 1}
	seen := map[string]struct{}{start().State(): {}}
	frontier := [][]uint8{nil}
	for r.Depth = 0; r.Depth < depth && len(frontier) > 0; r.Depth++ {
		var next [][]uint8
		for _, path := range frontier {
			steps := replay(start, path).Steps()
			for step := range steps {
				s := replay(start, path)
				s.Do(step)
				r.Transitions++
				extended := append(path[:len(path):len(path)], uint8(step))
				if v := s.Violation(); v != "" {
					r.Violation, r.Trace = v, describePath(start, extended)
					r.Duration = time.Since(startedAt)
					return r
				}
				state := s.State()
				if _, known := seen[state]; known {
					continue
				}
				seen[state] = struct{}{}
				r.States++
				next = append(next, extended)
			}
		}
		frontier = next
	}
	r.Complete = len(frontier) == 0
	r.Duration = time.Since(startedAt)
	return r
}

// replay starts a system and executes the steps of a path.
func replay(start func() System, path []uint8) System {
	s := start()
	for _, step := range path {
		s.Do(int(step))
	}
	return s
}

// describePath returns the names of the steps of a path.
func describePath(start func() System, path []uint8) []string {
	s := start()
	var trace []string
	for _, step := range path {
		trace = append(trace, s.Name(int(step)))
		s.Do(int(step))
	}
	return trace
}

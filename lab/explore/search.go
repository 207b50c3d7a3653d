// Package explore walks every behaviour of a small system, to a bound, and
// looks for one that breaks a property. The systems are made of the code in
// core, composed with a store and a network that lose, delay and reorder.
//
// A state is reached again by repeating its steps from the start, so a system
// needs no copying; it only has to be deterministic.
package explore

import "time"

// System is one run of a small system.
type System interface {
	// Steps returns the number of steps that may come next.
	Steps() int
	// Name describes one of these steps.
	Name(step int) string
	// Do takes one of these steps.
	Do(step int)
	// State encodes all that decides what can follow.
	State() string
	// Violation names a property that is broken, or is empty.
	Violation() string
}

// Result is what a search found.
type Result struct {
	// States is the number of different states, Transitions that of the steps
	// taken from them.
	States, Transitions int
	// Depth is the number of steps of the longest trace explored.
	Depth int
	// Complete says that no state beyond Depth exists.
	Complete bool
	Duration time.Duration
	// Violation and Trace are the broken property and the shortest way to it.
	Violation string
	Trace     []string
}

// Search walks a system breadth first to a depth in steps.
func Search(start func() System, depth int) Result {
	began := time.Now()
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
				way := append(path[:len(path):len(path)], uint8(step))
				if v := s.Violation(); v != "" {
					r.Violation, r.Trace = v, names(start, way)
					r.Duration = time.Since(began)
					return r
				}
				state := s.State()
				if _, known := seen[state]; known {
					continue
				}
				seen[state] = struct{}{}
				r.States++
				next = append(next, way)
			}
		}
		frontier = next
	}
	r.Complete = len(frontier) == 0
	r.Duration = time.Since(began)
	return r
}

func replay(start func() System, path []uint8) System {
	s := start()
	for _, step := range path {
		s.Do(int(step))
	}
	return s
}

func names(start func() System, path []uint8) []string {
	s := start()
	var trace []string
	for _, step := range path {
		trace = append(trace, s.Name(int(step)))
		s.Do(int(step))
	}
	return trace
}

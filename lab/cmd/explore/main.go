// Command explore searches the small systems of lab/explore to a bounded depth and
// prints the results as tables for docs/measurements/explore.md. It exits with 1 on a
// violation, or if a mutant does not show the expected one.
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"

	"fuchsiavane.org/lab/explore"
)

func main() {
	depth := flag.Int("depth", explore.SmallOnceDepth, "maximum `steps` explored of the at-most-once system")
	flag.Parse()
	fmt.Println("| system | depth | complete | states | transitions | seconds | broken |")
	fmt.Println("|---|---|---|---|---|---|---|")
	failed := report("at most once", explore.Search(explore.NewOnce(explore.OnceRules{}, explore.SmallOnce), *depth))
	failed = report("retry budget", explore.Search(explore.NewRetries(explore.RetryRules{}, explore.SmallRetries), explore.SmallRetriesDepth)) || failed
	fmt.Println()
	fmt.Println("| mutant | broken property | steps | states | seconds | trace |")
	fmt.Println("|---|---|---|---|---|---|")
	for _, m := range explore.Mutants() {
		r := explore.Search(m.Start, m.Depth)
		fmt.Printf("| %s | %s | %d | %d | %.2f | %s |\n", m.Name, r.Violation, len(r.Trace), r.States, r.Duration.Seconds(), strings.Join(r.Trace, "; "))
		failed = failed || r.Violation != m.Violates
	}
	if failed {
		os.Exit(1)
	}
}

// report prints the result of a search and reports whether it found a violation.
func report(name string, r explore.Result) (failed bool) {
	fmt.Printf("| %s | %d | %v | %d | %d | %.1f | %s |\n", name, r.Depth, r.Complete, r.States, r.Transitions, r.Duration.Seconds(), r.Violation)
	return r.Violation != ""
}

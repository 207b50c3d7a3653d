// Command soak runs daemons as processes under random faults and checks guarantees;
// see lab/soak. It exits with 1 if one is violated.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"fuchsiavane.org/lab/soak"
)

func main() { os.Exit(run()) }

func run() int {
	first := flag.Uint64("seed", 1, "first `seed`")
	seeds := flag.Int("seeds", 1, "`number` of successive seeds to run")
	instances := flag.Int("instances", 6, "`number` of daemons")
	callers := flag.Int("callers", 4, "`number` of clients of each daemon")
	length := flag.Duration("length", 10*time.Second, "`time` during which faults are injected")
	verbose := flag.Bool("v", false, "print the injected faults")
	keep := flag.String("keep", "", "`folder` for the logs; if empty, a temporary one that is removed after a run without violations")
	program := flag.String("program", "", "`path` of the daemon, for example of an earlier version; if empty, it is built")
	flag.Parse()
	status := 0
	for n := range *seeds {
		seed := *first + uint64(n)
		folder := filepath.Join(*keep, fmt.Sprint("seed-", seed))
		if *keep == "" {
			var err error
			if folder, err = os.MkdirTemp("", "soak-"); err != nil {
				fmt.Fprintln(os.Stderr, err)
				return 1
			}
		} else if err := os.MkdirAll(folder, 0o700); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		report, err := soak.Run(soak.Config{Seed: seed, Instances: *instances, Callers: *callers, Length: *length, Folder: folder, Program: *program})
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		fmt.Printf("seed %d: whole %d, refused %d, failed %d, cut %d, faults %d, broken %d\n",
			seed, report.Succeeded, report.Refused, report.Failed, report.Incomplete, len(report.Faults), len(report.Violations))
		if *verbose || len(report.Violations) > 0 {
			for _, fault := range report.Faults {
				fmt.Println("  ", fault)
			}
		}
		for _, broken := range report.Violations {
			fmt.Println("  BROKEN", broken)
			status = 1
		}
		if len(report.Violations) > 0 {
			fmt.Println("   logs in", folder)
		} else if *keep == "" {
			_ = os.RemoveAll(folder)
		}
	}
	return status
}

// Command control measures the cost of the control plane and prints tables, with
// figures extrapolated to a large fleet; see lab/control. It takes some minutes.
package main

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"

	"fuchsiavane.org/lab/control"
)

func main() {
	seed := flag.Uint64("seed", 1, "`seed` of the simulated network")
	binary := flag.String("daemon", "bin/fuchsiavaned", "`path` of the program for real daemons; empty to measure none")
	sizes := flag.String("daemons", "8,16,24", "`numbers` of real daemons, separated by commas")
	members := flag.Int("whole", 0, "measure only one data centre of this `number` of members, to compare with the extrapolated figures")
	flag.Parse()
	if *members > 0 {
		control.PrintDataCentre(os.Stdout, *seed, *members)
		return
	}
	control.PrintVirtual(os.Stdout, *seed)
	if *binary == "" {
		return
	}
	var rows []control.RealCost
	for size := range strings.SplitSeq(*sizes, ",") {
		n, err := strconv.Atoi(size)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
		r, err := control.MeasureReal(*binary, n)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		rows = append(rows, r)
	}
	control.PrintReal(os.Stdout, rows)
}

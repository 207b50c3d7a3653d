// Command control measures what daemons spend on control and prints tables with
// slopes. It takes some minutes.
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
	seed := flag.Uint64("seed", 1, "`seed` of the fake network")
	binary := flag.String("daemon", "bin/fuchsiavaned", "`path` of the daemon for real processes; empty for none")
	sizes := flag.String("daemons", "8,16,24", "`numbers` of real daemons")
	whole := flag.Int("whole", 0, "measure only one data centre of this `number` of members, to hold the slopes against")
	flag.Parse()
	if *whole > 0 {
		control.PrintDataCentre(os.Stdout, *seed, *whole)
		return
	}
	control.PrintVirtual(os.Stdout, *seed)
	if *binary == "" {
		return
	}
	var reals []control.RealCost
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
		reals = append(reals, r)
	}
	control.PrintReal(os.Stdout, reals)
}

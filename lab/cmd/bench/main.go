// Command bench measures what the path through two daemons adds to a call.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"

	"fuchsiavane.org/lab/bench"
)

func main() {
	c := bench.DefaultConfig()
	flag.IntVar(&c.Callers, "callers", c.Callers, "`number` of callers at the steady load")
	flag.DurationVar(&c.Interval, "interval", c.Interval, "`time` between calls of one caller")
	flag.DurationVar(&c.Duration, "for", c.Duration, "`time` of the steady load")
	flag.DurationVar(&c.SaturationDuration, "saturate", c.SaturationDuration, "`time` of the saturating load")
	flag.IntVar(&c.SaturationCallers, "saturate-callers", c.SaturationCallers, "`number` of callers at saturation")
	flag.IntVar(&c.RequestBytes, "in", c.RequestBytes, "`bytes` of a request's body")
	flag.IntVar(&c.AnswerBytes, "out", c.AnswerBytes, "`bytes` of an answer's body")
	flag.IntVar(&c.BulkCallers, "bulk-callers", c.BulkCallers, "`number` of callers that pull archives")
	flag.IntVar(&c.BulkBytes, "bulk-bytes", c.BulkBytes, "`bytes` of an archive")
	flag.Uint64Var(&c.Seed, "seed", c.Seed, "`seed` of the order of calls")
	env := flag.String("daemon-env", "", "`variables` added to the daemons' environment, such as \"GOGC=100 GOMAXPROCS=2\"")
	flag.Parse()
	c.DaemonEnv = strings.Fields(*env)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	result, err := bench.Run(ctx, c, os.Stderr)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	result.Print(os.Stdout)
}

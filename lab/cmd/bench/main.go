// Command bench measures the latency that two daemons add to a call; see lab/bench.
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
	flag.DurationVar(&c.Interval, "interval", c.Interval, "`time` between calls of a caller")
	flag.DurationVar(&c.Duration, "for", c.Duration, "`duration` of the steady load")
	flag.DurationVar(&c.SaturationDuration, "saturate", c.SaturationDuration, "`duration` of the saturating load")
	flag.IntVar(&c.SaturationCallers, "saturate-callers", c.SaturationCallers, "`number` of callers at saturation")
	flag.IntVar(&c.RequestBytes, "in", c.RequestBytes, "`bytes` of a request body")
	flag.IntVar(&c.AnswerBytes, "out", c.AnswerBytes, "`bytes` of a response body")
	flag.IntVar(&c.BulkCallers, "bulk-callers", c.BulkCallers, "`number` of callers that download archives")
	flag.IntVar(&c.BulkBytes, "bulk-bytes", c.BulkBytes, "`bytes` of an archive")
	flag.Uint64Var(&c.Seed, "seed", c.Seed, "`seed` of the order of direct calls and calls through the daemons")
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

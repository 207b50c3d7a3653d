// Command fuchsiavane is the operators' command-line tool.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"fuchsiavane.org/node/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	os.Exit(cli.Main(ctx, os.Args[1:], cli.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}))
}

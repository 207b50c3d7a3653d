// Command fuchsiavaned is the daemon that runs beside each upstream instance.
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/pkg/errors"

	"fuchsiavane.org/node/config"
	"fuchsiavane.org/node/daemon"
	"fuchsiavane.org/node/event"
	"fuchsiavane.org/node/kv/client"
	"fuchsiavane.org/node/signals"
	"fuchsiavane.org/platform"
)

// Exit statuses.
const (
	exitFailure = 1
	exitUsage   = 2
)

func main() { os.Exit(run()) }

// platformCommand runs the daemon on the users' platform, with the settings file that
// platform.SettingsFileVariable names.
const platformCommand = "beside"

// run runs the daemon and returns the exit status.
func run() int {
	received := signals.Receive()
	if len(os.Args) == 2 && os.Args[1] == platformCommand {
		return runOnPlatform(received)
	}
	c, err := config.Parse(os.Args[1:], os.Stderr)
	if errors.Is(err, flag.ErrHelp) {
		return 0
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	daemon.TuneRuntime(c.BodyMemory)
	level, _ := config.ParseLevel(c.LogLevel) // checked by config.Parse
	store, err := client.New(c.Platform)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	d, err := daemon.New(c, store, event.New(os.Stderr, level, c.InstanceID))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if err := d.Run(received.Stopping()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	return 0
}

// runOnPlatform runs the daemon on the users' platform and returns the exit status.
func runOnPlatform(received *signals.Receiver) int {
	if err := platform.Run(os.Getenv(platform.SettingsFileVariable), received); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	return 0
}

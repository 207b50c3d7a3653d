// Package cli is the operators' command.
package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"fuchsiavane.org/core/settings"
	"fuchsiavane.org/node/daemon"
	"fuchsiavane.org/node/demo"
	"fuchsiavane.org/node/edit"
)

// Exit statuses.
const (
	// ExitOK means success.
	ExitOK = 0
	// ExitFailed means that the command could not be done.
	ExitFailed = 1
	// ExitUsage means a wrong command line or a document with findings.
	ExitUsage = 2
	// ExitConflict means that another operator's edit came first.
	ExitConflict = 3
)

// envPrefix begins the names of the environment variables.
const envPrefix = "FUCHSIAVANE"

// Streams are the standard streams of the command.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// command is one run of the command.
type command struct {
	Streams
	json     bool
	platform string
	daemon   string
}

// usageError is a wrong command line.
type usageError struct{ error }

func usagef(format string, args ...any) error { return usageError{errors.Errorf(format, args...)} }

// Main runs the command and returns its exit status.
func Main(ctx context.Context, args []string, streams Streams) int {
	c := &command{Streams: streams}
	root := c.tree()
	if err := root.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return ExitOK
		}
		fmt.Fprintln(c.Err, err)
		return ExitUsage
	}
	return c.exit(root.Run(ctx))
}

// exit reports an error and returns the exit status for it.
func (c *command) exit(err error) int {
	var findings settings.Findings
	var usage usageError
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, flag.ErrHelp):
		return ExitUsage
	case errors.As(err, &findings):
		c.reportFindings(findings)
		return ExitUsage
	case errors.As(err, &usage):
		fmt.Fprintln(c.Err, err)
		return ExitUsage
	case errors.Is(err, edit.ErrConflict):
		fmt.Fprintln(c.Err, err)
		return ExitConflict
	}
	fmt.Fprintln(c.Err, err)
	return ExitFailed
}

func (c *command) reportFindings(findings settings.Findings) {
	if c.json {
		_ = c.printJSON(findings)
		return
	}
	fmt.Fprintln(c.Err, findings.Error())
}

func (c *command) printJSON(v any) error {
	encoder := json.NewEncoder(c.Out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// tree is the command with its subcommands.
func (c *command) tree() *ffcli.Command {
	return c.group("fuchsiavane", "fuchsiavane COMMAND", "Drives the overload control layer.",
		c.settingsTree(),
		c.statusCommand(),
		c.drainCommand(),
		c.leaf("demo", "fuchsiavane demo", "Runs a small whole system and prints what each rank got.", nil,
			func(ctx context.Context, _ []string) error { return demo.Run(ctx, c.Out) }),
		c.leaf("version", "fuchsiavane version", "Prints the version.", nil,
			func(context.Context, []string) error { return c.version() }),
	)
}

func (c *command) version() error {
	if c.json {
		return c.printJSON(struct {
			Version string `json:"version"`
		}{daemon.Version})
	}
	_, err := fmt.Fprintln(c.Out, daemon.Version)
	return err
}

func (c *command) group(name, usage, help string, subcommands ...*ffcli.Command) *ffcli.Command {
	fs := c.flags(name)
	return &ffcli.Command{
		Name: name, ShortUsage: usage, ShortHelp: help, FlagSet: fs, Subcommands: subcommands,
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return usagef("%s: unknown command %q", name, args[0])
			}
			return flag.ErrHelp
		},
	}
}

func (c *command) leaf(name, usage, help string, define func(*flag.FlagSet), exec func(context.Context, []string) error) *ffcli.Command {
	fs := c.flags(name)
	fs.BoolVar(&c.json, "json", false, "print JSON")
	if define != nil {
		define(fs)
	}
	return &ffcli.Command{
		Name: name, ShortUsage: usage, ShortHelp: help, FlagSet: fs, Exec: exec,
		Options: []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
	}
}

func (c *command) flags(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(c.Err)
	return fs
}

func (c *command) platformFlag(fs *flag.FlagSet) {
	fs.StringVar(&c.platform, "platform", "", "base `URL` of the platform's store")
}

func (c *command) daemonFlag(fs *flag.FlagSet) {
	fs.StringVar(&c.daemon, "daemon", "http://127.0.0.1:7403", "admin base `URL` of a daemon")
}

// Package cli implements the operators' command fuchsiavane.
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
	// ExitFailed means that the command failed.
	ExitFailed = 1
	// ExitUsage means a wrong command line or a document with findings.
	ExitUsage = 2
	// ExitConflict means that another operator's edit was accepted first.
	ExitConflict = 3
)

// envPrefix is the prefix of the environment variables that set flags.
const envPrefix = "FUCHSIAVANE"

// Streams holds the standard streams of a command.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// command holds the streams and common flags of one invocation.
type command struct {
	Streams
	json     bool
	platform string
	daemon   string
}

// usageError reports an invalid command line.
type usageError struct{ error }

// usagef returns a usageError with a formatted message.
func usagef(format string, args ...any) error { return usageError{errors.Errorf(format, args...)} }

// Main runs the command line args and returns its exit status.
func Main(ctx context.Context, args []string, streams Streams) int {
	c := &command{Streams: streams}
	root := c.rootCommand()
	if err := root.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return ExitOK
		}
		fmt.Fprintln(c.Err, err)
		return ExitUsage
	}
	return c.exit(root.Run(ctx))
}

// exit prints err, if any, and returns its exit status.
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
	}
	fmt.Fprintln(c.Err, err)
	switch {
	case errors.As(err, &usage):
		return ExitUsage
	case errors.Is(err, edit.ErrConflict):
		return ExitConflict
	}
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

// rootCommand returns the command with its subcommands.
func (c *command) rootCommand() *ffcli.Command {
	return c.groupCommand("fuchsiavane", "fuchsiavane COMMAND [flags]", helpRoot,
		c.settingsCommand(),
		c.statusCommand(),
		c.drainCommand(),
		c.leafCommand(leaf{
			name: "demo", usage: "fuchsiavane demo", help: helpDemo,
			exec: func(ctx context.Context, args []string) error {
				if err := noArguments(args); err != nil {
					return err
				}
				return demo.Run(ctx, c.Out)
			},
		}),
		c.leafCommand(leaf{name: "version", usage: "fuchsiavane version", help: helpVersion, exec: c.version}),
	)
}

func (c *command) version(_ context.Context, args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	if c.json {
		return c.printJSON(struct {
			Version string `json:"version"`
		}{daemon.Version})
	}
	_, err := fmt.Fprintln(c.Out, daemon.Version)
	return err
}

func noArguments(args []string) error {
	if len(args) > 0 {
		return usagef("unexpected argument %q", args[0])
	}
	return nil
}

// groupCommand returns a command that only groups subcommands.
func (c *command) groupCommand(name, usage string, help helpText, subcommands ...*ffcli.Command) *ffcli.Command {
	return &ffcli.Command{
		Name: name, ShortUsage: usage, ShortHelp: help.short, LongHelp: help.long(),
		FlagSet: c.newFlagSet(name), Subcommands: subcommands,
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return usagef("%s: unknown command %q; see %s -h", name, args[0], name)
			}
			return flag.ErrHelp
		},
	}
}

// leaf defines a command without subcommands.
type leaf struct {
	name, usage string
	help        helpText
	defineFlags func(*flag.FlagSet)
	exec        func(context.Context, []string) error
}

// leafCommand returns the command that l defines. It adds the flag -json, reads flags
// from the environment and accepts flags after arguments.
func (c *command) leafCommand(l leaf) *ffcli.Command {
	fs := c.newFlagSet(l.name)
	fs.BoolVar(&c.json, "json", false, "print the result as JSON")
	if l.defineFlags != nil {
		l.defineFlags(fs)
	}
	return &ffcli.Command{
		Name: l.name, ShortUsage: l.usage, ShortHelp: l.help.short, LongHelp: l.help.long(), FlagSet: fs,
		Options: []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, args []string) error {
			arguments, err := parseInterleaved(fs, args)
			if err != nil {
				return usageError{err}
			}
			return l.exec(ctx, arguments)
		},
	}
}

// parseInterleaved parses the flags that follow the first argument and returns
// the remaining arguments.
func parseInterleaved(fs *flag.FlagSet, args []string) ([]string, error) {
	var arguments []string
	for len(args) > 0 {
		arguments = append(arguments, args[0])
		if err := fs.Parse(args[1:]); err != nil {
			return nil, err
		}
		args = fs.Args()
	}
	return arguments, nil
}

func (c *command) newFlagSet(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(c.Err)
	return fs
}

func (c *command) platformFlag(fs *flag.FlagSet) {
	fs.StringVar(&c.platform, "platform", "", "base `URL` of the platform's store, also "+envPrefix+"_PLATFORM")
}

// defaultDaemon is the admin base URL of a daemon on this machine.
const defaultDaemon = "http://127.0.0.1:7403"

func (c *command) daemonFlag(fs *flag.FlagSet) {
	fs.StringVar(&c.daemon, "daemon", defaultDaemon, "admin base `URL` of a daemon, also "+envPrefix+"_DAEMON")
}

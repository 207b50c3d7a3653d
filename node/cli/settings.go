package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"fuchsiavane.org/core/settings"
	"fuchsiavane.org/node/edit"
	"fuchsiavane.org/node/platform"
	"fuchsiavane.org/node/platform/client"
)

func (c *command) settingsTree() *ffcli.Command {
	return c.group("settings", "fuchsiavane settings COMMAND", "Checks, changes and shows the settings tree.",
		c.leaf("check", "fuchsiavane settings check FILE", "Reports every finding in a document.", nil, c.check),
		c.applyCommand(),
		c.leaf("show", "fuchsiavane settings show -platform URL", "Prints the document in the store.", c.platformFlag, c.show),
		c.effectiveCommand(),
	)
}

func (c *command) check(_ context.Context, args []string) error {
	document, err := c.readDocument(args)
	if err != nil {
		return err
	}
	if _, findings := settings.Parse(document); len(findings) > 0 {
		return findings
	}
	_, err = fmt.Fprintln(c.Out, "no findings")
	return err
}

func (c *command) applyCommand() *ffcli.Command {
	var author string
	var base uint64
	return c.leaf("apply", "fuchsiavane settings apply -platform URL FILE", "Makes a document the settings in force.",
		func(fs *flag.FlagSet) {
			c.platformFlag(fs)
			fs.StringVar(&author, "author", os.Getenv("USER"), "`name` kept with the edit")
			fs.Uint64Var(&base, "base", 0, "`revision` that the edit builds on; 0: the newest")
		},
		func(ctx context.Context, args []string) error { return c.apply(ctx, args, author, base) })
}

func (c *command) apply(ctx context.Context, args []string, author string, base uint64) error {
	document, err := c.readDocument(args)
	if err != nil {
		return err
	}
	store, err := c.store()
	if err != nil {
		return err
	}
	var on *uint64
	if base > 0 {
		on = &base
	}
	head, err := edit.Apply(ctx, store, document, author, on)
	if err != nil {
		return err
	}
	if c.json {
		return c.printJSON(head)
	}
	_, err = fmt.Fprintf(c.Out, "revision %d\n", head.Revision)
	return err
}

func (c *command) show(ctx context.Context, _ []string) error {
	store, err := c.store()
	if err != nil {
		return err
	}
	head, _, err := edit.Read(ctx, store)
	if errors.Is(err, platform.ErrNotFound) {
		return errors.New("the store holds no settings yet")
	}
	if err != nil {
		return err
	}
	if c.json {
		return c.printJSON(head)
	}
	_, err = c.Out.Write(head.Document)
	return err
}

func (c *command) effectiveCommand() *ffcli.Command {
	var service, method, path, rank string
	return c.leaf("effective", "fuchsiavane settings effective -service NAME FILE", "Shows each value for a call and the level that it comes from.",
		func(fs *flag.FlagSet) {
			fs.StringVar(&service, "service", "", "`name` of the service")
			fs.StringVar(&method, "method", "GET", "HTTP `method`")
			fs.StringVar(&path, "path", "/", "`path` of the call")
			fs.StringVar(&rank, "rank", "", "`rank` that the caller asks for")
		},
		func(_ context.Context, args []string) error {
			text, err := c.readDocument(args)
			if err != nil {
				return err
			}
			document, findings := settings.Parse(text)
			if len(findings) > 0 {
				return findings
			}
			return c.printEffective(document.Effective(service, method, path, rank))
		})
}

func (c *command) printEffective(values []settings.EffectiveValue) error {
	if c.json {
		return c.printJSON(values)
	}
	for _, v := range values {
		if _, err := fmt.Fprintf(c.Out, "%-14s %-24v %s\n", v.Key, v.Value, v.Level); err != nil {
			return err
		}
	}
	return nil
}

// readDocument reads the one FILE argument; "-" is standard input.
func (c *command) readDocument(args []string) ([]byte, error) {
	if len(args) != 1 {
		return nil, usagef("one FILE is needed, or - for standard input")
	}
	if args[0] == "-" {
		return io.ReadAll(io.LimitReader(c.In, settings.MaxDocumentBytes+1))
	}
	document, err := os.ReadFile(args[0])
	return document, errors.WithStack(err)
}

func (c *command) store() (platform.Store, error) {
	if c.platform == "" {
		return nil, usagef("-platform (or %s_PLATFORM) is needed", envPrefix)
	}
	store, err := client.New(c.platform)
	if err != nil {
		return nil, usageError{err}
	}
	return store, nil
}

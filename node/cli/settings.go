package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"fuchsiavane.org/core/settings"
	"fuchsiavane.org/node/edit"
	"fuchsiavane.org/node/kv"
	"fuchsiavane.org/node/kv/client"
)

func (c *command) settingsCommand() *ffcli.Command {
	return c.groupCommand("settings", "fuchsiavane settings COMMAND [flags]", helpSettings,
		c.leafCommand(leaf{name: "check", usage: "fuchsiavane settings check FILE", help: helpCheck, exec: c.check}),
		c.diffCommand(),
		c.applyCommand(),
		c.showCommand(),
		c.historyCommand(),
		c.effectiveCommand(),
	)
}

func (c *command) check(_ context.Context, args []string) error {
	if _, err := c.readChecked(args); err != nil {
		return err
	}
	if c.json {
		return c.printJSON(settings.Findings{})
	}
	_, err := fmt.Fprintln(c.Out, "no findings")
	return err
}

func (c *command) diffCommand() *ffcli.Command {
	var revision uint64
	return c.leafCommand(leaf{
		name: "diff", usage: "fuchsiavane settings diff [-platform URL] [-revision N] FILE", help: helpDiff,
		defineFlags: func(fs *flag.FlagSet) {
			c.platformFlag(fs)
			revisionFlag(fs, &revision)
		},
		exec: func(ctx context.Context, args []string) error { return c.diff(ctx, args, revision) },
	})
}

func (c *command) diff(ctx context.Context, args []string, revision uint64) error {
	var before []byte
	var err error
	if len(args) == 2 {
		before, err = c.readChecked(args[:1])
		args = args[1:]
	} else {
		before, err = c.readStoredDocument(ctx, revision)
	}
	if err != nil {
		return err
	}
	after, err := c.readChecked(args)
	if err != nil {
		return err
	}
	return c.printChanges(settings.Diff(before, after))
}

func (c *command) printChanges(changes []settings.Change) error {
	if c.json {
		if changes == nil {
			changes = []settings.Change{}
		}
		return c.printJSON(changes)
	}
	if len(changes) == 0 {
		_, err := fmt.Fprintln(c.Out, "no differences")
		return err
	}
	return writeChanges(c.Out, changes)
}

func writeChanges(w io.Writer, changes []settings.Change) error {
	for _, change := range changes {
		if _, err := fmt.Fprintln(w, change); err != nil {
			return err
		}
	}
	return nil
}

// showResult is the JSON output of show.
type showResult struct {
	edit.Stamp
	Document json.RawMessage `json:"document"`
}

func (c *command) showCommand() *ffcli.Command {
	var revision uint64
	return c.leafCommand(leaf{
		name: "show", usage: "fuchsiavane settings show [-platform URL] [-revision N]", help: helpShow,
		defineFlags: func(fs *flag.FlagSet) {
			c.platformFlag(fs)
			revisionFlag(fs, &revision)
		},
		exec: func(ctx context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			head, err := c.readStored(ctx, revision)
			if err != nil {
				return err
			}
			if c.json {
				return c.printJSON(showResult{head.Stamp, head.Document})
			}
			_, err = c.Out.Write(head.Document)
			return err
		},
	})
}

func (c *command) historyCommand() *ffcli.Command {
	var limit int
	return c.leafCommand(leaf{
		name: "history", usage: "fuchsiavane settings history [-platform URL] [-limit N]", help: helpHistory,
		defineFlags: func(fs *flag.FlagSet) {
			c.platformFlag(fs)
			fs.IntVar(&limit, "limit", 20, "maximum number of `edits` shown")
		},
		exec: func(ctx context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			head, err := c.readStored(ctx, 0)
			if err != nil {
				return err
			}
			edits := append([]edit.Stamp{head.Stamp}, head.Recent...)
			return c.printHistory(edits[:min(max(limit, 0), len(edits))])
		},
	})
}

func (c *command) printHistory(edits []edit.Stamp) error {
	if c.json {
		return c.printJSON(edits)
	}
	table := tabwriter.NewWriter(c.Out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "REVISION\tAT\tAUTHOR\tEDIT")
	for _, e := range edits {
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\n", e.Revision, e.At.Format(time.RFC3339), e.Author, e.EditID)
	}
	return table.Flush()
}

func (c *command) effectiveCommand() *ffcli.Command {
	var service, method, path, rank string
	return c.leafCommand(leaf{
		name: "effective", usage: "fuchsiavane settings effective -service NAME [-method M] [-path P] [-rank R] [FILE]", help: helpEffective,
		defineFlags: func(fs *flag.FlagSet) {
			c.platformFlag(fs)
			fs.StringVar(&service, "service", "", "`name` of the service (required)")
			fs.StringVar(&method, "method", "GET", "HTTP `method`")
			fs.StringVar(&path, "path", "/", "`path` of the call")
			fs.StringVar(&rank, "rank", "", "`rank` that the caller requests")
		},
		exec: func(ctx context.Context, args []string) error {
			if service == "" {
				return usagef("-service is required")
			}
			text, err := c.readDocumentOrStored(ctx, args)
			if err != nil {
				return err
			}
			document, err := c.parseForReading(text, len(args) > 0)
			if err != nil {
				return err
			}
			return c.printEffective(document.Effective(service, method, path, rank))
		},
	})
}

// parseForReading parses a document to show its values. A file is checked strictly. Of
// the document in the store, it shows what daemons of this version apply, and notes on
// standard error what they leave out.
func (c *command) parseForReading(text []byte, file bool) (*settings.Document, error) {
	if file {
		document, findings := settings.Parse(text)
		if document == nil {
			return nil, findings
		}
		return document, nil
	}
	document, findings := settings.ParseTolerant(text)
	if document == nil {
		return nil, findings
	}
	for _, f := range findings {
		fmt.Fprintf(c.Err, "left out by daemons of this version: %v\n", f)
	}
	return document, nil
}

func (c *command) printEffective(values []settings.EffectiveValue) error {
	if c.json {
		return c.printJSON(values)
	}
	table := tabwriter.NewWriter(c.Out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "SETTING\tVALUE\tSET BY")
	for _, v := range values {
		fmt.Fprintf(table, "%s\t%v\t%s\n", v.Key, v.Value, v.Level)
	}
	return table.Flush()
}

func revisionFlag(fs *flag.FlagSet, revision *uint64) {
	fs.Uint64Var(revision, "revision", 0, "`revision` of the settings; 0 is the one in force")
}

// readChecked reads the document of the FILE argument and returns an error if it
// has findings.
func (c *command) readChecked(args []string) ([]byte, error) {
	document, err := c.readDocument(args)
	if err != nil {
		return nil, err
	}
	if _, findings := settings.Parse(document); len(findings) > 0 {
		return nil, findings
	}
	return document, nil
}

// readDocument reads the document of the FILE argument; "-" is standard input.
func (c *command) readDocument(args []string) ([]byte, error) {
	if len(args) != 1 {
		return nil, usagef("one FILE is required, or - for standard input")
	}
	if args[0] == "-" {
		return io.ReadAll(io.LimitReader(c.In, settings.MaxDocumentBytes+1))
	}
	document, err := os.ReadFile(args[0])
	return document, errors.WithStack(err)
}

// readDocumentOrStored reads the document of the FILE argument, or the one in force
// if there is no argument.
func (c *command) readDocumentOrStored(ctx context.Context, args []string) ([]byte, error) {
	if len(args) > 0 {
		return c.readDocument(args)
	}
	return c.readStoredDocument(ctx, 0)
}

func (c *command) readStoredDocument(ctx context.Context, revision uint64) ([]byte, error) {
	head, err := c.readStored(ctx, revision)
	return head.Document, err
}

// readStored reads a revision of the settings from the store; 0 is the one in
// force.
func (c *command) readStored(ctx context.Context, revision uint64) (edit.Head, error) {
	store, err := c.store()
	if err != nil {
		return edit.Head{}, err
	}
	var head edit.Head
	if revision == 0 {
		head, _, err = edit.Read(ctx, store)
	} else {
		head, err = edit.ReadRevision(ctx, store, revision)
	}
	if errors.Is(err, kv.ErrNotFound) {
		return head, errors.New("the store holds no settings yet: create them with \"settings apply\"")
	}
	return head, c.wrapStoreError(err)
}

// wrapStoreError adds the URL of the store to an error of the store itself. Other
// errors are returned as they are.
func (c *command) wrapStoreError(err error) error {
	var findings settings.Findings
	var uncertain *edit.UncertainError
	switch {
	case err == nil, errors.As(err, &findings), errors.As(err, &uncertain):
		return err
	case errors.Is(err, edit.ErrConflict), errors.Is(err, edit.ErrRevisionNotFound), errors.Is(err, edit.ErrInvalidAuthor):
		return err
	}
	return errors.Wrapf(err, "the platform's store at %s can't be used", c.platform)
}

// store returns a client of the store that -platform names.
func (c *command) store() (kv.Store, error) {
	if c.platform == "" {
		return nil, usagef("-platform (or %s_PLATFORM) is required", envPrefix)
	}
	store, err := client.New(c.platform)
	if err != nil {
		return nil, usageError{err}
	}
	return store, nil
}

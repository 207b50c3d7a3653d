package cli

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"fuchsiavane.org/core/settings"
	"fuchsiavane.org/node/edit"
	"fuchsiavane.org/node/kv"
)

// waitInterval is the pause between looks at which daemons have a revision.
const waitInterval = 250 * time.Millisecond

// applyFlags are the flags of apply.
type applyFlags struct {
	author      string
	base, above uint64
	wait        bool
	waitTime    time.Duration
}

func (c *command) applyCommand() *ffcli.Command {
	var f applyFlags
	return c.leaf(leaf{
		name: "apply", usage: "fuchsiavane settings apply [-platform URL] [-base N] [-wait] FILE", help: helpApply,
		define: func(fs *flag.FlagSet) {
			c.platformFlag(fs)
			c.daemonFlag(fs)
			fs.StringVar(&f.author, "author", os.Getenv("USER"), "`name` kept with the edit")
			fs.Uint64Var(&f.base, "base", 0, "`revision` that the edit builds on; 0 is the one in force")
			fs.Uint64Var(&f.above, "above", 0, "the new revision is above this `revision`, as after the store lost edits")
			fs.BoolVar(&f.wait, "wait", false, "return when the live daemons have the revision in force")
			fs.DurationVar(&f.waitTime, "wait-time", 15*time.Second, "longest `time` that -wait takes")
		},
		exec: func(ctx context.Context, args []string) error { return c.apply(ctx, args, f) },
	})
}

// applied is the result of apply.
type applied struct {
	edit.Stamp
	*fleet
}

func (c *command) apply(ctx context.Context, args []string, f applyFlags) error {
	document, err := c.readChecked(args)
	if err != nil {
		return err
	}
	store, err := c.store()
	if err != nil {
		return err
	}
	e := edit.Edit{Document: document, Author: f.author, AboveRevision: f.above}
	if f.base > 0 {
		e.Base = &f.base
	}
	seen, err := c.revisionInForce(ctx, f.wait)
	if err != nil {
		return err
	}
	e.AboveRevision = max(e.AboveRevision, seen)
	head, err := edit.Commit(ctx, store, e)
	if err != nil {
		return c.applyFailed(ctx, store, err)
	}
	result := applied{Stamp: head.Stamp}
	if f.wait {
		result.fleet, err = c.waitInForce(ctx, head.Revision, f.waitTime)
	}
	if printErr := c.printApplied(result); printErr != nil {
		return printErr
	}
	return err
}

// revisionInForce asks the daemon, if one is given or needed, for the newest
// revision that it knows to be in force. Only -wait can't go on without it.
func (c *command) revisionInForce(ctx context.Context, needed bool) (uint64, error) {
	if !needed && c.daemon == defaultDaemon {
		return 0, nil
	}
	seen, err := c.newestRevision(ctx)
	switch {
	case err == nil:
		return seen, nil
	case needed:
		return 0, errors.Wrap(err, "nothing was changed: -wait needs a daemon")
	}
	fmt.Fprintf(c.Err, "the revision in force is not known: %v\n", err)
	return 0, nil
}

func (c *command) printApplied(a applied) error {
	if c.json {
		return c.printJSON(a)
	}
	if _, err := fmt.Fprintf(c.Out, "revision %d\n", a.Revision); err != nil || a.fleet == nil {
		return err
	}
	_, err := fmt.Fprintf(c.Out, "in force at %d of %d live daemons\n", len(a.InForce), len(a.InForce)+len(a.Behind))
	if err == nil && len(a.NotLive) > 0 {
		_, err = fmt.Fprintf(c.Out, "not live, not waited for: %s\n", strings.Join(a.NotLive, ", "))
	}
	return err
}

// conflict is what an operator sees whose edit came second.
type conflict struct {
	Conflict bool              `json:"conflict"`
	Base     uint64            `json:"base"`
	Now      edit.Stamp        `json:"now"`
	Changes  []settings.Change `json:"changes"`
}

// applyFailed shows what another operator changed, if that is the failure.
func (c *command) applyFailed(ctx context.Context, store kv.Store, err error) error {
	var failure *edit.ConflictError
	if !errors.As(err, &failure) {
		return c.away(err)
	}
	base, baseErr := edit.ReadRevision(ctx, store, failure.Base)
	known := baseErr == nil || failure.Base == 0
	result := conflict{Conflict: true, Base: failure.Base, Now: failure.Current.Stamp}
	if known {
		result.Changes = settings.Diff(base.Document, failure.Current.Document)
	}
	if c.json {
		_ = c.printJSON(result)
		return err
	}
	if !known {
		fmt.Fprintf(c.Err, "revision %d is no longer kept; compare with \"settings diff\"\n", failure.Base)
		return err
	}
	fmt.Fprintf(c.Err, "changed since revision %d:\n", failure.Base)
	_ = writeChanges(c.Err, result.Changes)
	return err
}

// waitInForce waits until the live daemons have a revision in force.
func (c *command) waitInForce(ctx context.Context, revision uint64, limit time.Duration) (*fleet, error) {
	end := time.Now().Add(limit)
	for {
		f, err := c.fleetAt(ctx, revision)
		if err == nil && len(f.Behind) == 0 {
			return f, nil
		}
		if time.Now().After(end) || ctx.Err() != nil {
			return f, notInForce(revision, limit, f, err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(waitInterval):
		}
	}
}

func notInForce(revision uint64, limit time.Duration, f *fleet, err error) error {
	if err != nil {
		return errors.Wrapf(err, "revision %d was accepted, but where it is in force is not known", revision)
	}
	return errors.Errorf("revision %d was accepted, but is not in force after %v at: %s", revision, limit, strings.Join(f.Behind, ", "))
}

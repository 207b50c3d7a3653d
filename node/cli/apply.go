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

// pollInterval is the time between two polls of the daemons for a revision.
const pollInterval = 250 * time.Millisecond

// applyFlags holds the flags of apply.
type applyFlags struct {
	author      string
	base, above uint64
	wait        bool
	waitTime    time.Duration
}

func (c *command) applyCommand() *ffcli.Command {
	var f applyFlags
	return c.leafCommand(leaf{
		name: "apply", usage: "fuchsiavane settings apply [-platform URL] [-base N] [-wait] FILE", help: helpApply,
		defineFlags: func(fs *flag.FlagSet) {
			c.platformFlag(fs)
			c.daemonFlag(fs)
			fs.StringVar(&f.author, "author", os.Getenv("USER"), "`name` stored with the edit")
			fs.Uint64Var(&f.base, "base", 0, "`revision` that the edit is based on; 0 is the one in force")
			fs.Uint64Var(&f.above, "above", 0, "`revision` that the new one must exceed, for a store that lost edits")
			fs.BoolVar(&f.wait, "wait", false, "return when the live daemons have the revision in force")
			fs.DurationVar(&f.waitTime, "wait-time", 15*time.Second, "maximum `time` that -wait takes")
		},
		exec: func(ctx context.Context, args []string) error { return c.apply(ctx, args, f) },
	})
}

// applyResult is the JSON output of apply; rollout is nil without -wait.
type applyResult struct {
	edit.Stamp
	*rollout
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
	inForce, err := c.revisionInForce(ctx, f.wait)
	if err != nil {
		return err
	}
	e.AboveRevision = max(e.AboveRevision, inForce)
	head, err := edit.Commit(ctx, store, e)
	if err != nil {
		return c.reportConflict(ctx, store, err)
	}
	result := applyResult{Stamp: head.Stamp}
	if f.wait {
		result.rollout, err = c.waitInForce(ctx, head.Revision, f.waitTime)
	}
	if printErr := c.printApplied(result); printErr != nil {
		return printErr
	}
	return err
}

// revisionInForce returns the newest revision that the daemon knows to be in
// force. Without needed, it returns 0 if the daemon is the default one or does not
// respond. With needed, as for -wait, it returns an error if there is no response.
func (c *command) revisionInForce(ctx context.Context, needed bool) (uint64, error) {
	if !needed && c.daemon == defaultDaemon {
		return 0, nil
	}
	newest, err := c.newestRevision(ctx)
	switch {
	case err == nil:
		return newest, nil
	case needed:
		return 0, errors.Wrap(err, "nothing was changed: -wait needs a daemon")
	}
	fmt.Fprintf(c.Err, "the revision in force is unknown: %v\n", err)
	return 0, nil
}

func (c *command) printApplied(a applyResult) error {
	if c.json {
		return c.printJSON(a)
	}
	if _, err := fmt.Fprintf(c.Out, "revision %d\n", a.Revision); err != nil || a.rollout == nil {
		return err
	}
	_, err := fmt.Fprintf(c.Out, "in force at %d of %d live daemons\n", len(a.InForce), len(a.InForce)+len(a.Behind))
	if err == nil && len(a.NotLive) > 0 {
		_, err = fmt.Fprintf(c.Out, "not live, not waited for: %s\n", strings.Join(a.NotLive, ", "))
	}
	return err
}

// conflictResult is the JSON output of apply if another edit was accepted first.
type conflictResult struct {
	Conflict bool              `json:"conflict"`
	Base     uint64            `json:"base"`
	Current  edit.Stamp        `json:"now"`
	Changes  []settings.Change `json:"changes"`
}

// reportConflict prints what another operator changed if err is a conflict. It
// returns err for the exit status, with the store's URL if the store failed.
func (c *command) reportConflict(ctx context.Context, store kv.Store, err error) error {
	var conflictErr *edit.ConflictError
	if !errors.As(err, &conflictErr) {
		return c.wrapStoreError(err)
	}
	base, baseErr := edit.ReadRevision(ctx, store, conflictErr.Base)
	baseKnown := baseErr == nil || conflictErr.Base == 0
	result := conflictResult{Conflict: true, Base: conflictErr.Base, Current: conflictErr.Current.Stamp}
	if baseKnown {
		result.Changes = settings.Diff(base.Document, conflictErr.Current.Document)
	}
	if c.json {
		_ = c.printJSON(result)
		return err
	}
	if !baseKnown {
		fmt.Fprintf(c.Err, "revision %d is no longer in the history; compare with \"settings diff\"\n", conflictErr.Base)
		return err
	}
	fmt.Fprintf(c.Err, "changed since revision %d:\n", conflictErr.Base)
	_ = writeChanges(c.Err, result.Changes)
	return err
}

// waitInForce waits until all live daemons have a revision in force, and returns
// the last rollout read and an error if the timeout passes first.
func (c *command) waitInForce(ctx context.Context, revision uint64, timeout time.Duration) (*rollout, error) {
	deadline := time.Now().Add(timeout)
	for {
		r, err := c.rolloutOf(ctx, revision)
		if err == nil && len(r.Behind) == 0 {
			return r, nil
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			return r, notInForceError(revision, timeout, r, err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pollInterval):
		}
	}
}

// notInForceError explains why waitInForce failed; err is the error of the last
// attempt to read the rollout, if any.
func notInForceError(revision uint64, timeout time.Duration, r *rollout, err error) error {
	if err != nil {
		return errors.Wrapf(err, "revision %d was accepted, but the daemons that have it in force are unknown", revision)
	}
	return errors.Errorf("revision %d was accepted, but is not in force after %v at: %s", revision, timeout, strings.Join(r.Behind, ", "))
}

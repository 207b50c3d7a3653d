package cli

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"fuchsiavane.org/node/admin"
)

// maxListedPeers is the maximum number of peers listed one by one without -all.
const maxListedPeers = 60

func (c *command) statusCommand() *ffcli.Command {
	var watch, all bool
	var interval time.Duration
	return c.leafCommand(leaf{
		name: "status", usage: "fuchsiavane status [-daemon URL] [-watch] [-all]", help: helpStatus,
		defineFlags: func(fs *flag.FlagSet) {
			c.daemonFlag(fs)
			fs.BoolVar(&watch, "watch", false, "repeat until interrupted")
			fs.BoolVar(&all, "all", false, "list every peer, also in a large fleet")
			fs.DurationVar(&interval, "interval", 2*time.Second, "`time` between two updates of -watch")
		},
		exec: func(ctx context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			if watch {
				return c.watchStatus(ctx, interval, all)
			}
			return c.status(ctx, all)
		},
	})
}

// watchStatus prints the status at each interval until ctx ends. An error is
// printed and does not end the loop.
func (c *command) watchStatus(ctx context.Context, interval time.Duration, all bool) error {
	if interval <= 0 {
		return usagef("-interval must be above 0")
	}
	for {
		if !c.json {
			fmt.Fprintf(c.Out, "\n%s\n", time.Now().Format(time.TimeOnly))
		}
		if err := c.status(ctx, all); err != nil && ctx.Err() == nil {
			fmt.Fprintln(c.Err, err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(interval):
		}
	}
}

func (c *command) status(ctx context.Context, all bool) error {
	s, err := c.fetchStatus(ctx, c.daemon)
	if err != nil {
		return err
	}
	if c.json {
		return c.printJSON(s)
	}
	fmt.Fprintf(c.Out, "%s %s: %s, settings revision %d, %d running, %d queued, %d peers\n",
		s.Service, s.Instance, s.LifecycleState, s.SettingsRevision, s.Running, s.Queued, len(s.Peers))
	for _, warning := range warnings(s) {
		fmt.Fprintln(c.Out, "warning: "+warning)
	}
	if len(s.Peers) > maxListedPeers && !all {
		return c.printGroups(s.Peers)
	}
	return c.printPeers(s.Peers)
}

// warnings returns the conditions in a daemon's status that need an operator.
func warnings(s admin.Status) []string {
	var found []string
	if s.Superseded {
		found = append(found, "another process uses this instance ID")
	}
	if s.StoreOutdated {
		found = append(found, fmt.Sprintf("the store's settings (revision %d) differ from those in force: apply again with -wait", s.StoreRevision))
	}
	if len(s.Unreachable) > 0 {
		found = append(found, "unreachable data centres: "+strings.Join(s.Unreachable, ", "))
	}
	if len(s.Ejected) > 0 {
		found = append(found, "peers ejected because their calls fail: "+strings.Join(s.Ejected, ", "))
	}
	return found
}

func (c *command) printPeers(peers []admin.Peer) error {
	table := tabwriter.NewWriter(c.Out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "INSTANCE\tSERVICE\tREGION\tDATA CENTRE\tSTATE\tSETTINGS")
	for _, p := range peers {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\n", p.ID, p.Service, p.Region, p.DataCentre, p.State, formatRevision(p.SettingsRevision))
	}
	return table.Flush()
}

// peerGroup holds the fields by which the peers of a large fleet are counted.
type peerGroup struct {
	region, dataCentre, state string
	revision                  uint64
}

func comparePeerGroups(a, b peerGroup) int {
	return cmp.Or(
		strings.Compare(a.region, b.region),
		strings.Compare(a.dataCentre, b.dataCentre),
		strings.Compare(a.state, b.state),
		cmp.Compare(a.revision, b.revision),
	)
}

// printGroups prints the number of peers in each peerGroup.
func (c *command) printGroups(peers []admin.Peer) error {
	counts := map[peerGroup]int{}
	for _, p := range peers {
		counts[peerGroup{p.Region, p.DataCentre, p.State, p.SettingsRevision}]++
	}
	table := tabwriter.NewWriter(c.Out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "REGION\tDATA CENTRE\tSTATE\tSETTINGS\tINSTANCES")
	for _, g := range slices.SortedFunc(maps.Keys(counts), comparePeerGroups) {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\n", g.region, g.dataCentre, g.state, formatRevision(g.revision), counts[g])
	}
	return table.Flush()
}

func formatRevision(revision uint64) string {
	if revision == 0 {
		return "-"
	}
	return fmt.Sprint(revision)
}

func (c *command) drainCommand() *ffcli.Command {
	return c.leafCommand(leaf{
		name: "drain", usage: "fuchsiavane drain [-daemon URL] INSTANCE", help: helpDrain, defineFlags: c.daemonFlag,
		exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usagef("one INSTANCE is required")
			}
			return c.drain(ctx, args[0])
		},
	})
}

// drainParams is the query of a drain request. The daemon checks that Instance is
// its own ID, so that no other instance is drained.
type drainParams struct {
	Instance string `url:"instance"`
}

// drainResult is the JSON output of drain.
type drainResult struct {
	Instance string `json:"instance"`
	Draining bool   `json:"draining"`
}

func (c *command) drain(ctx context.Context, instance string) error {
	s, err := c.fetchStatus(ctx, c.daemon)
	if err != nil {
		return err
	}
	base, err := c.adminURL(s, instance)
	if err != nil {
		return err
	}
	target, err := c.fetchStatus(ctx, base)
	if err != nil {
		return err
	}
	if target.Instance != instance {
		return errors.Errorf("the admin address of %s, %s, reaches instance %s from this machine: set -daemon to the address of %s", instance, base, target.Instance, instance)
	}
	request := adminClient(base).Post("drain").QueryStruct(drainParams{instance})
	if err := c.sendToAdmin(ctx, request, base, nil); err != nil {
		return err
	}
	if c.json {
		return c.printJSON(drainResult{instance, true})
	}
	_, err = fmt.Fprintf(c.Out, "%s is draining\n", instance)
	return err
}

// adminURL returns the admin base URL of an instance that is in a daemon's
// status.
func (c *command) adminURL(s admin.Status, instance string) (string, error) {
	if s.Instance == instance {
		return c.daemon, nil
	}
	names := make([]string, 0, len(s.Peers))
	for _, p := range s.Peers {
		if p.ID == instance && p.Admin != "" {
			return "http://" + p.Admin, nil
		}
		if p.ID == instance {
			return "", errors.Errorf("the admin address of %s is not known to %s: set -daemon to it", instance, s.Instance)
		}
		names = append(names, p.ID)
	}
	return "", errors.Errorf("instance %q is not known to %s, which knows %s", instance, s.Instance, strings.Join(names, ", "))
}

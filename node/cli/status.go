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

// maxListed is the most peers that are listed one by one unless -all is given.
const maxListed = 60

func (c *command) statusCommand() *ffcli.Command {
	var watch, all bool
	var interval time.Duration
	return c.leaf(leaf{
		name: "status", usage: "fuchsiavane status [-daemon URL] [-watch] [-all]", help: helpStatus,
		define: func(fs *flag.FlagSet) {
			c.daemonFlag(fs)
			fs.BoolVar(&watch, "watch", false, "show again and again until interrupted")
			fs.BoolVar(&all, "all", false, "list every peer, also in a large fleet")
			fs.DurationVar(&interval, "interval", 2*time.Second, "`pause` between two looks of -watch")
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

// watchStatus shows the status until the context ends. A daemon that does not
// answer is reported and asked again.
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
	s, err := c.statusOf(ctx, c.daemon)
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
	if len(s.Peers) > maxListed && !all {
		return c.printGroups(s.Peers)
	}
	return c.printPeers(s.Peers)
}

// warnings says what a daemon's status holds that an operator should look at.
func warnings(s admin.Status) []string {
	var found []string
	if s.Superseded {
		found = append(found, "another process holds this instance id")
	}
	if s.StoreOutdated {
		found = append(found, fmt.Sprintf("the store holds other settings (revision %d) than those in force: apply again with -wait", s.StoreRevision))
	}
	if len(s.Unreachable) > 0 {
		found = append(found, "data centres that don't answer: "+strings.Join(s.Unreachable, ", "))
	}
	if len(s.Ejected) > 0 {
		found = append(found, "peers that get no calls because they fail: "+strings.Join(s.Ejected, ", "))
	}
	return found
}

func (c *command) printPeers(peers []admin.Peer) error {
	table := tabwriter.NewWriter(c.Out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "INSTANCE\tSERVICE\tREGION\tDATA CENTRE\tSTATE\tSETTINGS")
	for _, p := range peers {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\n", p.ID, p.Service, p.Region, p.DataCentre, p.State, revisionText(p.SettingsRevision))
	}
	return table.Flush()
}

// group is what peers have in common in the summary of a large fleet.
type group struct {
	region, dataCentre, state string
	revision                  uint64
}

func compareGroups(a, b group) int {
	return cmp.Or(
		strings.Compare(a.region, b.region),
		strings.Compare(a.dataCentre, b.dataCentre),
		strings.Compare(a.state, b.state),
		cmp.Compare(a.revision, b.revision),
	)
}

// printGroups counts peers by data centre, state and settings.
func (c *command) printGroups(peers []admin.Peer) error {
	counts := map[group]int{}
	for _, p := range peers {
		counts[group{p.Region, p.DataCentre, p.State, p.SettingsRevision}]++
	}
	table := tabwriter.NewWriter(c.Out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "REGION\tDATA CENTRE\tSTATE\tSETTINGS\tINSTANCES")
	for _, g := range slices.SortedFunc(maps.Keys(counts), compareGroups) {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\n", g.region, g.dataCentre, g.state, revisionText(g.revision), counts[g])
	}
	return table.Flush()
}

func revisionText(revision uint64) string {
	if revision == 0 {
		return "-"
	}
	return fmt.Sprint(revision)
}

func (c *command) drainCommand() *ffcli.Command {
	return c.leaf(leaf{
		name: "drain", usage: "fuchsiavane drain [-daemon URL] INSTANCE", help: helpDrain, define: c.daemonFlag,
		exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usagef("one INSTANCE is needed")
			}
			return c.drain(ctx, args[0])
		},
	})
}

// drainParams name the instance that is meant, so that no other is drained.
type drainParams struct {
	Instance string `url:"instance"`
}

// drained is the result of drain.
type drained struct {
	Instance string `json:"instance"`
	Draining bool   `json:"draining"`
}

func (c *command) drain(ctx context.Context, instance string) error {
	s, err := c.statusOf(ctx, c.daemon)
	if err != nil {
		return err
	}
	base, err := c.adminOf(s, instance)
	if err != nil {
		return err
	}
	at, err := c.statusOf(ctx, base)
	if err != nil {
		return err
	}
	if at.Instance != instance {
		return errors.Errorf("the admin address of %s, %s, leads from here to %s: give that of %s as -daemon", instance, base, at.Instance, instance)
	}
	request := adminBase(base).Post("drain").QueryStruct(drainParams{instance})
	if err := c.askAdmin(ctx, request, base, nil); err != nil {
		return err
	}
	if c.json {
		return c.printJSON(drained{instance, true})
	}
	_, err = fmt.Fprintf(c.Out, "%s is draining\n", instance)
	return err
}

// adminOf returns the admin base URL of an instance that a daemon knows.
func (c *command) adminOf(s admin.Status, instance string) (string, error) {
	if s.Instance == instance {
		return c.daemon, nil
	}
	names := make([]string, 0, len(s.Peers))
	for _, p := range s.Peers {
		if p.ID == instance && p.Admin != "" {
			return "http://" + p.Admin, nil
		}
		if p.ID == instance {
			return "", errors.Errorf("the admin address of %s is not known to %s: give it as -daemon", instance, s.Instance)
		}
		names = append(names, p.ID)
	}
	return "", errors.Errorf("instance %q is not known to %s, which knows %s", instance, s.Instance, strings.Join(names, ", "))
}

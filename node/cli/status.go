package cli

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/dghubble/sling"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"fuchsiavane.org/node/admin"
)

// adminTimeout bounds one call to an admin port.
const adminTimeout = 5 * time.Second

func (c *command) statusCommand() *ffcli.Command {
	return c.leaf("status", "fuchsiavane status -daemon URL", "Shows a daemon and the peers that it knows.", c.daemonFlag, c.status)
}

func (c *command) status(context.Context, []string) error {
	var s admin.Status
	if err := c.admin(c.adminBase().Get("status"), &s); err != nil {
		return err
	}
	if c.json {
		return c.printJSON(s)
	}
	fmt.Fprintf(c.Out, "%s %s: %s, settings revision %d, %d running, %d queued\n",
		s.Service, s.Instance, s.Life, s.SettingsRevision, s.Running, s.Queued)
	table := tabwriter.NewWriter(c.Out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "INSTANCE\tSERVICE\tREGION\tDATA CENTRE\tSTATE")
	for _, p := range s.Peers {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\n", p.ID, p.Service, p.Region, p.DataCentre, p.State)
	}
	return table.Flush()
}

func (c *command) drainCommand() *ffcli.Command {
	return c.leaf("drain", "fuchsiavane drain -daemon URL", "Begins the planned stop of a daemon.", c.daemonFlag,
		func(context.Context, []string) error {
			if err := c.admin(c.adminBase().Post("drain"), nil); err != nil {
				return err
			}
			_, err := fmt.Fprintln(c.Out, "draining")
			return err
		})
}

func (c *command) adminBase() *sling.Sling {
	return sling.New().Client(&http.Client{Timeout: adminTimeout}).Base(strings.TrimSuffix(c.daemon, "/") + "/")
}

func (c *command) admin(s *sling.Sling, into any) error {
	request, err := s.Request()
	if err != nil {
		return usageError{err}
	}
	response, err := s.Do(request, into, nil)
	if err != nil {
		return errors.Wrap(err, "daemon")
	}
	if response.StatusCode >= 300 {
		return errors.Errorf("daemon: status %d", response.StatusCode)
	}
	return nil
}

package cli

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"

	"fuchsiavane.org/node/admin"
)

const (
	// adminTimeout bounds one call to an admin port.
	adminTimeout = 3 * time.Second
	// maxAsked bounds the daemons that are asked at once.
	maxAsked = 16
)

// fleet says which live daemons have a revision of the settings in force.
type fleet struct {
	InForce []string `json:"in_force"`
	Behind  []string `json:"behind"`
	// NotLive are peers that are leaving or can't be reached by the daemon
	// asked; they are not waited for.
	NotLive []string `json:"not_live,omitempty"`
}

// fleetAt asks the daemon, and those peers of which it doesn't know that they
// have the revision.
func (c *command) fleetAt(ctx context.Context, revision uint64) (*fleet, error) {
	own, err := c.statusOf(ctx, c.daemon)
	if err != nil {
		return nil, err
	}
	f := &fleet{InForce: []string{}, Behind: []string{}}
	var mu sync.Mutex
	note := func(id string, has bool) {
		mu.Lock()
		defer mu.Unlock()
		if has {
			f.InForce = append(f.InForce, id)
			return
		}
		f.Behind = append(f.Behind, id)
	}
	note(own.Instance, own.SettingsRevision >= revision)
	var group sync.WaitGroup
	asked := make(chan struct{}, maxAsked)
	for _, p := range own.Peers {
		if p.ID == own.Instance {
			continue
		}
		if p.State != admin.StateServing {
			f.NotLive = append(f.NotLive, p.ID+" ("+p.State+")")
			continue
		}
		group.Go(func() {
			asked <- struct{}{}
			defer func() { <-asked }()
			note(p.ID, c.peerHas(ctx, p, revision))
		})
	}
	group.Wait()
	slices.Sort(f.InForce)
	slices.Sort(f.Behind)
	return f, nil
}

func (c *command) peerHas(ctx context.Context, p admin.Peer, revision uint64) bool {
	if p.SettingsRevision >= revision {
		return true
	}
	if p.Admin == "" {
		return false
	}
	status, err := c.statusOf(ctx, "http://"+p.Admin)
	return err == nil && status.Instance == p.ID && status.SettingsRevision >= revision
}

// newestRevision returns the newest revision that the daemon knows to be in
// force anywhere.
func (c *command) newestRevision(ctx context.Context) (uint64, error) {
	status, err := c.statusOf(ctx, c.daemon)
	if err != nil {
		return 0, err
	}
	newest := status.SettingsRevision
	for _, p := range status.Peers {
		newest = max(newest, p.SettingsRevision)
	}
	return newest, nil
}

func (c *command) statusOf(ctx context.Context, base string) (admin.Status, error) {
	var s admin.Status
	err := c.askAdmin(ctx, adminBase(base).Get("status"), base, &s)
	return s, err
}

func adminBase(base string) *sling.Sling {
	return sling.New().Base(strings.TrimSuffix(base, "/") + "/")
}

func (c *command) askAdmin(ctx context.Context, s *sling.Sling, base string, into any) error {
	request, err := s.Request()
	if err != nil {
		return usageError{err}
	}
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	response, err := s.Client(http.DefaultClient).Do(request.WithContext(ctx), into, nil)
	if err != nil {
		return errors.Wrapf(err, "daemon at %s", base)
	}
	if response.StatusCode >= 300 {
		return errors.Errorf("daemon at %s: status %d", base, response.StatusCode)
	}
	return nil
}

package cli

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"

	"fuchsiavane.org/node/admin"
	"fuchsiavane.org/node/oneshot"
)

const (
	// adminTimeout bounds one request to an admin port.
	adminTimeout = 3 * time.Second
	// maxConcurrentRequests bounds the daemons that are queried at the same time.
	maxConcurrentRequests = 16
)

// adminLimits bounds the responses of admin ports. A status lists the whole fleet.
var adminLimits = oneshot.Limits{HeaderBytes: 64 << 10, BodyBytes: 16 << 20}

// rollout lists the live daemons that have a revision of the settings in force
// and those that do not.
type rollout struct {
	InForce []string `json:"in_force"`
	Behind  []string `json:"behind"`
	// NotLive lists peers that are leaving, suspect or unreachable in the status of
	// the queried daemon. They are not waited for.
	NotLive []string `json:"not_live,omitempty"`
}

// rolloutOf returns the rollout of a revision. It queries the daemon, and each
// peer that the daemon does not know to have the revision.
func (c *command) rolloutOf(ctx context.Context, revision uint64) (*rollout, error) {
	status, err := c.fetchStatus(ctx, c.daemon)
	if err != nil {
		return nil, err
	}
	r := &rollout{InForce: []string{}, Behind: []string{}}
	var mu sync.Mutex
	record := func(id string, inForce bool) {
		mu.Lock()
		defer mu.Unlock()
		if inForce {
			r.InForce = append(r.InForce, id)
			return
		}
		r.Behind = append(r.Behind, id)
	}
	record(status.Instance, status.SettingsRevision >= revision)
	var group sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentRequests)
	for _, p := range status.Peers {
		if p.ID == status.Instance {
			continue
		}
		if p.State != admin.StateServing {
			r.NotLive = append(r.NotLive, p.ID+" ("+p.State+")")
			continue
		}
		group.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			record(p.ID, c.peerHasRevision(ctx, p, revision))
		})
	}
	group.Wait()
	slices.Sort(r.InForce)
	slices.Sort(r.Behind)
	return r, nil
}

// peerHasRevision reports whether a peer has at least a revision in force: as the
// queried daemon reported it, or else as the peer's own status does.
func (c *command) peerHasRevision(ctx context.Context, p admin.Peer, revision uint64) bool {
	if p.SettingsRevision >= revision {
		return true
	}
	if p.Admin == "" {
		return false
	}
	status, err := c.fetchStatus(ctx, "http://"+p.Admin)
	return err == nil && status.Instance == p.ID && status.SettingsRevision >= revision
}

// newestRevision returns the newest revision that the daemon knows to be in
// force at itself or at a peer.
func (c *command) newestRevision(ctx context.Context) (uint64, error) {
	status, err := c.fetchStatus(ctx, c.daemon)
	if err != nil {
		return 0, err
	}
	newest := status.SettingsRevision
	for _, p := range status.Peers {
		newest = max(newest, p.SettingsRevision)
	}
	return newest, nil
}

// fetchStatus requests a daemon's status from the admin port at the base URL.
func (c *command) fetchStatus(ctx context.Context, base string) (admin.Status, error) {
	var s admin.Status
	err := c.sendToAdmin(ctx, adminClient(base).Get("status"), base, &s)
	return s, err
}

func adminClient(base string) *sling.Sling {
	return sling.New().Base(strings.TrimSuffix(base, "/") + "/")
}

// sendToAdmin sends a request to an admin port and decodes the JSON response into
// result, unless result is nil. base names the daemon in errors.
func (c *command) sendToAdmin(ctx context.Context, s *sling.Sling, base string, result any) error {
	request, err := s.Request()
	if err != nil {
		return usageError{err}
	}
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	response, err := s.Client(oneshot.NewClient(0, adminLimits)).Do(request.WithContext(ctx), result, nil)
	if err != nil {
		return errors.Wrapf(err, "daemon at %s", base)
	}
	if response.StatusCode >= 300 {
		return errors.Errorf("daemon at %s: status %d", base, response.StatusCode)
	}
	return nil
}

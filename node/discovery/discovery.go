// Package discovery tells the peers of this daemon and learns of them through
// leased keys in the platform's store.
package discovery

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"fuchsiavane.org/core/route"
	"fuchsiavane.org/node/event"
	"fuchsiavane.org/node/platform"
)

const (
	keyPrefix = "instances/"
	// leaseTTL is the time after which a silent instance's key goes.
	leaseTTL = 10 * time.Second
	// interval is the pause between renewals and lists.
	interval = time.Second
)

// Discovery is the duty that keeps the set of peers.
type Discovery struct {
	self   route.Peer
	store  platform.Store
	picker *route.Picker
	log    *event.Logger

	lease    string
	revision uint64
	count    int
}

// New returns a Discovery for the own entry.
func New(self route.Peer, store platform.Store, picker *route.Picker, log *event.Logger) *Discovery {
	picker.Update(time.Now(), []route.Peer{self})
	return &Discovery{self: self, store: store, picker: picker, log: log, count: 1}
}

// Run announces and lists until the context ends.
func (d *Discovery) Run(ctx context.Context) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		_ = d.announce(ctx)
		d.list(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Leave tells the peers that this daemon takes no new work.
func (d *Discovery) Leave(ctx context.Context) error {
	d.self.Leaving = true
	return d.write(ctx)
}

// Gone removes the own entry.
func (d *Discovery) Gone(ctx context.Context) error {
	if d.lease == "" {
		return nil
	}
	return d.store.Revoke(ctx, d.lease)
}

func (d *Discovery) announce(ctx context.Context) error {
	if d.lease != "" {
		err := d.store.KeepAlive(ctx, d.lease)
		if !errors.Is(err, platform.ErrLeaseGone) {
			return err
		}
		d.lease, d.revision = "", 0
	}
	lease, err := d.store.Grant(ctx, leaseTTL)
	if err != nil {
		return err
	}
	d.lease = lease
	return d.write(ctx)
}

func (d *Discovery) write(ctx context.Context) error {
	value, err := json.Marshal(d.self)
	if err != nil {
		return errors.Wrap(err, "own entry")
	}
	key := keyPrefix + d.self.DataCentre + "/" + d.self.ID
	revision, err := d.store.Put(ctx, key, value, d.revision, d.lease)
	if errors.Is(err, platform.ErrConflict) {
		var entry platform.Entry
		if entry, err = d.store.Get(ctx, key); err == nil {
			revision, err = d.store.Put(ctx, key, value, entry.Revision, d.lease)
		}
	}
	if err == nil {
		d.revision = revision
	}
	return err
}

func (d *Discovery) list(ctx context.Context) {
	entries, _, err := d.store.List(ctx, keyPrefix)
	if err != nil {
		return
	}
	peers := []route.Peer{d.self}
	for _, entry := range entries {
		var peer route.Peer
		if json.Unmarshal(entry.Value, &peer) == nil && peer.ID != d.self.ID {
			peers = append(peers, peer)
		}
	}
	if len(peers) != d.count {
		d.count = len(peers)
		d.log.Log(event.PeersChanged).Int("peers", len(peers)).Msg("peers changed")
	}
	d.picker.Update(time.Now(), peers)
}

package daemon

import (
	"context"
	"time"
)

// shareInterval is the interval at which this daemon's shares of the fleet's budgets
// are updated.
const shareInterval = time.Second

// singleDaemonAfter is the time after which a daemon without peers is regarded as the
// only one. Peers are usually found within about a second of a start.
const singleDaemonAfter = 5 * time.Second

// updateShares keeps this daemon's shares of the region link and of the fleet's retry
// budget up to date with the settings and the peers until ctx ends.
func (d *Daemon) updateShares(ctx context.Context) {
	ticker := time.NewTicker(shareInterval)
	defer ticker.Stop()
	start := time.Now()
	for now := start; ; {
		capacity := d.settings.Current().Document.ServiceValues(d.config.Service).RegionLinkRate
		d.regionLink.SetShare(now, capacity, d.picker.DaemonsInRegion())
		if peers := len(d.fleet.members.View().Peers); peers > 1 || time.Since(start) > singleDaemonAfter {
			d.gateway.SetDaemons(peers)
		}
		select {
		case <-ctx.Done():
			return
		case now = <-ticker.C:
		}
	}
}

package daemon

import (
	"context"
	"time"
)

// shareInterval is the pause between looks at this daemon's shares of what the
// fleet may use.
const shareInterval = time.Second

// aloneAfter is the time after which a daemon that has found no peer counts as the
// only one: peers are found within about a second of a start.
const aloneAfter = 5 * time.Second

// followShares is the duty that keeps this daemon's shares of the link between
// regions and of the fleet's retries in step with the settings and the peers.
func (d *Daemon) followShares(ctx context.Context) {
	ticker := time.NewTicker(shareInterval)
	defer ticker.Stop()
	began := time.Now()
	for now := began; ; {
		capacity := d.settings.Current().Document.ServiceValues(d.config.Service).RegionLinkRate
		d.far.SetShare(now, capacity, d.picker.DaemonsInRegion())
		if peers := len(d.shared.members.View().Peers); peers > 1 || time.Since(began) > aloneAfter {
			d.gateway.SetDaemons(peers)
		}
		select {
		case <-ctx.Done():
			return
		case now = <-ticker.C:
		}
	}
}

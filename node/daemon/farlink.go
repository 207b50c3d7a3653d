package daemon

import (
	"context"
	"time"
)

// shareInterval is the pause between looks at this daemon's shares of what the
// fleet may use.
const shareInterval = time.Second

// followShares is the duty that keeps this daemon's shares of the link between
// regions and of the fleet's retries in step with the settings and the peers.
func (d *Daemon) followShares(ctx context.Context) {
	ticker := time.NewTicker(shareInterval)
	defer ticker.Stop()
	for now := time.Now(); ; {
		capacity := d.settings.Current().Document.ServiceValues(d.config.Service).RegionLink
		d.far.Share(now, capacity, d.picker.InRegion())
		d.gateway.Share(len(d.shared.members.View().Peers))
		select {
		case <-ctx.Done():
			return
		case now = <-ticker.C:
		}
	}
}

package daemon

import (
	"context"
	"time"
)

// shareInterval is the pause between looks at the share of the link between
// regions.
const shareInterval = time.Second

// shareLink is the duty that keeps this daemon's share of the link between
// regions in step with the settings and the neighbours.
func (d *Daemon) shareLink(ctx context.Context) {
	ticker := time.NewTicker(shareInterval)
	defer ticker.Stop()
	for now := time.Now(); ; {
		capacity := d.settings.Current().Document.ServiceValues(d.config.Service).RegionLink
		d.far.Share(now, capacity, d.picker.InRegion())
		select {
		case <-ctx.Done():
			return
		case now = <-ticker.C:
		}
	}
}

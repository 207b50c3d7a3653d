package daemon

import (
	"context"
	"time"

	"fuchsiavane.org/node/event"
	"fuchsiavane.org/node/presence"
)

// presenceInterval is the interval of checks whether the upstream's heartbeats have
// stopped.
const presenceInterval = 500 * time.Millisecond

// watchUpstream passes the upstream's heartbeats on until ctx ends: the announced
// slots to the gate, and to the peers whether the upstream takes new requests.
func (d *Daemon) watchUpstream(ctx context.Context) {
	ticker := time.NewTicker(presenceInterval)
	defer ticker.Stop()
	known := presence.State{Heartbeat: presence.Heartbeat{Phase: presence.PhaseAbsent}}
	d.fleet.members.SetLeaving(ctx, true)
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.options.Presence.Changed():
		case <-ticker.C:
		}
		state := d.options.Presence.Current(time.Now())
		if state.Instance == known.Instance && state.StartedAt == known.StartedAt && state.Phase == known.Phase && state.Slots == known.Slots {
			continue
		}
		if state.Instance != known.Instance || state.StartedAt != known.StartedAt {
			d.gate.ForgetRateLimit(time.Now())
		}
		known = state
		d.log.Log(event.UpstreamChanged).Str("upstream", state.Instance).Str("phase", string(state.Phase)).Int("slots", state.Slots).
			Str("version", state.Version).Uint64("sequence", state.Sequence).Int64("cold_ms", state.WarmUpRemaining.Milliseconds()).
			Int64("age_ms", time.Since(state.ReceivedAt).Milliseconds()).Msg("upstream state changed")
		d.gate.SetAnnouncedSlots(state.Slots)
		d.fleet.members.SetLeaving(ctx, state.Phase != presence.PhaseReady)
	}
}

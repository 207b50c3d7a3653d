package daemon

import (
	"context"
	"time"

	"fuchsiavane.org/node/event"
	"fuchsiavane.org/node/presence"
)

// followInterval is the pause between looks whether the upstream has fallen
// silent.
const followInterval = 500 * time.Millisecond

// followUpstream is the duty that tells the gate and the peers what the upstream
// says of itself.
func (d *Daemon) followUpstream(ctx context.Context) {
	ticker := time.NewTicker(followInterval)
	defer ticker.Stop()
	known := presence.State{Heartbeat: presence.Heartbeat{Phase: presence.PhaseAbsent}}
	d.shared.members.SetLeaving(ctx, true)
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.around.Presence.Changed():
		case <-ticker.C:
		}
		state := d.around.Presence.Current(time.Now())
		if state.Instance == known.Instance && state.StartedAt == known.StartedAt && state.Phase == known.Phase && state.Slots == known.Slots {
			continue
		}
		known = state
		d.log.Log(event.UpstreamChanged).Str("upstream", state.Instance).Str("phase", string(state.Phase)).Int("slots", state.Slots).
			Str("version", state.Version).Uint64("sequence", state.Sequence).Int64("cold_ms", state.WarmUpRemaining.Milliseconds()).
			Int64("age_ms", time.Since(state.ReceivedAt).Milliseconds()).Msg("upstream news")
		d.gate.SetAnnouncedSlots(state.Slots)
		d.shared.members.SetLeaving(ctx, state.Phase != presence.PhaseReady)
	}
}

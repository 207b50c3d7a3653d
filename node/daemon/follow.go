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
	known := presence.State{Beat: presence.Beat{Phase: presence.PhaseAbsent}}
	d.shared.members.Rest(ctx, true)
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.around.Presence.Changed():
		case <-ticker.C:
		}
		state := d.around.Presence.Now(time.Now())
		if state.Instance == known.Instance && state.Born == known.Born && state.Phase == known.Phase && state.Slots == known.Slots {
			continue
		}
		known = state
		d.log.Log(event.UpstreamNews).Str("upstream", state.Instance).Str("phase", string(state.Phase)).Int("slots", state.Slots).
			Str("version", state.Version).Uint64("sequence", state.Sequence).Int64("cold_ms", state.Cold.Milliseconds()).
			Int64("age_ms", time.Since(state.At).Milliseconds()).Msg("upstream news")
		d.gate.SetAnnouncedSlots(state.Slots)
		d.shared.members.Rest(ctx, state.Phase != presence.PhaseReady)
	}
}

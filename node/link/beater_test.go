package link

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestBusyLinksAreNotPinged: answers to other calls stand for pings, so that a ping is
// due only after a time without any frame.
func TestBusyLinksAreNotPinged(t *testing.T) {
	timing := DefaultTiming()
	state := &beat{quiet: timing.PingAfter}
	for _, c := range []struct {
		idle time.Duration
		busy bool
		want bool
	}{
		{timing.PingAfter / 2, true, false},
		{timing.PingAfter + 1, true, true},
		{timing.PingAfter + 1, false, false},
		{timing.IdlePingAfter, false, false},
		{timing.IdlePingAfter + 1, false, true},
	} {
		is.New(t).Equal(state.due(timing, c.idle, c.busy), c.want)
	}
}

// TestSilentPeersAreLeftInTime: from the last frame to doubt, with a look at the link
// each Heartbeat, at most half a second.
func TestSilentPeersAreLeftInTime(t *testing.T) {
	timing := DefaultTiming()
	is.New(t).True(timing.PingAfter+timing.CheckInterval+timing.SuspectAfter <= 500*time.Millisecond)
}

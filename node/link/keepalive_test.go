package link

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestBusyLinksAreNotPinged checks that a ping is due only after a time without any
// frame: answers to other calls also show that the peer is alive.
func TestBusyLinksAreNotPinged(t *testing.T) {
	timing := DefaultTiming()
	state := &connState{pingAfter: timing.PingAfter}
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
		is.New(t).Equal(state.isPingDue(timing, c.idle, c.busy), c.want)
	}
}

// TestSilentPeersAreLeftInTime checks that a link becomes suspect at most half a
// second after its last frame, including the wait for the next check.
func TestSilentPeersAreLeftInTime(t *testing.T) {
	timing := DefaultTiming()
	is.New(t).True(timing.PingAfter+timing.CheckInterval+timing.SuspectAfter <= 500*time.Millisecond)
}

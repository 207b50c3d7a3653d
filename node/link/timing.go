package link

import "time"

// Timing is the times by which links judge their peers.
type Timing struct {
	// Heartbeat is the pause between looks at the link.
	CheckInterval time.Duration
	// Quiet is the time without a frame from the other side after which a ping is
	// sent while a call is in progress. Answers to other calls stand for pings.
	PingAfter time.Duration
	// ServingQuiet is the same for the serving side, which has nothing to send
	// elsewhere: it only ends what a lost caller left behind.
	ServingPingAfter time.Duration
	// IdleHeartbeat is the pause between pings while no call is in progress.
	IdlePingAfter time.Duration
	// Silence is the time without an answer to a ping after which a link is
	// given up.
	PingTimeout time.Duration
	// Doubt is the time without an answer to a ping after which a link takes no
	// new requests until it is heard again; 0 for never.
	SuspectAfter time.Duration
	// Opening bounds the wait of a call for a link that is being opened; 0 for no
	// bound of its own.
	OpenTimeout time.Duration
	// Repeatable bounds the wait for a new link of requests that may run more
	// than once, which are better sent elsewhere; 0 for no bound of their own.
	IdempotentTimeout time.Duration
	// Recovery bounds the time in which the calling side tries to open a new
	// link for the calls of one that broke.
	RecoveryTimeout time.Duration
	// Keep is the time for which the serving side remembers a broken link's
	// requests and answers. It is longer than Recovery.
	Retention time.Duration
}

// DefaultTiming returns the times for links between data centres.
func DefaultTiming() Timing {
	return Timing{
		CheckInterval: 100 * time.Millisecond,
		// With Doubt and a look, a silent peer is left after 0.4 s at most. A ping
		// costs as much as a small call, so that busy links send none.
		PingAfter:        200 * time.Millisecond,
		ServingPingAfter: time.Second,
		IdlePingAfter:    10 * time.Second,
		PingTimeout:      750 * time.Millisecond,
		// Three round trips between regions.
		SuspectAfter: 120 * time.Millisecond,
		// The handshake takes three round trips.
		OpenTimeout: 300 * time.Millisecond,
		// Several tries to open a link between regions, each 160 ms with its pause.
		IdempotentTimeout: 1200 * time.Millisecond,
		RecoveryTimeout:   10 * time.Second,
		Retention:         30 * time.Second,
	}
}

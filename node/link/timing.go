package link

import "time"

// Timing is the times by which links judge their peers.
type Timing struct {
	// Heartbeat is the pause between looks at the link.
	Heartbeat time.Duration
	// Quiet is the time without a frame from the other side after which a ping is
	// sent while a call is in progress. Answers to other calls stand for pings.
	Quiet time.Duration
	// ServingQuiet is the same for the serving side, which has nothing to send
	// elsewhere: it only ends what a lost caller left behind.
	ServingQuiet time.Duration
	// IdleHeartbeat is the pause between pings while no call is in progress.
	IdleHeartbeat time.Duration
	// Silence is the time without an answer to a ping after which a link is
	// given up.
	Silence time.Duration
	// Doubt is the time without an answer to a ping after which a link takes no
	// new requests until it is heard again; 0 for never.
	Doubt time.Duration
	// Opening bounds the wait of a call for a link that is being opened; 0 for no
	// bound of its own.
	Opening time.Duration
	// Repeatable bounds the wait for a new link of requests that may run more
	// than once, which are better sent elsewhere; 0 for no bound of their own.
	Repeatable time.Duration
	// Recovery bounds the time in which the calling side tries to open a new
	// link for the calls of one that broke.
	Recovery time.Duration
	// Keep is the time for which the serving side remembers a broken link's
	// requests and answers. It is longer than Recovery.
	Keep time.Duration
}

// DefaultTiming returns the times for links between data centres.
func DefaultTiming() Timing {
	return Timing{
		Heartbeat: 100 * time.Millisecond,
		// With Doubt and a look, a silent peer is left after 0.4 s at most. A ping
		// costs as much as a small call, so that busy links send none.
		Quiet:         200 * time.Millisecond,
		ServingQuiet:  time.Second,
		IdleHeartbeat: 10 * time.Second,
		Silence:       750 * time.Millisecond,
		// Three round trips between regions.
		Doubt: 120 * time.Millisecond,
		// The handshake takes three round trips.
		Opening: 300 * time.Millisecond,
		// Several tries to open a link between regions, each 160 ms with its pause.
		Repeatable: 1200 * time.Millisecond,
		Recovery:   10 * time.Second,
		Keep:       30 * time.Second,
	}
}

package link

import "time"

// Timing holds the intervals and timeouts of links.
type Timing struct {
	// CheckInterval is the interval between checks of a link.
	CheckInterval time.Duration
	// PingAfter is the time without a frame from the peer after which the calling
	// side sends a ping while a call is in progress. Frames of other calls count, so busy
	// links send no pings.
	PingAfter time.Duration
	// ServingPingAfter is PingAfter for the serving side. It may be longer, since
	// the serving side has no request to send elsewhere and only cleans up after a
	// lost caller.
	ServingPingAfter time.Duration
	// IdlePingAfter is the time without a frame from the peer after which a ping is
	// sent while no call is in progress.
	IdlePingAfter time.Duration
	// PingTimeout is the time without an answer to a ping after which a link is
	// closed.
	PingTimeout time.Duration
	// SuspectAfter is the time without an answer to a ping after which a link
	// accepts no new request until it receives a frame; 0 for never.
	SuspectAfter time.Duration
	// OpenTimeout bounds the wait of a call for a link that is being opened; 0 for
	// no bound other than the context of the call.
	OpenTimeout time.Duration
	// IdempotentTimeout bounds the wait of idempotent requests for a new link, since
	// they can be sent to another instance; 0 for no bound of their own.
	IdempotentTimeout time.Duration
	// RecoveryTimeout bounds the time in which the calling side tries to open a new
	// link for the calls of a broken one.
	RecoveryTimeout time.Duration
	// Retention is the time for which the serving side keeps the requests and
	// answers of a broken link. It is longer than RecoveryTimeout.
	Retention time.Duration
}

// DefaultTiming returns the Timing for links between data centres.
func DefaultTiming() Timing {
	return Timing{
		CheckInterval: 100 * time.Millisecond,
		// With SuspectAfter and CheckInterval, a silent peer gets no new request after
		// at most 0.4 s. A ping costs as much as a small call, so busy links send none.
		PingAfter:        200 * time.Millisecond,
		ServingPingAfter: time.Second,
		IdlePingAfter:    10 * time.Second,
		PingTimeout:      750 * time.Millisecond,
		// Three round trips between regions.
		SuspectAfter: 120 * time.Millisecond,
		// The handshake takes three round trips.
		OpenTimeout: 300 * time.Millisecond,
		// Several attempts to open a link between regions, each 160 ms with its backoff.
		IdempotentTimeout: 1200 * time.Millisecond,
		RecoveryTimeout:   10 * time.Second,
		Retention:         30 * time.Second,
	}
}

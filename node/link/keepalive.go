package link

import (
	"sync"
	"time"

	"fuchsiavane.org/node/wire"
)

// keepalive detects unresponsive connections. One goroutine checks all of them,
// so that a daemon with many links is not woken for each link. It is safe for
// concurrent use.
type keepalive struct {
	timing Timing

	mu    sync.Mutex
	conns map[*conn]*connState
}

// connState is the keepalive state of one connection.
type connState struct {
	// hasCalls reports whether calls are in progress. While it does, a ping is sent
	// after pingAfter without a frame.
	hasCalls  func() bool
	pingAfter time.Duration
	// pingSentAt is when the unanswered ping was sent, as the time since the start
	// of the connection; 0 if there is none.
	pingSentAt time.Duration
}

func newKeepalive(timing Timing) *keepalive {
	return &keepalive{timing: timing, conns: map[*conn]*connState{}}
}

// add monitors a connection until it ends. While hasCalls returns true, a ping is
// sent after pingAfter without a frame.
func (k *keepalive) add(c *conn, pingAfter time.Duration, hasCalls func() bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.conns[c] = &connState{hasCalls: hasCalls, pingAfter: pingAfter}
	if len(k.conns) == 1 {
		go k.run()
	}
}

// run checks all connections every Timing.CheckInterval while there are any.
func (k *keepalive) run() {
	ticker := time.NewTicker(k.timing.CheckInterval)
	defer ticker.Stop()
	for range ticker.C {
		if !k.checkAll() {
			return
		}
	}
}

// checkAll checks each connection and reports whether any is still open.
func (k *keepalive) checkAll() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c, state := range k.conns {
		select {
		case <-c.done:
			delete(k.conns, c)
		default:
			c.checkLiveness(k.timing, state)
		}
	}
	return len(k.conns) > 0
}

// checkLiveness pings a connection when a ping is due. It marks the connection as
// suspect after Timing.SuspectAfter without an answer to the ping, and closes it
// after Timing.PingTimeout.
func (c *conn) checkLiveness(timing Timing, state *connState) {
	now := time.Since(c.start)
	lastRead := time.Duration(c.lastRead.Load())
	if lastRead > state.pingSentAt {
		state.pingSentAt = 0
	}
	if state.pingSentAt != 0 {
		waited := now - state.pingSentAt
		if timing.SuspectAfter > 0 && waited > timing.SuspectAfter {
			c.suspect.Store(true)
		}
		if waited > timing.PingTimeout {
			c.close(ErrPingTimeout)
		}
		return
	}
	if state.isPingDue(timing, now-lastRead, state.hasCalls()) {
		state.pingSentAt = now
		c.sendAsync(&wire.Frame{Type: wire.TypePing})
	}
}

// isPingDue reports whether to ping a connection that received no frame for the
// time idle; busy says that calls are in progress.
func (s *connState) isPingDue(timing Timing, idle time.Duration, busy bool) bool {
	return idle > timing.IdlePingAfter || (busy && idle > s.pingAfter)
}

package link

import (
	"sync"
	"time"

	"fuchsiavane.org/node/wire"
)

// beater looks after the silence of many connections from one goroutine, so that
// a daemon with many links is not woken for each of them. It is safe for
// concurrent use.
type beater struct {
	timing Timing

	mu    sync.Mutex
	conns map[*conn]*beat
}

// beat is what the beater knows of one connection.
type beat struct {
	// active reports whether calls are in progress, and quiet is the silence after
	// which a ping is sent then.
	active func() bool
	quiet  time.Duration
	// pinged is when a ping that has no answer yet was sent, since the
	// connection began; 0 if there is none.
	pinged time.Duration
}

func newBeater(timing Timing) *beater {
	return &beater{timing: timing, conns: map[*conn]*beat{}}
}

// add looks after a connection until it ends. While active reports calls in
// progress, it pings after the given time without a frame.
func (b *beater) add(c *conn, quiet time.Duration, active func() bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.conns[c] = &beat{active: active, quiet: quiet}
	if len(b.conns) == 1 {
		go b.run()
	}
}

// run looks at all connections once every heartbeat while there are any.
func (b *beater) run() {
	ticker := time.NewTicker(b.timing.CheckInterval)
	defer ticker.Stop()
	for range ticker.C {
		if !b.look() {
			return
		}
	}
}

// look judges each connection and reports whether any is left.
func (b *beater) look() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for c, state := range b.conns {
		select {
		case <-c.done:
			delete(b.conns, c)
		default:
			c.judge(b.timing, state)
		}
	}
	return len(b.conns) > 0
}

// judge pings a connection that is quiet, doubts one that leaves a ping without
// answer, and closes it when that lasts.
func (c *conn) judge(timing Timing, state *beat) {
	now := time.Since(c.began)
	lastRead := time.Duration(c.lastRead.Load())
	if lastRead > state.pinged {
		state.pinged = 0
	}
	if state.pinged != 0 {
		waited := now - state.pinged
		if timing.SuspectAfter > 0 && waited > timing.SuspectAfter {
			c.doubtful.Store(true)
		}
		if waited > timing.PingTimeout {
			c.close(ErrPingTimeout)
		}
		return
	}
	if state.due(timing, now-lastRead, state.active()) {
		state.pinged = now
		c.post(&wire.Frame{Type: wire.TypePing})
	}
}

// due reports whether a connection is pinged that has been idle for a time.
func (b *beat) due(timing Timing, idle time.Duration, busy bool) bool {
	return idle > timing.IdlePingAfter || (busy && idle > b.quiet)
}

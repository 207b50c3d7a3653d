package daemon

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

const (
	// quietTime is the time without a new connection after which a port may
	// close.
	quietTime = 100 * time.Millisecond
	// quietLimit bounds the wait for it.
	quietLimit = 2 * time.Second
	// quietInterval is the pause between looks.
	quietInterval = 2 * time.Millisecond
)

// listener is a TCP listener that can wait for a moment in which closing it
// harms nobody: closing resets the connections in its queue, on which a caller
// may have sent a request already.
type listener struct {
	net.Listener
	began    time.Time
	accepted atomic.Int64 // time of the last connection, nanoseconds since began
}

func newListener(l net.Listener) *listener { return &listener{Listener: l, began: time.Now()} }

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	l.accepted.Store(int64(time.Since(l.began)))
	return conn, err
}

// awaitQuiet waits until no connection has come for quietTime and none waits in
// the queue. After quietLimit an empty queue is enough.
func (l *listener) awaitQuiet(ctx context.Context) {
	limit := time.Now().Add(quietLimit)
	for ctx.Err() == nil {
		quiet := time.Since(l.began)-time.Duration(l.accepted.Load()) > quietTime
		late := time.Now().After(limit)
		if (quiet || late) && queueLength(l.Listener) == 0 {
			return
		}
		time.Sleep(quietInterval)
	}
}

package daemon

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// quietPeriod is the time without a new connection after which a port may be
	// closed.
	quietPeriod = 100 * time.Millisecond
	// maxQuietWait bounds the wait for a quiet period.
	maxQuietWait = time.Second
	// quietPollInterval is the interval of checks for a quiet port.
	quietPollInterval = 2 * time.Millisecond
)

// listener is a TCP listener that can wait until its accept queue is empty.
// Closing a listener resets the connections in its queue, on which a caller may
// already have sent a request.
type listener struct {
	net.Listener
	start      time.Time
	lastAccept atomic.Int64 // time of the last accepted connection, nanoseconds since start
}

func newListener(l net.Listener) *listener { return &listener{Listener: l, start: time.Now()} }

// setSendBuffer sets the size in bytes of the send buffers of the connections that will
// be accepted: they inherit that of the listening socket.
func (l *listener) setSendBuffer(size int) error {
	tcp, ok := l.Listener.(*net.TCPListener)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, size)
	})
	if err != nil {
		return err
	}
	return optionErr
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	l.lastAccept.Store(int64(time.Since(l.start)))
	return conn, err
}

// awaitQuiet waits until no connection was accepted for quietPeriod and the accept
// queue is empty, or ctx ends. After maxQuietWait an empty queue is enough.
func (l *listener) awaitQuiet(ctx context.Context) {
	deadline := time.Now().Add(maxQuietWait)
	for ctx.Err() == nil {
		quiet := time.Since(l.start)-time.Duration(l.lastAccept.Load()) > quietPeriod
		late := time.Now().After(deadline)
		if (quiet || late) && acceptQueueLength(l.Listener) == 0 {
			return
		}
		time.Sleep(quietPollInterval)
	}
}

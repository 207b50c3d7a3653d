// Package link carries calls between daemons: WebSocket connections with CBOR
// frames, many streams on each, with flow control for each stream.
//
// Urgent and bulk work go on separate connections. A Link is owned by a Pool on
// the calling side and by a Listener on the serving side. All exported types
// are safe for concurrent use.
package link

import (
	"bytes"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/websocket"
	"github.com/pkg/errors"

	"fuchsiavane.org/node/wire"
)

const (
	// maxPending is the bytes waiting to be written at which senders wait.
	maxPending = 128 << 10
	// writeTimeout bounds one write to the network.
	writeTimeout = 5 * time.Second
	// handshakeTimeout bounds the opening of a link.
	handshakeTimeout = 2 * time.Second
)

// Reasons for the end of a link.
var (
	// ErrSilent means that the other side left a ping without answer.
	ErrPingTimeout = errors.New("link: silent connection")
	// ErrClosed means that this side closed the link.
	ErrClosed = errors.New("link: closed")
	// ErrReplaced means that the calling side has a newer link.
	ErrReplaced = errors.New("link: replaced by a newer link")
	// ErrMalformed means that the other side broke the protocol.
	ErrMalformed = errors.New("link: malformed frame")
	// ErrRefused means that the handshake failed.
	ErrRefused = errors.New("link: handshake refused")
)

// conn writes and reads frames on one WebSocket connection. Senders append to a
// shared buffer; the first of them writes for all, so that frames of many calls
// leave in one write under load and no writer goroutine is woken.
type conn struct {
	ws *websocket.Conn
	// lastRead is the time, in nanoseconds since began, of the last frame that
	// is not a ping. A ping does not count: it shows only that the other
	// direction works.
	lastRead atomic.Int64
	began    time.Time
	// doubtful is set while a ping has had no answer for Timing.Doubt.
	doubtful atomic.Bool

	mu      sync.Mutex
	room    *sync.Cond
	pending *bytes.Buffer
	spare   *bytes.Buffer
	writing bool
	err     error
	done    chan struct{}
}

func newConn(ws *websocket.Conn) *conn {
	c := &conn{
		ws:      ws,
		began:   time.Now(),
		pending: &bytes.Buffer{},
		spare:   &bytes.Buffer{},
		done:    make(chan struct{}),
	}
	c.room = sync.NewCond(&c.mu)
	ws.SetReadLimit(wire.MaxMessage)
	return c
}

// send queues a frame and writes if nobody else does. It waits while too much
// is queued; only goroutines that own a call may use it.
func (c *conn) send(f *wire.Frame) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.pending.Len() > maxPending && c.err == nil {
		c.room.Wait()
	}
	if err := c.append(f); err != nil {
		return err
	}
	if !c.writing {
		c.writing = true
		c.flush()
	}
	return c.err
}

// post queues a small frame without ever waiting; the reader uses it.
func (c *conn) post(f *wire.Frame) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.append(f) != nil || c.writing {
		return
	}
	c.writing = true
	go func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.flush()
	}()
}

func (c *conn) append(f *wire.Frame) error {
	if c.err != nil {
		return c.err
	}
	return wire.Append(c.pending, f)
}

// flush writes until nothing is pending. The caller holds the lock and has set
// writing.
func (c *conn) flush() {
	for c.pending.Len() > 0 && c.err == nil {
		out := c.pending
		c.pending = c.spare
		c.mu.Unlock()
		_ = c.ws.SetWriteDeadline(time.Now().Add(writeTimeout))
		err := c.ws.WriteMessage(websocket.BinaryMessage, out.Bytes())
		out.Reset()
		c.mu.Lock()
		c.spare = out
		c.room.Broadcast()
		if err != nil {
			c.fail(errors.Wrap(err, "link: write"))
		}
	}
	c.writing = false
}

// read calls handle for each frame until the connection ends, and returns why.
func (c *conn) read(handle func(wire.Frame) error) error {
	for {
		kind, message, err := c.ws.ReadMessage()
		if isProtocolError(err) {
			return errors.Wrap(ErrMalformed, err.Error())
		}
		if err != nil {
			return errors.Wrap(err, "link: read")
		}
		if kind != websocket.BinaryMessage {
			return errors.Wrap(ErrMalformed, "text message")
		}
		for len(message) > 0 {
			var f wire.Frame
			f, message, err = wire.Decode(message)
			if err != nil {
				return errors.Wrap(ErrMalformed, err.Error())
			}
			if f.Type != wire.TypePing {
				c.lastRead.Store(int64(time.Since(c.began)))
				if c.doubtful.Load() {
					c.doubtful.Store(false)
				}
			}
			if err := handle(f); err != nil {
				return err
			}
		}
	}
}

// isProtocolError reports that the other side broke the WebSocket protocol or
// sent a message beyond the limit. The library gives such errors no type, only
// its name in front.
func isProtocolError(err error) bool {
	var closed *websocket.CloseError
	var network net.Error
	if err == nil || errors.As(err, &closed) || errors.As(err, &network) {
		return false
	}
	return errors.Is(err, websocket.ErrReadLimit) || strings.HasPrefix(err.Error(), "websocket: ")
}

// close ends the connection; the first reason is kept.
func (c *conn) close(reason error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fail(reason)
}

func (c *conn) fail(reason error) {
	if c.err != nil {
		return
	}
	c.err = reason
	close(c.done)
	c.room.Broadcast()
	_ = c.ws.Close()
}

// reason returns why the connection ended.
func (c *conn) reason() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

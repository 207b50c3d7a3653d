// Package link carries calls between daemons: WebSocket connections with CBOR
// frames, many streams on each, with flow control for each stream.
//
// The calling side of a link opens it and sends requests; the serving side runs
// them and sends the answers. If a link breaks, the calling side resumes its
// requests on a new link.
//
// Urgent and bulk calls use separate connections. A Pool owns the Links of the
// calling side, and a Listener those of the serving side. All exported types are
// safe for concurrent use.
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
	// maxPendingBytes is the size of the write buffer above which senders wait.
	maxPendingBytes = 128 << 10
	// writeTimeout bounds one write to the network.
	writeTimeout = 5 * time.Second
	// handshakeTimeout bounds the WebSocket upgrade and each read of the handshake.
	handshakeTimeout = 2 * time.Second
)

// Reasons for the end of a link.
var (
	// ErrPingTimeout means that the peer did not answer a ping in time.
	ErrPingTimeout = errors.New("link: silent connection")
	// ErrClosed means that this side closed the link.
	ErrClosed = errors.New("link: closed")
	// ErrReplaced means that the calling side resumed a request on a newer link.
	ErrReplaced = errors.New("link: replaced by a newer link")
	// ErrMalformed means that the peer violated the protocol.
	ErrMalformed = errors.New("link: malformed frame")
	// ErrRefused means that the handshake failed.
	ErrRefused = errors.New("link: handshake refused")
)

// conn writes and reads frames on one WebSocket connection. Senders append to a
// shared buffer and the first of them writes it, so that under load one write
// carries the frames of many calls and no writer goroutine has to be woken.
type conn struct {
	ws *websocket.Conn
	// lastRead is the time, in nanoseconds since start, of the last frame that is
	// not a ping. A ping from the peer does not show that the peer receives
	// frames, so it does not count.
	lastRead atomic.Int64
	start    time.Time
	// suspect is set while a ping has been unanswered for Timing.SuspectAfter.
	suspect atomic.Bool
	// onUnknown is called for the first frame whose type is unknown. It is set before
	// read and may be nil.
	onUnknown func(wire.Type)

	mu       sync.Mutex
	writable *sync.Cond
	pending  *bytes.Buffer // frames to be written
	spare    *bytes.Buffer // empty buffer that replaces pending while pending is written
	writing  bool          // a goroutine is in flush, or about to call it
	err      error
	done     chan struct{}
}

func newConn(ws *websocket.Conn) *conn {
	c := &conn{
		ws:      ws,
		start:   time.Now(),
		pending: &bytes.Buffer{},
		spare:   &bytes.Buffer{},
		done:    make(chan struct{}),
	}
	c.writable = sync.NewCond(&c.mu)
	ws.SetReadLimit(wire.MaxMessage)
	return c
}

// send queues a frame and writes the buffer unless another goroutine is writing.
// It blocks while more than maxPendingBytes are queued, so the reader of a link
// must not call it.
func (c *conn) send(f *wire.Frame) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.pending.Len() > maxPendingBytes && c.err == nil {
		c.writable.Wait()
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

// sendAsync queues a small frame without blocking. The reader of a link uses it.
func (c *conn) sendAsync(f *wire.Frame) {
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

// flush writes until the buffer is empty. The caller holds c.mu and has set
// c.writing.
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
		c.writable.Broadcast()
		if err != nil {
			c.closeLocked(errors.Wrap(err, "link: write"))
		}
	}
	c.writing = false
}

// read calls handle for each frame until the connection ends or handle fails, and
// returns the reason. Frames of unknown types are ignored.
func (c *conn) read(handle func(wire.Frame) error) error {
	unknownSeen := false
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
				c.lastRead.Store(int64(time.Since(c.start)))
				if c.suspect.Load() {
					c.suspect.Store(false)
				}
			}
			if !f.Type.Known() {
				if !unknownSeen && c.onUnknown != nil {
					c.onUnknown(f.Type)
				}
				unknownSeen = true
				continue
			}
			if err := handle(f); err != nil {
				return err
			}
		}
	}
}

// isProtocolError reports whether err means that the peer violated the WebSocket
// protocol or exceeded the message size limit. The WebSocket library has no type
// for protocol errors, only the prefix "websocket: ".
func isProtocolError(err error) bool {
	var closed *websocket.CloseError
	var network net.Error
	if err == nil || errors.As(err, &closed) || errors.As(err, &network) {
		return false
	}
	return errors.Is(err, websocket.ErrReadLimit) || strings.HasPrefix(err.Error(), "websocket: ")
}

// close ends the connection. The reason of the first call is kept.
func (c *conn) close(reason error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeLocked(reason)
}

// closeLocked is close for callers that hold c.mu.
func (c *conn) closeLocked(reason error) {
	if c.err != nil {
		return
	}
	c.err = reason
	close(c.done)
	c.writable.Broadcast()
	_ = c.ws.Close()
}

// closeReason returns why the connection ended, or nil while it is open.
func (c *conn) closeReason() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

package link

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/pkg/errors"
)

// maxHandshakeBytes bounds what is read of a peer's response to the WebSocket upgrade and
// of its part of the handshake.
const maxHandshakeBytes = 64 << 10

// errHandshakeTooLarge means that a peer sends bytes without end in place of a handshake.
var errHandshakeTooLarge = errors.Errorf("link: the handshake of the peer is larger than %d bytes", maxHandshakeBytes)

// headLimit is a connection on which at most maxHandshakeBytes can be read until
// release. The WebSocket library reads the response to the upgrade without a bound.
type headLimit struct {
	net.Conn
	remaining int // used by the reader only
	released  atomic.Bool
}

// dialLimited dials a peer.
func dialLimited(ctx context.Context, network, addr string) (net.Conn, error) {
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &headLimit{Conn: c, remaining: maxHandshakeBytes}, nil
}

// release lifts the limit after the handshake.
func (c *headLimit) release() { c.released.Store(true) }

// Read implements net.Conn.
func (c *headLimit) Read(p []byte) (int, error) {
	if c.released.Load() {
		return c.Conn.Read(p)
	}
	if c.remaining == 0 {
		return 0, errHandshakeTooLarge
	}
	n, err := c.Conn.Read(p[:min(len(p), c.remaining)])
	c.remaining -= n
	return n, err
}

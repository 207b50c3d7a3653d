// Package oneshot provides HTTP clients that open a connection for each call.
//
// A kept connection may go silent for good while new ones work, because something
// between its two ends has lost track of it. Nothing shows that on an idle connection,
// so the next call on it waits for its timeout. Calls that must not wait, and that are
// rare enough for a handshake each, use these clients.
//
// The clients bound what a response may take of the memory, also in the kernel, and
// refuse responses that are larger or that have an invalid head.
package oneshot

import (
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"fuchsiavane.org/node/httphead"
)

// dialTimeout bounds the opening of a connection. A call to an address that doesn't
// respond then fails soon enough to be made to another one.
const dialTimeout = 700 * time.Millisecond

// receiveBufferBytes is the size in bytes of a connection's receive buffer. The kernel would
// let it grow to tens of megabytes for a sender without end.
const receiveBufferBytes = 256 << 10

// errBodyTooLarge means that a response body is larger than Limits.BodyBytes.
var errBodyTooLarge = errors.New("the response body is too large")

// Limits are the sizes of the largest response that a client accepts, in bytes.
type Limits struct {
	HeaderBytes, BodyBytes int64
}

// NewClient returns a client whose calls end after a timeout, 0 for none. Responses with
// an invalid head or beyond the limits are errors.
func NewClient(timeout time.Duration, limits Limits) *http.Client {
	dialer := net.Dialer{Timeout: dialTimeout, Control: boundReceiveBuffer}
	return &http.Client{Timeout: timeout, Transport: &checkedTransport{
		transport: &http.Transport{
			DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: limits.HeaderBytes,
		},
		maxBodyBytes: limits.BodyBytes,
	}}
}

// boundReceiveBuffer sets the receive buffer of a socket that is about to connect.
func boundReceiveBuffer(_, _ string, socket syscall.RawConn) error {
	var optionErr error
	err := socket.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes)
	})
	if err == nil {
		err = optionErr
	}
	return errors.Wrap(err, "receive buffer")
}

// checkedTransport fails calls whose response has an invalid head or too large a body.
type checkedTransport struct {
	transport    *http.Transport
	maxBodyBytes int64
}

// RoundTrip implements http.RoundTripper.
func (t *checkedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := httphead.Check(response); err != nil {
		_ = response.Body.Close()
		return nil, errors.Wrap(err, "response")
	}
	response.Body = &boundedBody{response.Body, t.maxBodyBytes}
	return response, nil
}

// boundedBody is a response body of which remaining bytes may still be read.
type boundedBody struct {
	io.ReadCloser
	remaining int64
}

// Read implements io.Reader. It fails once the body goes beyond its bound.
func (b *boundedBody) Read(p []byte) (int, error) {
	if int64(len(p)) > b.remaining+1 {
		p = p[:b.remaining+1]
	}
	n, err := b.ReadCloser.Read(p)
	if int64(n) > b.remaining {
		n, b.remaining = int(b.remaining), 0
		return n, errBodyTooLarge
	}
	b.remaining -= int64(n)
	return n, err
}

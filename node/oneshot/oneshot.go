// Package oneshot provides HTTP clients that open a connection for each call.
//
// A kept connection may go silent for good while new ones work, because something
// between its two ends has lost track of it. Nothing shows that on an idle connection,
// so the next call on it waits for its timeout. Calls that must not wait, and that are
// rare enough for a handshake each, use these clients.
package oneshot

import (
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"fuchsiavane.org/node/httphead"
)

// dialTimeout bounds the opening of a connection. A call to an address that doesn't
// respond then fails soon enough to be made to another one.
const dialTimeout = 700 * time.Millisecond

// NewClient returns a client whose calls end after a timeout, 0 for none, and accept
// response headers of up to maxHeaderBytes. Responses with an invalid head are errors.
func NewClient(timeout time.Duration, maxHeaderBytes int64) *http.Client {
	dialer := net.Dialer{Timeout: dialTimeout}
	return &http.Client{Timeout: timeout, Transport: checkedTransport{&http.Transport{
		DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes,
	}}}
}

// checkedTransport fails calls whose response has an invalid head.
type checkedTransport struct{ transport *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t checkedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := httphead.Check(response); err != nil {
		_ = response.Body.Close()
		return nil, errors.Wrap(err, "response")
	}
	return response, nil
}

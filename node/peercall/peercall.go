// Package peercall makes calls between daemons over their peer ports: one sealed request
// and one sealed response, each on a connection of its own.
package peercall

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"fuchsiavane.org/node/oneshot"
	"fuchsiavane.org/node/seal"
)

// maxResponseHeaderBytes is the maximum size of the header of a response.
const maxResponseHeaderBytes = 16 << 10

// Protocol describes one kind of call. Daemons must agree on it, but for Timeout.
type Protocol struct {
	// Path is the HTTP path on the peer port.
	Path string
	// RequestPurpose and ResponsePurpose are what the seals are bound to.
	RequestPurpose, ResponsePurpose string
	// MaxRequestBytes and MaxResponseBytes are the maximum sizes of the sealed messages.
	MaxRequestBytes, MaxResponseBytes int64
	// Timeout bounds a call.
	Timeout time.Duration
}

// Endpoint makes and serves the calls of one Protocol. It is safe for concurrent use.
type Endpoint struct {
	protocol Protocol
	seal     *seal.Sealer
	client   *http.Client
	respond  func(request []byte) ([]byte, error)
}

var _ http.Handler = (*Endpoint)(nil)

// New returns an Endpoint that seals its messages with the link key. respond returns the
// response to a peer's request, or an error if the request is malformed.
func New(p Protocol, key []byte, respond func(request []byte) ([]byte, error)) *Endpoint {
	limits := oneshot.Limits{HeaderBytes: maxResponseHeaderBytes, BodyBytes: p.MaxResponseBytes}
	return &Endpoint{protocol: p, seal: seal.New(key), client: oneshot.NewClient(p.Timeout, limits), respond: respond}
}

// ServeHTTP responds to a peer's call on the peer port.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil || r.Method != http.MethodPost {
		http.Error(w, "want a post", http.StatusBadRequest)
		return
	}
	sealed, err := io.ReadAll(http.MaxBytesReader(w, r.Body, e.protocol.MaxRequestBytes))
	if err != nil {
		http.Error(w, "too large", http.StatusRequestEntityTooLarge)
		return
	}
	request, err := e.seal.Open(e.protocol.RequestPurpose, sealed, from.Addr())
	if err != nil {
		http.Error(w, "refused", http.StatusForbidden)
		return
	}
	response, err := e.respond(request)
	if err != nil {
		http.Error(w, "malformed", http.StatusBadRequest)
		return
	}
	_, _ = w.Write(e.seal.Seal(e.protocol.ResponsePurpose, response)) // a peer that hung up needs no response
}

// Call sends a request to the peer at addr and returns its response. It fails if the peer
// does not respond or does not prove the link key.
func (e *Endpoint) Call(ctx context.Context, addr string, request []byte) ([]byte, error) {
	peer, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, errors.Wrap(err, "peer address")
	}
	sealed := bytes.NewReader(e.seal.Seal(e.protocol.RequestPurpose, request))
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+e.protocol.Path, sealed)
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	response, err := e.client.Do(httpRequest)
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("the peer at %s responded with status %d", addr, response.StatusCode)
	}
	received, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, errors.Wrap(err, "read response")
	}
	return e.seal.Open(e.protocol.ResponsePurpose, received, peer.Addr())
}

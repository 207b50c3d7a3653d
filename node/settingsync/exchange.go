package settingsync

import (
	"bytes"
	"context"
	"crypto/rand"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"fuchsiavane.org/core/settings"
	"fuchsiavane.org/node/edit"
	"fuchsiavane.org/node/oneshot"
	"fuchsiavane.org/node/seal"
)

// Path is the HTTP path on the peer port that returns the settings in force.
const Path = "/fuchsiavane/settings"

// Purposes that the seals of messages are bound to. Daemons must agree on them.
const (
	requestPurpose  = "settings ask"
	responsePurpose = "settings answer"
)

const (
	// exchangeTimeout is the timeout of one exchange with a peer.
	exchangeTimeout = 1500 * time.Millisecond
	// maxRequestBytes and maxResponseBytes are the maximum sizes of the messages.
	maxRequestBytes  = 1 << 10
	maxResponseBytes = settings.MaxDocumentBytes + 64<<10
	// maxResponseHeaderBytes is the maximum size of the header of a response.
	maxResponseHeaderBytes = 16 << 10
	// nonceBytes is the length of the nonce that binds a response to its request.
	nonceBytes = 16
)

// pullRequest requests the settings that a peer has in force.
type pullRequest struct {
	Nonce []byte `cbor:"1,keyasint"`
	// EditID is the edit that the requester has in force, so that the response can
	// be a patch to it.
	EditID string `cbor:"2,keyasint,omitempty"`
}

// pullResponse carries the settings in force: either the document or a patch.
type pullResponse struct {
	Nonce    []byte     `cbor:"1,keyasint"`
	Stamp    edit.Stamp `cbor:"2,keyasint"`
	Document []byte     `cbor:"3,keyasint,omitempty"`
	Patch    *patch     `cbor:"4,keyasint,omitempty"`
}

// Exchange transfers settings between peers over the peer port: it serves the
// settings in force of a Holder and pulls those of other peers. It is safe for
// concurrent use.
type Exchange struct {
	holder *Holder
	seal   *seal.Sealer
	client *http.Client
}

// NewExchange returns an Exchange that seals its messages with the link key.
func NewExchange(holder *Holder, key []byte) *Exchange {
	return &Exchange{
		holder: holder,
		seal:   seal.New(key),
		client: oneshot.NewClient(exchangeTimeout, maxResponseHeaderBytes),
	}
}

// ServeHTTP responds to a peer's pull on the peer port.
func (e *Exchange) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil || r.Method != http.MethodPost {
		http.Error(w, "want a post", http.StatusBadRequest)
		return
	}
	sealed, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		http.Error(w, "too large", http.StatusRequestEntityTooLarge)
		return
	}
	opened, err := e.seal.Open(requestPurpose, sealed, from.Addr())
	if err != nil {
		http.Error(w, "refused", http.StatusForbidden)
		return
	}
	var request pullRequest
	if err := cbor.Unmarshal(opened, &request); err != nil || len(request.Nonce) != nonceBytes {
		http.Error(w, "malformed", http.StatusBadRequest)
		return
	}
	data, err := cbor.Marshal(e.respond(&request))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(e.seal.Seal(responsePurpose, data))
}

func (e *Exchange) respond(request *pullRequest) *pullResponse {
	head := e.holder.Current().Head
	out := &pullResponse{Nonce: request.Nonce, Stamp: head.Stamp}
	if base, found := e.holder.find(request.EditID); found {
		p := diff(base.Document, head.Document)
		out.Patch = &p
		return out
	}
	out.Document = head.Document
	return out
}

// Pull returns the head that the peer at addr has in force. It fails if the peer
// does not respond, does not prove the link key, or sends a patch that does not
// apply to the settings in force here.
func (e *Exchange) Pull(ctx context.Context, addr string) (edit.Head, error) {
	current := e.holder.Current().Head
	request := pullRequest{Nonce: make([]byte, nonceBytes), EditID: current.EditID}
	_, _ = rand.Read(request.Nonce) // crypto/rand.Read never fails
	data, err := cbor.Marshal(request)
	if err != nil {
		return edit.Head{}, errors.Wrap(err, "settings: encode request")
	}
	received, err := e.post(ctx, addr, e.seal.Seal(requestPurpose, data))
	if err != nil {
		return edit.Head{}, err
	}
	return e.readResponse(received, &request, current)
}

// post sends a sealed request and returns the opened response.
func (e *Exchange) post(ctx context.Context, addr string, sealed []byte) ([]byte, error) {
	peer, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, errors.Wrap(err, "settings: peer address")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+Path, bytes.NewReader(sealed))
	if err != nil {
		return nil, errors.Wrap(err, "settings: request")
	}
	response, err := e.client.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "settings: request")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("settings: the peer at %s responded with status %d", addr, response.StatusCode)
	}
	received, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, errors.Wrap(err, "settings: read response")
	}
	return e.seal.Open(responsePurpose, received, peer.Addr())
}

func (e *Exchange) readResponse(data []byte, request *pullRequest, current edit.Head) (edit.Head, error) {
	var response pullResponse
	if err := cbor.Unmarshal(data, &response); err != nil {
		return edit.Head{}, errors.Wrap(err, "settings: decode response")
	}
	if !bytes.Equal(response.Nonce, request.Nonce) {
		return edit.Head{}, errors.New("settings: the nonce of the response is not that of the request")
	}
	head := edit.Head{Stamp: response.Stamp, Document: response.Document}
	if response.Patch == nil {
		return head, nil
	}
	var err error
	head.Document, err = response.Patch.apply(current.Document)
	return head, err
}

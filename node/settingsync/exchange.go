package settingsync

import (
	"bytes"
	"context"
	"crypto/rand"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"fuchsiavane.org/core/settings"
	"fuchsiavane.org/node/edit"
	"fuchsiavane.org/node/peercall"
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
	holder   *Holder
	endpoint *peercall.Endpoint
}

// NewExchange returns an Exchange that seals its messages with the link key.
func NewExchange(holder *Holder, key []byte) *Exchange {
	e := &Exchange{holder: holder}
	e.endpoint = peercall.New(peercall.Protocol{
		Path: Path, RequestPurpose: requestPurpose, ResponsePurpose: responsePurpose,
		MaxRequestBytes: maxRequestBytes, MaxResponseBytes: maxResponseBytes, Timeout: exchangeTimeout,
	}, key, e.serve)
	return e
}

// ServeHTTP responds to a peer's pull on the peer port.
func (e *Exchange) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.endpoint.ServeHTTP(w, r) }

// serve responds to an encoded pullRequest.
func (e *Exchange) serve(data []byte) ([]byte, error) {
	var request pullRequest
	if err := cbor.Unmarshal(data, &request); err != nil || len(request.Nonce) != nonceBytes {
		return nil, errors.New("settings: malformed request")
	}
	return cbor.Marshal(e.respond(&request))
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
	received, err := e.endpoint.Call(ctx, addr, data)
	if err != nil {
		return edit.Head{}, errors.Wrap(err, "settings")
	}
	return e.readResponse(received, &request, current)
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

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
	"fuchsiavane.org/node/seal"
)

// Path is where the peer port gives the settings in force.
const Path = "/fuchsiavane/settings"

// Purposes of seals.
const (
	askPurpose    = "settings ask"
	answerPurpose = "settings answer"
)

const (
	// exchangeTimeout bounds one exchange with a peer.
	exchangeTimeout = 1500 * time.Millisecond
	// exchangeIdle is how long an unused connection is kept.
	exchangeIdle = 10 * time.Second
	// maxAsk and maxAnswer bound the messages, in bytes.
	maxAsk    = 1 << 10
	maxAnswer = settings.MaxDocumentBytes + 64<<10
	// nonceBytes is the length of the nonce that ties an answer to its ask.
	nonceBytes = 16
)

// ask asks a peer for its settings in force.
type ask struct {
	Nonce []byte `cbor:"1,keyasint"`
	// EditID is the edit that the asking side has in force, so that the answer
	// may be a patch.
	EditID string `cbor:"2,keyasint,omitempty"`
}

// answer is the settings in force, as a whole or as a patch.
type answer struct {
	Nonce    []byte     `cbor:"1,keyasint"`
	Stamp    edit.Stamp `cbor:"2,keyasint"`
	Document []byte     `cbor:"3,keyasint,omitempty"`
	Patch    *patch     `cbor:"4,keyasint,omitempty"`
}

// Exchange moves settings between peers over the peer port. It is safe for
// concurrent use.
type Exchange struct {
	holder *Holder
	seal   *seal.Sealer
	client *http.Client
}

// NewExchange returns an Exchange that proves the link key.
func NewExchange(holder *Holder, key []byte) *Exchange {
	return &Exchange{
		holder: holder,
		seal:   seal.New(key),
		client: &http.Client{Timeout: exchangeTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: exchangeIdle}},
	}
}

// ServeHTTP answers a peer's ask on the peer port.
func (e *Exchange) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil || r.Method != http.MethodPost {
		http.Error(w, "want a post", http.StatusBadRequest)
		return
	}
	sealed, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAsk))
	if err != nil {
		http.Error(w, "too large", http.StatusRequestEntityTooLarge)
		return
	}
	opened, err := e.seal.Open(askPurpose, sealed, from.Addr())
	if err != nil {
		http.Error(w, "refused", http.StatusForbidden)
		return
	}
	var a ask
	if err := cbor.Unmarshal(opened, &a); err != nil || len(a.Nonce) != nonceBytes {
		http.Error(w, "malformed", http.StatusBadRequest)
		return
	}
	data, err := cbor.Marshal(e.answer(&a))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(e.seal.Seal(answerPurpose, data))
}

func (e *Exchange) answer(a *ask) *answer {
	head := e.holder.Current().Head
	out := &answer{Nonce: a.Nonce, Stamp: head.Stamp}
	if base, kept := e.holder.find(a.EditID); kept {
		p := diff(base.Document, head.Document)
		out.Patch = &p
		return out
	}
	out.Document = head.Document
	return out
}

// Pull returns the head that the peer at an address has in force.
func (e *Exchange) Pull(ctx context.Context, addr string) (edit.Head, error) {
	mine := e.holder.Current().Head
	a := ask{Nonce: make([]byte, nonceBytes), EditID: mine.EditID}
	_, _ = rand.Read(a.Nonce) // crypto/rand.Read never fails
	data, err := cbor.Marshal(a)
	if err != nil {
		return edit.Head{}, errors.Wrap(err, "settings: ask")
	}
	received, err := e.post(ctx, addr, e.seal.Seal(askPurpose, data))
	if err != nil {
		return edit.Head{}, err
	}
	return e.read(received, &a, mine)
}

// post sends a sealed ask and returns the opened answer.
func (e *Exchange) post(ctx context.Context, addr string, sealed []byte) ([]byte, error) {
	peer, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, errors.Wrap(err, "settings: peer")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+Path, bytes.NewReader(sealed))
	if err != nil {
		return nil, errors.Wrap(err, "settings: ask")
	}
	response, err := e.client.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "settings: ask")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("settings: the peer at %s answers %d", addr, response.StatusCode)
	}
	received, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return nil, errors.Wrap(err, "settings: answer")
	}
	return e.seal.Open(answerPurpose, received, peer.Addr())
}

func (e *Exchange) read(data []byte, a *ask, mine edit.Head) (edit.Head, error) {
	var got answer
	if err := cbor.Unmarshal(data, &got); err != nil {
		return edit.Head{}, errors.Wrap(err, "settings: answer")
	}
	if !bytes.Equal(got.Nonce, a.Nonce) {
		return edit.Head{}, errors.New("settings: answer to another ask")
	}
	head := edit.Head{Stamp: got.Stamp, Document: got.Document}
	if got.Patch == nil {
		return head, nil
	}
	var err error
	head.Document, err = got.Patch.apply(mine.Document)
	return head, err
}

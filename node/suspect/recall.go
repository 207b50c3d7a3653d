package suspect

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"fuchsiavane.org/core/route"
	core "fuchsiavane.org/core/suspect"
	"fuchsiavane.org/node/event"
	"fuchsiavane.org/node/peercall"
)

// RecallPath is the HTTP path on the peer port that returns the suspicions of a daemon.
const RecallPath = "/fuchsiavane/suspects"

const (
	// recallPeers is the number of peers asked in one attempt. Several are asked, since
	// one may have started just now too.
	recallPeers = 3
	// recallInterval is the time between two attempts, and recallPeriod the time after
	// the start in which they are made.
	recallInterval = 200 * time.Millisecond
	recallPeriod   = 30 * time.Second
	// nonceBytes is the length of the nonce that binds a response to its request.
	nonceBytes = 16
)

var recallProtocol = peercall.Protocol{
	Path: RecallPath, RequestPurpose: "suspects ask", ResponsePurpose: "suspects answer",
	MaxRequestBytes: 1 << 10, MaxResponseBytes: maxBroadcastBytes, Timeout: broadcastTimeout,
}

// recallMessage is a request, which has only a nonce, or its response.
type recallMessage struct {
	Nonce      []byte           `json:"nonce"`
	Suspicions []core.Suspicion `json:"suspicions,omitempty"`
}

// Recaller exchanges the suspicions of a Ledger with peers: it serves them, and gets those
// that a daemon lacks because it has just started.
type Recaller struct {
	ledger   *core.Ledger
	endpoint *peercall.Endpoint
	// peers returns the other instances of the service.
	peers func() []route.Peer
	log   *event.Logger
}

// NewRecaller returns a Recaller for the ledger of a daemon. peers returns the other
// instances of its service.
func NewRecaller(ledger *core.Ledger, key []byte, peers func() []route.Peer, log *event.Logger) *Recaller {
	r := &Recaller{ledger: ledger, peers: peers, log: log}
	r.endpoint = peercall.New(recallProtocol, key, r.respond)
	return r
}

// ServeHTTP responds to a peer on the peer port.
func (r *Recaller) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	r.endpoint.ServeHTTP(w, request)
}

func (r *Recaller) respond(data []byte) ([]byte, error) {
	var request recallMessage
	if err := json.Unmarshal(data, &request); err != nil || len(request.Nonce) != nonceBytes {
		return nil, errors.New("suspects: malformed request")
	}
	return json.Marshal(recallMessage{request.Nonce, r.ledger.List(time.Now())})
}

// Run gets the suspicions from peers once, as soon as it knows any. It returns after that,
// after recallPeriod or when the context ends.
func (r *Recaller) Run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, recallPeriod)
	defer cancel()
	ticker := time.NewTicker(recallInterval)
	defer ticker.Stop()
	for !r.recall(ctx) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// recall asks several peers and reports whether one of them responded.
func (r *Recaller) recall(ctx context.Context) bool {
	responded := false
	peers := r.peers()
	for _, peer := range peers[:min(len(peers), recallPeers)] {
		suspicions, err := r.ask(ctx, peer.Addr)
		if err != nil {
			continue
		}
		responded = true
		r.ledger.Merge(time.Now(), suspicions)
		if len(suspicions) > 0 {
			r.log.Log(event.SuspicionsRecalled).Str("peer", peer.ID).Int("count", len(suspicions)).Msg("suspicions received from a peer")
		}
	}
	return responded
}

// ask returns the suspicions of the daemon at a peer address.
func (r *Recaller) ask(ctx context.Context, addr string) ([]core.Suspicion, error) {
	request := recallMessage{Nonce: make([]byte, nonceBytes)}
	_, _ = rand.Read(request.Nonce) // crypto/rand.Read never fails
	data, err := json.Marshal(request)
	if err != nil {
		return nil, errors.Wrap(err, "suspects")
	}
	received, err := r.endpoint.Call(ctx, addr, data)
	if err != nil {
		return nil, errors.Wrap(err, "suspects")
	}
	var response recallMessage
	if err := json.Unmarshal(received, &response); err != nil {
		return nil, errors.Wrap(err, "suspects: decode response")
	}
	if !bytes.Equal(response.Nonce, request.Nonce) {
		return nil, errors.New("suspects: the nonce of the response is not that of the request")
	}
	return response.Suspicions, nil
}

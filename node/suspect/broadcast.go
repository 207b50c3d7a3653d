package suspect

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"fuchsiavane.org/core/route"
	core "fuchsiavane.org/core/suspect"
	"fuchsiavane.org/node/call"
	"fuchsiavane.org/node/link"
)

const (
	// markBroadcast is the value of HeaderSuspect in a request between daemons whose
	// body is a list of suspicions.
	markBroadcast = "told"
	// broadcastTimeout bounds the broadcast of one crash.
	broadcastTimeout = time.Second
	// maxConcurrentSends bounds the number of concurrent sends.
	maxConcurrentSends = 32
	// maxBroadcastBytes bounds the body of one broadcast, in bytes.
	maxBroadcastBytes = 256 << 10
)

// Transport sends a request to a peer; link.Pool implements it.
type Transport interface {
	Do(ctx context.Context, addr string, class link.Class, r *call.Request) (*call.Answer, error)
}

// PeerBroadcaster sends suspicions to the other instances of the service over
// links. A resent request reaches one of them, whichever entry daemon receives it.
type PeerBroadcaster struct {
	Instance, Service string
	// Peers returns the known peers of the service.
	Peers     func() []route.Peer
	Transport Transport
}

var _ Broadcaster = (*PeerBroadcaster)(nil)

// Broadcast implements Broadcaster. It returns when the peers have responded, or
// after broadcastTimeout.
func (b *PeerBroadcaster) Broadcast(suspicions []core.Suspicion) {
	body, err := json.Marshal(suspicions)
	if err != nil || len(body) > maxBroadcastBytes {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), broadcastTimeout)
	defer cancel()
	sending := make(chan struct{}, maxConcurrentSends)
	var group sync.WaitGroup
	for _, peer := range b.Peers() {
		if peer.ID == b.Instance {
			continue
		}
		sending <- struct{}{}
		group.Go(func() {
			defer func() { <-sending }()
			b.send(ctx, peer.Addr, body)
		})
	}
	group.Wait()
}

func (b *PeerBroadcaster) send(ctx context.Context, addr string, body []byte) {
	id := uuid.NewString()
	deadline, _ := ctx.Deadline()
	answer, err := b.Transport.Do(ctx, addr, link.ClassUrgent, &call.Request{
		ID: id, Run: id, Service: b.Service, Method: http.MethodPost, RequestURI: "/", Path: "/",
		Header: http.Header{HeaderSuspect: {markBroadcast}}, Body: body,
		Deadline: deadline, Idempotent: true,
	})
	if err == nil {
		_ = answer.Body.Close()
	}
}

// receiveBroadcast merges the suspicions from another instance.
func (g *Guard) receiveBroadcast(r *call.Request) *call.Answer {
	var list []core.Suspicion
	if len(r.Body) > maxBroadcastBytes || json.Unmarshal(r.Body, &list) != nil {
		return call.Refuse(call.NotRun, call.RefusedBadRequest, "not a list of suspicions")
	}
	g.ledger.Merge(time.Now(), list)
	return &call.Answer{Status: http.StatusNoContent, Header: http.Header{}, Body: http.NoBody, Outcome: call.NotRun}
}

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
	// markTold marks a request between daemons whose body is a list of
	// suspicions.
	markTold = "told"
	// tellTime bounds the telling of one crash.
	tellTime = time.Second
	// maxTelling bounds the peers told at the same time.
	maxTelling = 32
	// maxTold bounds the body of one telling, in bytes.
	maxTold = 256 << 10
)

// Transport sends a request to a peer; link.Pool is the one in use.
type Transport interface {
	Do(ctx context.Context, addr string, class link.Class, r *call.Request) (*call.Answer, error)
}

// PeerBroadcaster tells the other instances of the service over links. They are where a
// request that is sent again must come by, whichever entry daemon takes it.
type PeerBroadcaster struct {
	Instance, Service string
	// Peers returns the known peers of the service.
	Peers     func() []route.Peer
	Transport Transport
}

var _ Broadcaster = (*PeerBroadcaster)(nil)

// Broadcast implements Spread. It returns when the peers have answered, or after
// tellTime.
func (t *PeerBroadcaster) Broadcast(told []core.Suspicion) {
	body, err := json.Marshal(told)
	if err != nil || len(body) > maxTold {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), tellTime)
	defer cancel()
	room := make(chan struct{}, maxTelling)
	var group sync.WaitGroup
	for _, peer := range t.Peers() {
		if peer.ID == t.Instance {
			continue
		}
		room <- struct{}{}
		group.Go(func() {
			defer func() { <-room }()
			t.tell(ctx, peer.Addr, body)
		})
	}
	group.Wait()
}

func (t *PeerBroadcaster) tell(ctx context.Context, addr string, body []byte) {
	id := uuid.NewString()
	deadline, _ := ctx.Deadline()
	answer, err := t.Transport.Do(ctx, addr, link.ClassUrgent, &call.Request{
		ID: id, Run: id, Service: t.Service, Method: http.MethodPost, RequestURI: "/", Path: "/",
		Header: http.Header{HeaderSuspect: {markTold}}, Body: body,
		Deadline: deadline, Idempotent: true,
	})
	if err == nil {
		_ = answer.Body.Close()
	}
}

// told takes the suspicions of another instance.
func (g *Guard) told(r *call.Request) *call.Answer {
	var list []core.Suspicion
	if len(r.Body) > maxTold || json.Unmarshal(r.Body, &list) != nil {
		return call.Refuse(call.NotRun, call.RefusedBadRequest, "not a list of suspicions")
	}
	g.ledger.Merge(time.Now(), list)
	return &call.Answer{Status: http.StatusNoContent, Header: http.Header{}, Body: http.NoBody, Outcome: call.NotRun}
}

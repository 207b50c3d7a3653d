package link

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gorilla/websocket"
	"github.com/matryer/is"

	"fuchsiavane.org/node/call"
	"fuchsiavane.org/node/wire"
)

// sinkConn returns a connection whose peer reads everything and answers nothing.
func sinkConn(t *testing.T) *conn {
	t.Helper()
	upgrader := websocket.Upgrader{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ws, err := upgrader.Upgrade(w, r, nil)
		if err != nil {
			return
		}
		defer ws.Close()
		for err == nil {
			_, _, err = ws.ReadMessage()
		}
	}))
	t.Cleanup(server.Close)
	ws, response, err := websocket.DefaultDialer.Dial("ws"+strings.TrimPrefix(server.URL, "http"), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	c := newConn(ws)
	t.Cleanup(func() { c.close(ErrClosed) })
	return c
}

// brokenRun is a run whose answer has used up its credit on a link that has broken, and
// the link on which the peer resumes it as the stream resumedID.
type brokenRun struct {
	registry  *runRegistry
	stream    *serverStream
	old, next *servingLink
}

const resumedID = 7

func newBrokenRun(t *testing.T) *brokenRun {
	t.Helper()
	registry := newRunRegistry(testTiming)
	r := &brokenRun{registry: registry}
	r.old = newServingLink(sinkConn(t), []byte("old"), ClassUrgent, nil, registry)
	r.next = newServingLink(sinkConn(t), []byte("next"), ClassUrgent, nil, registry)
	registry.addSession(r.old)
	registry.addSession(r.next)
	ctx, cancel := context.WithCancel(t.Context())
	r.stream = &serverStream{
		ctx: ctx, cancel: cancel, request: &call.Request{Run: "run"}, sender: newAnswerSender(r.old.conn, 1),
		origin: r.old, originID: 1, link: r.old, id: 1, started: true,
	}
	if err := registry.add(r.old, 1, r.stream); err != nil {
		t.Fatal(err)
	}
	for used := 0; used < wire.InitialCredit; {
		n, err := r.stream.sender.credit.take(t.Context(), nil, wire.InitialCredit)
		if err != nil {
			t.Fatal(err)
		}
		used += n
	}
	return r
}

// receive handles a frame that the peer sends on the link on which it resumes the run.
func (r *brokenRun) receive(t *testing.T, f wire.Frame) {
	t.Helper()
	f.Stream = resumedID
	if err := r.next.handle(f); err != nil {
		t.Fatal(err)
	}
}

func (r *brokenRun) resume(t *testing.T, granted uint64) {
	t.Helper()
	r.receive(t, wire.Frame{Type: wire.TypeResume, Resume: &wire.Resume{Run: "run", Session: []byte("old"), Stream: 1, Attempt: 1, HeadReceived: true, Granted: granted}})
}

// TestCreditDuringAResumptionCounts guards against an answer that stands still after its
// link broke, since credit that came while the run was being resumed was dropped, or set
// off against the credit that the break had lost.
func TestCreditDuringAResumptionCounts(t *testing.T) {
	const lost, sent = 500, 1000
	for _, c := range []struct {
		name string
		// meanwhile makes the credit arrive at a certain moment of the resumption.
		meanwhile func(t *testing.T, r *brokenRun, grant func())
	}{
		{"before the run has moved", func(_ *testing.T, r *brokenRun, grant func()) {
			grant()
			close(r.old.readerDone)
		}},
		{"after the run has moved", func(t *testing.T, r *brokenRun, grant func()) {
			r.stream.sender.mu.Lock()
			defer r.stream.sender.mu.Unlock()
			close(r.old.readerDone)
			eventually(t, "the run has moved", func() bool { return r.registry.find(r.next, resumedID) != nil })
			grant()
		}},
		{"after the resumption", func(t *testing.T, r *brokenRun, grant func()) {
			close(r.old.readerDone)
			eventually(t, "the run is resumed", func() bool {
				r.next.resumingMu.Lock()
				defer r.next.resumingMu.Unlock()
				return len(r.next.resuming) == 0
			})
			grant()
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := newBrokenRun(t)
			r.resume(t, lost)
			c.meanwhile(t, r, func() { r.receive(t, wire.Frame{Type: wire.TypeCredit, Credit: sent}) })
			ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
			defer cancel()
			for got := 0; got < lost+sent; {
				n, err := r.stream.sender.credit.take(ctx, nil, lost+sent-got)
				is.NoErr(err)
				got += n
			}
			is.Equal(r.stream.sender.granted.Load(), uint64(lost+sent))
		})
	}
}

// TestCancelDuringAResumptionCounts guards against a run that goes on although its caller
// gave it up while the run was being resumed.
func TestCancelDuringAResumptionCounts(t *testing.T) {
	r := newBrokenRun(t)
	r.resume(t, 0)
	r.receive(t, wire.Frame{Type: wire.TypeCancel})
	close(r.old.readerDone)
	select {
	case <-r.stream.ctx.Done():
	case <-time.After(waitTimeout):
		t.Fatal("the run goes on")
	}
}

package link

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gorilla/websocket"
	"github.com/matryer/is"
	plog "github.com/phuslu/log"
	"github.com/pkg/errors"

	"fuchsiavane.org/node/call"
	"fuchsiavane.org/node/event"
	"fuchsiavane.org/node/wire"
)

// testTiming makes links detect silent peers early.
var testTiming = Timing{
	CheckInterval:    50 * time.Millisecond,
	PingAfter:        25 * time.Millisecond,
	ServingPingAfter: 25 * time.Millisecond,
	IdlePingAfter:    time.Second,
	PingTimeout:      300 * time.Millisecond,
	RecoveryTimeout:  10 * time.Second,
	Retention:        30 * time.Second,
}

// relaxedTiming is for tests in which no link may time out, even on a machine too
// busy to answer a ping in time.
var relaxedTiming = Timing{
	CheckInterval:    time.Second,
	PingAfter:        500 * time.Millisecond,
	ServingPingAfter: 500 * time.Millisecond,
	IdlePingAfter:    time.Second,
	PingTimeout:      waitTimeout,
	RecoveryTimeout:  10 * time.Second,
	Retention:        30 * time.Second,
}

// waitTimeout bounds each wait of a test.
const waitTimeout = 20 * time.Second

// peer is the peer port of a serving daemon.
type peer struct {
	listener *Listener
	server   *httptest.Server
	log      *logBuffer
}

func newPeer(t *testing.T, key string, server call.Server) *peer {
	t.Helper()
	return newTimedPeer(t, key, testTiming, server)
}

func newTimedPeer(t *testing.T, key string, timing Timing, server call.Server) *peer {
	t.Helper()
	p := &peer{log: &logBuffer{}}
	p.listener = NewListener(Identity{"serving", []byte(key)}, timing, server, nil, event.New(p.log, plog.DebugLevel, "serving"))
	p.server = httptest.NewServer(p.listener)
	t.Cleanup(func() {
		p.listener.Close()
		p.server.Close()
	})
	return p
}

func (p *peer) addr() string { return p.server.Listener.Addr().String() }

func newTestPool(t *testing.T, key string) *Pool {
	t.Helper()
	return newTimedPool(t, key, testTiming)
}

func newTimedPool(t *testing.T, key string, timing Timing) *Pool {
	t.Helper()
	p := NewPool(Identity{"calling", []byte(key)}, timing, event.Discard())
	t.Cleanup(p.Close)
	return p
}

// logBuffer is a log that can be read while it is written.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logBuffer) has(e event.Event) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.b.String(), fmt.Sprintf(`"event":%d,`, e.Number))
}

func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("%s: condition not met within %v", description, waitTimeout)
}

var runs atomic.Int64

func newRequest(body []byte) *call.Request {
	return &call.Request{
		ID: "id", Run: fmt.Sprintf("run-%d", runs.Add(1)), Service: "bench", Method: http.MethodPost, RequestURI: "/", Path: "/",
		Header: http.Header{}, Body: body, Deadline: time.Now().Add(waitTimeout), Key: "key", RetryBudget: 2,
	}
}

func answerWith(body []byte, length int64) *call.Answer {
	return &call.Answer{
		Status: http.StatusOK, Header: http.Header{}, Length: length,
		Body: io.NopCloser(bytes.NewReader(body)), Outcome: call.Ran,
	}
}

// echo answers with the body of the request.
func echo(_ context.Context, r *call.Request) *call.Answer {
	return answerWith(r.Body, int64(len(r.Body)))
}

func content(t *testing.T, a *call.Answer) string {
	t.Helper()
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func TestBodiesPassWholeInChunks(t *testing.T) {
	p := newTimedPeer(t, "k", relaxedTiming, call.ServerFunc(echo))
	pool := newTimedPool(t, "k", relaxedTiming)
	for _, size := range []int{0, 1, wire.MaxChunk, wire.MaxChunk + 1, wire.InitialCredit, 1 << 20, call.MaxRequestBody} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			is := is.New(t)
			body := bytes.Repeat([]byte("0123456789abcde\n"), size/16+1)[:size]
			request := newRequest(body)
			request.Deadline = time.Now().Add(6 * waitTimeout) // the largest body takes long on a busy machine
			answer, err := pool.Do(context.Background(), p.addr(), ClassUrgent, request)
			is.NoErr(err)
			is.Equal(answer.Refusal, call.RefusedNone)
			is.True(content(t, answer) == string(body))
		})
	}
}

func TestHeaderMayHoldAnyByte(t *testing.T) {
	is := is.New(t)
	p := newPeer(t, "k", call.ServerFunc(func(_ context.Context, r *call.Request) *call.Answer {
		a := answerWith(nil, 0)
		a.Header = r.Header
		return a
	}))
	request := newRequest(nil)
	request.Header["Name"] = []string{"caf\xe9", "\xff"}
	answer, err := newTestPool(t, "k").Do(context.Background(), p.addr(), ClassUrgent, request)
	is.NoErr(err)
	is.Equal(answer.Header["Name"], request.Header["Name"])
}

func TestAnswersMatchInAnyOrder(t *testing.T) {
	is := is.New(t)
	const calls = 50
	var arrived sync.WaitGroup
	arrived.Add(calls)
	p := newPeer(t, "k", call.ServerFunc(func(_ context.Context, r *call.Request) *call.Answer {
		arrived.Done()
		arrived.Wait()
		return answerWith(r.Body, int64(len(r.Body)))
	}))
	pool := newTestPool(t, "k")
	var group sync.WaitGroup
	var wrong atomic.Int64
	for i := range calls {
		group.Go(func() {
			body := fmt.Sprint("answer ", i)
			answer, err := pool.Do(context.Background(), p.addr(), ClassUrgent, newRequest([]byte(body)))
			if err != nil || content(t, answer) != body {
				wrong.Add(1)
			}
		})
	}
	group.Wait()
	is.Equal(wrong.Load(), int64(0))
}

// TestBulkDoesNotDelayUrgent checks that a bulk answer that is not read blocks calls
// neither on its own link nor on the urgent link.
func TestBulkDoesNotDelayUrgent(t *testing.T) {
	is := is.New(t)
	archive := bytes.Repeat([]byte("x"), 8<<20)
	p := newPeer(t, "k", call.ServerFunc(func(ctx context.Context, r *call.Request) *call.Answer {
		if r.RequestURI == "/archive" {
			return answerWith(archive, int64(len(archive)))
		}
		return echo(ctx, r)
	}))
	pool := newTestPool(t, "k")
	bulk := newRequest(nil)
	bulk.RequestURI = "/archive"
	unread, err := pool.Do(context.Background(), p.addr(), ClassBulk, bulk)
	is.NoErr(err)
	for _, class := range []Class{ClassUrgent, ClassBulk} {
		answer, err := pool.Do(context.Background(), p.addr(), class, newRequest([]byte("now")))
		is.NoErr(err)
		is.Equal(content(t, answer), "now")
	}
	is.True(content(t, unread) == string(archive))
}

func TestCancelAndDeadlineReachTheServer(t *testing.T) {
	ended := make(chan error, 1)
	started := make(chan struct{}, 1)
	p := newPeer(t, "k", call.ServerFunc(func(ctx context.Context, _ *call.Request) *call.Answer {
		started <- struct{}{}
		<-ctx.Done()
		ended <- ctx.Err()
		return call.Refuse(call.Unknown, call.RefusedCancelled, "")
	}))
	pool := newTestPool(t, "k")
	t.Run("cancel", func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			<-started
			cancel()
		}()
		_, err := pool.Do(ctx, p.addr(), ClassUrgent, newRequest(nil))
		is.True(errors.Is(err, context.Canceled))
		is.Equal(<-ended, context.Canceled)
	})
	t.Run("deadline", func(t *testing.T) {
		is := is.New(t)
		request := newRequest(nil)
		request.Deadline = time.Now().Add(200 * time.Millisecond)
		_, err := pool.Do(context.Background(), p.addr(), ClassUrgent, request)
		is.NoErr(err) // the answer of the server
		is.Equal(<-ended, context.DeadlineExceeded)
	})
}

func TestWrongKeyIsRefusedAndLogged(t *testing.T) {
	is := is.New(t)
	p := newPeer(t, "k", call.ServerFunc(echo))
	_, err := newTestPool(t, "other").Do(context.Background(), p.addr(), ClassUrgent, newRequest(nil))
	var failure *Error
	is.True(errors.As(err, &failure))
	is.True(!failure.Sent)
	// The calling side refuses first, since the serving side does not prove the
	// key. A calling side that continues is refused too.
	is.True(errors.Is(err, ErrRefused))
	ws, response, err := websocket.DefaultDialer.Dial("ws://"+p.addr()+Path, nil)
	is.NoErr(err)
	defer ws.Close()
	is.NoErr(response.Body.Close())
	is.NoErr(writeHello(ws, wire.TypeHello, &wire.Hello{Version: wire.Version, Instance: "x", Nonce: newNonce()}))
	_, err = readHello(ws, wire.TypeHello)
	is.NoErr(err)
	is.NoErr(writeHello(ws, wire.TypeProof, &wire.Hello{Instance: "x", Proof: []byte("guess")}))
	eventually(t, "link-refused event in the log", func() bool { return p.log.has(event.LinkRefused) })
}

func TestMalformedFramesEndTheLinkOnly(t *testing.T) {
	request := &wire.Request{Run: "r", Timeout: 1e6}
	for _, c := range []struct {
		name   string
		frames []*wire.Frame
		raw    []byte
		tcp    []byte // written below the WebSocket layer
	}{
		{name: "garbage", raw: []byte("\xff\x00garbage")},
		{name: "large message", raw: make([]byte, wire.MaxMessage+1)},
		{name: "reserved opcode", tcp: []byte{0x8f, 0x80, 0, 0, 0, 0}},
		{name: "unmasked message", tcp: []byte{0x82, 0x01, 0}},
		{name: "cut frame", raw: []byte{0xa1}},
		{name: "type of the other side", frames: []*wire.Frame{{Type: wire.TypeAnswer, Stream: 1, Answer: &wire.Answer{}}}},
		{name: "large chunk", frames: []*wire.Frame{{Type: wire.TypeRequest, Stream: 1, Request: request, Data: make([]byte, wire.MaxChunk+1)}}},
		{name: "stream used twice", frames: []*wire.Frame{
			{Type: wire.TypeRequest, Stream: 1, Request: request},
			{Type: wire.TypeRequest, Stream: 1, Request: &wire.Request{Run: "s", Timeout: 1e6}},
		}},
		{name: "run used twice", frames: []*wire.Frame{
			{Type: wire.TypeRequest, Stream: 1, Request: request},
			{Type: wire.TypeRequest, Stream: 2, Request: request},
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := newPeer(t, "k", call.ServerFunc(echo))
			pool := newTestPool(t, "k")
			link, err := pool.get(context.Background(), target{p.addr(), ClassUrgent})
			is.NoErr(err)
			if c.tcp != nil {
				_, err := link.conn.ws.NetConn().Write(c.tcp)
				is.NoErr(err)
			}
			if c.raw != nil {
				is.NoErr(link.conn.ws.WriteMessage(websocket.BinaryMessage, c.raw))
			}
			for _, f := range c.frames {
				_ = link.conn.send(f)
			}
			eventually(t, "link-malformed event in the log", func() bool { return p.log.has(event.LinkMalformed) })
			eventually(t, "call on a new link", func() bool {
				answer, err := pool.Do(context.Background(), p.addr(), ClassUrgent, newRequest([]byte("next")))
				return err == nil && content(t, answer) == "next"
			})
		})
	}
}

// TestUnknownFramesAreIgnored checks that a frame of a newer version, sent by either
// side, is reported once and costs the link and its calls nothing.
func TestUnknownFramesAreIgnored(t *testing.T) {
	is := is.New(t)
	unknown := []byte{0xa1, 0x01, 0x18, 0x63} // {1: 99}
	p := newPeer(t, "k", call.ServerFunc(echo))
	pool := newTestPool(t, "k")
	link, err := pool.get(context.Background(), target{p.addr(), ClassUrgent})
	is.NoErr(err)
	for range 3 {
		is.NoErr(link.conn.ws.WriteMessage(websocket.BinaryMessage, unknown))
		answer, err := pool.Do(context.Background(), p.addr(), ClassUrgent, newRequest([]byte("next")))
		is.NoErr(err)
		is.Equal(content(t, answer), "next")
	}
	again, err := pool.get(context.Background(), target{p.addr(), ClassUrgent})
	is.NoErr(err)
	is.True(again == link)
	eventually(t, "link-frame-unknown event in the log", func() bool { return p.log.has(event.LinkFrameUnknown) })
	is.True(!p.log.has(event.LinkMalformed))
}

// TestUnknownOutcomeMayHaveRun checks an answer whose outcome is not known.
func TestUnknownOutcomeMayHaveRun(t *testing.T) {
	is := is.New(t)
	is.Equal(decodeAnswer(&wire.Answer{Outcome: "deferred", Refusal: "quota"}, nil).Outcome, call.Unknown)
	is.Equal(decodeAnswer(&wire.Answer{Outcome: "not-run"}, nil).Outcome, call.NotRun)
}

// TestInvalidAnswerOfAPeerFailsItsCallAlone has a peer pass on a head that HTTP doesn't
// allow, as older daemons do. The outcome of that call is unknown; the link goes on.
func TestInvalidAnswerOfAPeerFailsItsCallAlone(t *testing.T) {
	for name, spoil := range map[string]func(*call.Answer){
		"status 000":                   func(a *call.Answer) { a.Status = 0 },
		"status 101":                   func(a *call.Answer) { a.Status = http.StatusSwitchingProtocols },
		"status 999":                   func(a *call.Answer) { a.Status = 999 },
		"blank in a field name":        func(a *call.Answer) { a.Header["X Trouble"] = []string{"1"} },
		"control byte in a field name": func(a *call.Answer) { a.Header["X\x01Trouble"] = []string{"1"} },
		"no field name":                func(a *call.Answer) { a.Header[""] = []string{"1"} },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPeer(t, "k", call.ServerFunc(func(_ context.Context, r *call.Request) *call.Answer {
				if string(r.Body) != "spoil" {
					return answerWith(r.Body, int64(len(r.Body)))
				}
				a := answerWith(make([]byte, 4*wire.MaxChunk), -1)
				spoil(a)
				return a
			}))
			pool := newTestPool(t, "k")
			_, err := pool.Do(context.Background(), p.addr(), ClassUrgent, newRequest([]byte("spoil")))
			var failure *Error
			is.True(errors.As(err, &failure))
			is.True(failure.Sent)
			link, err := pool.get(context.Background(), target{p.addr(), ClassUrgent})
			is.NoErr(err)
			is.True(!link.hasCalls())
			answer, err := pool.Do(context.Background(), p.addr(), ClassUrgent, newRequest([]byte("next")))
			is.NoErr(err)
			is.Equal(content(t, answer), "next")
			is.True(!link.isClosed())
		})
	}
}

func TestDialThatFailsIsHeldOff(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := l.Addr().String()
	is.NoErr(l.Close())
	pool := newTestPool(t, "k")
	_, err = pool.get(context.Background(), target{addr, ClassUrgent})
	is.True(err != nil)
	entry := pool.links[target{addr, ClassUrgent}]
	is.True(!entry.canRedial(entry.redialAt.Add(-1)))
	is.True(entry.canRedial(entry.redialAt))
	for failures := range 70 {
		wait := backoff(failures)
		is.True(wait >= minBackoff/2)
		is.True(wait <= maxBackoff)
	}
}

package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"fuchsiavane.org/node/call"
	"fuchsiavane.org/node/runs"
	"fuchsiavane.org/node/settingsync"
)

// breaking is an upstream that responds to the first request of a connection and
// closes the connection after reading the second.
type breaking struct {
	listener net.Listener
	requests atomic.Int64
}

func newBreaking(t *testing.T) *breaking {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &breaking{listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go b.serve(conn)
		}
	}()
	return b
}

func (b *breaking) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for answer := range 2 {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		b.requests.Add(1)
		if answer == 0 {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}
}

func (b *breaking) runner(t *testing.T) *Runner {
	t.Helper()
	base, err := url.Parse("http://" + b.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	holder := settingsync.NewHolder()
	return NewRunner(base, NewGate("bench", holder), runs.NewTable())
}

func request(method string, body []byte) *call.Request {
	return &call.Request{
		ID: "id", Run: "run", Service: "bench", Method: method, RequestURI: "/", Path: "/",
		Header: http.Header{}, Body: body, Deadline: time.Now().Add(10 * time.Second), Key: "key",
	}
}

func TestRequestIsSentOnceWhenTheConnectionBreaks(t *testing.T) {
	for _, c := range []struct {
		name, method string
		body         []byte
	}{
		{"GET", http.MethodGet, nil},
		{"POST without body", http.MethodPost, nil},
		{"POST with body", http.MethodPost, []byte("ruling")},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			up := newBreaking(t)
			u := up.runner(t)
			first := u.Serve(context.Background(), request(c.method, c.body))
			text, err := io.ReadAll(first.Body)
			is.NoErr(err)
			is.Equal(string(text), "ok")
			is.NoErr(first.Body.Close())
			second := u.Serve(context.Background(), request(c.method, c.body))
			is.Equal(second.Outcome, call.Unknown)
			is.Equal(up.requests.Load(), int64(2))
		})
	}
}

func TestUpstreamThatTakesNoConnectionIsNotRun(t *testing.T) {
	is := is.New(t)
	up := newBreaking(t)
	u := up.runner(t)
	is.NoErr(up.listener.Close())
	answer := u.Serve(context.Background(), request(http.MethodPost, []byte("ruling")))
	is.Equal(answer.Outcome, call.NotRun)
	is.Equal(answer.Refusal, call.RefusedUnreachable)
}

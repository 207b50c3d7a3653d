package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"fuchsiavane.org/node/call"
	"fuchsiavane.org/node/runs"
	"fuchsiavane.org/node/settingsync"
)

// scripted is an upstream with a given handler for its connections.
type scripted struct {
	t        *testing.T
	listener net.Listener
	accepted atomic.Int64
}

// newScripted starts an upstream that calls handle for each connection, numbered
// from 1, and then closes the connection.
func newScripted(t *testing.T, handle func(number int64, conn net.Conn, from *bufio.Reader)) *scripted {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scripted{t: t, listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			number := s.accepted.Add(1)
			go func() {
				defer conn.Close()
				handle(number, conn, bufio.NewReader(conn))
			}()
		}
	}()
	return s
}

func (s *scripted) runner() *Runner {
	s.t.Helper()
	base, err := url.Parse("http://" + s.listener.Addr().String())
	if err != nil {
		s.t.Fatal(err)
	}
	return NewRunner(base, NewGate("bench", settingsync.NewHolder()), runs.NewTable())
}

// readRequest reads a complete request. It returns false at the end of the connection.
func readRequest(from *bufio.Reader) bool {
	request, err := http.ReadRequest(from)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, request.Body)
	return err == nil
}

const completeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func get(timeout time.Duration) *call.Request {
	r := request(http.MethodGet, nil)
	r.Idempotent = true
	r.Deadline = time.Now().Add(timeout)
	return r
}

// testTimeout bounds all waiting in these tests.
const testTimeout = 10 * time.Second

// text reads the body of an answer to its end.
func text(a *call.Answer) (string, error) {
	defer a.Body.Close()
	body, err := io.ReadAll(a.Body)
	return string(body), err
}

func TestConnectionIsKeptAfterAWholeAnswer(t *testing.T) {
	for name, answer := range map[string]string{
		"length":  completeResponse,
		"chunks":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"no body": "HTTP/1.1 204 No Content\r\n\r\n",
		"interim": "HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n" + completeResponse,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			up := newScripted(t, func(_ int64, conn net.Conn, from *bufio.Reader) {
				for readRequest(from) {
					_, _ = io.WriteString(conn, answer)
				}
			})
			u := up.runner()
			for range 3 {
				a := u.Serve(context.Background(), get(testTimeout))
				is.Equal(a.Outcome, call.Ran)
				_, err := text(a)
				is.NoErr(err)
			}
			is.Equal(up.accepted.Load(), int64(1))
		})
	}
}

// TestConnectionOutOfStepIsNotUsedAgain checks that a connection is not reused after
// bytes beyond a whole response, after its end, or if the upstream announces that it
// closes the connection.
func TestConnectionOutOfStepIsNotUsedAgain(t *testing.T) {
	for name, answer := range map[string]string{
		"second answer": completeResponse + completeResponse,
		"closes":        "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
		"no length":     "HTTP/1.1 200 OK\r\n\r\nok",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			up := newScripted(t, func(_ int64, conn net.Conn, from *bufio.Reader) {
				for readRequest(from) {
					_, _ = io.WriteString(conn, answer)
					if name == "no length" {
						return
					}
				}
			})
			u := up.runner()
			for n := range int64(3) {
				a := u.Serve(context.Background(), get(testTimeout))
				got, err := text(a)
				is.NoErr(err)
				is.Equal(got, "ok")
				is.Equal(up.accepted.Load(), n+1)
			}
		})
	}
}

// TestWhatComesOnAnIdleConnectionBelongsToNobody checks that a late second response or
// the end of an idle connection is detected before the next request is sent, so that a
// request that must not run twice is not lost.
func TestWhatComesOnAnIdleConnectionBelongsToNobody(t *testing.T) {
	for _, name := range []string{"late answer", "end"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			late := make(chan struct{}, 2)
			up := newScripted(t, func(number int64, conn net.Conn, from *bufio.Reader) {
				if !readRequest(from) {
					return
				}
				_, _ = io.WriteString(conn, completeResponse)
				if number == 1 && name == "end" {
					_ = conn.Close()
				} else if number == 1 {
					_, _ = io.WriteString(conn, strings.Replace(completeResponse, "ok", "no", 1))
				}
				late <- struct{}{}
				readRequest(from)
			})
			u := up.runner()
			_, err := text(u.Serve(context.Background(), request(http.MethodPost, nil)))
			is.NoErr(err)
			<-late
			time.Sleep(10 * time.Millisecond) // less than singleIdleTimeout; lets the bytes arrive
			got, err := text(u.Serve(context.Background(), request(http.MethodPost, nil)))
			is.NoErr(err)
			is.Equal(got, "ok")
		})
	}
}

// TestCutAnswersAreNotWhole checks that a truncated response gives a read error,
// whether it has a length, is chunked, or has no length and is reset.
func TestCutAnswersAreNotWhole(t *testing.T) {
	for name, answer := range map[string]string{
		"length":    "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
		"chunks":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
		"no length": "HTTP/1.1 200 OK\r\n\r\nok",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			up := newScripted(t, func(_ int64, conn net.Conn, from *bufio.Reader) {
				if !readRequest(from) {
					return
				}
				_, _ = io.WriteString(conn, answer)
				if name == "no length" {
					time.Sleep(20 * time.Millisecond) // lets the head arrive before the reset
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			})
			a := up.runner().Serve(context.Background(), get(testTimeout))
			is.Equal(a.Outcome, call.Ran)
			_, err := text(a)
			is.True(err != nil)
		})
	}
}

// TestEarlyAnswerToALongBody has an upstream that responds before it reads the body
// and keeps the connection open. The connection must not be reused, as another request
// would follow the rest of the body.
func TestEarlyAnswerToALongBody(t *testing.T) {
	is := is.New(t)
	var bodies atomic.Int64
	up := newScripted(t, func(_ int64, conn net.Conn, from *bufio.Reader) {
		for {
			request, err := http.ReadRequest(from)
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, completeResponse)
			time.Sleep(20 * time.Millisecond)
			if n, _ := io.Copy(io.Discard, request.Body); n == request.ContentLength {
				bodies.Add(1)
			}
		}
	})
	u := up.runner()
	for range 2 {
		r := request(http.MethodPost, make([]byte, call.MaxRequestBody))
		got, err := text(u.Serve(context.Background(), r))
		is.NoErr(err)
		is.Equal(got, "ok")
	}
	is.Equal(up.accepted.Load(), int64(2))
	is.Equal(bodies.Load(), int64(0))
}

// longBody is larger than what the sockets hold, so that its write blocks until the
// upstream reads.
var longBody = make([]byte, call.MaxRequestBody)

// TestEarlyAnswerCutByAReset has an upstream that responds without a length to a request
// of which it has read only a part, and resets the connection in the middle of its body.
// The blocked write of the request gets the reset, and reads then end as if the upstream
// had closed the connection.
func TestEarlyAnswerCutByAReset(t *testing.T) {
	is := is.New(t)
	up := newScripted(t, func(_ int64, conn net.Conn, from *bufio.Reader) {
		if _, err := http.ReadRequest(from); err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart of ")
		time.Sleep(20 * time.Millisecond) // lets the head arrive before the reset
		_ = conn.(*net.TCPConn).SetLinger(0)
	})
	a := up.runner().Serve(context.Background(), request(http.MethodPost, longBody))
	is.Equal(a.Outcome, call.Ran)
	time.Sleep(100 * time.Millisecond) // lets the write fail before the body is read
	got, err := text(a)
	is.Equal(got, "part of ")
	is.True(err != nil)
}

// TestEarlyAnswerThatEndsIsWhole has an upstream that responds without a length to a
// request of which it has read only a part, and ends its side of the connection. The
// response is complete although the request is not.
func TestEarlyAnswerThatEndsIsWhole(t *testing.T) {
	is := is.New(t)
	done := make(chan struct{})
	defer close(done)
	up := newScripted(t, func(_ int64, conn net.Conn, from *bufio.Reader) {
		if _, err := http.ReadRequest(from); err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nwhole")
		_ = conn.(*net.TCPConn).CloseWrite()
		<-done
	})
	got, err := text(up.runner().Serve(context.Background(), request(http.MethodPost, longBody)))
	is.NoErr(err)
	is.Equal(got, "whole")
}

// TestEndWithTheConnectionIsJudgedByTheWrite checks when a body without a length counts as
// complete at the end of its connection, whichever size its request had.
func TestEndWithTheConnectionIsJudgedByTheWrite(t *testing.T) {
	for _, c := range []struct {
		name       string
		writeErr   error
		isComplete bool
	}{
		{"written", nil, true},
		{"stopped by the check", os.ErrDeadlineExceeded, true},
		{"reset", syscall.ECONNRESET, false},
		{"timed out", syscall.ETIMEDOUT, false},
		{"closed", syscall.EPIPE, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			near, far := net.Pipe()
			defer near.Close()
			defer far.Close()
			e := &exchange{conn: &conn{Conn: near, writeErr: c.writeErr}, writeDone: make(chan struct{}), requestErr: c.writeErr}
			close(e.writeDone)
			is := is.New(t)
			is.NoErr(e.checkEnd()) // the body has an end of its own
			e.endsWithConn = true
			is.Equal(e.checkEnd() == nil, c.isComplete)
		})
	}
}

// TestIdleTimeOfTheUpstreamIsKept checks that a connection is reused only well within
// the idle timeout of the Keep-Alive header.
func TestIdleTimeOfTheUpstreamIsKept(t *testing.T) {
	is := is.New(t)
	for text, want := range map[string]time.Duration{
		"timeout=4": 2 * time.Second, "max=3, Timeout = 1": 500 * time.Millisecond, "timeout=x": 0, "": 0,
	} {
		is.Equal(announcedIdle(http.Header{"Keep-Alive": {text}}), want)
	}
	now := time.Now()
	p := newConnPool("")
	p.idle = []*conn{{idleSince: now.Add(-time.Second), idleLimit: time.Second}}
	is.True(p.pop(now, reuse{}) == nil)
	p.idle[0].idleLimit = 2 * time.Second
	is.True(p.pop(now, reuse{recent: true}) == nil) // idle for too long for a request that must not run twice
	is.True(p.pop(now, reuse{}) != nil)
}

// TestForgottenIdleConnectionsAreLearnt checks that after the reset of a connection
// that was idle, only connections idle for at most half that time are reused, until
// distrustDuration has passed.
func TestForgottenIdleConnectionsAreLearnt(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	p := newConnPool("")
	p.recordReset(now, 320*time.Millisecond)
	p.idle = []*conn{{idleSince: now.Add(-200 * time.Millisecond)}}
	is.True(p.pop(now, reuse{}) == nil)
	p.idle[0].idleSince = now.Add(-100 * time.Millisecond)
	is.True(p.pop(now, reuse{}) != nil)
	p.idle = []*conn{{idleSince: now.Add(distrustDuration - time.Second)}}
	is.True(p.pop(now.Add(distrustDuration), reuse{}) != nil) // the distrust has ended
}

// TestLostResponseIsNoReasonForDistrust has an upstream that closes the connection
// after working on a request. That must not shorten the idle time up to which
// connections are reused.
func TestLostResponseIsNoReasonForDistrust(t *testing.T) {
	is := is.New(t)
	up := newScripted(t, func(_ int64, conn net.Conn, from *bufio.Reader) {
		readRequest(from)
		_, _ = io.WriteString(conn, completeResponse)
		readRequest(from)
		time.Sleep(2 * staleResetTime)
	})
	u := up.runner()
	_, err := text(u.Serve(context.Background(), get(testTimeout)))
	is.NoErr(err)
	is.Equal(u.Serve(context.Background(), get(testTimeout)).Outcome, call.Unknown)
	is.True(u.conns.distrustUntil.IsZero())
}

// TestSilentConnectionClosesIdleConnections checks that all idle connections are closed
// after a reused one gave no response until the deadline, as many of them may be
// silent. A new connection without a response must not close them.
func TestSilentConnectionClosesIdleConnections(t *testing.T) {
	for _, reused := range []bool{true, false} {
		is := is.New(t)
		up := newScripted(t, func(number int64, conn net.Conn, from *bufio.Reader) {
			for readRequest(from) {
				if number == 1 {
					_, _ = io.WriteString(conn, completeResponse)
					number = 0
				}
			}
		})
		u := up.runner()
		if reused {
			_, err := text(u.Serve(context.Background(), get(testTimeout)))
			is.NoErr(err)
		} else {
			up.accepted.Store(1)
		}
		a := u.Serve(context.Background(), get(50*time.Millisecond))
		is.Equal(a.Refusal, call.RefusedDeadline)
		is.Equal(u.conns.flushedAt.IsZero(), !reused)
	}
}

// TestGivenUpRequestEndsItsConnection checks that the connection of a request that its
// caller cancelled is closed, so that the upstream sees it.
func TestGivenUpRequestEndsItsConnection(t *testing.T) {
	is := is.New(t)
	got, ended := make(chan struct{}), make(chan struct{})
	up := newScripted(t, func(_ int64, _ net.Conn, from *bufio.Reader) {
		readRequest(from)
		close(got)
		_, _ = from.ReadByte()
		close(ended)
	})
	ctx, cancel := context.WithCancel(context.Background())
	answers := make(chan *call.Answer, 1)
	u := up.runner()
	go func() { answers <- u.Serve(ctx, get(testTimeout)) }()
	<-got
	cancel()
	a := <-answers
	is.Equal(a.Refusal, call.RefusedCancelled)
	is.Equal(a.Outcome, call.Unknown)
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Fatal("the connection is still open")
	}
}

// TestHugeHeadIsRefused checks that the size of a response head is bounded.
func TestHugeHeadIsRefused(t *testing.T) {
	is := is.New(t)
	up := newScripted(t, func(_ int64, conn net.Conn, from *bufio.Reader) {
		readRequest(from)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
		for n := range 2 * call.MaxHeaderBytes / 100 {
			_, _ = fmt.Fprintf(conn, "X-%d: %s\r\n", n, strings.Repeat("x", 100))
		}
	})
	a := up.runner().Serve(context.Background(), get(testTimeout))
	is.Equal(a.Refusal, call.RefusedUnreachable)
	is.Equal(a.Outcome, call.Unknown)
}

// idDialect is a Dialect whose upstream echoes the id of the request.
type idDialect struct{ defaultDialect }

func (idDialect) SetHeaders(out *http.Request, r *call.Request, _ string, _ time.Time) {
	out.Header.Set("X-Request-Id", r.CallerRequestID)
}

func (idDialect) Classify(r *call.Request, response *http.Response, _ bool) Verdict {
	switch {
	case response.Header.Get("X-Request-Id") != r.CallerRequestID:
		return VerdictMismatched
	case response.Header.Get("X-Not-Executed") != "":
		return VerdictShed
	}
	return VerdictRan
}

// TestRefusalWrittenTwiceIsBelievedOnce guards against a refusal that the upstream writes
// once more on a kept connection, while it runs the same request, which came again.
func TestRefusalWrittenTwiceIsBelievedOnce(t *testing.T) {
	is := is.New(t)
	ran := make(chan struct{}, 2)
	up := newScripted(t, func(_ int64, conn net.Conn, from *bufio.Reader) {
		const refusal = "HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: a\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
		for n := 1; readRequest(from); n++ {
			if n > 1 {
				ran <- struct{}{}
			}
			_, _ = io.WriteString(conn, refusal)
		}
	})
	u := up.runner()
	u.dialect = idDialect{}
	first := get(testTimeout)
	first.CallerRequestID = "a"
	a := u.Serve(context.Background(), first)
	is.Equal(a.Outcome, call.NotRun)
	again := get(testTimeout)
	again.CallerRequestID, again.Repeat = "a", true
	a = u.Serve(context.Background(), again)
	is.Equal(a.Outcome, call.NotRun)
	is.Equal(len(ran), 0) // it was refused anew, on a connection of its own
}

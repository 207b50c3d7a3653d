package upstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"fuchsiavane.org/node/call"
	"fuchsiavane.org/node/httphead"
)

// exchange is one request and its response on a connection to the upstream.
type exchange struct {
	ctx  context.Context
	conn *conn
	// stop stops watching the context; it returns false if the context ended first.
	stop func() bool
	// writeDone is closed once the request is written or its write has failed;
	// requestErr says why it failed and is set before.
	writeDone  chan struct{}
	requestErr error
	// startedAt is when sending started, and idle how long the connection was idle
	// before.
	startedAt time.Time
	idle      time.Duration
	response  *http.Response
	// empty is set if the response has no body.
	empty bool
	// endsWithConn is set if only the end of the connection ends the response body.
	endsWithConn bool
	over         bool
}

// past is a deadline that makes reads and writes fail immediately.
var past = time.Unix(1, 0)

// exchange sends a request with a body and reads the head of its response. sent reports whether the upstream may
// have received some of the request.
func (p *connPool) exchange(ctx context.Context, request *http.Request, body []byte, allowed reuse) (e *exchange, sent bool, err error) {
	for {
		request.Body = io.NopCloser(bytes.NewReader(body))
		c, err := p.take(ctx, allowed)
		if err != nil {
			return nil, false, contextError(ctx, err)
		}
		e = &exchange{ctx: ctx, conn: c, writeDone: make(chan struct{}), startedAt: time.Now()}
		if c.reused {
			e.idle = e.startedAt.Sub(c.idleSince)
		}
		e.stop = context.AfterFunc(ctx, func() { _ = c.SetDeadline(past) })
		err = e.send(request)
		if err == nil {
			err = e.receive(request)
		}
		if err == nil {
			return e, true, nil
		}
		sent := e.abandon()
		if sent || !c.reused || ctx.Err() != nil {
			return nil, sent, contextError(ctx, err)
		}
		// The reused connection had ended before a byte was sent.
	}
}

// contextError returns the context's error if the context has ended, since
// connection errors then follow from that, and err otherwise.
func contextError(ctx context.Context, err error) error {
	if ended := ctx.Err(); ended != nil {
		return ended
	}
	return err
}

// send writes the request. A request larger than half of the buffer is written
// concurrently with reading the response, since an upstream may respond before it
// has read a long body.
func (e *exchange) send(request *http.Request) error {
	if request.ContentLength > bufferSize/2 {
		go e.write(request)
		return nil
	}
	e.write(request)
	if e.conn.written > 0 {
		return nil // the response may say why the upstream stopped reading
	}
	return e.requestErr
}

func (e *exchange) write(request *http.Request) {
	defer close(e.writeDone)
	err := request.Write(e.conn.writer)
	if err == nil {
		err = e.conn.writer.Flush()
	}
	e.requestErr = errors.Wrap(err, "request")
}

// receive reads the head of the response.
func (e *exchange) receive(request *http.Request) error {
	c := e.conn
	c.headRemaining = call.MaxHeaderBytes
	defer func() { c.headRemaining = -1 }()
	for {
		response, err := httphead.Read(c.reader, request)
		if err != nil {
			if c.reused {
				e.recordFailure()
			}
			return errors.Wrap(err, "answer")
		}
		// Interim responses precede the final one. Source: RFC 9110, section 15.2.
		if response.StatusCode >= http.StatusOK {
			c.idleLimit = announcedIdle(response.Header)
			e.empty = response.Body == http.NoBody
			e.endsWithConn = !e.empty && response.ContentLength < 0 && len(response.TransferEncoding) == 0
			response.Body = &exchangeBody{response.Body, e}
			e.response = response
			return nil
		}
	}
}

// recordFailure records in the pool why a reused connection gave no response, which
// may affect the other idle connections.
func (e *exchange) recordFailure() {
	now := time.Now()
	switch ended := e.ctx.Err(); {
	case errors.Is(ended, context.DeadlineExceeded):
		e.conn.pool.recordSilence(now)
	case ended == nil && now.Sub(e.startedAt) < staleResetTime:
		e.conn.pool.recordReset(now, e.idle)
	}
}

// announcedIdle returns half of the timeout in the Keep-Alive header, since the
// upstream's idle time starts earlier; 0 if there is none.
func announcedIdle(h http.Header) time.Duration {
	for _, param := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(param), "=")
		if !strings.EqualFold(strings.TrimSpace(name), "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err == nil && seconds > 0 {
			return time.Duration(seconds) * time.Second / 2
		}
	}
	return 0
}

// complete ends an exchange whose response was read completely. The connection returns
// to the pool unless unread or unwritten bytes remain, or the upstream closes it.
func (e *exchange) complete() {
	if e.over {
		return
	}
	e.over = true
	usable := e.stop() && !e.response.Close && len(e.conn.refused) < maxRefused && e.conn.reader.Buffered() == 0 && e.isWritten()
	if !usable {
		_ = e.conn.Close()
		return
	}
	e.conn.pool.put(e.conn)
}

// isBuffered reports whether the rest of the response is in the read buffer.
func (e *exchange) isBuffered() bool {
	length := e.response.ContentLength
	return length >= 0 && length <= int64(e.conn.reader.Buffered())
}

// isWritten reports whether the request was written completely.
func (e *exchange) isWritten() bool {
	select {
	case <-e.writeDone:
		return e.requestErr == nil
	default:
		return false
	}
}

// checkEnd returns an error if a response body that ends with its connection may have
// been cut. The kernel reports the reset of a connection once: after a write of the
// request has failed with it, reads return io.EOF as if the upstream had closed the
// connection.
func (e *exchange) checkEnd() error {
	if !e.endsWithConn {
		return nil
	}
	_ = e.conn.SetWriteDeadline(past)
	<-e.writeDone
	if e.requestErr == nil || errors.Is(e.conn.writeErr, os.ErrDeadlineExceeded) {
		return nil // written, or the upstream no longer reads but has closed its side
	}
	return errors.Wrap(e.requestErr, "the answer may be cut")
}

// abandon ends an exchange and closes its connection. It reports whether the
// upstream may have received some of the request.
func (e *exchange) abandon() (sent bool) {
	if !e.over {
		e.over = true
		e.stop()
	}
	_ = e.conn.Close()
	<-e.writeDone // the write ends, as the connection is closed
	return e.conn.written > 0
}

// exchangeBody is the body of a response. The connection returns to the pool when
// the body was read to its end, and is closed otherwise.
type exchangeBody struct {
	io.ReadCloser
	exchange *exchange
}

// Read implements io.Reader.
func (b *exchangeBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == nil {
		return n, nil
	}
	e := b.exchange
	if errors.Is(err, io.EOF) {
		if err = e.checkEnd(); err == nil {
			e.complete()
			return n, io.EOF
		}
	}
	e.abandon()
	return n, contextError(e.ctx, err)
}

// Close implements io.Closer.
func (b *exchangeBody) Close() error {
	e := b.exchange
	switch {
	case e.over:
	case e.empty:
		e.complete()
	case e.isBuffered():
		_, _ = io.Copy(io.Discard, b) // reads only buffered bytes
	default:
		e.abandon()
	}
	return nil
}

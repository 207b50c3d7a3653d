package link

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"fuchsiavane.org/node/call"
	"fuchsiavane.org/node/wire"
)

// Error is a call that got no answer.
type Error struct {
	// Sent says that the peer may have got a part of the request.
	Sent bool
	// Cause says why.
	Cause error
}

// Error implements error.
func (e *Error) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Link is the calling side of one connection.
type Link struct {
	conn *conn

	mu      sync.Mutex
	last    uint64
	streams map[uint64]*clientStream
}

type clientStream struct {
	answer chan *call.Answer
	body   *body
	credit *credit
}

func newLink(c *conn) *Link {
	return &Link{conn: c, streams: map[uint64]*clientStream{}}
}

// run reads until the link ends and returns why.
func (l *Link) run() error {
	go l.conn.heartbeat()
	l.conn.close(l.conn.read(l.handle))
	reason := l.conn.reason()
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, s := range l.streams {
		s.body.fail(reason)
		delete(l.streams, id)
	}
	return reason
}

// Do sends a request and waits for the head of its answer. The error is an
// *Error. Cancelling the context cancels the request at the peer.
func (l *Link) Do(ctx context.Context, r *call.Request) (*call.Answer, error) {
	id, s, err := l.open()
	if err != nil {
		return nil, &Error{false, err}
	}
	if err := l.sendRequest(ctx, id, s, r); err != nil {
		l.cancel(id)
		return nil, &Error{true, err}
	}
	select {
	case answer := <-s.answer:
		return answer, nil
	case <-ctx.Done():
		l.cancel(id)
		return nil, &Error{true, ctx.Err()}
	case <-l.conn.done:
		return nil, &Error{true, l.conn.reason()}
	}
}

func (l *Link) open() (uint64, *clientStream, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.conn.reason(); err != nil {
		return 0, nil, err
	}
	if len(l.streams) >= wire.MaxStreams {
		return 0, nil, errors.Errorf("link: %d streams are open, the bound", wire.MaxStreams)
	}
	l.last++
	id := l.last
	s := &clientStream{answer: make(chan *call.Answer, 1), credit: newCredit(wire.InitialCredit)}
	s.body = newBody(
		func(n int) { l.conn.post(&wire.Frame{Type: wire.TypeCredit, Stream: id, Credit: uint32(n)}) },
		func() { l.cancel(id) },
	)
	l.streams[id] = s
	return id, s, nil
}

// cancel gives up a stream and tells the peer.
func (l *Link) cancel(id uint64) {
	l.mu.Lock()
	_, open := l.streams[id]
	delete(l.streams, id)
	l.mu.Unlock()
	if open {
		l.conn.post(&wire.Frame{Type: wire.TypeCancel, Stream: id})
	}
}

func (l *Link) sendRequest(ctx context.Context, id uint64, s *clientStream, r *call.Request) error {
	first := r.Body[:min(len(r.Body), wire.MaxChunk)]
	rest := r.Body[len(first):]
	if _, err := s.credit.take(ctx, l.conn.done, max(len(first), 1)); err != nil {
		return err
	}
	head := requestHead(r, time.Now())
	err := l.conn.send(&wire.Frame{Type: wire.TypeRequest, Stream: id, Request: head, Data: first, End: len(rest) == 0})
	for err == nil && len(rest) > 0 {
		var n int
		if n, err = s.credit.take(ctx, l.conn.done, min(len(rest), wire.MaxChunk)); err != nil {
			return err
		}
		err = l.conn.send(&wire.Frame{Type: wire.TypeData, Stream: id, Data: rest[:n], End: n == len(rest)})
		rest = rest[n:]
	}
	return err
}

func requestHead(r *call.Request, now time.Time) *wire.Request {
	return &wire.Request{
		ID: r.ID, Run: r.Run, Service: r.Service, Method: r.Method, Target: r.Target, Path: r.Path,
		Header: r.Header, Caller: r.Caller, Rank: r.Rank, TimeLeft: r.Deadline.Sub(now).Microseconds(),
		Retries: r.Retries, Idempotent: r.Idempotent, Key: r.Key,
	}
}

func (l *Link) handle(f wire.Frame) error {
	switch f.Type {
	case wire.TypePing:
		l.conn.post(&wire.Frame{Type: wire.TypePong})
		return nil
	case wire.TypePong:
		return nil
	case wire.TypeAnswer, wire.TypeData, wire.TypeCredit, wire.TypeReset:
		return l.handleStream(f)
	}
	return errors.Wrapf(ErrMalformed, "frame type %d from the serving side", f.Type)
}

func (l *Link) handleStream(f wire.Frame) error {
	l.mu.Lock()
	s := l.streams[f.Stream]
	if s != nil && (f.End || f.Type == wire.TypeReset) {
		delete(l.streams, f.Stream)
	}
	l.mu.Unlock()
	if s == nil {
		return nil // the stream was given up
	}
	switch f.Type {
	case wire.TypeCredit:
		s.credit.grant(int(f.Credit))
		return nil
	case wire.TypeReset:
		s.body.fail(errors.Errorf("link: the peer cut the answer: %s", f.Reason))
		return nil
	}
	if err := s.body.put(f.Data, f.End); err != nil {
		return err
	}
	if f.Type != wire.TypeAnswer {
		return nil
	}
	select {
	case s.answer <- answerOf(f.Answer, s.body):
		return nil
	default:
		return errors.Wrapf(ErrMalformed, "stream %d was answered twice", f.Stream)
	}
}

func answerOf(a *wire.Answer, b *body) *call.Answer {
	header := a.Header
	if header == nil {
		header = http.Header{}
	}
	return &call.Answer{
		Status: a.Status, Header: header, Length: a.Length, Body: b,
		Outcome: call.Outcome(a.Outcome), Refusal: call.Refusal(a.Refusal), Detail: a.Detail,
		RetryAfter: time.Duration(a.RetryAfter) * time.Millisecond, Unspent: a.Unspent, Level: a.Level,
	}
}

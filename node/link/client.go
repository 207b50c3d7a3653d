package link

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"fuchsiavane.org/core/route"
	"fuchsiavane.org/node/call"
	"fuchsiavane.org/node/wire"
)

// settleBatch is the number of ended streams after which the serving side is
// told to forget their answers.
const settleBatch = 64

// errLeaving means that the peer stops as planned and takes no new stream.
var errLeaving = errors.New("link: the peer is leaving")

// errDoubtful means that the peer has left a ping without answer for a while.
var errDoubtful = errors.New("link: the peer is silent")

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
	conn    *conn
	timing  Timing
	session []byte // the id of the link, which both sides know
	pace    *pacer // of the answers' bodies; nil for none

	mu      sync.Mutex
	last    uint64
	streams map[uint64]*clientStream
	ended   int  // streams that ended since the last TypeSettled
	leaving bool // the peer takes no new requests
	broken  bool // the link has ended and its streams were taken
}

func newLink(c *conn, timing Timing, session []byte) *Link {
	return &Link{conn: c, timing: timing, session: session, streams: map[uint64]*clientStream{}}
}

// run reads until the link ends and returns why.
func (l *Link) run(b *beater) error {
	b.add(l.conn, l.timing.Quiet, l.active)
	l.conn.close(l.conn.read(l.handle))
	return l.conn.reason()
}

// active reports whether calls are in progress. The heartbeat asks, which is
// also the time to settle what ended.
func (l *Link) active() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended > 0 {
		l.settle()
	}
	return len(l.streams) > 0
}

// isBroken reports whether the link takes no stream at all any more.
func (l *Link) isBroken() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.broken
}

// orphans takes the streams of a link that has ended.
func (l *Link) orphans() []*clientStream {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broken = true
	streams := make([]*clientStream, 0, len(l.streams))
	for _, s := range l.streams {
		streams = append(streams, s)
	}
	l.streams = nil
	return streams
}

// Do sends a request and waits for the head of its answer. The error is an
// *Error. Cancelling the context cancels the request at the peer. A link that
// breaks meanwhile is not an error: its Pool asks for the answer on a new one.
func (l *Link) Do(ctx context.Context, r *call.Request) (*call.Answer, error) {
	s := newClientStream(r)
	s.body.pace = l.pace
	if err := l.open(s); err != nil {
		return nil, &Error{false, err}
	}
	if err := l.sendRequest(ctx, s, r); err != nil && ctx.Err() != nil {
		s.giveUp()
		return nil, &Error{true, ctx.Err()}
	}
	select {
	case answer := <-s.answer:
		return answer, nil
	case <-s.lost:
		return nil, &Error{true, s.lostWhy}
	case <-ctx.Done():
		s.giveUp()
		return nil, &Error{true, ctx.Err()}
	}
}

func (l *Link) open(s *clientStream) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leaving {
		return errLeaving
	}
	if l.conn.doubtful.Load() {
		return errDoubtful
	}
	return l.add(s)
}

// add gives a stream a number. The caller holds the lock.
func (l *Link) add(s *clientStream) error {
	if l.broken {
		return errors.Wrap(l.conn.reason(), "link has ended")
	}
	if len(l.streams) >= wire.MaxStreams {
		return errors.Errorf("link: %d streams are open, the bound", wire.MaxStreams)
	}
	l.last++
	l.streams[l.last] = s
	s.bind(l, l.last)
	return nil
}

// adopt takes a stream of a link that broke, and asks for its answer.
func (l *Link) adopt(s *clientStream) error {
	l.mu.Lock()
	err := l.add(s)
	l.mu.Unlock()
	if err != nil {
		return err
	}
	stream, resume := s.ask()
	_ = l.conn.send(&wire.Frame{Type: wire.TypeResume, Stream: stream, Resume: resume}) // a link that breaks now is recovered like any other
	if resume.Cancel {
		l.end(stream)
	}
	return nil
}

// end forgets a stream, and tells the serving side from time to time, so that
// it forgets the answers.
func (l *Link) end(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, open := l.streams[id]; !open {
		return
	}
	delete(l.streams, id)
	l.ended++
	if l.ended >= settleBatch || (l.leaving && len(l.streams) == 0) {
		l.settle()
	}
}

// settle names the lowest stream that is open, and closes a link that a leaving
// peer waits for. The caller holds the lock.
func (l *Link) settle() {
	l.ended = 0
	lowest := l.last + 1
	for id := range l.streams {
		lowest = min(lowest, id)
	}
	l.conn.post(&wire.Frame{Type: wire.TypeSettled, Stream: lowest})
	if l.leaving && len(l.streams) == 0 {
		go l.conn.close(errLeaving)
	}
}

// leave stops new streams, since the peer is leaving.
func (l *Link) leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving = true
	if len(l.streams) == 0 {
		l.settle()
	}
}

func (l *Link) sendRequest(ctx context.Context, s *clientStream, r *call.Request) error {
	first := r.Body[:min(len(r.Body), wire.MaxChunk)]
	rest := r.Body[len(first):]
	if _, err := s.credit.take(ctx, l.conn.done, max(len(first), 1)); err != nil {
		return err
	}
	head := requestHead(r, time.Now())
	err := l.conn.send(&wire.Frame{Type: wire.TypeRequest, Stream: s.origin, Request: head, Data: first, End: len(rest) == 0})
	for err == nil && len(rest) > 0 {
		var n int
		if n, err = s.credit.take(ctx, l.conn.done, min(len(rest), wire.MaxChunk)); err != nil {
			return err
		}
		err = l.conn.send(&wire.Frame{Type: wire.TypeData, Stream: s.origin, Data: rest[:n], End: n == len(rest)})
		rest = rest[n:]
	}
	return err
}

func requestHead(r *call.Request, now time.Time) *wire.Request {
	age := int64(0)
	if !r.Timestamp.IsZero() {
		age = now.Sub(r.Timestamp).Microseconds()
	}
	return &wire.Request{
		Host: r.Host, Label: r.CallerRequestID, Age: age,
		ID: r.ID, Run: r.Run, Service: r.Service, Method: r.Method, Target: r.RequestURI, Path: r.Path,
		Header: r.Header, Caller: r.Caller, Rank: r.Rank, TimeLeft: r.Deadline.Sub(now).Microseconds(),
		Retries: r.RetryBudget, Idempotent: r.Idempotent, Key: r.Key, Nested: r.Nested,
	}
}

func (l *Link) handle(f wire.Frame) error {
	switch f.Type {
	case wire.TypePing:
		l.conn.post(&wire.Frame{Type: wire.TypePong})
		return nil
	case wire.TypePong:
		return nil
	case wire.TypeGoAway:
		l.leave()
		return nil
	case wire.TypeAnswer, wire.TypeData, wire.TypeCredit, wire.TypeReset, wire.TypeAbsent:
		return l.handleStream(f)
	}
	return errors.Wrapf(ErrMalformed, "frame type %d from the serving side", f.Type)
}

func (l *Link) handleStream(f wire.Frame) error {
	l.mu.Lock()
	s := l.streams[f.Stream]
	l.mu.Unlock()
	if s == nil {
		return nil // the stream was given up
	}
	err := s.handle(f)
	if f.End || f.Type == wire.TypeReset || f.Type == wire.TypeAbsent {
		l.end(f.Stream)
	}
	return err
}

func answerOf(a *wire.Answer, b *body) *call.Answer {
	header := a.Header
	if header == nil {
		header = http.Header{}
	}
	return &call.Answer{
		Status: a.Status, Header: header, Length: a.Length, Body: b,
		Outcome: call.Outcome(a.Outcome), Refusal: call.Refusal(a.Refusal), Detail: a.Detail,
		RetryAfter: time.Duration(a.RetryAfter) * time.Millisecond, UnusedRetries: a.Unspent, Level: a.Level,
		Load: route.Load{Outstanding: a.Busy, Slots: a.Slots, ServiceTime: time.Duration(a.Service) * time.Microsecond},
	}
}

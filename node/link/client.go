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

// ackBatch is the number of ended streams after which the calling side
// acknowledges their answers, so that the serving side may release them.
const ackBatch = 64

// errLeaving means that the peer is leaving and accepts no new stream.
var errLeaving = errors.New("link: the peer is leaving")

// errSuspect means that the peer has not answered a ping for Timing.SuspectAfter.
var errSuspect = errors.New("link: the peer is silent")

// Error reports a call without an answer.
type Error struct {
	// Sent is set if the peer may have received a part of the request.
	Sent bool
	// Cause is the reason.
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
	session []byte // id of the link, known to both sides
	pacer   *pacer // for answer bodies; nil if the rate is not limited

	mu      sync.Mutex
	lastID  uint64
	streams map[uint64]*clientStream
	unacked int  // streams that ended since the last TypeAck
	leaving bool // the peer accepts no new requests
	closed  bool // the link has ended and takeStreams was called
}

func newLink(c *conn, timing Timing, session []byte) *Link {
	return &Link{conn: c, timing: timing, session: session, streams: map[uint64]*clientStream{}}
}

// run reads frames until the link ends and returns the reason.
func (l *Link) run(k *keepalive) error {
	k.add(l.conn, l.timing.PingAfter, l.hasCalls)
	l.conn.close(l.conn.read(l.handle))
	return l.conn.closeReason()
}

// hasCalls reports whether calls are in progress. The keepalive calls it
// regularly, so it also acknowledges the streams that ended since the last TypeAck.
func (l *Link) hasCalls() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unacked > 0 {
		l.ack()
	}
	return len(l.streams) > 0
}

// isClosed reports whether the link has ended and accepts no stream.
func (l *Link) isClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

// takeStreams removes and returns the open streams of a link that has ended, and
// makes the link reject new streams.
func (l *Link) takeStreams() []*clientStream {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	streams := make([]*clientStream, 0, len(l.streams))
	for _, s := range l.streams {
		streams = append(streams, s)
	}
	l.streams = nil
	return streams
}

// Do sends a request and waits for the head of its answer. The error is an
// *Error. Cancelling the context cancels the request at the peer. If the link
// breaks during the call, its Pool resumes the request on a new link.
func (l *Link) Do(ctx context.Context, r *call.Request) (*call.Answer, error) {
	s := newClientStream(r)
	s.body.pacer = l.pacer
	if err := l.openStream(s); err != nil {
		return nil, &Error{false, err}
	}
	if err := l.sendRequest(ctx, s, r); err != nil && ctx.Err() != nil {
		s.cancel()
		return nil, &Error{true, ctx.Err()}
	}
	select {
	case answer := <-s.answer:
		return answer, nil
	case <-s.failed:
		return nil, &Error{true, s.failure}
	case <-ctx.Done():
		s.cancel()
		return nil, &Error{true, ctx.Err()}
	}
}

func (l *Link) openStream(s *clientStream) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leaving {
		return errLeaving
	}
	if l.conn.suspect.Load() {
		return errSuspect
	}
	return l.addStream(s)
}

// addStream assigns an id to a stream. The caller holds l.mu.
func (l *Link) addStream(s *clientStream) error {
	if l.closed {
		return errors.Wrap(l.conn.closeReason(), "link has ended")
	}
	if len(l.streams) >= wire.MaxStreams {
		return errors.Errorf("link: %d streams are open, the bound", wire.MaxStreams)
	}
	l.lastID++
	l.streams[l.lastID] = s
	s.bind(l, l.lastID)
	return nil
}

// resumeStream adds a stream of a broken link and requests its answer.
func (l *Link) resumeStream(s *clientStream) error {
	l.mu.Lock()
	err := l.addStream(s)
	l.mu.Unlock()
	if err != nil {
		return err
	}
	stream, resume := s.nextResume()
	_ = l.conn.send(&wire.Frame{Type: wire.TypeResume, Stream: stream, Resume: resume}) // if this link breaks too, its streams are recovered in turn
	if resume.Cancel {
		l.endStream(stream)
	}
	return nil
}

// endStream removes a stream. After every ackBatch streams, or after the last one
// of a leaving peer, it acknowledges the answers.
func (l *Link) endStream(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, open := l.streams[id]; !open {
		return
	}
	delete(l.streams, id)
	l.unacked++
	if l.unacked >= ackBatch || (l.leaving && len(l.streams) == 0) {
		l.ack()
	}
}

// ack acknowledges all answers below the lowest open stream, and closes the link
// if the peer is leaving and no stream is open. The caller holds l.mu.
func (l *Link) ack() {
	l.unacked = 0
	lowest := l.lastID + 1
	for id := range l.streams {
		lowest = min(lowest, id)
	}
	l.conn.sendAsync(&wire.Frame{Type: wire.TypeAck, Stream: lowest})
	if l.leaving && len(l.streams) == 0 {
		go l.conn.close(errLeaving)
	}
}

// stopNewStreams rejects new streams because the peer is leaving.
func (l *Link) stopNewStreams() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving = true
	if len(l.streams) == 0 {
		l.ack()
	}
}

func (l *Link) sendRequest(ctx context.Context, s *clientStream, r *call.Request) error {
	first := r.Body[:min(len(r.Body), wire.MaxChunk)]
	rest := r.Body[len(first):]
	if _, err := s.credit.take(ctx, l.conn.done, max(len(first), 1)); err != nil {
		return err
	}
	head := encodeRequest(r, time.Now())
	if len(rest) > 0 {
		head.BodyLength = len(r.Body)
	}
	err := l.conn.send(&wire.Frame{Type: wire.TypeRequest, Stream: s.originID, Request: head, Data: first, End: len(rest) == 0})
	for err == nil && len(rest) > 0 {
		var n int
		if n, err = s.credit.take(ctx, l.conn.done, min(len(rest), wire.MaxChunk)); err != nil {
			return err
		}
		err = l.conn.send(&wire.Frame{Type: wire.TypeData, Stream: s.originID, Data: rest[:n], End: n == len(rest)})
		rest = rest[n:]
	}
	return err
}

// encodeRequest returns the head of a request for the wire. The deadline and the
// timestamp are encoded as durations from now, since the clocks of daemons differ.
func encodeRequest(r *call.Request, now time.Time) *wire.Request {
	age := int64(0)
	if !r.Timestamp.IsZero() {
		age = now.Sub(r.Timestamp).Microseconds()
	}
	return &wire.Request{
		Host: r.Host, Label: r.CallerRequestID, Age: age,
		ID: r.ID, Run: r.Run, Service: r.Service, Method: r.Method, Target: r.RequestURI, Path: r.Path,
		Header: r.Header, Caller: r.Caller, Rank: r.Rank, Timeout: r.Deadline.Sub(now).Microseconds(),
		Retries: r.RetryBudget, Idempotent: r.Idempotent, Key: r.Key, Nested: r.Nested, Repeat: r.Repeat, RateLimit: r.RateLimit,
	}
}

func (l *Link) handle(f wire.Frame) error {
	switch f.Type {
	case wire.TypePing:
		l.conn.sendAsync(&wire.Frame{Type: wire.TypePong})
		return nil
	case wire.TypePong:
		return nil
	case wire.TypeGoAway:
		l.stopNewStreams()
		return nil
	case wire.TypeAnswer, wire.TypeData, wire.TypeCredit, wire.TypeReset, wire.TypeNotFound:
		return l.handleStream(f)
	}
	return errors.Wrapf(ErrMalformed, "frame type %d from the serving side", f.Type)
}

func (l *Link) handleStream(f wire.Frame) error {
	l.mu.Lock()
	s := l.streams[f.Stream]
	l.mu.Unlock()
	if s == nil {
		return nil // the stream was cancelled
	}
	err := s.handle(f)
	if f.End || f.Type == wire.TypeReset || f.Type == wire.TypeNotFound {
		l.endStream(f.Stream)
	}
	return err
}

// decodeOutcome returns the outcome of an answer. An outcome that is not known says
// nothing about whether the request ran.
func decodeOutcome(text string) call.Outcome {
	switch outcome := call.Outcome(text); outcome {
	case call.Ran, call.NotRun, call.Unknown:
		return outcome
	}
	return call.Unknown
}

func decodeAnswer(a *wire.Answer, b *body) *call.Answer {
	header := a.Header
	if header == nil {
		header = http.Header{}
	}
	return &call.Answer{
		Status: a.Status, Header: header, Length: a.Length, Body: b,
		Outcome: decodeOutcome(a.Outcome), Refusal: call.Refusal(a.Refusal), Detail: a.Detail,
		RetryAfter: time.Duration(a.RetryAfter) * time.Millisecond, UnusedRetries: a.UnusedRetries, Level: a.Level,
		Load: route.Load{Outstanding: a.Outstanding, Slots: a.Slots, ServiceTime: time.Duration(a.ServiceTime) * time.Microsecond, RateLimit: a.RateLimit},
	}
}

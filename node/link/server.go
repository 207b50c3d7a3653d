package link

import (
	"container/list"
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"fuchsiavane.org/node/bodies"
	"fuchsiavane.org/node/call"
	"fuchsiavane.org/node/wire"
)

// bodyRetryAfter is the Retry-After time of a request whose body did not fit.
const bodyRetryAfter = time.Second

// servingLink is the serving side of one connection. The registry's lock guards
// the fields from streams on.
type servingLink struct {
	conn       *conn
	server     call.Server
	registry   *runRegistry
	session    string // id of the link, known to both sides
	class      Class
	readerDone chan struct{} // closed when the reader has ended

	// resuming holds the streams whose runs are being resumed on this link.
	resumingMu sync.Mutex
	resuming   map[uint64]*resumption

	streams     map[uint64]*serverStream
	openStreams int // number of unfinished streams
	// acked is the highest stream id whose answer, and all before it, the peer has
	// acknowledged; evicted is the highest stream id whose answer was evicted.
	acked, evicted uint64
	expired        bool // the link ended longer than Timing.Retention ago
}

// serverStream is one request on the serving side. It outlives its link: it ends
// with its answer, at its deadline or when the calling side cancels it.
type serverStream struct {
	ctx      context.Context
	cancel   context.CancelFunc
	request  *call.Request
	sender   *answerSender
	origin   *servingLink // the link on which the request arrived
	originID uint64       // id of the stream on which it arrived
	held     *bodies.Reservation
	// refused is set if the request was answered because its body did not fit. Only
	// the reader of the origin uses it.
	refused bool

	// The registry's lock guards the fields below.
	link    *servingLink // the current link
	id      uint64
	attempt int // the last wire.Resume.Attempt that moved the stream
	// started is set once the complete request has arrived.
	started, finished, cancelled bool
	keptBytes                    int
	keptElement                  *list.Element
}

func newServingLink(c *conn, session []byte, class Class, server call.Server, registry *runRegistry) *servingLink {
	return &servingLink{
		conn: c, server: server, registry: registry, session: string(session), class: class,
		readerDone: make(chan struct{}), resuming: map[uint64]*resumption{}, streams: map[uint64]*serverStream{},
	}
}

// resumption holds what the peer has sent for a stream while its run is being resumed.
type resumption struct {
	credit    int
	cancelled bool
}

// hold keeps credit or a cancellation for a stream that is being resumed, and reports
// whether the stream is. The run may not have moved to this link yet, and the credit that
// the break has lost must be made up for before any other is counted. Other frames for
// such a stream have no effect: its request has arrived whole.
func (s *servingLink) hold(f wire.Frame) bool {
	s.resumingMu.Lock()
	defer s.resumingMu.Unlock()
	pending := s.resuming[f.Stream]
	if pending == nil {
		return false
	}
	switch f.Type {
	case wire.TypeCredit:
		pending.credit += int(f.Credit)
	case wire.TypeCancel:
		pending.cancelled = true
	}
	return true
}

// finishResumption applies the frames that were held for a stream; stream is nil if it was
// not resumed here.
func (s *servingLink) finishResumption(id uint64, stream *serverStream) {
	s.resumingMu.Lock()
	defer s.resumingMu.Unlock()
	pending := s.resuming[id]
	delete(s.resuming, id)
	if stream == nil || pending == nil {
		return
	}
	if pending.credit > 0 {
		stream.sender.grant(pending.credit)
	}
	if pending.cancelled {
		s.cancelStream(stream)
	}
}

// cancelStream cancels a request that the peer has given up.
func (s *servingLink) cancelStream(stream *serverStream) {
	stream.cancel()
	s.registry.cancel(stream)
}

// run serves until the link ends and returns the reason. Running requests
// continue.
func (s *servingLink) run() error {
	s.registry.addSession(s)
	s.registry.keepalive.add(s.conn, s.registry.timing.ServingPingAfter, func() bool { return !s.registry.isIdle(s) })
	s.conn.close(s.conn.read(s.handle))
	close(s.readerDone)
	s.registry.expireSession(s)
	return s.conn.closeReason()
}

// closeAndWait closes the link and waits until its reader has ended.
func (s *servingLink) closeAndWait(reason error) {
	s.conn.close(reason)
	<-s.readerDone
}

func (s *servingLink) handle(f wire.Frame) error {
	switch f.Type {
	case wire.TypePing:
		s.conn.sendAsync(&wire.Frame{Type: wire.TypePong})
		return nil
	case wire.TypePong:
		return nil
	case wire.TypeRequest:
		return s.startStream(f)
	case wire.TypeResume:
		return s.resume(f)
	case wire.TypeAck:
		s.registry.ack(s, f.Stream)
		return nil
	case wire.TypeData, wire.TypeCredit, wire.TypeCancel:
		return s.handleStream(f)
	}
	return errors.Wrapf(ErrMalformed, "frame type %d from the calling side", f.Type)
}

func (s *servingLink) startStream(f wire.Frame) error {
	stream := &serverStream{
		request: decodeRequest(f.Request, time.Now()),
		sender:  newAnswerSender(s.conn, f.Stream),
		origin:  s, originID: f.Stream, link: s, id: f.Stream,
		started: f.End,
	}
	var fits bool
	stream.held, stream.request.Body, fits = s.registry.reserveBody(&f)
	stream.refused = !fits
	stream.ctx, stream.cancel = context.WithDeadline(context.Background(), stream.request.Deadline)
	if err := s.registry.add(s, f.Stream, stream); err != nil {
		stream.cancel()
		stream.held.Release()
		return err
	}
	if stream.refused {
		s.refuseBody(stream)
		return nil
	}
	if f.End {
		go stream.serve(s.server, s.registry)
	}
	return nil
}

// decodeRequest is the reverse of encodeRequest; now is the time of receipt.
func decodeRequest(w *wire.Request, now time.Time) *call.Request {
	header := w.Header
	if header == nil {
		header = http.Header{}
	}
	var timestamp time.Time
	if w.Age > 0 {
		timestamp = now.Add(-time.Duration(w.Age) * time.Microsecond)
	}
	return &call.Request{
		Host: w.Host, CallerRequestID: w.Label, Timestamp: timestamp,
		ID: w.ID, Run: w.Run, Service: w.Service, Method: w.Method, RequestURI: w.Target, Path: w.Path,
		Header: header, Caller: w.Caller, Rank: w.Rank, RetryBudget: w.Retries,
		Deadline:   now.Add(time.Duration(w.Timeout) * time.Microsecond),
		Idempotent: w.Idempotent, Key: w.Key, Nested: w.Nested, Repeat: w.Repeat, RateLimit: w.RateLimit,
	}
}

func (s *servingLink) handleStream(f wire.Frame) error {
	if s.hold(f) {
		return nil
	}
	stream := s.registry.find(s, f.Stream)
	if stream == nil {
		return nil // the stream was removed
	}
	switch f.Type {
	case wire.TypeCredit:
		stream.sender.grant(int(f.Credit))
	case wire.TypeCancel:
		s.cancelStream(stream)
	case wire.TypeData:
		return s.receive(f, stream)
	}
	return nil
}

// refuseBody answers a request whose body does not fit into the memory for bodies. The
// request has not run.
func (s *servingLink) refuseBody(stream *serverStream) {
	stream.request.Body = nil
	if !s.registry.start(stream) {
		return
	}
	refusal := call.Refuse(call.NotRun, call.RefusedOverload, "the memory for request bodies is in use")
	refusal.UnusedRetries = stream.request.RetryBudget
	refusal.RetryAfter = bodyRetryAfter
	go stream.serve(call.ServerFunc(func(context.Context, *call.Request) *call.Answer { return refusal }), s.registry)
}

func (s *servingLink) receive(f wire.Frame, stream *serverStream) error {
	if stream.refused {
		return nil // sent before the refusal arrived
	}
	if s.registry.isStarted(stream) {
		return errors.Wrapf(ErrMalformed, "stream %d has a body after its end", f.Stream)
	}
	if len(stream.request.Body)+len(f.Data) > call.MaxRequestBody {
		return errors.Wrapf(ErrMalformed, "request body is larger than %d bytes", call.MaxRequestBody)
	}
	if beyond := len(stream.request.Body) + len(f.Data) - cap(stream.request.Body); beyond > 0 && !stream.held.Grow(beyond) {
		stream.refused = true
		s.refuseBody(stream)
		return nil
	}
	stream.request.Body = append(stream.request.Body, f.Data...)
	if f.End {
		if s.registry.start(stream) {
			go stream.serve(s.server, s.registry)
		}
		return nil
	}
	s.conn.sendAsync(&wire.Frame{Type: wire.TypeCredit, Stream: f.Stream, Credit: uint32(len(f.Data))})
	return nil
}

// resume handles a request to resume a run whose link broke. It works in a
// goroutine, since it waits for older links to end and for space in the write
// buffer, and the reader must not block.
func (s *servingLink) resume(f wire.Frame) error {
	if string(f.Resume.Session) == s.session {
		return errors.Wrap(ErrMalformed, "a request is asked for on the link that it was sent on")
	}
	s.resumingMu.Lock()
	s.resuming[f.Stream] = &resumption{}
	s.resumingMu.Unlock()
	go func() {
		var resumed *serverStream
		defer func() { s.finishResumption(f.Stream, resumed) }()
		stream, verdict := s.registry.lookup(f.Resume)
		if verdict != verdictFound {
			s.conn.sendAsync(&wire.Frame{Type: wire.TypeNotFound, Stream: f.Stream, NeverArrived: verdict == verdictNeverArrived})
			return
		}
		if f.Resume.Cancel {
			s.cancelStream(stream)
			return
		}
		if from := s.registry.move(stream, s, f.Stream, f.Resume.Attempt); from != nil {
			from.closeAndWait(ErrReplaced)
			if stream.sender.resume(s.conn, f.Stream, f.Resume) {
				resumed = stream
			}
		}
	}()
	return nil
}

// serve runs the request and sends its answer.
func (stream *serverStream) serve(server call.Server, registry *runRegistry) {
	defer stream.cancel()
	defer registry.finish(stream)
	defer stream.releaseBody()
	answer := server.Serve(stream.ctx, stream.request)
	defer answer.Body.Close()
	if err := stream.sendAnswer(answer); err != nil {
		stream.sender.sendReset(err.Error())
	}
}

// releaseBody frees the body of a request whose answer has been sent. The answer itself
// is kept until it is acknowledged.
func (stream *serverStream) releaseBody() {
	stream.request.Body = nil
	stream.held.Release()
}

func (stream *serverStream) sendAnswer(answer *call.Answer) error {
	head := encodeAnswer(answer)
	if answer.Length >= 0 && answer.Length <= wire.MaxChunk {
		data := make([]byte, answer.Length)
		if _, err := io.ReadFull(answer.Body, data); err != nil {
			return errors.Wrap(err, "answer body")
		}
		stream.sender.sendHead(head, data, true)
		return nil
	}
	stream.sender.sendHead(head, nil, false)
	return stream.sendBody(answer.Body)
}

func (stream *serverStream) sendBody(from io.Reader) error {
	buffer := make([]byte, wire.MaxChunk)
	for {
		n, readErr := from.Read(buffer)
		if err := stream.sendChunk(buffer[:n]); err != nil {
			return err
		}
		if errors.Is(readErr, io.EOF) {
			stream.sender.sendData(nil, true)
			return nil
		}
		if readErr != nil {
			return readErr
		}
	}
}

func (stream *serverStream) sendChunk(chunk []byte) error {
	for len(chunk) > 0 {
		n, err := stream.sender.credit.take(stream.ctx, nil, len(chunk))
		if err == nil && stream.origin.class == ClassBulk {
			err = stream.origin.registry.bulkPacer.wait(stream.ctx, n)
		}
		if err != nil {
			return err
		}
		stream.sender.sendData(chunk[:n], false)
		chunk = chunk[n:]
	}
	return nil
}

func encodeAnswer(a *call.Answer) *wire.Answer {
	return &wire.Answer{
		Status: a.Status, Header: a.Header, Length: a.Length, Outcome: string(a.Outcome),
		Refusal: string(a.Refusal), Detail: a.Detail, RetryAfter: a.RetryAfter.Milliseconds(),
		UnusedRetries: a.UnusedRetries, Level: a.Level,
		Outstanding: a.Load.Outstanding, Slots: a.Load.Slots, ServiceTime: a.Load.ServiceTime.Microseconds(), RateLimit: a.Load.RateLimit,
	}
}

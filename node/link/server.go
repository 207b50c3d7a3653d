package link

import (
	"container/list"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"fuchsiavane.org/node/call"
	"fuchsiavane.org/node/wire"
)

// serving is the serving side of one connection. The keeper's lock guards the
// fields below it.
type serving struct {
	conn    *conn
	server  call.Server
	keeper  *keeper
	session string // the id of the link, which both sides know
	class   Class
	ended   chan struct{} // closed when the reader has ended

	streams map[uint64]*serverStream
	open    int // streams whose answer is not finished
	// settled and forgotten are the highest ids of streams whose answers the
	// peer has, and of streams that were dropped before.
	settled, forgotten uint64
	expired            bool // the link broke longer than Timing.Keep ago
}

// serverStream is one request. A request outlives the link that it came on: it
// ends by its deadline or when the calling side cancels it.
type serverStream struct {
	ctx      context.Context
	cancel   context.CancelFunc
	request  *call.Request
	out      *outbox
	origin   *serving
	originID uint64

	// The keeper's lock guards the rest.
	at                         *serving // the link that the stream is on now
	id                         uint64
	attempt                    int // of the ask that moved the stream last
	started, finished, dropped bool
	size                       int
	element                    *list.Element
}

func newServing(c *conn, session []byte, class Class, server call.Server, k *keeper) *serving {
	return &serving{
		conn: c, server: server, keeper: k, session: string(session), class: class,
		ended: make(chan struct{}), streams: map[uint64]*serverStream{},
	}
}

// run serves until the link ends and returns why. Requests that run go on.
func (s *serving) run() error {
	s.keeper.opened(s)
	s.keeper.beater.add(s.conn, s.keeper.timing.ServingQuiet, func() bool { return !s.keeper.idle(s) })
	s.conn.close(s.conn.read(s.handle))
	close(s.ended)
	s.keeper.broken(s)
	return s.conn.reason()
}

// end closes the link and waits until no frame of it is handled any more.
func (s *serving) end(reason error) {
	s.conn.close(reason)
	<-s.ended
}

func (s *serving) handle(f wire.Frame) error {
	switch f.Type {
	case wire.TypePing:
		s.conn.post(&wire.Frame{Type: wire.TypePong})
		return nil
	case wire.TypePong:
		return nil
	case wire.TypeRequest:
		return s.begin(f)
	case wire.TypeResume:
		return s.resume(f)
	case wire.TypeSettled:
		s.keeper.settle(s, f.Stream)
		return nil
	case wire.TypeData, wire.TypeCredit, wire.TypeCancel:
		return s.handleStream(f)
	}
	return errors.Wrapf(ErrMalformed, "frame type %d from the calling side", f.Type)
}

func (s *serving) begin(f wire.Frame) error {
	stream := &serverStream{
		request: requestOf(f.Request, time.Now()),
		out:     newOutbox(s.conn, f.Stream),
		origin:  s, originID: f.Stream, at: s, id: f.Stream,
		started: f.End,
	}
	stream.request.Body = f.Data
	stream.ctx, stream.cancel = context.WithDeadline(context.Background(), stream.request.Deadline)
	if err := s.keeper.add(s, f.Stream, stream); err != nil {
		stream.cancel()
		return err
	}
	if f.End {
		go stream.serve(s.server, s.keeper)
	}
	return nil
}

func requestOf(w *wire.Request, now time.Time) *call.Request {
	header := w.Header
	if header == nil {
		header = http.Header{}
	}
	var began time.Time
	if w.Age > 0 {
		began = now.Add(-time.Duration(w.Age) * time.Microsecond)
	}
	return &call.Request{
		Host: w.Host, CallerRequestID: w.Label, Timestamp: began,
		ID: w.ID, Run: w.Run, Service: w.Service, Method: w.Method, RequestURI: w.Target, Path: w.Path,
		Header: header, Caller: w.Caller, Rank: w.Rank, RetryBudget: w.Retries,
		Deadline:   now.Add(time.Duration(w.TimeLeft) * time.Microsecond),
		Idempotent: w.Idempotent, Key: w.Key, Nested: w.Nested,
	}
}

func (s *serving) handleStream(f wire.Frame) error {
	stream := s.keeper.find(s, f.Stream)
	if stream == nil {
		return nil // the stream has ended
	}
	switch f.Type {
	case wire.TypeCredit:
		stream.out.grant(int(f.Credit))
	case wire.TypeCancel:
		stream.cancel()
		s.keeper.drop(stream)
	case wire.TypeData:
		return s.receive(f, stream)
	}
	return nil
}

func (s *serving) receive(f wire.Frame, stream *serverStream) error {
	if s.keeper.isStarted(stream) {
		return errors.Wrapf(ErrMalformed, "stream %d has a body after its end", f.Stream)
	}
	if len(stream.request.Body)+len(f.Data) > call.MaxRequestBody {
		return errors.Wrapf(ErrMalformed, "request body is larger than %d bytes", call.MaxRequestBody)
	}
	stream.request.Body = append(stream.request.Body, f.Data...)
	if f.End {
		if s.keeper.start(stream) {
			go stream.serve(s.server, s.keeper)
		}
		return nil
	}
	s.conn.post(&wire.Frame{Type: wire.TypeCredit, Stream: f.Stream, Credit: uint32(len(f.Data))})
	return nil
}

// resume answers a calling side that asks for a run whose link broke. It waits
// for the end of older links and for room, which the reader must not.
func (s *serving) resume(f wire.Frame) error {
	if string(f.Resume.Session) == s.session {
		return errors.Wrap(ErrMalformed, "a request is asked for on the link that it was sent on")
	}
	go func() {
		stream, verdict := s.keeper.lookUp(f.Resume)
		if verdict != verdictFound {
			s.conn.post(&wire.Frame{Type: wire.TypeAbsent, Stream: f.Stream, NeverArrived: verdict == verdictNeverArrived})
			return
		}
		if f.Resume.Cancel {
			stream.cancel()
			s.keeper.drop(stream)
			return
		}
		if from := s.keeper.move(stream, s, f.Stream, f.Resume.Attempt); from != nil {
			from.end(ErrReplaced)
			stream.out.resume(s.conn, f.Stream, f.Resume)
		}
	}()
	return nil
}

// serve runs the request and sends its answer.
func (stream *serverStream) serve(server call.Server, k *keeper) {
	defer stream.cancel()
	defer k.finish(stream)
	answer := server.Serve(stream.ctx, stream.request)
	defer answer.Body.Close()
	if err := stream.sendAnswer(answer); err != nil {
		stream.out.cut(err.Error())
	}
}

func (stream *serverStream) sendAnswer(answer *call.Answer) error {
	head := answerHead(answer)
	if answer.Length >= 0 && answer.Length <= wire.MaxChunk {
		data := make([]byte, answer.Length)
		if _, err := io.ReadFull(answer.Body, data); err != nil {
			return errors.Wrap(err, "answer body")
		}
		stream.out.answer(head, data, true)
		return nil
	}
	stream.out.answer(head, nil, false)
	return stream.sendBody(answer.Body)
}

func (stream *serverStream) sendBody(from io.Reader) error {
	buffer := make([]byte, wire.MaxChunk)
	for {
		n, readErr := from.Read(buffer)
		if err := stream.sendPiece(buffer[:n]); err != nil {
			return err
		}
		if errors.Is(readErr, io.EOF) {
			stream.out.data(nil, true)
			return nil
		}
		if readErr != nil {
			return readErr
		}
	}
}

func (stream *serverStream) sendPiece(piece []byte) error {
	for len(piece) > 0 {
		n, err := stream.out.credit.take(stream.ctx, nil, len(piece))
		if err == nil && stream.origin.class == ClassBulk {
			err = stream.origin.keeper.bulk.wait(stream.ctx, n)
		}
		if err != nil {
			return err
		}
		stream.out.data(piece[:n], false)
		piece = piece[n:]
	}
	return nil
}

func answerHead(a *call.Answer) *wire.Answer {
	return &wire.Answer{
		Status: a.Status, Header: a.Header, Length: a.Length, Outcome: string(a.Outcome),
		Refusal: string(a.Refusal), Detail: a.Detail, RetryAfter: a.RetryAfter.Milliseconds(),
		Unspent: a.UnusedRetries, Level: a.Level,
		Busy: a.Load.Outstanding, Slots: a.Load.Slots, Service: a.Load.ServiceTime.Microseconds(),
	}
}

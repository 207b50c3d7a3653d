package link

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"fuchsiavane.org/node/call"
	"fuchsiavane.org/node/wire"
)

// serving is the serving side of one connection.
type serving struct {
	conn   *conn
	server call.Server

	mu      sync.Mutex
	streams map[uint64]*serverStream
}

type serverStream struct {
	ctx     context.Context
	cancel  context.CancelFunc
	request *call.Request
	credit  *credit
}

func newServing(c *conn, server call.Server) *serving {
	return &serving{conn: c, server: server, streams: map[uint64]*serverStream{}}
}

// run serves until the link ends and returns why. Requests that run are
// cancelled then.
func (s *serving) run() error {
	go s.conn.heartbeat()
	s.conn.close(s.conn.read(s.handle))
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, stream := range s.streams {
		stream.cancel()
	}
	return s.conn.reason()
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
	case wire.TypeData, wire.TypeCredit, wire.TypeCancel:
		return s.handleStream(f)
	}
	return errors.Wrapf(ErrMalformed, "frame type %d from the calling side", f.Type)
}

func (s *serving) begin(f wire.Frame) error {
	stream := &serverStream{request: requestOf(f.Request, time.Now()), credit: newCredit(wire.InitialCredit)}
	stream.ctx, stream.cancel = context.WithDeadline(context.Background(), stream.request.Deadline)
	s.mu.Lock()
	_, used := s.streams[f.Stream]
	full := len(s.streams) >= wire.MaxStreams
	if !used && !full {
		s.streams[f.Stream] = stream
	}
	s.mu.Unlock()
	if used || full {
		stream.cancel()
		return errors.Wrapf(ErrMalformed, "stream %d is open already or one too many", f.Stream)
	}
	stream.request.Body = f.Data
	if f.End {
		go s.serve(f.Stream, stream)
	}
	return nil
}

func requestOf(w *wire.Request, now time.Time) *call.Request {
	header := w.Header
	if header == nil {
		header = http.Header{}
	}
	return &call.Request{
		ID: w.ID, Run: w.Run, Service: w.Service, Method: w.Method, Target: w.Target, Path: w.Path,
		Header: header, Caller: w.Caller, Rank: w.Rank, Retries: w.Retries,
		Deadline:   now.Add(time.Duration(w.TimeLeft) * time.Microsecond),
		Idempotent: w.Idempotent, Key: w.Key,
	}
}

func (s *serving) handleStream(f wire.Frame) error {
	s.mu.Lock()
	stream := s.streams[f.Stream]
	s.mu.Unlock()
	if stream == nil {
		return nil // the stream has ended
	}
	switch f.Type {
	case wire.TypeCredit:
		stream.credit.grant(int(f.Credit))
	case wire.TypeCancel:
		stream.cancel()
	case wire.TypeData:
		return s.receive(f, stream)
	}
	return nil
}

func (s *serving) receive(f wire.Frame, stream *serverStream) error {
	if len(stream.request.Body)+len(f.Data) > call.MaxRequestBody {
		return errors.Wrapf(ErrMalformed, "request body is larger than %d bytes", call.MaxRequestBody)
	}
	stream.request.Body = append(stream.request.Body, f.Data...)
	if f.End {
		go s.serve(f.Stream, stream)
		return nil
	}
	s.conn.post(&wire.Frame{Type: wire.TypeCredit, Stream: f.Stream, Credit: uint32(len(f.Data))})
	return nil
}

// serve runs one request and sends its answer.
func (s *serving) serve(id uint64, stream *serverStream) {
	defer s.end(id, stream)
	answer := s.server.Serve(stream.ctx, stream.request)
	defer answer.Body.Close()
	if err := s.sendAnswer(id, stream, answer); err != nil {
		_ = s.conn.send(&wire.Frame{Type: wire.TypeReset, Stream: id, Reason: err.Error()})
	}
}

func (s *serving) end(id uint64, stream *serverStream) {
	stream.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.streams, id)
}

func (s *serving) sendAnswer(id uint64, stream *serverStream, answer *call.Answer) error {
	frame := wire.Frame{Type: wire.TypeAnswer, Stream: id, Answer: answerHead(answer)}
	if answer.Length >= 0 && answer.Length <= wire.MaxChunk {
		data, err := io.ReadAll(answer.Body)
		if err != nil {
			return err
		}
		frame.Data, frame.End = data, true
		return s.conn.send(&frame)
	}
	if err := s.conn.send(&frame); err != nil {
		return err
	}
	return s.sendBody(id, stream, answer.Body)
}

func (s *serving) sendBody(id uint64, stream *serverStream, from io.Reader) error {
	buffer := make([]byte, wire.MaxChunk)
	for {
		n, readErr := from.Read(buffer)
		if err := s.sendPiece(id, stream, buffer[:n]); err != nil {
			return err
		}
		if errors.Is(readErr, io.EOF) {
			return s.conn.send(&wire.Frame{Type: wire.TypeData, Stream: id, End: true})
		}
		if readErr != nil {
			return readErr
		}
	}
}

func (s *serving) sendPiece(id uint64, stream *serverStream, piece []byte) error {
	for len(piece) > 0 {
		n, err := stream.credit.take(stream.ctx, s.conn.done, len(piece))
		if err != nil {
			return err
		}
		if err := s.conn.send(&wire.Frame{Type: wire.TypeData, Stream: id, Data: piece[:n]}); err != nil {
			return err
		}
		piece = piece[n:]
	}
	return nil
}

func answerHead(a *call.Answer) *wire.Answer {
	return &wire.Answer{
		Status: a.Status, Header: a.Header, Length: a.Length, Outcome: string(a.Outcome),
		Refusal: string(a.Refusal), Detail: a.Detail, RetryAfter: a.RetryAfter.Milliseconds(),
		Unspent: a.Unspent, Level: a.Level,
	}
}

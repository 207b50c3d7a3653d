package link

import (
	"sync"

	"github.com/pkg/errors"

	"fuchsiavane.org/node/call"
	"fuchsiavane.org/node/httphead"
	"fuchsiavane.org/node/wire"
)

// errUnknownRun means that the peer has no record of a run and can't say whether
// it ran.
var errUnknownRun = errors.New("link: the peer does not know what became of the request")

// clientStream is the calling side of one request. It moves to a new link when
// its link breaks.
type clientStream struct {
	run     string
	retries int
	// idempotent requests may run more than once.
	idempotent bool
	answer     chan *call.Answer
	body       *body
	credit     *credit

	failed   chan struct{} // closed when no complete answer will come; failure is set
	failure  error
	failOnce sync.Once

	mu       sync.Mutex
	link     *Link
	id       uint64
	session  []byte // session of the link on which the request was sent
	originID uint64 // id of the stream on which the request was sent
	attempt  int    // number of links on which the run was resumed
	// granted is the credit granted since the start of the body.
	granted      uint64
	headReceived bool
	cancelled    bool
}

func newClientStream(r *call.Request) *clientStream {
	s := &clientStream{
		run: r.Run, retries: r.RetryBudget, idempotent: r.Idempotent,
		answer: make(chan *call.Answer, 1),
		credit: newCredit(wire.InitialCredit),
		failed: make(chan struct{}),
	}
	s.body = newBody(s.grant, s.cancel)
	return s
}

// bind assigns the stream to a link.
func (s *clientStream) bind(l *Link, id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.session == nil {
		s.session, s.originID = l.session, id
	}
	s.link, s.id = l, id
}

// nextResume returns the stream id and content of the frame that resumes the run
// on the current link.
func (s *clientStream) nextResume() (uint64, *wire.Resume) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempt++
	return s.id, &wire.Resume{
		Run: s.run, Session: s.session, Stream: s.originID, Attempt: s.attempt,
		HeadReceived: s.headReceived, Offset: s.body.received(), Granted: s.granted, Cancel: s.cancelled,
	}
}

// grant grants the sender credit. Credit granted while no link is open is sent
// with the next wire.Resume.
func (s *clientStream) grant(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.granted += uint64(n)
	s.link.conn.sendAsync(&wire.Frame{Type: wire.TypeCredit, Stream: s.id, Credit: uint32(n)})
}

// cancel cancels the request at the peer and removes the stream from its link.
func (s *clientStream) cancel() {
	s.mu.Lock()
	s.cancelled = true
	l, id := s.link, s.id
	s.mu.Unlock()
	l.conn.sendAsync(&wire.Frame{Type: wire.TypeCancel, Stream: id})
	l.endStream(id)
}

// failIfNotResumed fails an idempotent request that is still on the broken link
// and has no answer, so that it can be sent to another instance.
func (s *clientStream) failIfNotResumed(broken *Link, reason error) {
	s.mu.Lock()
	pending := s.link == broken && !s.headReceived
	if pending {
		s.cancelled = true
	}
	s.mu.Unlock()
	if pending {
		s.fail(reason)
	}
}

// fail ends the stream without a complete answer.
func (s *clientStream) fail(reason error) {
	s.failOnce.Do(func() {
		s.failure = reason
		close(s.failed)
		s.body.fail(reason)
	})
}

func (s *clientStream) handle(f wire.Frame) error {
	switch f.Type {
	case wire.TypeCredit:
		s.credit.grant(int(f.Credit))
		return nil
	case wire.TypeReset:
		s.fail(errors.Errorf("link: the peer cut the answer: %s", f.Reason))
		return nil
	case wire.TypeNotFound:
		s.receiveNotFound(f.NeverArrived)
		return nil
	}
	if err := s.body.append(f.Data, f.End); err != nil {
		return err
	}
	if f.Type != wire.TypeAnswer {
		return nil
	}
	answer := decodeAnswer(f.Answer, s.body)
	// Older daemons pass invalid heads of their upstreams on.
	if err := httphead.CheckAnswer(answer.Status, answer.Header); err != nil {
		s.cancel()
		s.fail(errors.Wrap(err, "link: answer"))
		return nil
	}
	return s.receiveHead(answer)
}

// receiveHead passes the head of the answer to the caller.
func (s *clientStream) receiveHead(answer *call.Answer) error {
	s.mu.Lock()
	duplicate := s.headReceived
	s.headReceived = true
	s.mu.Unlock()
	if duplicate {
		return errors.Wrapf(ErrMalformed, "run %s was answered twice", s.run)
	}
	s.credit.end() // the peer needs no more of the request's body
	s.answer <- answer
	return nil
}

// receiveNotFound handles the peer's report that it has no such run.
func (s *clientStream) receiveNotFound(neverArrived bool) {
	s.mu.Lock()
	answered := s.headReceived
	s.mu.Unlock()
	if !neverArrived || answered {
		s.fail(errUnknownRun)
		return
	}
	refusal := call.Refuse(call.NotRun, call.RefusedUnreachable, "the link broke before the request arrived")
	refusal.UnusedRetries = s.retries
	_ = s.receiveHead(refusal)
}

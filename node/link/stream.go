package link

import (
	"sync"

	"github.com/pkg/errors"

	"fuchsiavane.org/node/call"
	"fuchsiavane.org/node/wire"
)

// errNotKnown means that the peer doesn't know what became of a run.
var errNotKnown = errors.New("link: the peer does not know what became of the request")

// clientStream is the calling side of one request. It moves to a new link when
// the one that it is on breaks.
type clientStream struct {
	run     string
	retries int
	// repeatable requests may run more than once.
	repeatable bool
	answer     chan *call.Answer
	body       *body
	credit     *credit

	lost     chan struct{} // closed when no answer will come; lostWhy is set
	lostWhy  error
	lostOnce sync.Once

	mu      sync.Mutex
	link    *Link
	id      uint64
	session []byte // of the link on which the request was sent
	origin  uint64 // the stream on which it was sent
	attempt int    // links on which the run was asked for
	// granted is the credit granted since the beginning of the body.
	granted   uint64
	answered  bool
	cancelled bool
}

func newClientStream(r *call.Request) *clientStream {
	s := &clientStream{
		run: r.Run, retries: r.RetryBudget, repeatable: r.Idempotent,
		answer: make(chan *call.Answer, 1),
		credit: newCredit(wire.InitialCredit),
		lost:   make(chan struct{}),
	}
	s.body = newBody(s.grant, s.giveUp)
	return s
}

// bind puts the stream on a link.
func (s *clientStream) bind(l *Link, id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.session == nil {
		s.session, s.origin = l.session, id
	}
	s.link, s.id = l, id
}

// ask returns the frame's content that asks for the answer on the present link.
func (s *clientStream) ask() (uint64, *wire.Resume) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempt++
	return s.id, &wire.Resume{
		Run: s.run, Session: s.session, Stream: s.origin, Attempt: s.attempt,
		Answered: s.answered, Offset: s.body.received(), Granted: s.granted, Cancel: s.cancelled,
	}
}

// grant lets the sender go on. Credit granted while no link is open goes with
// the next ask.
func (s *clientStream) grant(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.granted += uint64(n)
	s.link.conn.post(&wire.Frame{Type: wire.TypeCredit, Stream: s.id, Credit: uint32(n)})
}

// giveUp cancels the request at the peer.
func (s *clientStream) giveUp() {
	s.mu.Lock()
	s.cancelled = true
	l, id := s.link, s.id
	s.mu.Unlock()
	l.conn.post(&wire.Frame{Type: wire.TypeCancel, Stream: id})
	l.end(id)
}

// abandon gives up a request that may run again elsewhere, if it is still on the
// link that broke.
func (s *clientStream) abandon(broken *Link, why error) {
	s.mu.Lock()
	orphan := s.link == broken && !s.answered
	if orphan {
		s.cancelled = true
	}
	s.mu.Unlock()
	if orphan {
		s.lose(why)
	}
}

// lose ends the stream without a whole answer.
func (s *clientStream) lose(why error) {
	s.lostOnce.Do(func() {
		s.lostWhy = why
		close(s.lost)
		s.body.fail(why)
	})
}

func (s *clientStream) handle(f wire.Frame) error {
	switch f.Type {
	case wire.TypeCredit:
		s.credit.grant(int(f.Credit))
		return nil
	case wire.TypeReset:
		s.lose(errors.Errorf("link: the peer cut the answer: %s", f.Reason))
		return nil
	case wire.TypeAbsent:
		s.absent(f.NeverArrived)
		return nil
	}
	if err := s.body.put(f.Data, f.End); err != nil {
		return err
	}
	if f.Type != wire.TypeAnswer {
		return nil
	}
	return s.head(answerOf(f.Answer, s.body))
}

func (s *clientStream) head(answer *call.Answer) error {
	s.mu.Lock()
	again := s.answered
	s.answered = true
	s.mu.Unlock()
	if again {
		return errors.Wrapf(ErrMalformed, "run %s was answered twice", s.run)
	}
	s.answer <- answer
	return nil
}

// absent takes the peer's word that it has no such run.
func (s *clientStream) absent(neverArrived bool) {
	s.mu.Lock()
	answered := s.answered
	s.mu.Unlock()
	if !neverArrived || answered {
		s.lose(errNotKnown)
		return
	}
	refusal := call.Refuse(call.NotRun, call.RefusedUnreachable, "the link broke before the request arrived")
	refusal.UnusedRetries = s.retries
	_ = s.head(refusal)
}

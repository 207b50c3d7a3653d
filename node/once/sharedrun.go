package once

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"fuchsiavane.org/node/call"
)

// maxRetainedBytes bounds the body of a retained answer.
const maxRetainedBytes = 64 << 10

// answerOverhead is the memory in bytes that a retained answer needs in addition to
// its body and header.
const answerOverhead = 512

// sharedRun is one run of a key, whose answer is shared by all requests with the
// key. done is closed when the run has ended; head, body and stream are valid and
// constant from then on.
type sharedRun struct {
	done chan struct{}
	// head is the answer without its body.
	head call.Answer
	// body is the complete body, unless stream is set.
	body []byte
	// stream is an answer that is too large to retain. Only the first request gets
	// it.
	stream *call.Answer
}

func newSharedRun() *sharedRun { return &sharedRun{done: make(chan struct{})} }

// record reads and retains an answer, or sets stream if it is too large.
func (s *sharedRun) record(a *call.Answer) {
	s.head = *a
	s.head.Body = nil
	if a.Length > maxRetainedBytes {
		s.stream = a
		return
	}
	body, err := io.ReadAll(io.LimitReader(a.Body, maxRetainedBytes+1))
	if len(body) > maxRetainedBytes {
		s.stream = a
		a.Body = &partlyRead{io.MultiReader(bytes.NewReader(body), a.Body), a.Body}
		return
	}
	_ = a.Body.Close()
	s.body = body
	if err != nil {
		s.head = *call.Refuse(call.Unknown, call.RefusedUnreachable, "the answer was cut: "+err.Error())
		s.body = nil
	}
}

// partlyRead is a body whose beginning has already been read.
type partlyRead struct {
	io.Reader
	io.Closer
}

// replayable reports whether the request ran and its complete answer is retained.
func (s *sharedRun) replayable() bool { return s.head.Outcome == call.Ran && s.stream == nil }

// answer returns a copy of the answer with its complete body.
func (s *sharedRun) answer() *call.Answer {
	a := s.head
	a.Header = s.head.Header.Clone()
	if a.Header == nil {
		a.Header = http.Header{}
	}
	a.Length = int64(len(s.body))
	a.Body = io.NopCloser(bytes.NewReader(s.body))
	return &a
}

// size returns the memory that the retained answer needs, in bytes.
func (s *sharedRun) size() int {
	n := answerOverhead + len(s.body)
	for name, values := range s.head.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}

// refuseDuplicate returns the refusal of a key that ran or may have run.
func refuseDuplicate(detail string) *call.Answer {
	return call.Refuse(call.Unknown, call.RefusedRepeat, detail)
}

// refuseForNow returns a refusal with the given outcome, after which the caller may
// resend.
func refuseForNow(outcome call.Outcome, refusal call.Refusal, detail string) *call.Answer {
	a := call.Refuse(outcome, refusal, detail)
	a.RetryAfter = time.Second
	return a
}

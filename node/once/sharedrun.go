package once

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"fuchsiavane.org/node/call"
)

// maxKept bounds the body of an answer that is kept, in bytes.
const maxKept = 64 << 10

// answerOverhead is what a kept answer costs besides its body, in bytes.
const answerOverhead = 512

// flight is one run of a key. done is closed when it is over; head, body and
// stream are then valid and no longer change.
type flight struct {
	done chan struct{}
	// head is the answer without its body.
	head call.Answer
	// body is the whole body, unless stream is set.
	body []byte
	// stream is an answer too large to keep. It belongs to the first arrival.
	stream *call.Answer
}

func newFlight() *flight { return &flight{done: make(chan struct{})} }

// take reads an answer, and leaves one that is too large in stream.
func (f *flight) take(a *call.Answer) {
	f.head = *a
	f.head.Body = nil
	if a.Length > maxKept {
		f.stream = a
		return
	}
	body, err := io.ReadAll(io.LimitReader(a.Body, maxKept+1))
	if len(body) > maxKept {
		f.stream = a
		a.Body = &rest{io.MultiReader(bytes.NewReader(body), a.Body), a.Body}
		return
	}
	_ = a.Body.Close()
	f.body = body
	if err != nil {
		f.head = *call.Refuse(call.Unknown, call.RefusedUnreachable, "the answer was cut: "+err.Error())
		f.body = nil
	}
}

// rest is a body of which a part has been read.
type rest struct {
	io.Reader
	io.Closer
}

// kept reports whether the request ran and its whole answer is here.
func (f *flight) kept() bool { return f.head.Outcome == call.Ran && f.stream == nil }

// answer returns a copy of the answer with its whole body.
func (f *flight) answer() *call.Answer {
	a := f.head
	a.Header = f.head.Header.Clone()
	if a.Header == nil {
		a.Header = http.Header{}
	}
	a.Length = int64(len(f.body))
	a.Body = io.NopCloser(bytes.NewReader(f.body))
	return &a
}

// size returns what the answer costs to keep, in bytes.
func (f *flight) size() int {
	n := answerOverhead + len(f.body)
	for name, values := range f.head.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}

// repeat is the answer to a key that ran or may have run.
func repeat(detail string) *call.Answer {
	return call.Refuse(call.Unknown, call.RefusedRepeat, detail)
}

// later refuses a key for now, with the outcome as known.
func later(outcome call.Outcome, refusal call.Refusal, detail string) *call.Answer {
	a := call.Refuse(outcome, refusal, detail)
	a.RetryAfter = time.Second
	return a
}

package link

import (
	"sync"
	"sync/atomic"

	"fuchsiavane.org/node/wire"
)

// answerSender sends one answer. It keeps the head and the body bytes for which
// no credit was returned (at most wire.InitialCredit and one chunk), so that the
// answer can continue on a new link when its link breaks.
type answerSender struct {
	credit  *credit
	granted atomic.Uint64 // credit granted by the receiver since the start of the body

	// mu is held while a frame is sent, which can block. The reader of a link must
	// not lock it.
	mu          sync.Mutex
	conn        *conn
	stream      uint64
	attempt     int
	head        *wire.Answer
	windowStart uint64 // body offset of the first byte of window
	window      []byte
	end         bool
	resetReason string
}

func newAnswerSender(c *conn, stream uint64) *answerSender {
	return &answerSender{credit: newCredit(wire.InitialCredit), conn: c, stream: stream}
}

// grant adds credit that the receiver granted.
func (a *answerSender) grant(n int) {
	a.granted.Add(uint64(n))
	a.credit.grant(n)
}

// sendHead sends the head and the first chunk. It takes ownership of the chunk.
func (a *answerSender) sendHead(head *wire.Answer, chunk []byte, end bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.head, a.window, a.end = head, chunk, end
	a.send(&wire.Frame{Type: wire.TypeAnswer, Answer: head, Data: chunk, End: end})
}

// sendData sends a chunk of the body, which it copies.
func (a *answerSender) sendData(chunk []byte, end bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.trim()
	a.window = append(a.window, chunk...)
	a.end = end
	a.send(&wire.Frame{Type: wire.TypeData, Data: chunk, End: end})
}

// sendReset reports to the receiver that the answer stays incomplete.
func (a *answerSender) sendReset(reason string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.resetReason = reason
	a.send(&wire.Frame{Type: wire.TypeReset, Reason: reason})
}

// trim releases the bytes that the receiver has consumed.
func (a *answerSender) trim() {
	consumed := min(a.granted.Load()-a.windowStart, uint64(len(a.window)))
	if consumed > 0 {
		a.window = append([]byte(nil), a.window[consumed:]...)
		a.windowStart += consumed
	}
}

// send sends a frame on the current link. An error needs no action: the frame's
// content is kept and sent again if the calling side resumes on another link.
func (a *answerSender) send(f *wire.Frame) {
	f.Stream = a.stream
	_ = a.conn.send(f)
}

// resume moves the answer to a new link and sends the part that the receiver does
// not have. It returns false if a Resume with a higher Attempt was handled before.
// The caller must have closed the old link.
func (a *answerSender) resume(c *conn, stream uint64, r *wire.Resume) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.Attempt <= a.attempt {
		return false
	}
	a.attempt = r.Attempt
	a.conn, a.stream = c, stream
	if missed := r.Granted - a.granted.Load(); r.Granted > a.granted.Load() {
		a.grant(int(missed))
	}
	a.trim()
	a.replay(r)
	return true
}

// replay sends the head, the body and the end that the receiver does not have.
func (a *answerSender) replay(r *wire.Resume) {
	if a.head != nil && !r.HeadReceived {
		a.send(&wire.Frame{Type: wire.TypeAnswer, Answer: a.head, End: a.end && len(a.window) == 0})
	}
	missing := a.window[min(max(r.Offset, a.windowStart)-a.windowStart, uint64(len(a.window))):]
	for len(missing) > 0 {
		chunk := missing[:min(len(missing), wire.MaxChunk)]
		missing = missing[len(chunk):]
		a.send(&wire.Frame{Type: wire.TypeData, Data: chunk, End: a.end && len(missing) == 0})
	}
	a.replayEnd(r)
}

// replayEnd sends the reset, or the end of a body whose last byte the receiver
// already has.
func (a *answerSender) replayEnd(r *wire.Resume) {
	if a.resetReason != "" {
		a.send(&wire.Frame{Type: wire.TypeReset, Reason: a.resetReason})
		return
	}
	total := a.windowStart + uint64(len(a.window))
	if a.end && r.Offset >= total && (r.HeadReceived || len(a.window) > 0) {
		a.send(&wire.Frame{Type: wire.TypeData, End: true})
	}
}

// size returns the number of body bytes kept.
func (a *answerSender) size() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.window)
}

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
func (o *answerSender) grant(n int) {
	o.granted.Add(uint64(n))
	o.credit.grant(n)
}

// sendHead sends the head and the first chunk. It takes ownership of the chunk.
func (o *answerSender) sendHead(head *wire.Answer, chunk []byte, end bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.head, o.window, o.end = head, chunk, end
	o.send(&wire.Frame{Type: wire.TypeAnswer, Answer: head, Data: chunk, End: end})
}

// sendData sends a chunk of the body, which it copies.
func (o *answerSender) sendData(chunk []byte, end bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.trim()
	o.window = append(o.window, chunk...)
	o.end = end
	o.send(&wire.Frame{Type: wire.TypeData, Data: chunk, End: end})
}

// sendReset reports to the receiver that the answer stays incomplete.
func (o *answerSender) sendReset(reason string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.resetReason = reason
	o.send(&wire.Frame{Type: wire.TypeReset, Reason: reason})
}

// trim releases the bytes that the receiver has consumed.
func (o *answerSender) trim() {
	consumed := min(o.granted.Load()-o.windowStart, uint64(len(o.window)))
	if consumed > 0 {
		o.window = append([]byte(nil), o.window[consumed:]...)
		o.windowStart += consumed
	}
}

// send sends a frame on the current link. An error needs no action: the frame's
// content is kept and sent again if the calling side resumes on another link.
func (o *answerSender) send(f *wire.Frame) {
	f.Stream = o.stream
	_ = o.conn.send(f)
}

// resume moves the answer to a new link and sends the part that the receiver does
// not have. It returns false if a later attempt came first. The caller closes the
// old link before.
func (o *answerSender) resume(c *conn, stream uint64, r *wire.Resume) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if r.Attempt <= o.attempt {
		return false
	}
	o.attempt = r.Attempt
	o.conn, o.stream = c, stream
	if missed := r.Granted - o.granted.Load(); r.Granted > o.granted.Load() {
		o.grant(int(missed))
	}
	o.trim()
	o.replay(r)
	return true
}

// replay sends the head, the body and the end that the receiver does not have.
func (o *answerSender) replay(r *wire.Resume) {
	if o.head != nil && !r.HeadReceived {
		o.send(&wire.Frame{Type: wire.TypeAnswer, Answer: o.head, End: o.end && len(o.window) == 0})
	}
	missing := o.window[min(max(r.Offset, o.windowStart)-o.windowStart, uint64(len(o.window))):]
	for len(missing) > 0 {
		chunk := missing[:min(len(missing), wire.MaxChunk)]
		missing = missing[len(chunk):]
		o.send(&wire.Frame{Type: wire.TypeData, Data: chunk, End: o.end && len(missing) == 0})
	}
	o.replayEnd(r)
}

// replayEnd sends the reset, or the end of a body whose last byte the receiver
// already has.
func (o *answerSender) replayEnd(r *wire.Resume) {
	if o.resetReason != "" {
		o.send(&wire.Frame{Type: wire.TypeReset, Reason: o.resetReason})
		return
	}
	total := o.windowStart + uint64(len(o.window))
	if o.end && r.Offset >= total && (r.HeadReceived || len(o.window) > 0) {
		o.send(&wire.Frame{Type: wire.TypeData, End: true})
	}
}

// size returns the number of body bytes kept.
func (o *answerSender) size() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.window)
}

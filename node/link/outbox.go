package link

import (
	"sync"
	"sync/atomic"

	"fuchsiavane.org/node/wire"
)

// outbox sends one answer. It keeps what the receiver may not have yet, so that
// the answer goes on over a new link when the one in use breaks: the head, and
// the body bytes for which no credit came back (at most wire.InitialCredit and
// one piece).
type outbox struct {
	credit  *credit
	granted atomic.Uint64 // credit granted by the receiver since the beginning

	// mu is held while a frame is sent. The reader of a link never takes it.
	mu      sync.Mutex
	conn    *conn
	stream  uint64
	attempt int
	head    *wire.Answer
	base    uint64 // offset in the body of the first byte of window
	window  []byte
	end     bool
	reset   string
}

func newOutbox(c *conn, stream uint64) *outbox {
	return &outbox{credit: newCredit(wire.InitialCredit), conn: c, stream: stream}
}

// grant takes the receiver's credit.
func (o *outbox) grant(n int) {
	o.granted.Add(uint64(n))
	o.credit.grant(n)
}

// answer sends the head and the first piece. It takes ownership of the piece.
func (o *outbox) answer(head *wire.Answer, piece []byte, end bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.head, o.window, o.end = head, piece, end
	o.send(&wire.Frame{Type: wire.TypeAnswer, Answer: head, Data: piece, End: end})
}

// data sends a piece of the body, which it copies.
func (o *outbox) data(piece []byte, end bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.trim()
	o.window = append(o.window, piece...)
	o.end = end
	o.send(&wire.Frame{Type: wire.TypeData, Data: piece, End: end})
}

// cut tells the receiver that the answer will never be whole.
func (o *outbox) cut(reason string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reset = reason
	o.send(&wire.Frame{Type: wire.TypeReset, Reason: reason})
}

// trim drops what the receiver has consumed.
func (o *outbox) trim() {
	consumed := min(o.granted.Load()-o.base, uint64(len(o.window)))
	if consumed > 0 {
		o.window = append([]byte(nil), o.window[consumed:]...)
		o.base += consumed
	}
}

// send sends a frame on the present link. An error needs no action: the frame's
// content is kept, and goes over the next link if the caller asks for it.
func (o *outbox) send(f *wire.Frame) {
	f.Stream = o.stream
	_ = o.conn.send(f)
}

// resume moves the answer to a new link and sends what the receiver lacks. It
// reports false if a later ask came first. The old link is closed before.
func (o *outbox) resume(c *conn, stream uint64, r *wire.Resume) bool {
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

func (o *outbox) replay(r *wire.Resume) {
	if o.head != nil && !r.HeadReceived {
		o.send(&wire.Frame{Type: wire.TypeAnswer, Answer: o.head, End: o.end && len(o.window) == 0})
	}
	lacking := o.window[min(max(r.Offset, o.base)-o.base, uint64(len(o.window))):]
	for len(lacking) > 0 {
		piece := lacking[:min(len(lacking), wire.MaxChunk)]
		lacking = lacking[len(piece):]
		o.send(&wire.Frame{Type: wire.TypeData, Data: piece, End: o.end && len(lacking) == 0})
	}
	o.replayEnd(r)
}

// replayEnd ends a body whose last byte the receiver has already.
func (o *outbox) replayEnd(r *wire.Resume) {
	if o.reset != "" {
		o.send(&wire.Frame{Type: wire.TypeReset, Reason: o.reset})
		return
	}
	total := o.base + uint64(len(o.window))
	if o.end && r.Offset >= total && (r.HeadReceived || len(o.window) > 0) {
		o.send(&wire.Frame{Type: wire.TypeData, End: true})
	}
}

// size returns the bytes kept.
func (o *outbox) size() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.window)
}

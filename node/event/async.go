package event

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// maxPendingBytes bounds the lines that wait to be written. Beyond half of it only
// warnings and errors are taken.
const maxPendingBytes = 1 << 20

// writeInterval is the least time between two writes, so that many lines leave in
// one.
const writeInterval = 50 * time.Millisecond

// AsyncWriter writes lines from a goroutine of its own, so that a reader that
// stalls blocks nobody. Lines beyond its bound are dropped and counted: plain
// news first, refusals and failures last.
type AsyncWriter struct {
	to   io.Writer
	lost atomic.Uint64

	mu      sync.Mutex
	pending []byte
	spare   []byte
	closed  bool
	closing chan struct{} // closed by Close
	wake    chan struct{}
	done    chan struct{}
}

// NewAsyncWriter returns a writer to another one, which it owns until Close.
func NewAsyncWriter(to io.Writer) *AsyncWriter {
	w := &AsyncWriter{to: to, closing: make(chan struct{}), wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes a line. It never waits and never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) { return w.write(line, maxPendingBytes/2) }

// WriteImportant takes a line that is dropped last.
func (w *AsyncWriter) WriteImportant(line []byte) (int, error) { return w.write(line, maxPendingBytes) }

func (w *AsyncWriter) write(line []byte, bound int) (int, error) {
	w.mu.Lock()
	if w.closed || len(w.pending)+len(line) > bound {
		w.mu.Unlock()
		w.lost.Add(1)
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default: // the goroutine is awake already
	}
	return len(line), nil
}

// Done is closed when the writer has ended.
func (w *AsyncWriter) Done() <-chan struct{} { return w.done }

// Dropped returns the lines dropped so far.
func (w *AsyncWriter) Dropped() uint64 { return w.lost.Load() }

// run writes what is pending until Close.
func (w *AsyncWriter) run() {
	defer close(w.done)
	for range w.wake {
		w.mu.Lock()
		out, closed := w.pending, w.closed
		w.pending, w.spare = w.spare[:0], nil
		w.mu.Unlock()
		if len(out) > 0 {
			_, _ = w.to.Write(out) // nobody is left to tell
		}
		w.mu.Lock()
		w.spare = out[:0]
		w.mu.Unlock()
		if closed {
			return
		}
		select {
		case <-w.closing:
		case <-time.After(writeInterval):
		}
	}
}

// Close writes what is pending and ends the goroutine.
func (w *AsyncWriter) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.closing)
	}
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	<-w.done
}

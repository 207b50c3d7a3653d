package event

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// maxPendingBytes is the maximum size of the lines that wait to be written. Beyond
// half of it only warnings and errors are accepted.
const maxPendingBytes = 1 << 20

// writeInterval is the minimum time between two writes, so that one write carries
// many lines.
const writeInterval = 50 * time.Millisecond

// AsyncWriter writes lines from a background goroutine, so that a stalled reader
// of the log does not block its callers. Lines beyond maxPendingBytes are dropped
// and counted, warnings and errors last.
type AsyncWriter struct {
	to      io.Writer
	dropped atomic.Uint64

	mu      sync.Mutex
	pending []byte
	spare   []byte
	closed  bool
	closing chan struct{} // closed by Close
	wake    chan struct{}
	done    chan struct{}
}

// NewAsyncWriter returns an AsyncWriter that writes to another writer, which it
// owns until Close.
func NewAsyncWriter(to io.Writer) *AsyncWriter {
	w := &AsyncWriter{to: to, closing: make(chan struct{}), wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a line or drops it. It never blocks and never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) { return w.write(line, maxPendingBytes/2) }

// WriteImportant is Write for a line that is dropped last, a warning or an error.
func (w *AsyncWriter) WriteImportant(line []byte) (int, error) { return w.write(line, maxPendingBytes) }

func (w *AsyncWriter) write(line []byte, limit int) (int, error) {
	w.mu.Lock()
	if w.closed || len(w.pending)+len(line) > limit {
		w.mu.Unlock()
		w.dropped.Add(1)
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

// Done returns a channel that is closed after the last line is written.
func (w *AsyncWriter) Done() <-chan struct{} { return w.done }

// Dropped returns the number of lines dropped so far.
func (w *AsyncWriter) Dropped() uint64 { return w.dropped.Load() }

// run writes the pending lines until Close.
func (w *AsyncWriter) run() {
	defer close(w.done)
	for range w.wake {
		w.mu.Lock()
		out, closed := w.pending, w.closed
		w.pending, w.spare = w.spare[:0], nil
		w.mu.Unlock()
		if len(out) > 0 {
			_, _ = w.to.Write(out) // there is nowhere to report the error
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

// Close writes the pending lines and ends the goroutine.
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

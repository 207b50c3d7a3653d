package link

import (
	"context"
	"io"
	"sync"

	"github.com/pkg/errors"

	"fuchsiavane.org/node/wire"
)

// body is the receiving end of a stream's body. The link's reader appends chunks;
// the consumer reads them and grants the sender credit for the bytes consumed.
type body struct {
	grant  func(n int)
	cancel func()
	pacer  *pacer // nil if the rate is not limited

	mu            sync.Mutex
	available     *sync.Cond
	chunks        [][]byte
	buffered      int
	consumed      int    // bytes consumed since credit was last granted
	receivedBytes uint64 // since the start of the body
	err           error  // io.EOF after the last chunk of a complete body
}

func newBody(grant func(int), cancel func()) *body {
	b := &body{grant: grant, cancel: cancel}
	b.available = sync.NewCond(&b.mu)
	return b
}

// append adds a chunk. It returns ErrMalformed if the sender exceeded its credit.
func (b *body) append(chunk []byte, end bool) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != nil {
		return nil
	}
	b.buffered += len(chunk)
	b.receivedBytes += uint64(len(chunk))
	if b.buffered > wire.InitialCredit+wire.MaxChunk {
		return errors.Wrapf(ErrMalformed, "stream holds %d bytes, more than its credit", b.buffered)
	}
	if len(chunk) > 0 {
		b.chunks = append(b.chunks, chunk)
	}
	if end {
		b.err = io.EOF
	}
	b.available.Signal()
	return nil
}

// received returns the number of bytes received since the start of the body.
func (b *body) received() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.receivedBytes
}

// fail ends an incomplete body with an error.
func (b *body) fail(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == nil {
		b.err = err
	}
	b.available.Signal()
}

// Read implements io.Reader. It returns io.EOF only after a complete body.
func (b *body) Read(p []byte) (int, error) {
	b.mu.Lock()
	for len(b.chunks) == 0 && b.err == nil {
		b.available.Wait()
	}
	if len(b.chunks) == 0 {
		err := b.err
		b.mu.Unlock()
		return 0, err
	}
	n := copy(p, b.chunks[0])
	b.chunks[0] = b.chunks[0][n:]
	if len(b.chunks[0]) == 0 {
		b.chunks = b.chunks[1:]
	}
	b.buffered -= n
	b.consumed += n
	granted := 0
	if b.err == nil && b.consumed >= wire.InitialCredit/2 {
		granted, b.consumed = b.consumed, 0
	}
	b.mu.Unlock()
	if b.pacer != nil {
		_ = b.pacer.wait(context.Background(), n) // the delay is short
	}
	if granted > 0 {
		b.grant(granted)
	}
	return n, nil
}

// Close implements io.Closer. Closing an incomplete body cancels the stream.
func (b *body) Close() error {
	b.mu.Lock()
	complete := errors.Is(b.err, io.EOF)
	b.chunks = nil
	if b.err == nil {
		b.err = ErrClosed
	}
	b.mu.Unlock()
	if !complete {
		b.cancel()
	}
	return nil
}

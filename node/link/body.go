package link

import (
	"context"
	"io"
	"sync"

	"github.com/pkg/errors"

	"fuchsiavane.org/node/wire"
)

// body is the receiving end of a stream's body. The link's reader puts pieces
// in; the consumer reads them and grants credit for what it took.
type body struct {
	grant  func(n int)
	cancel func()
	pace   *pacer // nil for none

	mu     sync.Mutex
	ready  *sync.Cond
	pieces [][]byte
	held   int
	taken  int    // consumed since credit was granted
	total  uint64 // received since the beginning
	err    error  // io.EOF at a whole body's end
}

func newBody(grant func(int), cancel func()) *body {
	b := &body{grant: grant, cancel: cancel}
	b.ready = sync.NewCond(&b.mu)
	return b
}

// put adds a piece. It reports a sender that overran its credit.
func (b *body) put(piece []byte, end bool) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != nil {
		return nil
	}
	b.held += len(piece)
	b.total += uint64(len(piece))
	if b.held > wire.InitialCredit+wire.MaxChunk {
		return errors.Wrapf(ErrMalformed, "stream holds %d bytes, more than its credit", b.held)
	}
	if len(piece) > 0 {
		b.pieces = append(b.pieces, piece)
	}
	if end {
		b.err = io.EOF
	}
	b.ready.Signal()
	return nil
}

// received returns the bytes received since the beginning.
func (b *body) received() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total
}

// fail ends a body that is not whole.
func (b *body) fail(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == nil {
		b.err = err
	}
	b.ready.Signal()
}

// Read implements io.Reader. It returns io.EOF only after a whole body.
func (b *body) Read(p []byte) (int, error) {
	b.mu.Lock()
	for len(b.pieces) == 0 && b.err == nil {
		b.ready.Wait()
	}
	if len(b.pieces) == 0 {
		err := b.err
		b.mu.Unlock()
		return 0, err
	}
	n := copy(p, b.pieces[0])
	b.pieces[0] = b.pieces[0][n:]
	if len(b.pieces[0]) == 0 {
		b.pieces = b.pieces[1:]
	}
	b.held -= n
	b.taken += n
	granted := 0
	if b.err == nil && b.taken >= wire.InitialCredit/2 {
		granted, b.taken = b.taken, 0
	}
	b.mu.Unlock()
	if b.pace != nil {
		_ = b.pace.wait(context.Background(), n) // the pause is short
	}
	if granted > 0 {
		b.grant(granted)
	}
	return n, nil
}

// Close implements io.Closer. Closing a body before its end cancels the stream.
func (b *body) Close() error {
	b.mu.Lock()
	whole := errors.Is(b.err, io.EOF)
	b.pieces = nil
	if b.err == nil {
		b.err = ErrClosed
	}
	b.mu.Unlock()
	if !whole {
		b.cancel()
	}
	return nil
}

package link

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

// credit counts the body bytes that a sender may still send on one stream.
type credit struct {
	mu    sync.Mutex
	bytes int
	more  chan struct{} // holds one token when credit was granted

	// ended is closed when no more bytes are wanted.
	ended   chan struct{}
	endOnce sync.Once
}

// errEnough means that the receiver wants no more bytes of a body.
var errEnough = errors.New("link: the receiver wants no more of the body")

// end makes waiting and later calls of take fail with errEnough.
func (c *credit) end() { c.endOnce.Do(func() { close(c.ended) }) }

func newCredit(bytes int) *credit {
	return &credit{bytes: bytes, more: make(chan struct{}, 1), ended: make(chan struct{})}
}

// grant adds credit.
func (c *credit) grant(n int) {
	c.mu.Lock()
	c.bytes += n
	c.mu.Unlock()
	select {
	case c.more <- struct{}{}:
	default:
	}
}

// take waits for credit, takes at most want bytes of it and returns the number of
// bytes. It returns an error if the context ends or done is closed first.
func (c *credit) take(ctx context.Context, done <-chan struct{}, want int) (int, error) {
	for {
		c.mu.Lock()
		n := min(c.bytes, want)
		c.bytes -= n
		c.mu.Unlock()
		if n > 0 {
			return n, nil
		}
		select {
		case <-c.more:
		case <-c.ended:
			return 0, errEnough
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-done:
			return 0, ErrClosed
		}
	}
}

package link

import (
	"context"
	"sync"
	"time"
)

const (
	// bulkRate is the rate, in bytes per second, at which one daemon sends answers of
	// the bulk class, and separately the rate at which it receives them. It leaves
	// most of the daemon's processor time to urgent calls.
	bulkRate = 64 << 20
	// bulkBurst is the idle time whose unsent bytes the bulk class may send in one burst.
	// Idle time beyond it is not made up for.
	bulkBurst = 10 * time.Millisecond
)

// pacer limits a byte rate. It is safe for concurrent use.
type pacer struct {
	rate int // bytes per second

	mu       sync.Mutex
	nextFree time.Time // when the next bytes may pass
}

// wait returns when n more bytes may pass, or when the context ends.
func (p *pacer) wait(ctx context.Context, n int) error {
	delay := p.reserve(time.Now(), n)
	if delay <= 0 {
		return nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// reserve schedules n bytes and returns the delay before them.
func (p *pacer) reserve(now time.Time, n int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if earliest := now.Add(-bulkBurst); p.nextFree.Before(earliest) {
		p.nextFree = earliest
	}
	delay := p.nextFree.Sub(now)
	p.nextFree = p.nextFree.Add(time.Duration(n) * time.Second / time.Duration(p.rate))
	return delay
}

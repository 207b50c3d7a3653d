package link

import (
	"context"
	"sync"
	"time"
)

const (
	// bulkRate is the bytes per second that one daemon passes on for the bulk
	// class, in each role. It leaves most of the daemon's processor time to
	// urgent calls.
	bulkRate = 64 << 20
	// bulkBurst is the time of silence that the bulk class may make up for.
	bulkBurst = 10 * time.Millisecond
)

// pacer spreads bytes over time. It is safe for concurrent use.
type pacer struct {
	rate int // bytes per second

	mu   sync.Mutex
	next time.Time // when the next bytes may pass
}

// wait returns when n more bytes may pass, or when the context ends.
func (p *pacer) wait(ctx context.Context, n int) error {
	pause := p.reserve(time.Now(), n)
	if pause <= 0 {
		return nil
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// reserve takes a place for n bytes and returns the pause before it.
func (p *pacer) reserve(now time.Time, n int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if earliest := now.Add(-bulkBurst); p.next.Before(earliest) {
		p.next = earliest
	}
	pause := p.next.Sub(now)
	p.next = p.next.Add(time.Duration(n) * time.Second / time.Duration(p.rate))
	return pause
}

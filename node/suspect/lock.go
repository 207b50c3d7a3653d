package suspect

import (
	"context"
	"sync"
	"time"
)

// room lets many requests in together, or one alone. One that waits to be alone
// keeps others out, and they wait for it. The zero value is empty. It is safe
// for concurrent use.
type room struct {
	mu      sync.Mutex
	inside  int
	alone   bool // one is inside alone
	wanting int  // waiting to be alone
	changed chan struct{}
}

// enter waits for room, at most aloneWait, and reports whether there was.
func (r *room) enter(ctx context.Context, alone bool) bool {
	if r.try(alone, true) {
		return true
	}
	if alone {
		defer r.want(-1)
	}
	timer := time.NewTimer(aloneWait)
	defer timer.Stop()
	for {
		changed := r.change()
		if r.try(alone, false) {
			return true
		}
		select {
		case <-changed:
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// try enters if there is room. One that fails at first to be alone is counted
// as wanting until it gives up or enters.
func (r *room) try(alone, first bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case alone && r.inside > 0, r.alone, !alone && r.wanting > 0:
		if alone && first {
			r.wanting++
		}
		return false
	}
	r.inside++
	r.alone = alone
	return true
}

// change returns a channel that is closed at the next change.
func (r *room) change() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return r.changed
}

func (r *room) want(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wanting += n
	r.signal()
}

func (r *room) leave(alone bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inside--
	if alone {
		r.alone = false
	}
	if r.inside == 0 {
		r.signal()
	}
}

// signal wakes those who wait. The caller holds the lock.
func (r *room) signal() {
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

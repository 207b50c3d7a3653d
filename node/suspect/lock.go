package suspect

import (
	"context"
	"sync"
	"time"
)

// exclusiveLock is a read-write lock whose acquisition has a timeout: held by any
// number of requests, or by one exclusively. A waiting exclusive request blocks new
// shared ones. The zero value is unlocked. It is safe for concurrent use.
type exclusiveLock struct {
	mu               sync.Mutex
	holders          int
	exclusive        bool // held exclusively
	exclusiveWaiters int  // waiting for exclusive access
	changed          chan struct{}
}

// acquire waits for the lock for at most exclusiveTimeout, and reports whether it
// was acquired.
func (l *exclusiveLock) acquire(ctx context.Context, exclusive bool) bool {
	if l.tryAcquire(exclusive, true) {
		return true
	}
	if exclusive {
		defer l.addExclusiveWaiters(-1)
	}
	timer := time.NewTimer(exclusiveTimeout)
	defer timer.Stop()
	for {
		changed := l.changes()
		if l.tryAcquire(exclusive, false) {
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

// tryAcquire acquires the lock if it is free. An exclusive request whose first try
// fails counts as an exclusive waiter until acquire returns.
func (l *exclusiveLock) tryAcquire(exclusive, first bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case exclusive && l.holders > 0, l.exclusive, !exclusive && l.exclusiveWaiters > 0:
		if exclusive && first {
			l.exclusiveWaiters++
		}
		return false
	}
	l.holders++
	l.exclusive = exclusive
	return true
}

// changes returns a channel that is closed at the next change.
func (l *exclusiveLock) changes() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.changed == nil {
		l.changed = make(chan struct{})
	}
	return l.changed
}

func (l *exclusiveLock) addExclusiveWaiters(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.exclusiveWaiters += n
	l.signal()
}

func (l *exclusiveLock) release(exclusive bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holders--
	if exclusive {
		l.exclusive = false
	}
	if l.holders == 0 {
		l.signal()
	}
}

// signal wakes the waiting requests. The caller holds mu.
func (l *exclusiveLock) signal() {
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}

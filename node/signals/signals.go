// Package signals receives the signals of a process for its whole life, in every phase
// of it.
//
// A signal without a handler ends the process by its default action, with all requests
// in progress. So the handlers are never removed: a signal that comes during a drain, or
// a second time, changes nothing.
package signals

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// queueLength is the number of signals that wait to be handled. Further ones are dropped;
// a signal that is queued has the same effect.
const queueLength = 16

// Receiver receives the signals of the process.
type Receiver struct {
	stopping context.Context
	hangups  chan struct{}
}

// Receive installs the handlers. Call it before anything else in the process.
func Receive() *Receiver {
	received := make(chan os.Signal, queueLength)
	signal.Notify(received, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	stopping, stop := context.WithCancel(context.Background())
	r := &Receiver{stopping, make(chan struct{}, 1)}
	go func() {
		for s := range received {
			r.handle(s, stop)
		}
	}()
	return r
}

func (r *Receiver) handle(s os.Signal, stop context.CancelFunc) {
	if s != syscall.SIGHUP {
		stop()
		return
	}
	select {
	case r.hangups <- struct{}{}:
	default: // a hangup is pending
	}
}

// Stopping returns a context that ends at the first SIGTERM or interrupt.
func (r *Receiver) Stopping() context.Context { return r.stopping }

// Hangups returns a channel that receives a value after a SIGHUP.
func (r *Receiver) Hangups() <-chan struct{} { return r.hangups }

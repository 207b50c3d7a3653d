package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"fuchsiavane.org/node/call"
	"fuchsiavane.org/node/runs"
)

// TestEndOfAParent: the calls of a run that has ended are given up, but not in a
// planned stop, where one whose caller still waits is answered. Day hunt-714c-39 of
// tpwax-mesh: a sibling failed, and a call at work was answered 502 after SIGTERM.
func TestEndOfAParent(t *testing.T) {
	for _, leaving := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			g := &Gateway{}
			if leaving {
				g.SetLeaving()
			}
			parent, end := context.WithCancel(t.Context())
			p := &prepared{ctx: t.Context(), request: &call.Request{Timestamp: time.Now()}}
			began := time.Now().Add(-time.Second)
			g.inherit(p, &runs.Run{Context: parent, Timestamp: began})
			is.New(t).Equal(p.request.Timestamp, began) // the calls of a run are as old as its root
			end()
			synctest.Wait()
			is.New(t).Equal(p.ctx.Err() == nil, leaving)
		})
	}
}

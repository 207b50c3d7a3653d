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

// TestEndOfAParent checks that the end of a run cancels its calls, except during a
// drain, when a call whose caller still waits must finish. It guards against a failure in which, after SIGTERM, a sibling call failed, the parent run ended, and a
// call in progress was answered with 502 (day hunt-714c-39 of tpwax-mesh).
func TestEndOfAParent(t *testing.T) {
	for _, leaving := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			g := &Gateway{}
			if leaving {
				g.SetLeaving()
			}
			parent, end := context.WithCancel(t.Context())
			p := &prepared{ctx: t.Context(), request: &call.Request{Timestamp: time.Now()}}
			timestamp := time.Now().Add(-time.Second)
			g.inherit(p, &runs.Run{Context: parent, Timestamp: timestamp})
			is.New(t).Equal(p.request.Timestamp, timestamp) // calls inherit the timestamp of the root request
			end()
			synctest.Wait()
			is.New(t).Equal(p.ctx.Err() == nil, leaving)
		})
	}
}

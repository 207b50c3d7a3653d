package daemon_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"fuchsiavane.org/node/call"
	"fuchsiavane.org/node/daemon/daemontest"
	"fuchsiavane.org/node/event"
	"fuchsiavane.org/node/kv/memstore"
	"fuchsiavane.org/node/link"
)

// TestRequestForAnotherServiceIsNotRun guards against running a request at the instance
// that has taken over the address of an instance of another service.
func TestRequestForAnotherServiceIsNotRun(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var runs atomic.Int64
	booking := daemontest.Start(t, memstore.New(), daemontest.Options{
		ID: "booking-1", Service: "booking", Upstream: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }),
	})
	sender := link.NewPool(link.Identity{Instance: "sender"}, link.DefaultTiming(), event.Discard())
	defer sender.Close()
	send := func(run, service, host string, idempotent bool) *call.Answer {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		answer, err := sender.Do(ctx, booking.Config.PeerListen, link.ClassUrgent, &call.Request{
			ID: run, Run: run, Service: service, Host: host, Method: http.MethodGet, RequestURI: "/7", Path: "/7",
			Header: http.Header{}, Idempotent: idempotent, RetryBudget: 2, Deadline: time.Now().Add(20 * time.Second),
		})
		is.NoErr(err)
		is.NoErr(answer.Body.Close())
		return answer
	}
	for run, host := range map[string]string{"named": "", "routed": "h.example"} {
		for _, idempotent := range []bool{true, false} {
			answer := send(run, "desk", host, idempotent)
			is.Equal(answer.Outcome, call.NotRun)
			is.Equal(answer.Refusal, call.RefusedNoUpstream) // senders try another peer
			is.Equal(answer.UnusedRetries, 2)
			run += "-again"
		}
	}
	is.Equal(runs.Load(), int64(0))
	is.Equal(send("own", "booking", "h.example", true).Outcome, call.Ran)
	is.Equal(runs.Load(), int64(1))
}

package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"fuchsiavane.org/core/retry"
	"fuchsiavane.org/core/route"
	"fuchsiavane.org/core/settings"
	"fuchsiavane.org/core/suspect"
	"fuchsiavane.org/node/call"
	"fuchsiavane.org/node/event"
	"fuchsiavane.org/node/link"
	"fuchsiavane.org/node/runs"
	"fuchsiavane.org/node/settingsync"
)

// refusingTransport is a Transport whose peers all return the same refusal.
type refusingTransport struct {
	sends   int
	outcome call.Outcome
	refusal call.Refusal
}

// retryAfter is the Retry-After time of the refusing peers.
const retryAfter = 7 * time.Second

func (t *refusingTransport) Do(_ context.Context, _ string, _ link.Class, r *call.Request) (*call.Answer, error) {
	t.sends++
	a := call.Refuse(t.outcome, t.refusal, "refused")
	a.RetryAfter = retryAfter
	a.UnusedRetries = r.RetryBudget
	return a, nil
}

// TestRefusalAfterARetryWithoutPeers checks the answer to a refused call whose retry
// finds no other peer. The peer's refusal is returned, with its Retry-After, if it says
// more than that there is no upstream: if the peer was overloaded or the call may have
// run.
func TestRefusalAfterARetryWithoutPeers(t *testing.T) {
	tests := []struct {
		name          string
		outcome       call.Outcome
		refusal, want call.Refusal
	}{
		{"overloaded", call.NotRun, call.RefusedOverload, call.RefusedOverload},
		{"may have run", call.Unknown, call.RefusedUnreachable, call.RefusedUnreachable},
		{"gone", call.NotRun, call.RefusedUnreachable, call.RefusedNoUpstream},
		{"leaving", call.NotRun, call.RefusedDraining, call.RefusedNoUpstream},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			transport := &refusingTransport{outcome: test.outcome, refusal: test.refusal}
			answer := callOnlyPeer(transport)
			is.Equal(answer.Refusal, test.want)
			is.Equal(answer.Outcome, test.outcome)
			is.Equal(transport.sends, 1)
			is.True(answer.RetryAfter > 0)
			if test.want == call.RefusedOverload {
				is.Equal(answer.RetryAfter, retryAfter)
			}
		})
	}
}

// callOnlyPeer calls a service that has one peer.
func callOnlyPeer(transport Transport) *call.Answer {
	now := time.Now()
	picker := route.NewPicker(route.Locality{Instance: "entry", Region: "south", DataCentre: "south-1"})
	picker.Update(now, []route.Peer{{ID: "only", Service: "bench", Region: "south", DataCentre: "south-1"}})
	g := New(Config{
		Instance: "entry", Locality: route.Locality{Region: "south", DataCentre: "south-1"},
		Settings: settingsync.NewHolder(), Picker: picker, RegionLink: NewRegionLink(now), Transport: transport,
		Runs: runs.NewTable(), Suspects: suspect.NewLedger(), Log: event.Discard(),
	})
	values := settings.Defaults()
	values.RetryRatio = 1
	return g.Call(context.Background(), &call.Request{
		ID: "id", Service: "bench", Method: http.MethodGet, Path: "/", Header: http.Header{},
		Deadline: now.Add(10 * time.Second), Idempotent: true,
	}, &values, retry.NewBudget(2))
}

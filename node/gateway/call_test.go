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

// refusing is a transport whose peers all refuse.
type refusing struct {
	sends      int
	retryAfter time.Duration
}

func (t *refusing) Do(_ context.Context, _ string, _ link.Class, r *call.Request) (*call.Answer, error) {
	t.sends++
	a := call.Refuse(call.NotRun, call.RefusedOverload, "no slot")
	a.RetryAfter = t.retryAfter
	a.Unspent = r.Retries
	return a, nil
}

// A refused call whose retry finds no other peer gives the peer's refusal, with
// its Retry-After, and not that no upstream is known.
func TestRefusalOutlivesARetryWithoutPeers(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	picker := route.NewPicker(route.Place{Instance: "entry", Region: "south", DataCentre: "south-1"})
	picker.Update(now, []route.Peer{{ID: "only", Service: "bench", Region: "south", DataCentre: "south-1"}})
	transport := &refusing{retryAfter: 7 * time.Second}
	g := New(Config{
		Instance: "entry", Place: route.Place{Region: "south", DataCentre: "south-1"},
		Settings: settingsync.NewHolder(), Picker: picker, Far: NewFarLink(now), Transport: transport,
		Runs: runs.NewTable(), Suspects: suspect.NewLedger(), Log: event.Discard(),
	})
	values := settings.Defaults()
	values.RetryRatio = 1
	answer := g.Call(context.Background(), &call.Request{
		ID: "id", Service: "bench", Method: http.MethodGet, Path: "/", Header: http.Header{},
		Deadline: now.Add(10 * time.Second), Idempotent: true,
	}, &values, retry.NewBudget(2))
	is.Equal(answer.Refusal, call.RefusedOverload)
	is.Equal(answer.RetryAfter, transport.retryAfter)
	is.Equal(transport.sends, 1)
}

package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"fuchsiavane.org/core/level"
	"fuchsiavane.org/node/call"
)

// TestOutcomeOfRefusalAtEntry checks that an entry daemon that refuses by admission
// level never reports not-run for a key from its caller: it has not asked the key's
// owner, and the key may have run.
func TestOutcomeOfRefusalAtEntry(t *testing.T) {
	tests := []struct {
		name    string
		request call.Request
		want    call.Outcome
	}{
		{"key of the caller", call.Request{Method: http.MethodPost, Key: "0194-ruling"}, call.Unknown},
		{"key made here", call.Request{Method: http.MethodPost, Key: "0194-made", KeyGenerated: true}, call.NotRun},
		{"idempotent", call.Request{Method: http.MethodGet, Idempotent: true}, call.NotRun},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			l := newLevels()
			now := time.Now()
			r := test.request
			r.Service, r.Path, r.Rank = "registry", "/rulings", "ruling"
			l.record(now, &r, &call.Answer{Outcome: call.Ran, Level: level.FromFraction(0)})
			refusal := findRefusal(l, now, &r)
			is.True(refusal != nil)
			is.Equal(refusal.Outcome, test.want)
			is.Equal(refusal.Status, http.StatusServiceUnavailable)
			is.True(refusal.RetryAfter > 0)
		})
	}
}

// findRefusal tries request IDs until the level refuses one.
func findRefusal(l *levels, now time.Time, r *call.Request) *call.Answer {
	for i := range 1000 {
		r.ID = fmt.Sprint(i)
		if refusal := l.refusal(now, r); refusal != nil {
			return refusal
		}
	}
	return nil
}

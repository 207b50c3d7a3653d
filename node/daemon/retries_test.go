package daemon_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"fuchsiavane.org/node/call"
)

// abort breaks the connection during each run.
func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func TestRetriesOfAServiceAreBoundedByItsRatio(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 3, `{"settings": {"timeout_ms": 5000, "attempts": 3, "retry_ratio": 0.1}}`, abort)
	const calls = 60
	for range calls {
		r := f.instances[0].Call(http.MethodGet, "registry", "/certificate", "")
		is.Equal(r.Outcome, call.Unknown)
	}
	// Without the ratio each call would run 3 times.
	const burst = 10
	is.True(f.runsOf("") >= calls)
	is.True(f.runsOf("") <= calls+calls/10+burst)
}

func TestAttemptsBoundTheRunsOfOneRequest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 4, `{"settings": {"timeout_ms": 5000, "attempts": 3, "retry_ratio": 1, "retry_burst": 100}}`, abort)
	for n := 1; n <= 5; n++ {
		is.Equal(f.instances[0].Call(http.MethodGet, "registry", "/certificate", "").Status, http.StatusBadGateway)
		is.Equal(f.runsOf(""), 3*n)
	}
}

func TestCallerThatResendsTooOftenIsRefused(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 1, onceDocument, serveRuling)
	document := `{"settings": {"timeout_ms": 5000, "retry_ratio": 0.1}}`
	f.apply(t, document)
	refused := 0
	for range 20 {
		key := newKey()
		first := f.post(t, 0, "/rulings", key, "bib 17")
		is.Equal(first.status, http.StatusOK) // first sends are never refused for resends
		for range 3 {
			again := f.post(t, 0, "/rulings", key, "bib 17")
			if again.status != http.StatusTooManyRequests {
				is.Equal(again, first)
				continue
			}
			refused++
			is.Equal(again.outcome, call.Unknown)
		}
		is.Equal(f.runsOf(key), 1)
	}
	is.True(refused >= 60-10-2) // all but the burst and a tenth of the first sends
}

package upstream

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"fuchsiavane.org/core/callctx"
	"fuchsiavane.org/node/call"
)

// Verdict classifies a response on the upstream's connection.
type Verdict int

// Verdicts.
const (
	// VerdictRan means that the upstream ran the request and this is its response.
	VerdictRan Verdict = iota
	// VerdictShed means that the upstream refused the request without running it.
	VerdictShed
	// VerdictMisdirected means that another upstream has the address and did not
	// run the request.
	VerdictMisdirected
	// VerdictMismatched means that the response belongs to another request; the
	// outcome of this one is unknown.
	VerdictMismatched
)

// Dialect is the header convention between a daemon and its upstream.
type Dialect interface {
	// SetHeaders sets the headers of a request that is sent to an instance at the
	// time now.
	SetHeaders(httpRequest *http.Request, r *call.Request, instance string, now time.Time)
	// Classify returns the verdict on a response to the request. first says that the
	// connection has carried no other request, so that the response belongs to this one.
	Classify(r *call.Request, response *http.Response, first bool) Verdict
	// Signals returns what a response says of the upstream itself.
	Signals(response *http.Response) Signals
}

// Signals is what an upstream says of itself in a response.
type Signals struct {
	// Limited is set if the upstream names RateLimit, the requests per second that it
	// takes from all callers together.
	Limited   bool
	RateLimit float64
	// Leaving is set if the upstream is about to end and wants no new requests.
	Leaving bool
}

// defaultDialect is the default Dialect: the context header of core/callctx, which the
// upstream copies to its nested calls.
type defaultDialect struct{}

var _ Dialect = defaultDialect{}

// SetHeaders implements Dialect.
func (defaultDialect) SetHeaders(out *http.Request, r *call.Request, _ string, _ time.Time) {
	out.Header.Set(callctx.Header, callctx.Context{
		RequestID: r.ID, Run: r.Run, Rank: r.Rank, Caller: r.Caller, Deadline: r.Deadline,
	}.Encode())
	if r.Key != "" {
		out.Header.Set(call.HeaderKey, r.Key)
	}
}

// Classify implements Dialect.
func (defaultDialect) Classify(*call.Request, *http.Response, bool) Verdict { return VerdictRan }

// Signals implements Dialect. Upstreams with the default convention say nothing of
// themselves.
func (defaultDialect) Signals(*http.Response) Signals { return Signals{} }

// notRunError is a response which says that the upstream did not run the request.
type notRunError struct {
	refusal    call.Refusal
	detail     string
	retryAfter time.Duration
}

// Error implements error.
func (e *notRunError) Error() string { return e.detail }

// errMismatched means that a response belongs to another request.
var errMismatched = errors.New("the upstream's connection carried an answer to another request")

// shedRetryAfter is the Retry-After of requests that the upstream refused, about
// the duration of a few runs.
const shedRetryAfter = 300 * time.Millisecond

// checkResponse returns nil if the response is the upstream's response to the
// request. Otherwise it closes the response body, and the connection too if the
// response belongs to another request.
func (u *Runner) checkResponse(r *call.Request, e *exchange, instance string) error {
	verdict := u.dialect.Classify(r, e.response, !e.conn.reused)
	if verdict == VerdictRan || verdict == VerdictShed {
		u.recordSignals(instance, u.dialect.Signals(e.response))
	}
	if verdict == VerdictRan {
		return nil
	}
	if verdict == VerdictMismatched {
		e.abandon()
		return errMismatched
	}
	e.conn.refused = append(e.conn.refused, r.CallerRequestID)
	_ = e.response.Body.Close()
	switch verdict {
	case VerdictMisdirected:
		u.presence.MarkMisdirected(instance)
		return &notRunError{call.RefusedNoUpstream, "another upstream has the address", 0}
	case VerdictShed:
	}
	return &notRunError{call.RefusedUpstreamShed, "the upstream refused the request", shedRetryAfter}
}

// recordSignals applies what an instance has said of itself in a response, unless
// another instance has taken its place since.
func (u *Runner) recordSignals(instance string, s Signals) {
	now := time.Now()
	if u.presence.Current(now).Instance != instance {
		return
	}
	u.gate.RecordRateLimit(now, s.RateLimit, s.Limited)
	if s.Leaving {
		u.presence.MarkDraining(now, instance)
	}
}

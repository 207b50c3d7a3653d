package upstream

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"fuchsiavane.org/core/callctx"
	"fuchsiavane.org/node/call"
)

// Verdict says what an answer on the upstream's connection is.
type Verdict int

// Verdicts.
const (
	// VerdictRan answers are the upstream's answer to the request.
	VerdictRan Verdict = iota
	// VerdictShed answers say that the upstream did not run the request.
	VerdictShed
	// VerdictMisdirected answers say that another upstream has the address, and
	// did not run the request.
	VerdictMisdirected
	// VerdictMismatched answers belong to another request; what became of this one
	// is not known.
	VerdictMismatched
)

// Dialect is the convention of headers between a daemon and its upstream.
type Dialect interface {
	// SetHeaders sets the headers of a request that goes to an instance now.
	SetHeaders(out *http.Request, r *call.Request, instance string, now time.Time)
	// Classify says what an answer is.
	Classify(r *call.Request, response *http.Response) Verdict
}

// ownDialect is the product's own convention: the context header, which the
// upstream copies to the calls that it makes.
type ownDialect struct{}

var _ Dialect = ownDialect{}

// SetHeaders implements Dialect.
func (ownDialect) SetHeaders(out *http.Request, r *call.Request, _ string, _ time.Time) {
	out.Header.Set(callctx.Header, callctx.Context{
		RequestID: r.ID, Run: r.Run, Rank: r.Rank, Caller: r.Caller, Deadline: r.Deadline,
	}.Encode())
	if r.Key != "" {
		out.Header.Set(call.HeaderKey, r.Key)
	}
}

// Classify implements Dialect.
func (ownDialect) Classify(*call.Request, *http.Response) Verdict { return VerdictRan }

// shedError is an answer by which an upstream says that it did not run the
// request.
type shedError struct {
	refusal    call.Refusal
	detail     string
	retryAfter time.Duration
}

// Error implements error.
func (e *shedError) Error() string { return e.detail }

// errForeign is an answer that belongs to another request.
var errForeign = errors.New("the upstream's connection carried an answer to another request")

// shedRetryAfter is the wait told after the upstream itself refused, about the
// time of a few runs.
const shedRetryAfter = 300 * time.Millisecond

// judge returns nil for the upstream's answer to the request. Otherwise it has
// closed the answer, with its connection if that is out of step.
func (u *Runner) judge(r *call.Request, e *exchange, instance string) error {
	verdict := u.dialect.Classify(r, e.response)
	if verdict == VerdictRan {
		return nil
	}
	if verdict == VerdictMismatched {
		e.abandon()
		return errForeign
	}
	_ = e.response.Body.Close()
	switch verdict {
	case VerdictMisdirected:
		u.presence.Misdirected(instance)
		return &shedError{call.RefusedNoUpstream, "another upstream has the address", 0}
	case VerdictShed:
	}
	return &shedError{call.RefusedShed, "the upstream refused the request", shedRetryAfter}
}

// Package call defines the requests and answers that pass between the ports, the links
// and the upstream of a daemon.
package call

import (
	"context"
	"io"
	"net/http"
	"time"

	"fuchsiavane.org/core/route"
)

// Outcome says what is known about the execution of a request.
type Outcome string

// Outcomes, as the Fuchsiavane-Outcome header carries them.
const (
	// Ran means that the upstream responded.
	Ran Outcome = "ran"
	// NotRun means that no upstream received any byte of the request.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// Names of the headers that callers and upstreams use.
const (
	HeaderOutcome = "Fuchsiavane-Outcome"
	HeaderService = "Fuchsiavane-Service"
	HeaderCaller  = "Fuchsiavane-Caller"
	HeaderRank    = "Fuchsiavane-Rank"
	HeaderTimeout = "Fuchsiavane-Timeout-Ms"
	HeaderKey     = "Idempotency-Key"
)

// Limits on one request.
const (
	// MaxHeaderBytes is the maximum size of the header of a request or an answer.
	MaxHeaderBytes = 64 << 10
	// MaxHeaderFields is the maximum number of fields in a header.
	MaxHeaderFields = 512
	// MaxRequestBody is the maximum size in bytes of a request's body, which is
	// buffered in memory for retries. A daemon may have less memory for bodies (package
	// bodies).
	MaxRequestBody = 64 << 20
)

// Refusal says why a daemon made an answer itself; empty if the upstream responded.
type Refusal string

// Refusals.
const (
	RefusedNone        Refusal = ""
	RefusedOverload    Refusal = "overload"
	RefusedDeadline    Refusal = "deadline"
	RefusedDraining    Refusal = "draining"
	RefusedNoUpstream  Refusal = "no-upstream"
	RefusedUnreachable Refusal = "unreachable"
	// RefusedRepeat means that the key has run or may have run, and that its answer can't
	// be replayed.
	RefusedRepeat Refusal = "repeat"
	// RefusedRetryRatio means that the caller resends too often.
	RefusedRetryRatio     Refusal = "retry-ratio"
	RefusedQuarantined    Refusal = "quarantined"
	RefusedBadRequest     Refusal = "bad-request"
	RefusedBodyTooLarge   Refusal = "too-large"
	RefusedHeaderTooLarge Refusal = "header-too-large"
	RefusedCancelled      Refusal = "cancelled"
	// RefusedNotOwner is returned for a non-idempotent request by an instance that
	// does not own its key. The instance did not run the request.
	RefusedNotOwner Refusal = "not-owner"
	// RefusedUpstreamShed means that the upstream received the request and refused it
	// without running it.
	RefusedUpstreamShed Refusal = "upstream-shed"
	// RefusedNoRoute means that no route in the settings matches the host and path.
	RefusedNoRoute Refusal = "no-route"
	// RefusedNoSettings means that no settings are in force yet.
	RefusedNoSettings Refusal = "no-settings"
)

// Request is one call to a service.
type Request struct {
	// ID is the ID of the root request. It is the same at every hop.
	ID string
	// CallerRequestID is the caller's own ID of this request; empty if it set none.
	CallerRequestID string
	// Run is the unique ID of this attempt.
	Run string
	// Service is the name of the requested service.
	Service string
	// Host is the requested host if the call came by a route; empty if it named the
	// service.
	Host   string
	Method string
	// RequestURI is the path and query.
	RequestURI string
	// Path selects the settings: the path without the query, or the prefix of the
	// route.
	Path   string
	Header http.Header
	Body   []byte
	Caller string
	Rank   string
	// Deadline is in the clock of the daemon that handles the request.
	Deadline time.Time
	// RetryBudget is the share of the parent's retry budget that is lent to this call.
	RetryBudget int
	// Idempotent is set for requests that may run more than once.
	Idempotent bool
	// Nested is set for calls made by a run. Refusing one wastes the work done for the
	// run.
	Nested bool
	// Repeat is set if the request was sent to an upstream before, or if the run that
	// makes the call was itself such a repeat.
	Repeat bool
	// RateLimit is the rate limit that the peer that gets the request reported last for
	// its upstream, in requests per second; 0 if none is known. A daemon that has just
	// started learns it from there.
	RateLimit float64
	// Timestamp is when the root request entered the fleet, in the clock of the daemon
	// that handles the request.
	Timestamp time.Time
	// Key is the idempotency key. It is empty for a request that only its entry daemon
	// sends and of which each attempt runs at most once.
	Key string
	// KeyGenerated is set at the entry daemon if it generated the key itself, so that
	// no earlier request has the key. It is not sent over links.
	KeyGenerated bool
}

// Answer is the answer to a Request. The receiver must close Body.
type Answer struct {
	Status int
	Header http.Header
	// Length is the length of Body in bytes, or -1 if it is not known.
	Length int64
	Body   io.ReadCloser
	// Outcome says whether the request ran.
	Outcome Outcome
	// Refusal says why a daemon made the answer; empty if the upstream responded.
	Refusal Refusal
	// Detail explains a refusal.
	Detail string
	// RetryAfter is how long the caller should wait before it resends the request.
	RetryAfter time.Duration
	// UnusedRetries is the number of unused retries of Request.RetryBudget.
	UnusedRetries int
	// Load is the load reported by the instance that ran or refused the request.
	Load route.Load
	// Level is the strictest admission level (level.Level) among the upstream that the
	// request was for and the nested calls of its run; 0 if none refuses requests.
	Level uint32
}

// Server runs requests.
type Server interface {
	// Serve runs a request and returns its answer, which is never nil. Cancelling the
	// context abandons the request.
	Serve(ctx context.Context, r *Request) *Answer
}

// ServerFunc is a function that implements Server.
type ServerFunc func(ctx context.Context, r *Request) *Answer

// Serve calls f.
func (f ServerFunc) Serve(ctx context.Context, r *Request) *Answer { return f(ctx, r) }

// Refuse returns an answer that a daemon makes itself.
func Refuse(outcome Outcome, refusal Refusal, detail string) *Answer {
	return &Answer{
		Status:  refusal.Status(),
		Header:  http.Header{},
		Body:    http.NoBody,
		Outcome: outcome,
		Refusal: refusal,
		Detail:  detail,
	}
}

// Status returns the HTTP status of a refusal.
func (r Refusal) Status() int {
	switch r {
	case RefusedDeadline:
		return http.StatusGatewayTimeout
	case RefusedRepeat:
		return http.StatusConflict
	case RefusedRetryRatio:
		return http.StatusTooManyRequests
	case RefusedQuarantined:
		return http.StatusUnprocessableEntity
	case RefusedBadRequest:
		return http.StatusBadRequest
	case RefusedHeaderTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case RefusedBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case RefusedUnreachable:
		return http.StatusBadGateway
	case RefusedNoRoute:
		return http.StatusNotFound
	}
	return http.StatusServiceUnavailable
}

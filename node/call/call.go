// Package call holds the typed messages that pass between the ports, the links
// and the upstream of a daemon.
package call

import (
	"context"
	"io"
	"net/http"
	"time"

	"fuchsiavane.org/core/route"
)

// Outcome says what is known of a request's run.
type Outcome string

// Outcomes, as the Fuchsiavane-Outcome header carries them.
const (
	// Ran means that the upstream answered.
	Ran Outcome = "ran"
	// NotRun means that no upstream was given a byte of the request.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// Names of the headers of the outside interface.
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
	// MaxHeaderBytes bounds the header of a request or of an answer.
	MaxHeaderBytes = 64 << 10
	// MaxHeaderFields bounds the number of fields in a header.
	MaxHeaderFields = 512
	// MaxRequestBody bounds the body of a request, which is held for retries.
	MaxRequestBody = 4 << 20
)

// Refusal says why the system made an answer itself; empty if the upstream
// answered.
type Refusal string

// Refusals.
const (
	RefusedNone        Refusal = ""
	RefusedOverload    Refusal = "overload"
	RefusedDeadline    Refusal = "deadline"
	RefusedDraining    Refusal = "draining"
	RefusedNoUpstream  Refusal = "no-upstream"
	RefusedUnreachable Refusal = "unreachable"
	RefusedRepeat      Refusal = "repeat"
	RefusedRetryRatio  Refusal = "retry-ratio"
	RefusedQuarantined Refusal = "quarantined"
	RefusedBadRequest  Refusal = "bad-request"
	RefusedBodyTooLarge    Refusal = "too-large"
	RefusedHeaderTooLarge  Refusal = "header-too-large"
	RefusedCancelled   Refusal = "cancelled"
	// RefusedNotOwner is said of a non-idempotent request by an instance that
	// does not own its key. The instance did not run it.
	RefusedNotOwner Refusal = "not-owner"
	// RefusedUpstreamShed is said when the upstream itself refused: it did not run the
	// request, though it was sent one.
	RefusedUpstreamShed Refusal = "upstream-shed"
	// RefusedNoRoute is said of a host and path that the settings don't name.
	RefusedNoRoute Refusal = "no-route"
	// RefusedNoSettings is said while no settings are in force.
	RefusedNoSettings Refusal = "no-settings"
)

// Request is one call to a service.
type Request struct {
	// ID names the root request; the same at every hop.
	ID string
	// CallerRequestID is the caller's own name for this one request, if it gave one.
	CallerRequestID string
	// Run names this attempt; unique.
	Run string
	// Service is the service asked for.
	Service string
	// Host is the host that the caller asked for; empty for the service's name.
	Host   string
	Method string
	// RequestURI is the request URI: path and query.
	RequestURI string
	// Path is the path alone, by which settings are resolved.
	Path   string
	Header http.Header
	Body   []byte
	Caller string
	Rank   string
	// Deadline is in the clock of the daemon that holds the request.
	Deadline time.Time
	// RetryBudget is the part of the retry budget lent to this call.
	RetryBudget int
	// Idempotent requests may run more than once.
	Idempotent bool
	// Nested requests are made by a run, so that refusing one wastes the work
	// done for it.
	Nested bool
	// Timestamp is when the root request entered the fleet, in the clock of the daemon
	// that holds the request.
	Timestamp time.Time
	// Key is the idempotency key; empty for a request of which each attempt runs
	// at most once, which only its entry daemon sends.
	Key string
	// KeyGenerated is set at the entry daemon if it made the key itself, so that no
	// request with this key came before. It doesn't cross links.
	KeyGenerated bool
}

// Answer is the answer to a Request. The receiver closes Body.
type Answer struct {
	Status int
	Header http.Header
	// Length is the length of Body in bytes, or -1 if it is not known.
	Length int64
	Body   io.ReadCloser
	// Outcome says whether the request ran.
	Outcome Outcome
	// Refusal says why the system itself made the answer.
	Refusal Refusal
	// Detail explains a refusal.
	Detail string
	// RetryAfter is the wait before a new attempt is of use.
	RetryAfter time.Duration
	// UnusedRetries is the part of Request.Retries that was not used.
	UnusedRetries int
	// Load is what the instance that ran or refused the request says of its load.
	Load route.Load
	// Level is the worst admission level of the subtree, 0 if none refuses.
	Level uint32
}

// Server runs requests.
type Server interface {
	// Serve runs a request and returns its answer, never nil. Cancelling the
	// context gives the request up.
	Serve(ctx context.Context, r *Request) *Answer
}

// ServerFunc makes a Server of a function.
type ServerFunc func(ctx context.Context, r *Request) *Answer

// Serve implements Server.
func (f ServerFunc) Serve(ctx context.Context, r *Request) *Answer { return f(ctx, r) }

// Refuse returns an answer made by the system.
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

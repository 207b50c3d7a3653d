// Package problem writes the responses that a daemon makes itself, with a problem body
// as in RFC 9457.
package problem

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"fuchsiavane.org/node/call"
)

// ContentType is the media type of a problem body. Source: RFC 9457, section 3.
const ContentType = "application/problem+json"

// defaultRetryAfter is the Retry-After time of a 503 response whose answer sets none.
const defaultRetryAfter = time.Second

// typePrefix is the prefix of every problem's type URI.
const typePrefix = "urn:fuchsiavane:problem:"

type body struct {
	Type    string       `json:"type"`
	Title   string       `json:"title"`
	Status  int          `json:"status"`
	Detail  string       `json:"detail,omitempty"`
	Outcome call.Outcome `json:"outcome"`
}

// titles holds the title of each refusal.
var titles = map[call.Refusal]string{
	call.RefusedOverload:       "The service is overloaded",
	call.RefusedDeadline:       "The deadline has passed or can't be met",
	call.RefusedDraining:       "The instance is leaving",
	call.RefusedNoUpstream:     "No upstream of the service is known",
	call.RefusedUnreachable:    "The upstream was lost",
	call.RefusedRepeat:         "An earlier run of this key has an unknown end",
	call.RefusedRetryRatio:     "The caller repeats too many requests",
	call.RefusedQuarantined:    "The request has crashed upstreams",
	call.RefusedBadRequest:     "The request is malformed",
	call.RefusedBodyTooLarge:   "The request is too large",
	call.RefusedHeaderTooLarge: "The request's header is too large",
	call.RefusedCancelled:      "The caller gave the request up",
	call.RefusedNotOwner:       "No instance owns the key now",
	call.RefusedUpstreamShed:   "The upstream refused the request",
	call.RefusedNoRoute:        "No route matches the host and path",
	call.RefusedNoSettings:     "No settings are in force yet",
}

// Write writes the response to a refused request.
func Write(w http.ResponseWriter, a *call.Answer) {
	h := w.Header()
	h.Set(call.HeaderOutcome, string(a.Outcome))
	h.Set("Content-Type", ContentType)
	if after := retryAfter(a); after > 0 {
		h.Set("Retry-After", seconds(after))
	}
	w.WriteHeader(a.Status)
	_ = json.NewEncoder(w).Encode(body{
		Type:    typePrefix + string(a.Refusal),
		Title:   titles[a.Refusal],
		Status:  a.Status,
		Detail:  a.Detail,
		Outcome: a.Outcome,
	})
}

// retryAfter returns the Retry-After time of an answer, 0 for none. Every 503 response
// has one.
func retryAfter(a *call.Answer) time.Duration {
	if a.RetryAfter == 0 && a.Status == http.StatusServiceUnavailable {
		return defaultRetryAfter
	}
	return a.RetryAfter
}

// seconds formats a duration in seconds, rounded up. Source: RFC 9110, section 10.2.3.
func seconds(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}

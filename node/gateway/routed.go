package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	plog "github.com/phuslu/log"
	"github.com/pkg/errors"

	"fuchsiavane.org/core/level"
	"fuchsiavane.org/core/retry"
	"fuchsiavane.org/node/call"
	"fuchsiavane.org/node/event"
	"fuchsiavane.org/node/runs"
)

// Dialect is the header convention of the routed port, at which callers address routes
// of the settings by host and path.
type Dialect interface {
	// ReadHead parses the header of a request.
	ReadHead(r *http.Request) (Head, error)
	// Strip removes the headers that the daemon of the upstream sets anew, so that
	// they are not sent over links.
	Strip(h http.Header)
	// WriteRefusal writes an answer that a daemon made itself.
	WriteRefusal(w http.ResponseWriter, a *call.Answer)
}

// Head is the parsed header of a request.
type Head struct {
	// ID is the caller's ID of the request.
	ID string
	// ParentRequestID is the ID of the request whose run at this daemon's upstream
	// makes this call; empty if there is none.
	ParentRequestID string
	// Timeout is how long the caller waits; 0 if it is not given.
	Timeout time.Duration
	// Caller is the name of the request's caller, as the upstream sees it.
	Caller string
}

// RoutedPort returns the handler of the port at which callers, and this daemon's
// upstream, address routes by host and path.
func (g *Gateway) RoutedPort() http.Handler {
	return http.HandlerFunc(g.handleRouted)
}

func (g *Gateway) handleRouted(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	head, err := g.Dialect.ReadHead(r)
	if err != nil {
		g.refuseUnprepared(w, r, &head, badRequest(err))
		return
	}
	p, refusal := g.prepareRouted(r, &head, start)
	if refusal != nil {
		g.refuseUnprepared(w, r, &head, refusal)
		return
	}
	defer p.release()
	answer := g.callIfAdmitted(p)
	defer answer.Body.Close()
	took := time.Since(start)
	switch {
	case answer.Outcome == call.Ran:
		g.resendWaits.record(p.request, took)
	case answer.Outcome == call.NotRun && answer.Refusal == call.RefusedOverload:
		answer.RetryAfter = g.resendWaits.wait(p.request, admittedFraction(answer), &p.values, took)
	}
	g.Observer.ObserveCall(p.request.Service, p.request.Caller, p.request.Rank, answer.Outcome, answer.Refusal, took)
	g.logResult(p.request, answer, took)
	if answer.Refusal != call.RefusedNone {
		g.Dialect.WriteRefusal(w, answer)
		return
	}
	copyResponse(w, r, answer)
}

// refuseUnprepared logs and writes the refusal of a request that could not be
// prepared.
func (g *Gateway) refuseUnprepared(w http.ResponseWriter, r *http.Request, head *Head, refusal *call.Answer) {
	g.Log.Log(event.RequestMalformed).Str("request", head.ID).Str("host", r.Host).Str("path", r.URL.Path).
		Str("refusal", string(refusal.Refusal)).Str("detail", refusal.Detail).
		Uint64("settings", g.Settings.Current().Revision).Msg("request refused")
	if isBodyRefusal(refusal) {
		refuseBody(w, r, func() { g.Dialect.WriteRefusal(w, refusal) })
		return
	}
	g.Dialect.WriteRefusal(w, refusal)
}

// prepareRouted finds the route of a request and the service that the request goes to.
func (g *Gateway) prepareRouted(r *http.Request, head *Head, now time.Time) (*prepared, *call.Answer) {
	inForce := g.Settings.Current()
	if inForce.Revision == 0 {
		return nil, call.Refuse(call.NotRun, call.RefusedNoSettings, "no settings are in force yet")
	}
	if err := checkSize(r); err != nil {
		return nil, badRequest(err)
	}
	if r.Method == http.MethodConnect || r.Header.Get("Upgrade") != "" {
		return nil, badRequest(errors.New("CONNECT and protocol upgrades are not carried"))
	}
	route := inForce.Document.Route(r.Host, r.URL.EscapedPath())
	if route == nil {
		return nil, call.Refuse(call.NotRun, call.RefusedNoRoute, "no route matches the host and path")
	}
	requestURI := call.OriginForm(r.RequestURI)
	if _, err := call.TargetURL("http", r.Host, requestURI); err != nil {
		return nil, badRequest(err)
	}
	body, held, err := g.readBody(r)
	if err != nil {
		return nil, badRequest(err)
	}
	header := forwardHeader(r.Header)
	g.Dialect.Strip(header)
	target := route.Choose(rand.Float64())
	values := target.Values()
	request := &call.Request{
		ID: head.ID, CallerRequestID: head.ID, Service: target.Service, Host: r.Host, Method: r.Method,
		RequestURI: requestURI, Path: route.Prefix, Header: header, Body: body,
		Caller: head.Caller, Rank: values.Rank, Idempotent: values.IsIdempotent(r.Method),
		Deadline: now.Add(callTimeout(head.Timeout, values.Timeout)), Timestamp: now,
	}
	p := &prepared{ctx: r.Context(), request: request, values: values, budget: retry.NewBudget(values.Attempts - 1), held: held}
	if parent := g.Runs.FindByCallerRequestID(head.ParentRequestID); parent != nil {
		g.inherit(p, parent)
	}
	return p, nil
}

// inherit makes a call the child of the run that makes it. The call takes the run's
// root request, rank, deadline and cancellation. A parent named by the caller is
// accepted only while that run is in progress at this daemon's upstream.
func (g *Gateway) inherit(p *prepared, parent *runs.Run) {
	p.parent = parent
	p.request.ID = parent.RequestID
	p.request.Rank = parent.Rank
	p.values.Rank = parent.Rank
	p.request.Nested = true
	p.request.Repeat = parent.Repeat
	p.request.Timestamp = parent.Timestamp
	if parent.Deadline.Before(p.request.Deadline) {
		p.request.Deadline = parent.Deadline
	}
	ctx, cancel := context.WithCancel(p.ctx)
	context.AfterFunc(parent.Context, func() {
		if !g.leaving.Load() {
			cancel()
		}
	})
	p.ctx = ctx
}

// callTimeout returns the smaller of the caller's timeout, if given, and the route's
// timeout.
func callTimeout(wait, timeout time.Duration) time.Duration {
	if wait > 0 {
		return min(wait, timeout)
	}
	return timeout
}

// admittedFraction returns the fraction of requests that the admission level of an
// answer admits.
func admittedFraction(a *call.Answer) float64 { return level.AdmittedFraction(a.Level) }

// logResult logs a request that has failed, or whose response is about to be written.
func (g *Gateway) logResult(r *call.Request, a *call.Answer, took time.Duration) {
	message, line := "request answered", (*plog.Entry)(nil)
	if a.Refusal == call.RefusedNone {
		line = g.Log.LogRateLimited(event.RequestAnswered)
	} else {
		message, line = "request failed", g.Log.Log(event.RequestFailed)
	}
	if line == nil {
		return
	}
	line.Str("request", r.CallerRequestID).Str("root", r.ID).Str("service", r.Service).Str("path", r.Path).Str("rank", r.Rank).
		Int("status", a.Status).Str("outcome", string(a.Outcome)).Int64("took_ms", took.Milliseconds()).
		Int64("left_ms", time.Until(r.Deadline).Milliseconds()).Uint64("settings", g.Settings.Current().Revision)
	if a.Refusal != call.RefusedNone {
		line.Str("refusal", string(a.Refusal)).Str("detail", a.Detail).Int64("retry_after_ms", a.RetryAfter.Milliseconds()).
			Float64("level_pass", admittedFraction(a))
	}
	line.Msg(message)
}

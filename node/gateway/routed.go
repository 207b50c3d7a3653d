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

// Dialect is the convention of headers at the routed port, at which callers
// address routes of the settings by host and path.
type Dialect interface {
	// ReadHead reads the header of a request.
	ReadHead(r *http.Request) (Head, error)
	// Strip removes the headers that the upstream's dialect sets anew, so that they
	// don't cross links.
	Strip(h http.Header)
	// WriteRefusal writes an answer that the system makes itself.
	WriteRefusal(w http.ResponseWriter, a *call.Answer)
}

// Head is what the header of a request says.
type Head struct {
	// ID names the request.
	ID string
	// ParentRequestID names the run of the own upstream that makes this call, by the label
	// of its request; empty if there is none.
	ParentRequestID string
	// Timeout is how long the caller waits; 0 if it does not say.
	Timeout time.Duration
	// Caller is the name that the request's origin has for the upstream.
	Caller string
}

// RoutedPort returns the handler of a port at which callers, and the own
// upstream, address routes by host and path.
func (g *Gateway) RoutedPort() http.Handler {
	return http.HandlerFunc(g.handleRouted)
}

func (g *Gateway) handleRouted(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	head, err := g.Dialect.ReadHead(r)
	if err != nil {
		g.refuseHead(w, r, &head, badRequest(err))
		return
	}
	p, refusal := g.prepareRouted(r, &head, began)
	if refusal != nil {
		g.refuseHead(w, r, &head, refusal)
		return
	}
	answer := g.callAdmitted(p)
	defer answer.Body.Close()
	took := time.Since(began)
	switch {
	case answer.Outcome == call.Ran:
		g.returns.learn(p.request, took)
	case answer.Outcome == call.NotRun && answer.Refusal == call.RefusedOverload:
		answer.RetryAfter = g.returns.after(p.request, passOf(answer), &p.values, took)
	}
	g.Observer.ObserveCall(p.request.Service, p.request.Caller, p.request.Rank, answer.Outcome, answer.Refusal, took)
	g.logEnd(p.request, answer, took)
	if answer.Refusal != call.RefusedNone {
		g.Dialect.WriteRefusal(w, answer)
		return
	}
	writeBody(w, answer)
}

// refuseHead answers a request that can't be called.
func (g *Gateway) refuseHead(w http.ResponseWriter, r *http.Request, head *Head, refusal *call.Answer) {
	g.Log.Log(event.BadCallerInput).Str("request", head.ID).Str("host", r.Host).Str("path", r.URL.Path).
		Str("refusal", string(refusal.Refusal)).Str("detail", refusal.Detail).
		Uint64("settings", g.Settings.Current().Revision).Msg("request refused")
	g.Dialect.WriteRefusal(w, refusal)
}

// prepareRouted finds the route of a request and the service that it goes to.
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
	body, err := readBody(r)
	if err != nil {
		return nil, badRequest(err)
	}
	header := forwardHeader(r.Header)
	g.Dialect.Strip(header)
	target := route.Choose(rand.Float64())
	values := target.Values()
	request := &call.Request{
		ID: head.ID, CallerRequestID: head.ID, Service: target.Service, Host: r.Host, Method: r.Method,
		RequestURI: r.RequestURI, Path: route.Prefix, Header: header, Body: body,
		Caller: head.Caller, Rank: values.Rank, Idempotent: values.IsIdempotent(r.Method),
		Deadline: now.Add(allowed(head.Timeout, values.Timeout)), Timestamp: now,
	}
	p := &prepared{ctx: r.Context(), request: request, values: values, budget: retry.NewBudget(values.Attempts - 1)}
	if parent := g.Runs.FindByCallerRequestID(head.ParentRequestID); parent != nil {
		g.inherit(p, parent)
	}
	return p, nil
}

// inherit makes a call the child of the run that makes it: it has the run's root,
// rank and end. The name of a parent is believed only while that run is in
// progress at the own upstream.
func (g *Gateway) inherit(p *prepared, parent *runs.Run) {
	p.parent = parent
	p.request.ID = parent.RequestID
	p.request.Rank = parent.Rank
	p.values.Rank = parent.Rank
	p.request.Nested = true
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

// allowed returns the lesser of the caller's wait, if it gave one, and the
// route's timeout.
func allowed(wait, timeout time.Duration) time.Duration {
	if wait > 0 {
		return min(wait, timeout)
	}
	return timeout
}

// passOf returns the part of requests that the level of an answer lets through.
func passOf(a *call.Answer) float64 { return level.AdmittedFraction(a.Level) }

// logEnd writes the line of a request that has ended, or whose answer begins.
func (g *Gateway) logEnd(r *call.Request, a *call.Answer, took time.Duration) {
	message, line := "request answered", (*plog.Entry)(nil)
	if a.Refusal == call.RefusedNone {
		line = g.Log.LogOften(event.RequestAnswered)
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
			Float64("level_pass", passOf(a))
	}
	line.Msg(message)
}

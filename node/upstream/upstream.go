// Package upstream runs requests at the daemon's own upstream: it gets a slot from
// the admission controller and forwards the request over HTTP.
package upstream

import (
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"fuchsiavane.org/core/drain"
	"fuchsiavane.org/core/retry"
	"fuchsiavane.org/node/call"
	"fuchsiavane.org/node/presence"
	"fuchsiavane.org/node/runs"
)

// Runner runs requests at the upstream. It is safe for concurrent use.
type Runner struct {
	base     *url.URL
	gate     *Gate
	table    *runs.Table
	dialect  Dialect
	presence *presence.Presence
	drain    atomic.Pointer[drain.Plan] // nil before a drain
	conns    *connPool
}

var _ call.Server = (*Runner)(nil)

// Option changes a default of a Runner.
type Option func(*Runner)

// WithDialect replaces the header convention between the Runner and its upstream.
// The default is the context header of core/callctx.
func WithDialect(d Dialect) Option { return func(u *Runner) { u.dialect = d } }

// WithPresence makes a Runner follow the phase and instance that the upstream
// announces. By default the upstream is always ready.
func WithPresence(p *presence.Presence) Option { return func(u *Runner) { u.presence = p } }

// NewRunner returns a Runner for the upstream with the given base URL.
func NewRunner(base *url.URL, gate *Gate, table *runs.Table, options ...Option) *Runner {
	u := &Runner{
		base: base, gate: gate, table: table, dialect: defaultDialect{}, presence: presence.NewStatic(),
		conns: newConnPool(hostPort(base)),
	}
	for _, option := range options {
		option(u)
	}
	return u
}

// hostPort returns the host:port of a base URL, with port 80 by default.
func hostPort(base *url.URL) string {
	if base.Port() != "" {
		return base.Host
	}
	return net.JoinHostPort(base.Hostname(), "80")
}

// StartDraining makes the Runner refuse the requests that the plan of the drain does not
// take; requests in progress continue.
func (u *Runner) StartDraining(plan drain.Plan) { u.drain.Store(&plan) }

// InFlight returns the number of requests in progress.
func (u *Runner) InFlight() int { return u.table.Len() }

// Serve implements call.Server.
func (u *Runner) Serve(ctx context.Context, r *call.Request) *call.Answer {
	a := u.admit(ctx, r)
	a.Load = u.gate.Load()
	return a
}

// admit runs a request if the upstream accepts requests and a slot becomes free.
func (u *Runner) admit(ctx context.Context, r *call.Request) *call.Answer {
	if refusal := u.refuseClosed(r); refusal != nil {
		return refusal
	}
	u.gate.SuggestRateLimit(time.Now(), r.RateLimit)
	slot, refusal := u.gate.Acquire(ctx, r)
	if refusal != nil {
		return u.withUnusedRetries(r, refusal)
	}
	// The upstream may have started to drain while the request was queued.
	if refusal := u.refuseClosed(r); refusal != nil {
		slot.Release(ResultAbandoned)
		return refusal
	}
	return u.run(ctx, r, slot)
}

// refuseClosed returns a refusal if the daemon or its upstream is draining, or if
// no upstream is known, and nil otherwise.
func (u *Runner) refuseClosed(r *call.Request) *call.Answer {
	if plan := u.drain.Load(); plan != nil && !plan.TakesRun(time.Now(), r.Deadline) {
		return u.withUnusedRetries(r, call.Refuse(call.NotRun, call.RefusedDraining, "the instance takes no new work"))
	}
	switch u.presence.Current(time.Now()).Phase {
	case presence.PhaseDraining:
		return u.withUnusedRetries(r, call.Refuse(call.NotRun, call.RefusedDraining, "the upstream is draining"))
	case presence.PhaseAbsent:
		return u.withUnusedRetries(r, call.Refuse(call.NotRun, call.RefusedNoUpstream, "no upstream is known beside this daemon"))
	}
	return nil
}

// withUnusedRetries marks all of the retry budget lent with the request as unused.
func (u *Runner) withUnusedRetries(r *call.Request, a *call.Answer) *call.Answer {
	a.UnusedRetries = r.RetryBudget
	return a
}

func (u *Runner) run(ctx context.Context, r *call.Request, slot *Slot) *call.Answer {
	ctx, cancel := withDeadline(ctx, r.Deadline)
	run := &runs.Run{
		ID: r.Run, RequestID: r.ID, CallerRequestID: r.CallerRequestID, Caller: r.Caller, Rank: r.Rank, Deadline: r.Deadline, Timestamp: r.Timestamp, Repeat: r.Repeat,
		Budget: retry.NewBudget(r.RetryBudget), Context: ctx,
	}
	u.table.Begin(run)
	var once atomic.Bool
	endRun := func(as Result) {
		if once.Swap(true) {
			return
		}
		cancel()
		u.table.End(run.ID)
		slot.Release(as)
	}
	instance := u.presence.Current(time.Now()).Instance
	e, sent, err := u.forward(ctx, r, instance)
	if err == nil {
		err = u.checkResponse(r, e, instance)
	}
	var shed *notRunError
	if errors.As(err, &shed) {
		endRun(ResultOverloaded)
		a := call.Refuse(call.NotRun, shed.refusal, shed.detail)
		a.RetryAfter = shed.retryAfter
		a.UnusedRetries = run.Budget.TakeAll()
		a.Level = u.gate.strictestLevel(run)
		return a
	}
	if err != nil {
		endRun(resultOfError(run, err))
		a := u.failureAnswer(r, run, sent, err)
		a.Level = u.gate.strictestLevel(run)
		return a
	}
	slot.ResponseStarted()
	a := u.answer(run, e, endRun)
	a.Level = u.gate.strictestLevel(run)
	return a
}

// withDeadline returns a context that ends at the deadline. It starts no timer if
// the parent's deadline is not later.
func withDeadline(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	if end, ok := ctx.Deadline(); ok && !end.After(deadline) {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline)
}

// forward sends the request to the upstream. sent reports whether the upstream may
// have received some of it.
func (u *Runner) forward(ctx context.Context, r *call.Request, instance string) (e *exchange, sent bool, err error) {
	target, err := u.target(r)
	if err != nil {
		return nil, false, err
	}
	request := newRequest(r, target)
	u.dialect.SetHeaders(request, r, instance, time.Now())
	return u.conns.exchange(ctx, request, r.Body, reuseOf(r))
}

// target returns the URL of a request. If the request has a host, its target is sent byte
// for byte.
func (u *Runner) target(r *call.Request) (*url.URL, error) {
	if r.Host != "" {
		return call.TargetURL(u.base.Scheme, u.base.Host, r.RequestURI)
	}
	target, err := u.base.Parse(r.RequestURI)
	return target, errors.Wrap(err, "target")
}

// identityEncoding keeps net/http from sending an empty body in chunks.
var identityEncoding = []string{"identity"}

// noUserAgent keeps net/http from adding its own User-Agent.
var noUserAgent = []string{""}

// newRequest returns the HTTP request for the upstream, without its body.
func newRequest(r *call.Request, target *url.URL) *http.Request {
	request := &http.Request{
		Method:        r.Method,
		URL:           target,
		Host:          r.Service,
		Header:        maps.Clone(r.Header), // shallow: values are replaced, never modified
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		ContentLength: int64(len(r.Body)),
	}
	if r.Host != "" {
		request.Host = r.Host
	}
	if len(r.Body) == 0 {
		request.TransferEncoding = identityEncoding
	}
	if len(request.Header["User-Agent"]) == 0 {
		request.Header["User-Agent"] = noUserAgent
	}
	return request
}

func (u *Runner) failureAnswer(r *call.Request, run *runs.Run, sent bool, err error) *call.Answer {
	outcome := call.Unknown
	if !sent {
		outcome = call.NotRun
	}
	refusal := call.RefusedUnreachable
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		refusal = call.RefusedDeadline
	case errors.Is(err, context.Canceled):
		refusal = call.RefusedCancelled
	}
	a := call.Refuse(outcome, refusal, "service "+r.Service+" at its upstream: "+err.Error())
	a.UnusedRetries = run.Budget.TakeAll()
	return a
}

func (u *Runner) answer(run *runs.Run, e *exchange, end func(Result)) *call.Answer {
	response := e.response
	header := response.Header
	call.RemoveHopByHop(header)
	result := resultOfStatus(run, response.StatusCode)
	body := &endingBody{response.Body, func() { end(result) }}
	if call.HeaderFields(header) > call.MaxHeaderFields {
		_ = body.Close()
		return call.Refuse(call.Ran, call.RefusedUnreachable, "the upstream's answer has too many header fields")
	}
	return &call.Answer{
		Status:        response.StatusCode,
		Header:        header,
		Length:        bodyLength(e),
		Body:          body,
		Outcome:       call.Ran,
		UnusedRetries: run.Budget.TakeAll(),
	}
}

// bodyLength returns the length of the response body in bytes, or -1 if it is not
// known. Content-Length in a 304 and in a response to HEAD is that of a body that
// is not sent.
// Source: RFC 9110, section 8.6.
func bodyLength(e *exchange) int64 {
	if e.empty {
		return 0
	}
	return e.response.ContentLength
}

// endingBody calls end when the response body is closed.
type endingBody struct {
	io.ReadCloser
	end func()
}

// Close implements io.Closer.
func (b *endingBody) Close() error {
	err := b.ReadCloser.Close()
	b.end()
	return err
}

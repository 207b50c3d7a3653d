// Package upstream runs requests at the one upstream beside the daemon: it asks
// the admission controller for a slot and forwards by HTTP.
package upstream

import (
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

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
	leaving  atomic.Bool
	conns    *conns
}

var _ call.Server = (*Runner)(nil)

// Option changes a Runner from its defaults.
type Option func(*Runner)

// WithDialect makes a Runner speak to the upstream by another convention of
// headers than the product's own.
func WithDialect(d Dialect) Option { return func(u *Runner) { u.dialect = d } }

// WithPresence makes a Runner follow what the upstream says of itself.
func WithPresence(p *presence.Presence) Option { return func(u *Runner) { u.presence = p } }

// NewRunner returns a Runner for an upstream's base URL.
func NewRunner(base *url.URL, gate *Gate, table *runs.Table, options ...Option) *Runner {
	u := &Runner{
		base: base, gate: gate, table: table, dialect: ownDialect{}, presence: presence.Fixed(),
		conns: newConns(hostPort(base)),
	}
	for _, option := range options {
		option(u)
	}
	return u
}

// hostPort returns the address of a base URL.
func hostPort(base *url.URL) string {
	if base.Port() != "" {
		return base.Host
	}
	return net.JoinHostPort(base.Hostname(), "80")
}

// StartDraining makes the Runner refuse new requests; those in progress go on.
func (u *Runner) StartDraining() { u.leaving.Store(true) }

// InFlight returns the number of requests in progress.
func (u *Runner) InFlight() int { return u.table.Len() }

// Serve implements call.Server.
func (u *Runner) Serve(ctx context.Context, r *call.Request) *call.Answer {
	a := u.admit(ctx, r)
	a.Load = u.gate.Load()
	return a
}

// admit runs a request if the upstream takes work and there is a slot.
func (u *Runner) admit(ctx context.Context, r *call.Request) *call.Answer {
	if refusal := u.closed(r); refusal != nil {
		return refusal
	}
	pass, refusal := u.gate.Acquire(ctx, r)
	if refusal != nil {
		return u.unspent(r, refusal)
	}
	// The upstream may have left while the request waited.
	if refusal := u.closed(r); refusal != nil {
		pass.Release(ResultAbandoned)
		return refusal
	}
	return u.run(ctx, r, pass)
}

// closed refuses a request that the upstream takes no work for, or returns nil.
func (u *Runner) closed(r *call.Request) *call.Answer {
	if u.leaving.Load() {
		return u.unspent(r, call.Refuse(call.NotRun, call.RefusedDraining, "the instance takes no new work"))
	}
	switch u.presence.Now(time.Now()).Phase {
	case presence.PhaseDraining:
		return u.unspent(r, call.Refuse(call.NotRun, call.RefusedDraining, "the upstream is draining"))
	case presence.PhaseAbsent:
		return u.unspent(r, call.Refuse(call.NotRun, call.RefusedNoUpstream, "no upstream is known beside this daemon"))
	}
	return nil
}

// unspent marks the whole lent budget as unused.
func (u *Runner) unspent(r *call.Request, a *call.Answer) *call.Answer {
	a.Unspent = r.Retries
	return a
}

func (u *Runner) run(ctx context.Context, r *call.Request, pass *Slot) *call.Answer {
	ctx, cancel := until(ctx, r.Deadline)
	run := &runs.Run{
		ID: r.Run, RequestID: r.ID, Label: r.Label, Caller: r.Caller, Rank: r.Rank, Deadline: r.Deadline, Began: r.Began,
		Budget: retry.NewBudget(r.Retries), Context: ctx,
	}
	u.table.Begin(run)
	var once atomic.Bool
	end := func(as Result) {
		if once.Swap(true) {
			return
		}
		cancel()
		u.table.End(run.ID)
		pass.Release(as)
	}
	instance := u.presence.Now(time.Now()).Instance
	e, sent, err := u.forward(ctx, r, instance)
	if err == nil {
		err = u.judge(r, e, instance)
	}
	var shed *shedError
	if errors.As(err, &shed) {
		end(ResultOverloaded)
		a := call.Refuse(call.NotRun, shed.refusal, shed.detail)
		a.RetryAfter = shed.retryAfter
		a.Unspent = run.Budget.Drain()
		a.Level = u.gate.worst(run)
		return a
	}
	if err != nil {
		end(endOfError(run, err))
		a := u.failure(r, run, sent, err)
		a.Level = u.gate.worst(run)
		return a
	}
	pass.ResponseStarted()
	a := u.answer(run, e, end)
	a.Level = u.gate.worst(run)
	return a
}

// until returns a context that ends at the deadline. It sets no second timer if
// the parent ends by then anyway.
func until(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	if end, ok := ctx.Deadline(); ok && !end.After(deadline) {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline)
}

// forward sends the request to the upstream. sent reports whether the upstream may
// have got a part of it.
func (u *Runner) forward(ctx context.Context, r *call.Request, instance string) (e *exchange, sent bool, err error) {
	target, err := u.target(r)
	if err != nil {
		return nil, false, err
	}
	request := newRequest(r, target)
	u.dialect.SetHeaders(request, r, instance, time.Now())
	return u.conns.exchange(ctx, request, r.Body, !r.Idempotent)
}

// target returns the URL of a request. A target that begins with one slash goes
// out byte for byte.
func (u *Runner) target(r *call.Request) (*url.URL, error) {
	if r.Host != "" && strings.HasPrefix(r.Target, "/") && !strings.HasPrefix(r.Target, "//") {
		return &url.URL{Scheme: u.base.Scheme, Host: u.base.Host, Opaque: r.Target}, nil
	}
	target, err := u.base.Parse(r.Target)
	return target, errors.Wrap(err, "target")
}

// identity keeps net/http from sending an empty body in chunks.
var identity = []string{"identity"}

// noUserAgent keeps net/http from adding its own name.
var noUserAgent = []string{""}

// newRequest makes the request for the upstream, without its body.
func newRequest(r *call.Request, target *url.URL) *http.Request {
	request := &http.Request{
		Method:        r.Method,
		URL:           target,
		Host:          r.Service,
		Header:        maps.Clone(r.Header), // the values are only replaced
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		ContentLength: int64(len(r.Body)),
	}
	if r.Host != "" {
		request.Host = r.Host
	}
	if len(r.Body) == 0 {
		request.TransferEncoding = identity
	}
	if len(request.Header["User-Agent"]) == 0 {
		request.Header["User-Agent"] = noUserAgent
	}
	return request
}

func (u *Runner) failure(r *call.Request, run *runs.Run, sent bool, err error) *call.Answer {
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
	a.Unspent = run.Budget.Drain()
	return a
}

func (u *Runner) answer(run *runs.Run, e *exchange, end func(Result)) *call.Answer {
	response := e.response
	header := response.Header
	call.RemoveHopByHop(header)
	as := endOfStatus(run, response.StatusCode)
	body := &endingBody{response.Body, func() { end(as) }}
	if call.HeaderFields(header) > call.MaxHeaderFields {
		_ = body.Close()
		return call.Refuse(call.Ran, call.RefusedUnreachable, "the upstream's answer has too many header fields")
	}
	return &call.Answer{
		Status:  response.StatusCode,
		Header:  header,
		Length:  bodyLength(e),
		Body:    body,
		Outcome: call.Ran,
		Unspent: run.Budget.Drain(),
	}
}

// bodyLength returns the bytes that the body holds, or -1 if that is not known.
// An answer to HEAD and a 304 have the length of a body that is not sent.
// Source: RFC 9110, section 8.6.
func bodyLength(e *exchange) int64 {
	if e.empty {
		return 0
	}
	return e.response.ContentLength
}

// endingBody ends the run when the answer's body is closed.
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

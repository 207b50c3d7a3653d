// Package upstream runs requests at the one upstream beside the daemon: it asks
// the admission controller for a slot and forwards by HTTP.
package upstream

import (
	"bytes"
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"fuchsiavane.org/core/callctx"
	"fuchsiavane.org/core/retry"
	"fuchsiavane.org/node/call"
	"fuchsiavane.org/node/runs"
)

// connectTimeout bounds the opening of a connection to the upstream.
const connectTimeout = time.Second

// idleTimeout closes an idle connection before common upstreams do it, since a
// request that meets a closing connection has an unknown outcome.
const idleTimeout = 4 * time.Second

// Runner runs requests at the upstream. It is safe for concurrent use.
type Runner struct {
	base      *url.URL
	transport *http.Transport
	gate      *Gate
	table     *runs.Table
	leaving   atomic.Bool
}

var _ call.Server = (*Runner)(nil)

// NewRunner returns a Runner for an upstream's base URL.
func NewRunner(base *url.URL, gate *Gate, table *runs.Table) *Runner {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: connectTimeout}).DialContext,
		MaxIdleConnsPerHost: 256,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		// An answer's header is carried whole or not at all.
		MaxResponseHeaderBytes: call.MaxHeaderBytes,
	}
	return &Runner{base: base, transport: transport, gate: gate, table: table}
}

// Leave makes the Runner refuse new requests; those in progress go on.
func (u *Runner) Leave() { u.leaving.Store(true) }

// InFlight returns the number of requests in progress.
func (u *Runner) InFlight() int { return u.table.Len() }

// Serve implements call.Server.
func (u *Runner) Serve(ctx context.Context, r *call.Request) *call.Answer {
	if u.leaving.Load() {
		return u.unspent(r, call.Refuse(call.NotRun, call.RefusedDraining, "the instance takes no new work"))
	}
	pass, refusal := u.gate.Enter(ctx, r)
	if refusal != nil {
		return u.unspent(r, refusal)
	}
	return u.run(ctx, r, pass)
}

// unspent marks the whole lent budget as unused.
func (u *Runner) unspent(r *call.Request, a *call.Answer) *call.Answer {
	a.Unspent = r.Retries
	return a
}

func (u *Runner) run(ctx context.Context, r *call.Request, pass *Pass) *call.Answer {
	ctx, cancel := until(ctx, r.Deadline)
	run := &runs.Run{
		ID: r.Run, RequestID: r.ID, Caller: r.Caller, Rank: r.Rank, Deadline: r.Deadline,
		Budget: retry.NewBudget(r.Retries), Context: ctx,
	}
	u.table.Begin(run)
	var once atomic.Bool
	end := func(as End) {
		if once.Swap(true) {
			return
		}
		cancel()
		u.table.End(run.ID)
		pass.Leave(as)
	}
	response, sent, err := u.forward(ctx, r)
	if err != nil {
		end(endOfError(run, err))
		a := u.failure(r, run, sent, err)
		a.Level = u.gate.worst(run)
		return a
	}
	pass.Answered()
	a := u.answer(run, response, end)
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

// forward sends the request to the upstream. sent reports whether a byte of it
// may have been given to the upstream.
func (u *Runner) forward(ctx context.Context, r *call.Request) (response *http.Response, sent bool, err error) {
	target, err := u.base.Parse(r.Target)
	if err != nil {
		return nil, false, errors.Wrap(err, "target")
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	response, err = u.transport.RoundTrip(newRequest(ctx, r, target))
	return response, connected.Load(), err
}

// identity keeps the transport from sending an empty body in chunks.
var identity = []string{"identity"}

// noUserAgent keeps the transport from adding its own name.
var noUserAgent = []string{""}

// newRequest makes the request for the upstream. Its body is never nil and has
// no GetBody: the transport would otherwise send a GET, and any request with an
// Idempotency-Key, a second time by itself when a kept connection breaks.
func newRequest(ctx context.Context, r *call.Request, target *url.URL) *http.Request {
	request := &http.Request{
		Method:        r.Method,
		URL:           target,
		Host:          r.Service,
		Header:        maps.Clone(r.Header), // the values are only replaced
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Body:          io.NopCloser(bytes.NewReader(r.Body)),
		ContentLength: int64(len(r.Body)),
	}
	if len(r.Body) == 0 {
		request.TransferEncoding = identity
	}
	if len(request.Header["User-Agent"]) == 0 {
		request.Header["User-Agent"] = noUserAgent
	}
	request.Header.Set(callctx.Header, callctx.Context{
		RequestID: r.ID, Run: r.Run, Rank: r.Rank, Caller: r.Caller, Deadline: r.Deadline,
	}.Encode())
	if r.Key != "" {
		request.Header.Set(call.HeaderKey, r.Key)
	}
	return request.WithContext(ctx)
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

func (u *Runner) answer(run *runs.Run, response *http.Response, end func(End)) *call.Answer {
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
		Length:  bodyLength(response),
		Body:    body,
		Outcome: call.Ran,
		Unspent: run.Budget.Drain(),
	}
}

// bodyLength returns the bytes that the body holds, or -1 if that is not known.
// An answer to HEAD and a 304 have the length of a body that is not sent.
// Source: RFC 9110, section 8.6.
func bodyLength(response *http.Response) int64 {
	if response.Body == http.NoBody {
		return 0
	}
	return response.ContentLength
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

// Package upstream runs requests at the one upstream beside the daemon: it asks
// the admission controller for a slot and forwards by HTTP.
package upstream

import (
	"bytes"
	"context"
	"io"
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

// Runner runs requests at the upstream. It is safe for concurrent use.
type Runner struct {
	base    *url.URL
	client  *http.Client
	gate    *Gate
	table   *runs.Table
	leaving atomic.Bool
}

var _ call.Server = (*Runner)(nil)

// NewRunner returns a Runner for an upstream's base URL.
func NewRunner(base *url.URL, gate *Gate, table *runs.Table) *Runner {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: connectTimeout}).DialContext,
		MaxIdleConnsPerHost: 256,
		IdleConnTimeout:     90 * time.Second,
		DisableCompression:  true,
	}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Runner{
		base:   base,
		client: &http.Client{Transport: transport, CheckRedirect: noRedirect},
		gate:   gate,
		table:  table,
	}
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
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	run := &runs.Run{
		ID: r.Run, RequestID: r.ID, Caller: r.Caller, Rank: r.Rank, Deadline: r.Deadline,
		Budget: retry.NewBudget(r.Retries), Context: ctx,
	}
	u.table.Begin(run)
	var once atomic.Bool
	end := func(overloaded bool) {
		if once.Swap(true) {
			return
		}
		cancel()
		u.table.End(run.ID)
		pass.Leave(overloaded)
	}
	response, sent, err := u.forward(ctx, r, run)
	if err != nil {
		end(errors.Is(err, context.DeadlineExceeded))
		return u.failure(r, run, sent, err)
	}
	return u.answer(run, response, end)
}

// forward sends the request to the upstream. sent reports whether a byte of it
// may have been given to the upstream.
func (u *Runner) forward(ctx context.Context, r *call.Request, run *runs.Run) (response *http.Response, sent bool, err error) {
	target, err := u.base.Parse(r.Target)
	if err != nil {
		return nil, false, errors.Wrap(err, "target")
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	request, err := http.NewRequestWithContext(ctx, r.Method, target.String(), bytes.NewReader(r.Body))
	if err != nil {
		return nil, false, errors.Wrap(err, "request")
	}
	request.Header = r.Header.Clone()
	request.Host = r.Service
	request.Header.Set(callctx.Header, callctx.Context{
		RequestID: r.ID, Run: run.ID, Rank: r.Rank, Caller: r.Caller, Deadline: r.Deadline,
	}.Encode())
	if r.Key != "" {
		request.Header.Set(call.HeaderKey, r.Key)
	}
	if !r.Idempotent {
		// Without GetBody the transport can't send the request a second time.
		request.GetBody = nil
	}
	response, err = u.client.Do(request)
	return response, connected.Load(), err
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

func (u *Runner) answer(run *runs.Run, response *http.Response, end func(bool)) *call.Answer {
	header := response.Header
	call.RemoveHopByHop(header)
	overloaded := response.StatusCode == http.StatusServiceUnavailable
	return &call.Answer{
		Status:  response.StatusCode,
		Header:  header,
		Length:  response.ContentLength,
		Body:    &endingBody{response.Body, func() { end(overloaded) }},
		Outcome: call.Ran,
		Unspent: run.Budget.Drain(),
	}
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

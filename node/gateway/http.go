package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"fuchsiavane.org/core/callctx"
	"fuchsiavane.org/core/retry"
	"fuchsiavane.org/core/settings"
	"fuchsiavane.org/node/bodies"
	"fuchsiavane.org/node/call"
	"fuchsiavane.org/node/event"
	"fuchsiavane.org/node/problem"
	"fuchsiavane.org/node/runs"
	"fuchsiavane.org/node/suspect"
)

// maxKeyBytes is the maximum length of an idempotency key, in bytes.
const maxKeyBytes = 128

// maxNameBytes is the maximum length of the name of a service, caller or rank, in bytes.
const maxNameBytes = 128

// prepared is a validated request with its settings and retry budget.
type prepared struct {
	ctx     context.Context
	request *call.Request
	values  settings.Values
	budget  *retry.Budget
	// parent is the run that makes the call; nil if the request enters the fleet here.
	parent       *runs.Run
	keyGenerated bool
	// held is the memory of the request's body, which release frees.
	held *bodies.Reservation
}

// release frees what the request holds after its call has ended.
func (p *prepared) release() { p.held.Release() }

// CallerPort returns the handler of the caller port, at which callers address services
// by name.
func (g *Gateway) CallerPort() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { g.handle(w, r, g.prepareFromCaller) })
}

// LocalPort returns the handler of the local port, at which the upstream makes its own
// calls.
func (g *Gateway) LocalPort() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { g.handle(w, r, g.prepareFromUpstream) })
}

func (g *Gateway) handle(w http.ResponseWriter, r *http.Request, prepare func(*http.Request) (*prepared, *call.Answer)) {
	start := time.Now()
	p, refusal := prepare(r)
	if refusal != nil {
		g.Log.Log(event.RequestMalformed).Str("remote", r.RemoteAddr).Str("detail", refusal.Detail).Msg("request refused")
		if isBodyRefusal(refusal) {
			refuseBody(w, r, func() { problem.Write(w, refusal) })
			return
		}
		problem.Write(w, refusal)
		return
	}
	defer p.release()
	answer := g.callIfAdmitted(p)
	defer answer.Body.Close()
	if p.keyGenerated {
		w.Header().Set(call.HeaderKey, p.request.Key)
	}
	g.Observer.ObserveCall(p.request.Service, p.request.Caller, p.request.Rank, answer.Outcome, answer.Refusal, time.Since(start))
	if answer.Refusal != call.RefusedNone {
		problem.Write(w, answer)
		return
	}
	answer.Header.Set(call.HeaderOutcome, string(answer.Outcome))
	copyResponse(w, r, answer)
}

// copyResponse writes the header, status and body of an upstream's response. If the
// body is cut short, it aborts the connection, so that the response never looks
// complete.
func copyResponse(w http.ResponseWriter, r *http.Request, answer *call.Answer) {
	header := w.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	if answer.Length >= 0 && header.Get("Content-Length") == "" {
		header.Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	w.WriteHeader(answer.Status)
	if _, err := io.Copy(w, answer.Body); err != nil {
		if !r.ProtoAtLeast(1, 1) {
			resetConnection(w)
		}
		panic(http.ErrAbortHandler)
	}
}

// resetConnection resets the connection of a response. A response of HTTP/1.0 without a
// length would seem complete if its connection were closed.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// prepareFromCaller prepares a request from the caller port.
func (g *Gateway) prepareFromCaller(r *http.Request) (*prepared, *call.Answer) {
	r.Header.Del(callctx.Header)
	request := &call.Request{ID: uuid.NewString(), Caller: r.Header.Get(call.HeaderCaller), Timestamp: time.Now()}
	p, err := g.prepare(r, request, r.Header.Get(call.HeaderRank))
	if err != nil {
		return nil, badRequest(err)
	}
	p.ctx = r.Context()
	p.budget = retry.NewBudget(p.values.Attempts - 1)
	return p, nil
}

// prepareFromUpstream prepares a call that this daemon's upstream makes, either as
// part of a run or independently.
func (g *Gateway) prepareFromUpstream(r *http.Request) (*prepared, *call.Answer) {
	encoded := r.Header.Get(callctx.Header)
	if encoded == "" {
		return g.prepareFromCaller(r)
	}
	parent, err := callctx.Decode(encoded)
	if err != nil {
		return nil, badRequest(err)
	}
	r.Header.Del(callctx.Header)
	request := &call.Request{ID: parent.RequestID, Caller: parent.Caller, Deadline: parent.Deadline, Nested: true}
	p, err := g.prepare(r, request, lessUrgent(g.Settings.Current().Document, parent.Rank, r.Header.Get(call.HeaderRank)))
	if err != nil {
		return nil, badRequest(err)
	}
	p.ctx = r.Context()
	p.budget = retry.NewBudget(0)
	if run := g.Runs.Find(parent.Run); run != nil {
		p.parent = run
		p.budget = run.Budget
		p.request.Timestamp = run.Timestamp
		p.request.Repeat = run.Repeat
		ctx, cancel := context.WithCancel(r.Context())
		context.AfterFunc(run.Context, cancel)
		p.ctx = ctx
	}
	return p, nil
}

// lessUrgent returns the less urgent of two rank names.
func lessUrgent(d *settings.Document, a, b string) string {
	if d.RankIndex(b) > d.RankIndex(a) {
		return b
	}
	return a
}

// prepare fills in the parts of a request that are common to both ports.
func (g *Gateway) prepare(r *http.Request, request *call.Request, rank string) (*prepared, error) {
	if err := checkRequest(r, request); err != nil {
		return nil, err
	}
	body, held, err := g.readBody(r)
	if err != nil {
		return nil, err
	}
	request.Service = serviceOf(r)
	request.Method = r.Method
	request.RequestURI = r.URL.RequestURI()
	request.Path = r.URL.Path
	request.Body = body
	request.Key = r.Header.Get(call.HeaderKey)
	values := g.Settings.Current().Document.Resolve(request.Service, r.Method, r.URL.Path, rank)
	request.Rank = values.Rank
	request.Idempotent = values.IsIdempotent(r.Method)
	if request.Deadline, err = earliestDeadline(r, request.Deadline, values.Timeout); err != nil {
		held.Release()
		return nil, err
	}
	p := &prepared{request: request, values: values, held: held}
	if !request.Idempotent && request.Key == "" {
		request.Key = uuid.Must(uuid.NewV7()).String()
		p.keyGenerated = true
		request.KeyGenerated = true
	}
	request.Header = forwardHeader(r.Header)
	return p, nil
}

func checkRequest(r *http.Request, request *call.Request) error {
	if err := checkSize(r); err != nil {
		return err
	}
	if serviceOf(r) == "" {
		return errors.New("no service: set the Host header or " + call.HeaderService)
	}
	names := []struct{ name, value string }{
		{"service", serviceOf(r)},
		{call.HeaderCaller, request.Caller},
		{call.HeaderRank, r.Header.Get(call.HeaderRank)},
	}
	for _, n := range names {
		if len(n.value) > maxNameBytes {
			return errors.Errorf("%s has %d bytes, more than %d", n.name, len(n.value), maxNameBytes)
		}
	}
	if n := len(r.Header.Get(call.HeaderKey)); n > maxKeyBytes {
		return errors.Errorf("%s has %d bytes, more than %d", call.HeaderKey, n, maxKeyBytes)
	}
	if r.Method == http.MethodConnect || r.Header.Get("Upgrade") != "" {
		return errors.New("CONNECT and protocol upgrades are not carried")
	}
	return nil
}

// serviceOf returns the requested service: the service header, or else the Host header
// without its port.
func serviceOf(r *http.Request) string {
	if s := r.Header.Get(call.HeaderService); s != "" {
		return s
	}
	host, _, _ := strings.Cut(r.Host, ":")
	return host
}

// earliestDeadline returns the earliest of the parent's deadline and those that the
// caller's timeout and the settings' timeout give.
func earliestDeadline(r *http.Request, parent time.Time, timeout time.Duration) (time.Time, error) {
	if text := r.Header.Get(call.HeaderTimeout); text != "" {
		ms, err := strconv.ParseInt(text, 10, 32)
		if err != nil || ms <= 0 {
			return time.Time{}, errors.Errorf("%s %q is not a whole number of milliseconds above 0", call.HeaderTimeout, text)
		}
		timeout = min(timeout, time.Duration(ms)*time.Millisecond)
	}
	end := time.Now().Add(timeout)
	if !parent.IsZero() && parent.Before(end) {
		return parent, nil
	}
	return end, nil
}

func forwardHeader(from http.Header) http.Header {
	header := from.Clone()
	call.RemoveHopByHop(header)
	header.Del(call.HeaderService)
	header.Del(suspect.HeaderSuspect)
	return header
}

func badRequest(err error) *call.Answer {
	if errors.Is(err, errHeaderTooLarge) {
		return call.Refuse(call.NotRun, call.RefusedHeaderTooLarge, err.Error())
	}
	if errors.Is(err, errBodyTooLarge) {
		return call.Refuse(call.NotRun, call.RefusedBodyTooLarge, err.Error())
	}
	if errors.Is(err, errNoBodyMemory) {
		a := call.Refuse(call.NotRun, call.RefusedOverload, err.Error())
		a.RetryAfter = bodyRetryAfter
		return a
	}
	return call.Refuse(call.NotRun, call.RefusedBadRequest, err.Error())
}

// cancellingBody cancels the call's context when the body is closed.
type cancellingBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the body and cancels the call's context.
func (b *cancellingBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}

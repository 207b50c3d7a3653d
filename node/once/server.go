package once

import (
	"context"
	"io"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	core "fuchsiavane.org/core/once"
	"fuchsiavane.org/node/call"
)

// HeaderOwner is the header of a RefusedNotOwner answer that names the instance
// which owns the key, if it is known.
const HeaderOwner = "Fuchsiavane-Owner"

// Server runs each key at most once at the next Server. The outcome in its answers
// is that of the key: not-run means that no run of the key ever reached an
// upstream. It is safe for concurrent use.
type Server struct {
	claims *ClaimManager
	opaque *opaqueKeys
	next   call.Server
}

var _ call.Server = (*Server)(nil)

// NewServer returns a Server in front of next.
func NewServer(claims *ClaimManager, next call.Server) *Server {
	return &Server{claims, newOpaqueKeys(claims.config.Store, claims.config.Service, claims.config.Limits.Keys), next}
}

// Serve implements call.Server.
func (s *Server) Serve(ctx context.Context, r *call.Request) *call.Answer {
	if r.Idempotent || r.Key == "" {
		return s.next.Serve(ctx, r)
	}
	key, err := core.ParseKey(r.Key)
	if err != nil {
		return withUnusedRetries(r, s.opaque.serve(ctx, r, s.next))
	}
	k := s.claims
	k.mu.Lock()
	verdict, entry := k.owner.Begin(key, fingerprint(r))
	k.counters.add(verdict)
	var run *sharedRun
	if verdict == core.Run {
		entry.Value = newSharedRun()
	}
	if entry != nil {
		run = entry.Value
	}
	k.mu.Unlock()
	switch verdict {
	case core.Run:
		end := func(f *sharedRun) { k.end(entry, f) }
		return runFirst(ctx, r, s.next, run, end)
	case core.Join, core.Replay:
		return withUnusedRetries(r, joinRun(ctx, run))
	case core.Duplicate:
		return withUnusedRetries(r, refuseDuplicate("the key has run, or may have run, and its answer is not kept, or it came with another request"))
	case core.TooOld:
		return withUnusedRetries(r, refuseDuplicate("the key is older than the memory of its owner"))
	case core.Full:
		return withUnusedRetries(r, refuseForNow(call.NotRun, call.RefusedOverload, "no more keys can be remembered"))
	}
	return withUnusedRetries(r, k.refuseNotHeld(key))
}

func (c *Counters) add(v core.Verdict) {
	switch v {
	case core.Run:
		c.Runs++
	case core.Join:
		c.Joins++
	case core.Replay:
		c.Replays++
	case core.Duplicate, core.TooOld:
		c.Duplicates++
	default:
		c.Refused++
	}
}

// withUnusedRetries marks all of the retry budget lent with the request as unused.
func withUnusedRetries(r *call.Request, a *call.Answer) *call.Answer {
	a.UnusedRetries = r.RetryBudget
	return a
}

// fingerprint returns a hash of the request, by which a key that is reused with
// another request is detected.
func fingerprint(r *call.Request) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, text := range []string{r.Method, r.RequestURI} {
		_, _ = d.WriteString(text)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(r.Body)
	return d.Sum64()
}

// runFirst runs the first request with a key. If its caller abandons it, the run
// continues until the deadline, so that a resend gets its answer.
func runFirst(ctx context.Context, r *call.Request, next call.Server, run *sharedRun, end func(*sharedRun)) *call.Answer {
	abandoned := make(chan struct{})
	answers := make(chan *call.Answer, 1)
	go func() {
		running, cancel := context.WithDeadline(context.WithoutCancel(ctx), r.Deadline)
		answer := next.Serve(running, r)
		run.record(answer)
		end(run)
		close(run.done)
		if run.stream == nil {
			cancel()
			answers <- run.answer()
			return
		}
		run.stream.Body = &cancellingBody{run.stream.Body, cancel}
		answers <- run.stream // does not block: the buffer holds one answer
		select {
		case <-abandoned:
			closeUntaken(answers)
		case <-running.Done():
		}
	}()
	select {
	case a := <-answers:
		return a
	case <-ctx.Done():
		close(abandoned)
		return refuseAbandoned(ctx)
	}
}

// closeUntaken closes an answer that was not received.
func closeUntaken(own <-chan *call.Answer) {
	select {
	case a := <-own:
		_ = a.Body.Close()
	default:
	}
}

// joinRun waits for the run of another request with the same key and returns its
// answer.
func joinRun(ctx context.Context, run *sharedRun) *call.Answer {
	select {
	case <-run.done:
	case <-ctx.Done():
		return refuseAbandoned(ctx)
	}
	if run.stream != nil {
		return refuseDuplicate("the key has run, and its answer is too large to be kept")
	}
	return run.answer()
}

func refuseAbandoned(ctx context.Context) *call.Answer {
	refusal := call.RefusedCancelled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		refusal = call.RefusedDeadline
	}
	return call.Refuse(call.Unknown, refusal, "given up while the key runs")
}

// end records the outcome of a run with the owner.
func (k *ClaimManager) end(entry *core.Entry[*sharedRun], run *sharedRun) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case run.head.Outcome == call.NotRun:
		k.owner.EndNotRun(entry)
	case run.replayable():
		k.owner.EndFinished(entry, run.size())
	default:
		k.owner.EndUnknown(entry)
	}
}

// refuseNotHeld returns the refusal of a key that this daemon doesn't hold.
func (k *ClaimManager) refuseNotHeld(key core.Key) *call.Answer {
	k.mu.Lock()
	holder, position := k.table.Find(key.Shard(), key.Timestamp())
	read := k.read
	live := slices.Contains(k.live, holder.Instance)
	k.mu.Unlock()
	if position == core.PositionBefore && read {
		return refuseDuplicate("the key is older than its owner's interval")
	}
	k.requestRefresh() // the table may be outdated
	a := refuseForNow(call.Unknown, call.RefusedNotOwner, "another instance owns the key")
	if (position == core.PositionHeld || live) && holder.Instance != k.me.Instance {
		a.Header.Set(HeaderOwner, holder.Instance)
		return a
	}
	if holder != k.me && position == core.PositionHeld {
		return refuseDuplicate("the key belongs to a former run of this instance, which has forgotten it")
	}
	a.Detail = "no instance owns the key now"
	return a
}

// cancellingBody cancels the run's context when the body is closed.
type cancellingBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (c *cancellingBody) Close() error {
	defer c.cancel()
	return c.ReadCloser.Close()
}

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
// to ask, if one is known.
const HeaderOwner = "Fuchsiavane-Owner"

// Server lets each key run at most once at the next Server. What it answers
// speaks of the key: not-run means that no run of the key was ever given to an
// upstream. It is safe for concurrent use.
type Server struct {
	keeper *ClaimManager
	opaque *opaqueKeys
	next   call.Server
}

var _ call.Server = (*Server)(nil)

// NewServer returns a Server in front of next.
func NewServer(keeper *ClaimManager, next call.Server) *Server {
	return &Server{keeper, newOpaqueKeys(keeper.config.Store, keeper.config.Service, keeper.config.Limits.Keys), next}
}

// Serve implements call.Server.
func (s *Server) Serve(ctx context.Context, r *call.Request) *call.Answer {
	if r.Idempotent || r.Key == "" {
		return s.next.Serve(ctx, r)
	}
	key, err := core.ParseKey(r.Key)
	if err != nil {
		return unspent(r, s.opaque.serve(ctx, r, s.next))
	}
	k := s.keeper
	k.mu.Lock()
	verdict, entry := k.owner.Begin(key, print(r))
	k.counters.add(verdict)
	var f *flight
	if verdict == core.Run {
		entry.Value = newFlight()
	}
	if entry != nil {
		f = entry.Value
	}
	k.mu.Unlock()
	switch verdict {
	case core.Run:
		end := func(f *flight) { k.end(entry, f) }
		return lead(ctx, r, s.next, f, end)
	case core.Join, core.Replay:
		return unspent(r, follow(ctx, f))
	case core.Duplicate:
		return unspent(r, repeat("the key has run, or may have run, and its answer is not kept, or it came with another request"))
	case core.TooOld:
		return unspent(r, repeat("the key is older than the memory of its owner"))
	case core.Full:
		return unspent(r, later(call.NotRun, call.RefusedOverload, "no more keys can be remembered"))
	}
	return unspent(r, k.elsewhere(key))
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

// unspent marks the whole lent budget as unused.
func unspent(r *call.Request, a *call.Answer) *call.Answer {
	a.UnusedRetries = r.RetryBudget
	return a
}

// print returns the fingerprint by which a key that comes with another request
// is told apart.
func print(r *call.Request) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, text := range []string{r.Method, r.RequestURI} {
		_, _ = d.WriteString(text)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(r.Body)
	return d.Sum64()
}

// lead runs a request for its first arrival. The run goes on when the arrival
// gives up, until the deadline, so that a resend gets its answer.
func lead(ctx context.Context, r *call.Request, next call.Server, f *flight, end func(*flight)) *call.Answer {
	left := make(chan struct{})
	own := make(chan *call.Answer, 1)
	go func() {
		running, cancel := context.WithDeadline(context.WithoutCancel(ctx), r.Deadline)
		answer := next.Serve(running, r)
		f.take(answer)
		end(f)
		close(f.done)
		if f.stream == nil {
			cancel()
			own <- f.answer()
			return
		}
		f.stream.Body = &cancelling{f.stream.Body, cancel}
		own <- f.stream // has room: nothing else is sent
		select {
		case <-left:
			drop(own)
		case <-running.Done():
		}
	}()
	select {
	case a := <-own:
		return a
	case <-ctx.Done():
		close(left)
		return givenUp(ctx)
	}
}

// drop closes an answer that nobody took.
func drop(own <-chan *call.Answer) {
	select {
	case a := <-own:
		_ = a.Body.Close()
	default:
	}
}

// follow waits for a run and shares its answer.
func follow(ctx context.Context, f *flight) *call.Answer {
	select {
	case <-f.done:
	case <-ctx.Done():
		return givenUp(ctx)
	}
	if f.stream != nil {
		return repeat("the key has run, and its answer is too large to be kept")
	}
	return f.answer()
}

func givenUp(ctx context.Context) *call.Answer {
	refusal := call.RefusedCancelled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		refusal = call.RefusedDeadline
	}
	return call.Refuse(call.Unknown, refusal, "given up while the key runs")
}

// end tells the owner what became of a run.
func (k *ClaimManager) end(entry *core.Entry[*flight], f *flight) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case f.head.Outcome == call.NotRun:
		k.owner.EndNotRun(entry)
	case f.kept():
		k.owner.EndFinished(entry, f.size())
	default:
		k.owner.EndUnknown(entry)
	}
}

// elsewhere answers a key that this daemon doesn't hold.
func (k *ClaimManager) elsewhere(key core.Key) *call.Answer {
	k.mu.Lock()
	holder, place := k.table.Find(key.Shard(), key.Timestamp())
	read := k.read
	live := slices.Contains(k.live, holder.Instance)
	k.mu.Unlock()
	if place == core.PositionBefore && read {
		return repeat("the key is older than its owner's interval")
	}
	k.ask() // the table may be old
	a := later(call.Unknown, call.RefusedNotOwner, "another instance owns the key")
	if (place == core.PositionHeld || live) && holder.Instance != k.me.Instance {
		a.Header.Set(HeaderOwner, holder.Instance)
		return a
	}
	if holder != k.me && place == core.PositionHeld {
		return repeat("the key belongs to a former run of this instance, which has forgotten it")
	}
	a.Detail = "no instance owns the key now"
	return a
}

// cancelling releases the run's context when the body is closed.
type cancelling struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (c *cancelling) Close() error {
	defer c.cancel()
	return c.ReadCloser.Close()
}

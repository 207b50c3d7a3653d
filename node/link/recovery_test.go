package link

import (
	"bytes"
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"fuchsiavane.org/node/call"
	"fuchsiavane.org/node/wire"
)

// held is a server that counts its runs and answers when told to.
type held struct {
	runs    atomic.Int64
	begun   chan struct{}
	release chan struct{}
	answer  []byte
}

func newHeld(answer []byte) *held {
	return &held{begun: make(chan struct{}, 100), release: make(chan struct{}), answer: answer}
}

func (h *held) Serve(ctx context.Context, _ *call.Request) *call.Answer {
	h.runs.Add(1)
	h.begun <- struct{}{}
	select {
	case <-h.release:
		return answerWith(h.answer, int64(len(h.answer)))
	case <-ctx.Done():
		return call.Refuse(call.Unknown, call.RefusedCancelled, ctx.Err().Error())
	}
}

// result is what Do returned.
type result struct {
	answer *call.Answer
	err    error
}

func doAsync(p *Pool, addr string, r *call.Request) <-chan result {
	done := make(chan result, 1)
	go func() {
		answer, err := p.Do(context.Background(), addr, ClassUrgent, r)
		done <- result{answer, err}
	}()
	return done
}

var breakages = []struct {
	name  string
	apply func(*relay)
}{
	{"silent in both directions", func(r *relay) { r.freeze(true, true) }},
	{"silent towards the serving side", func(r *relay) { r.freeze(true, false) }},
	{"silent towards the calling side", func(r *relay) { r.freeze(false, true) }},
	{"cut", func(r *relay) { r.cut() }},
}

func TestAnswerIsFetchedWhenTheLinkBreaksWhileTheRequestRuns(t *testing.T) {
	for _, b := range breakages {
		t.Run(b.name, func(t *testing.T) {
			is := is.New(t)
			server := newHeld([]byte("ruled"))
			p := newPeer(t, "k", server)
			r := newRelay(t, p.addr())
			done := doAsync(newTestPool(t, "k"), r.addr(), newRequest(nil))
			<-server.begun
			b.apply(r)
			eventually(t, "resumed", func() bool { return p.listener.Stats().Resumed == 1 })
			close(server.release)
			got := <-done
			is.NoErr(got.err)
			is.Equal(content(t, got.answer), "ruled")
			is.Equal(got.answer.Outcome, call.Ran)
			is.Equal(server.runs.Load(), int64(1))
		})
	}
}

func TestAnswerIsFetchedWhenItWasSentIntoSilence(t *testing.T) {
	is := is.New(t)
	server := newHeld([]byte("ruled"))
	p := newPeer(t, "k", server)
	r := newRelay(t, p.addr())
	done := doAsync(newTestPool(t, "k"), r.addr(), newRequest(nil))
	<-server.begun
	r.freeze(false, true)
	close(server.release)
	got := <-done
	is.NoErr(got.err)
	is.Equal(content(t, got.answer), "ruled")
	is.Equal(server.runs.Load(), int64(1))
	eventually(t, "kept answers are settled", func() bool { return p.listener.Stats().KeptAnswers == 0 })
	is.Equal(p.listener.Stats().KeptBytes, 0)
}

func TestLongAnswerGoesOnWhenTheLinkBreaks(t *testing.T) {
	for _, b := range breakages {
		t.Run(b.name, func(t *testing.T) {
			is := is.New(t)
			archive := make([]byte, 3<<20)
			random := rand.New(rand.NewPCG(1, 1))
			for i := range archive {
				archive[i] = byte(random.Uint32())
			}
			server := newHeld(archive)
			close(server.release)
			p := newPeer(t, "k", server)
			r := newRelay(t, p.addr())
			got := <-doAsync(newTestPool(t, "k"), r.addr(), newRequest(nil))
			is.NoErr(got.err)
			head := make([]byte, 1<<20)
			n, err := got.answer.Body.Read(head)
			is.NoErr(err)
			b.apply(r)
			rest := content(t, got.answer)
			is.True(bytes.Equal(append(head[:n], rest...), archive))
			is.Equal(server.runs.Load(), int64(1))
		})
	}
}

// TestRequestThatNeverArrivedIsNotRun also shows that the request does not run
// later, when what the silent connection held arrives after all.
func TestRequestThatNeverArrivedIsNotRun(t *testing.T) {
	is := is.New(t)
	server := newHeld(nil)
	close(server.release)
	p := newPeer(t, "k", server)
	r := newRelay(t, p.addr())
	pool := newTestPool(t, "k")
	first := <-doAsync(pool, r.addr(), newRequest(nil))
	is.NoErr(first.err)
	is.NoErr(first.answer.Body.Close())
	r.freeze(true, true)
	got := <-doAsync(pool, r.addr(), newRequest([]byte("ruling")))
	is.NoErr(got.err)
	is.Equal(got.answer.Outcome, call.NotRun)
	is.Equal(got.answer.UnusedRetries, 2)
	is.Equal(p.listener.Stats().NeverArrived, uint64(1))
	r.thaw()
	again := <-doAsync(pool, r.addr(), newRequest(nil))
	is.NoErr(again.err)
	is.Equal(server.runs.Load(), int64(2)) // the first and the last
}

func TestRequestCutInItsBodyIsNotRun(t *testing.T) {
	is := is.New(t)
	server := newHeld(nil)
	p := newPeer(t, "k", server)
	pool := newTestPool(t, "k")
	link, err := pool.get(context.Background(), target{p.addr(), ClassUrgent})
	is.NoErr(err)
	// Before its handshake ends the serving side knows nothing of the link.
	eventually(t, "the session", func() bool {
		p.listener.keeper.mu.Lock()
		defer p.listener.keeper.mu.Unlock()
		return len(p.listener.keeper.sessions) == 1
	})
	s := newClientStream(newRequest(nil))
	is.NoErr(link.open(s))
	head := requestHead(newRequest(nil), time.Now())
	head.Run = s.run
	is.NoErr(link.conn.send(&wire.Frame{Type: wire.TypeRequest, Stream: s.origin, Request: head, Data: []byte("half")}))
	link.conn.close(errors.New("broken by the test"))
	select {
	case answer := <-s.answer:
		is.Equal(answer.Outcome, call.NotRun)
	case <-s.lost:
		t.Fatal(s.lostWhy)
	}
	is.Equal(server.runs.Load(), int64(0))
}

func TestAnotherProcessAtTheAddressDoesNotKnow(t *testing.T) {
	is := is.New(t)
	server := newHeld(nil)
	p := newPeer(t, "k", server)
	r := newRelay(t, p.addr())
	done := doAsync(newTestPool(t, "k"), r.addr(), newRequest(nil))
	<-server.begun
	other := newPeer(t, "k", newHeld(nil))
	r.mu.Lock()
	r.to = other.addr()
	r.mu.Unlock()
	r.cut()
	got := <-done
	var failure *Error
	is.True(errors.As(got.err, &failure))
	is.True(failure.Sent)
	is.Equal(other.listener.Stats().NotKnown, uint64(1))
}

func TestAnswersEvictedAreNotKnown(t *testing.T) {
	is := is.New(t)
	p := newPeer(t, "k", call.ServerFunc(echo))
	k := p.listener.keeper
	s := newServing(nil, []byte("session"), ClassUrgent, nil, k)
	close(s.ended)
	s.conn = &conn{err: ErrClosed, pending: &bytes.Buffer{}}
	k.opened(s)
	const answers = 2 * maxKeptBytes / (wire.MaxChunk + keptOverhead)
	for id := uint64(1); id <= answers; id++ {
		stream := &serverStream{
			request: newRequest(nil), out: newOutbox(s.conn, id),
			origin: s, originID: id, at: s, id: id, started: true,
		}
		is.NoErr(k.add(s, id, stream))
		stream.out.answer(&wire.Answer{}, make([]byte, wire.MaxChunk), true)
		k.finish(stream)
	}
	stats := p.listener.Stats()
	is.True(stats.KeptBytes <= maxKeptBytes)
	is.True(stats.Evicted > 0)
	_, verdict := k.lookUp(&wire.Resume{Run: "gone", Session: []byte("session"), Stream: 1, Attempt: 1})
	is.Equal(verdict, verdictUnknown)
	_, verdict = k.lookUp(&wire.Resume{Run: "never", Session: []byte("session"), Stream: answers + 1, Attempt: 1})
	is.Equal(verdict, verdictNeverArrived)
	k.settle(s, answers+1)
	is.Equal(p.listener.Stats().KeptBytes, 0)
}

// TestShutdownCutsNothing stops a peer while calls are made without pause.
func TestShutdownCutsNothing(t *testing.T) {
	is := is.New(t)
	p := newPeer(t, "k", call.ServerFunc(echo))
	pool := newTestPool(t, "k")
	var group sync.WaitGroup
	var answered, notSent, cut atomic.Int64
	stop := make(chan struct{})
	for range 8 {
		group.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				answer, err := pool.Do(context.Background(), p.addr(), ClassUrgent, newRequest([]byte("x")))
				var failure *Error
				switch {
				case err == nil && content(t, answer) == "x":
					answered.Add(1)
				case errors.As(err, &failure) && !failure.Sent:
					notSent.Add(1)
					time.Sleep(time.Millisecond)
				default:
					cut.Add(1)
				}
			}
		})
	}
	eventually(t, "calls", func() bool { return answered.Load() > 100 })
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	p.listener.Shutdown(ctx)
	is.NoErr(ctx.Err())
	eventually(t, "refusals", func() bool { return notSent.Load() > 10 })
	close(stop)
	group.Wait()
	is.Equal(cut.Load(), int64(0))
}

// TestSilentPeerGetsNothingNew plays a machine that loses power: a link whose ping
// has no answer takes no new request and says that none was sent; an idempotent
// request on it is given up soon after the link ends, and another one waits for
// what the peer knows of it.
func TestSilentPeerGetsNothingNew(t *testing.T) {
	is := is.New(t)
	timing := testTiming
	timing.Doubt = timing.Heartbeat
	timing.Repeatable = 50 * time.Millisecond
	timing.Recovery = patience
	server := newHeld(nil)
	p := newPeer(t, "k", server)
	r := newRelay(t, p.addr())
	pool := newTimedPool(t, "k", timing)
	repeatable := newRequest(nil)
	repeatable.Idempotent = true
	given, kept := doAsync(pool, r.addr(), repeatable), doAsync(pool, r.addr(), newRequest(nil))
	<-server.begun
	<-server.begun
	r.deaf.Store(true)
	r.freeze(true, true)
	eventually(t, "doubted", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		_, err := pool.Do(ctx, r.addr(), ClassUrgent, newRequest(nil))
		var failure *Error
		return errors.As(err, &failure) && !failure.Sent && errors.Is(err, errDoubtful)
	})
	got := <-given
	is.True(errors.Is(got.err, ErrSilent))
	select {
	case <-kept:
		t.Fatal("a request that must not run twice was given up")
	case <-time.After(4 * timing.Repeatable):
	}
}

// TestDialThatHangsIsNotAwaited: a machine without power answers no dial, and a
// call to it is told soon that nothing was sent.
func TestDialThatHangsIsNotAwaited(t *testing.T) {
	is := is.New(t)
	timing := testTiming
	timing.Opening = 50 * time.Millisecond
	r := newRelay(t, "127.0.0.1:1")
	r.deaf.Store(true)
	began := time.Now()
	got := <-doAsync(newTimedPool(t, "k", timing), r.addr(), newRequest(nil))
	var failure *Error
	is.True(errors.As(got.err, &failure))
	is.True(!failure.Sent)
	is.True(time.Since(began) < handshakeTimeout)
}

// TestIdempotentRequestOutlivesASlowReopening: a link breaks and opens again half a
// second later, as between regions beside a planned stop. The peer runs the request
// all the while, and its answer must arrive: day crash-and-silence of tpwax-mesh,
// seed 864701386072.
func TestIdempotentRequestOutlivesASlowReopening(t *testing.T) {
	is := is.New(t)
	server := newHeld([]byte("whole"))
	p := newPeer(t, "k", server)
	r := newRelay(t, p.addr())
	request := newRequest(nil)
	request.Idempotent = true
	done := doAsync(newTimedPool(t, "k", DefaultTiming()), r.addr(), request)
	<-server.begun
	r.mu.Lock()
	r.to = "127.0.0.1:1"
	r.mu.Unlock()
	r.cut()
	time.Sleep(500 * time.Millisecond)
	r.mu.Lock()
	r.to = p.addr()
	r.mu.Unlock()
	close(server.release)
	got := <-done
	is.NoErr(got.err)
	is.Equal(content(t, got.answer), "whole")
	is.Equal(server.runs.Load(), int64(1))
}

// TestShortOutagesEndSoon: after half a second in which every dial failed the next one
// comes, with the longest pauses, while idempotent requests still wait for the link.
func TestShortOutagesEndSoon(t *testing.T) {
	const outage, dialTime = 500 * time.Millisecond, 160 * time.Millisecond
	next := time.Duration(0)
	for failures := 0; next < outage; failures++ {
		next += mostBackoff(failures) + reopenInterval
	}
	is.New(t).True(next+dialTime <= DefaultTiming().Repeatable)
}

// TestAgeOfTheRootCrossesLinks: what orders the queues of a fleet is the age of the
// root, in the clock of whichever daemon holds the call.
func TestAgeOfTheRootCrossesLinks(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	r := newRequest(nil)
	r.Timestamp = now.Add(-700 * time.Millisecond)
	later := now.Add(time.Hour) // another clock
	is.Equal(later.Sub(requestOf(requestHead(r, now), later).Timestamp), 700*time.Millisecond)
	r.Timestamp = time.Time{}
	is.True(requestOf(requestHead(r, now), later).Timestamp.IsZero())
}

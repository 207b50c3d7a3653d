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

// blockingServer counts its runs and answers them after release is closed.
type blockingServer struct {
	runs    atomic.Int64
	started chan struct{}
	release chan struct{}
	answer  []byte
}

func newBlockingServer(answer []byte) *blockingServer {
	return &blockingServer{started: make(chan struct{}, 100), release: make(chan struct{}), answer: answer}
}

func (h *blockingServer) Serve(ctx context.Context, _ *call.Request) *call.Answer {
	h.runs.Add(1)
	h.started <- struct{}{}
	select {
	case <-h.release:
		return answerWith(h.answer, int64(len(h.answer)))
	case <-ctx.Done():
		return call.Refuse(call.Unknown, call.RefusedCancelled, ctx.Err().Error())
	}
}

// result holds the results of Pool.Do.
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
			server := newBlockingServer([]byte("ruled"))
			p := newPeer(t, "k", server)
			r := newRelay(t, p.addr())
			done := doAsync(newTestPool(t, "k"), r.addr(), newRequest(nil))
			<-server.started
			b.apply(r)
			eventually(t, "request resumed", func() bool { return p.listener.Stats().Resumed == 1 })
			close(server.release)
			got := <-done
			is.NoErr(got.err)
			is.Equal(content(t, got.answer), "ruled")
			is.Equal(got.answer.Outcome, call.Ran)
			is.Equal(server.runs.Load(), int64(1))
		})
	}
}

// TestAnswerIsFetchedWhenItWasSentIntoSilence checks that an answer sent on a
// connection that no longer delivers it is fetched over a new link, without a second
// run, and is then released by the peer.
func TestAnswerIsFetchedWhenItWasSentIntoSilence(t *testing.T) {
	is := is.New(t)
	server := newBlockingServer([]byte("ruled"))
	p := newPeer(t, "k", server)
	r := newRelay(t, p.addr())
	done := doAsync(newTestPool(t, "k"), r.addr(), newRequest(nil))
	<-server.started
	r.freeze(false, true)
	close(server.release)
	got := <-done
	is.NoErr(got.err)
	is.Equal(content(t, got.answer), "ruled")
	is.Equal(server.runs.Load(), int64(1))
	eventually(t, "kept answers acknowledged", func() bool { return p.listener.Stats().KeptAnswers == 0 })
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
			server := newBlockingServer(archive)
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

// TestRequestThatNeverArrivedIsNotRun checks that a request reported as never
// arrived does not run later, when the silent connection delivers its bytes.
func TestRequestThatNeverArrivedIsNotRun(t *testing.T) {
	is := is.New(t)
	server := newBlockingServer(nil)
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
	next := <-doAsync(pool, r.addr(), newRequest(nil))
	is.NoErr(next.err)
	is.Equal(server.runs.Load(), int64(2)) // the first and the last
}

func TestRequestCutInItsBodyIsNotRun(t *testing.T) {
	is := is.New(t)
	server := newBlockingServer(nil)
	p := newPeer(t, "k", server)
	pool := newTestPool(t, "k")
	link, err := pool.get(context.Background(), target{p.addr(), ClassUrgent})
	is.NoErr(err)
	// The serving side registers the session only after its handshake.
	eventually(t, "session registered", func() bool {
		p.listener.registry.mu.Lock()
		defer p.listener.registry.mu.Unlock()
		return len(p.listener.registry.sessions) == 1
	})
	s := newClientStream(newRequest(nil))
	is.NoErr(link.openStream(s))
	head := encodeRequest(newRequest(nil), time.Now())
	head.Run = s.run
	is.NoErr(link.conn.send(&wire.Frame{Type: wire.TypeRequest, Stream: s.originID, Request: head, Data: []byte("half")}))
	link.conn.close(errors.New("closed by the test"))
	select {
	case answer := <-s.answer:
		is.Equal(answer.Outcome, call.NotRun)
	case <-s.failed:
		t.Fatal(s.failure)
	}
	is.Equal(server.runs.Load(), int64(0))
}

// TestAnotherProcessAtTheAddressDoesNotKnow checks that a sent request is reported as
// sent when its link reopens to another process, which does not know the request.
func TestAnotherProcessAtTheAddressDoesNotKnow(t *testing.T) {
	is := is.New(t)
	server := newBlockingServer(nil)
	p := newPeer(t, "k", server)
	r := newRelay(t, p.addr())
	done := doAsync(newTestPool(t, "k"), r.addr(), newRequest(nil))
	<-server.started
	other := newPeer(t, "k", newBlockingServer(nil))
	r.mu.Lock()
	r.to = other.addr()
	r.mu.Unlock()
	r.cut()
	got := <-done
	var failure *Error
	is.True(errors.As(got.err, &failure))
	is.True(failure.Sent)
	is.Equal(other.listener.Stats().Unknown, uint64(1))
}

func TestAnswersEvictedAreNotKnown(t *testing.T) {
	is := is.New(t)
	p := newPeer(t, "k", call.ServerFunc(echo))
	registry := p.listener.registry
	s := newServingLink(nil, []byte("session"), ClassUrgent, nil, registry)
	close(s.readerDone)
	s.conn = &conn{err: ErrClosed, pending: &bytes.Buffer{}}
	registry.addSession(s)
	const answers = 2 * maxKeptBytes / (wire.MaxChunk + keptOverhead)
	for id := uint64(1); id <= answers; id++ {
		stream := &serverStream{
			request: newRequest(nil), sender: newAnswerSender(s.conn, id),
			origin: s, originID: id, link: s, id: id, started: true,
		}
		is.NoErr(registry.add(s, id, stream))
		stream.sender.sendHead(&wire.Answer{}, make([]byte, wire.MaxChunk), true)
		registry.finish(stream)
	}
	stats := p.listener.Stats()
	is.True(stats.KeptBytes <= maxKeptBytes)
	is.True(stats.Evicted > 0)
	_, verdict := registry.lookup(&wire.Resume{Run: "gone", Session: []byte("session"), Stream: 1, Attempt: 1})
	is.Equal(verdict, verdictUnknown)
	_, verdict = registry.lookup(&wire.Resume{Run: "never", Session: []byte("session"), Stream: answers + 1, Attempt: 1})
	is.Equal(verdict, verdictNeverArrived)
	registry.ack(s, answers+1)
	is.Equal(p.listener.Stats().KeptBytes, 0)
}

// TestShutdownCutsNothing checks that no call that was sent is lost when a peer
// shuts down under continuous load.
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
	eventually(t, "100 calls answered", func() bool { return answered.Load() > 100 })
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	p.listener.Shutdown(ctx)
	is.NoErr(ctx.Err())
	eventually(t, "10 calls not sent", func() bool { return notSent.Load() > 10 })
	close(stop)
	group.Wait()
	is.Equal(cut.Load(), int64(0))
}

// TestSilentPeerGetsNothingNew simulates a machine that loses power. A link with an
// unanswered ping accepts no new request and reports it as not sent. Soon after the
// link ends its idempotent request fails; a request that is not idempotent waits to
// be resumed.
func TestSilentPeerGetsNothingNew(t *testing.T) {
	is := is.New(t)
	timing := testTiming
	timing.SuspectAfter = timing.CheckInterval
	timing.IdempotentTimeout = 50 * time.Millisecond
	timing.RecoveryTimeout = waitTimeout
	server := newBlockingServer(nil)
	p := newPeer(t, "k", server)
	r := newRelay(t, p.addr())
	pool := newTimedPool(t, "k", timing)
	idempotent := newRequest(nil)
	idempotent.Idempotent = true
	abandoned, waiting := doAsync(pool, r.addr(), idempotent), doAsync(pool, r.addr(), newRequest(nil))
	<-server.started
	<-server.started
	r.blackhole.Store(true)
	r.freeze(true, true)
	eventually(t, "link is suspect", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		_, err := pool.Do(ctx, r.addr(), ClassUrgent, newRequest(nil))
		var failure *Error
		return errors.As(err, &failure) && !failure.Sent && errors.Is(err, errSuspect)
	})
	got := <-abandoned
	is.True(errors.Is(got.err, ErrPingTimeout))
	select {
	case <-waiting:
		t.Fatal("a request that is not idempotent ended before the recovery timeout")
	case <-time.After(4 * timing.IdempotentTimeout):
	}
}

// TestDialThatHangsIsNotAwaited checks that a call to a machine that does not answer
// the dial fails early and is reported as not sent.
func TestDialThatHangsIsNotAwaited(t *testing.T) {
	is := is.New(t)
	timing := testTiming
	timing.OpenTimeout = 50 * time.Millisecond
	r := newRelay(t, "127.0.0.1:1")
	r.blackhole.Store(true)
	start := time.Now()
	got := <-doAsync(newTimedPool(t, "k", timing), r.addr(), newRequest(nil))
	var failure *Error
	is.True(errors.As(got.err, &failure))
	is.True(!failure.Sent)
	is.True(time.Since(start) < handshakeTimeout)
}

// TestIdempotentRequestOutlivesASlowReopening checks that the answer of an idempotent
// request arrives when its link breaks and reopens half a second later while the peer
// runs the request, as between regions during a drain. The failure was seen on
// day crash-and-silence of tpwax-mesh, seed 864701386072.
func TestIdempotentRequestOutlivesASlowReopening(t *testing.T) {
	is := is.New(t)
	server := newBlockingServer([]byte("whole"))
	p := newPeer(t, "k", server)
	r := newRelay(t, p.addr())
	request := newRequest(nil)
	request.Idempotent = true
	done := doAsync(newTimedPool(t, "k", DefaultTiming()), r.addr(), request)
	<-server.started
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

// TestShortOutagesEndSoon checks that after half a second of failed dials, with the
// longest backoffs, the next dial completes within Timing.IdempotentTimeout.
func TestShortOutagesEndSoon(t *testing.T) {
	const outage, dialTime = 500 * time.Millisecond, 160 * time.Millisecond
	elapsed := time.Duration(0)
	for failures := 0; elapsed < outage; failures++ {
		elapsed += maxBackoffAfter(failures) + reopenInterval
	}
	is.New(t).True(elapsed+dialTime <= DefaultTiming().IdempotentTimeout)
}

// TestAgeOfTheRootCrossesLinks checks that a link preserves the age of the root
// request, which orders the queues of a fleet, although the clocks of the daemons
// differ.
func TestAgeOfTheRootCrossesLinks(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	r := newRequest(nil)
	r.Timestamp = now.Add(-700 * time.Millisecond)
	later := now.Add(time.Hour) // another clock
	is.Equal(later.Sub(decodeRequest(encodeRequest(r, now), later).Timestamp), 700*time.Millisecond)
	r.Timestamp = time.Time{}
	is.True(decodeRequest(encodeRequest(r, now), later).Timestamp.IsZero())
}

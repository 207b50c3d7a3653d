package link

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/gorilla/websocket"
	"github.com/pkg/errors"

	"fuchsiavane.org/node/call"
	"fuchsiavane.org/node/event"
	"fuchsiavane.org/node/wire"
)

// Path is the HTTP path of links on the peer port.
const Path = "/link"

const (
	// minBackoff and maxBackoff bound the backoff after a failed dial, before
	// jitter. The backoff grows by half with each consecutive failure, so that a
	// returning peer is reached within a fraction of the time it was unreachable.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
	// reopenInterval is the interval between attempts to get a new link for the
	// requests of a broken one.
	reopenInterval = 20 * time.Millisecond
	// failureRetention is the time after which a failed dial no longer increases
	// the backoff.
	failureRetention = 30 * time.Second
)

// Pool opens links to peers on demand and keeps one for each address and class.
type Pool struct {
	identity  Identity
	timing    Timing
	log       *event.Logger
	bulkPacer pacer // for answer bodies on bulk links
	keepalive *keepalive

	mu     sync.Mutex
	links  map[target]*poolEntry
	closed bool
	done   chan struct{} // closed by Close
}

// target identifies a link of a Pool: the peer address and the class.
type target struct {
	addr  string
	class Class
}

// poolEntry is a link that is open, is being opened, or recently failed to open.
type poolEntry struct {
	ready    chan struct{} // closed when link or err is set
	link     *Link
	err      error
	redialAt time.Time // with err: earliest time of the next dial
	failures int       // consecutive failed dials before this one
}

// canRedial reports whether the dial failed and its backoff is over.
func (e *poolEntry) canRedial(now time.Time) bool {
	select {
	case <-e.ready:
		return e.err != nil && !now.Before(e.redialAt)
	default:
		return false
	}
}

// NewPool returns a Pool.
func NewPool(identity Identity, timing Timing, log *event.Logger) *Pool {
	return &Pool{identity: identity, timing: timing, log: log, bulkPacer: pacer{rate: bulkRate}, keepalive: newKeepalive(timing), links: map[target]*poolEntry{}, done: make(chan struct{})}
}

// Do sends a request to the daemon at a peer address. The error is an *Error.
func (p *Pool) Do(ctx context.Context, addr string, class Class, r *call.Request) (*call.Answer, error) {
	link, err := p.get(ctx, target{addr, class})
	if err != nil {
		return nil, &Error{false, err}
	}
	return link.Do(ctx, r)
}

// get returns the link to a target and starts a dial if one is needed.
func (p *Pool) get(ctx context.Context, t target) (*Link, error) {
	p.mu.Lock()
	entry := p.links[t]
	if p.closed {
		p.mu.Unlock()
		return nil, ErrClosed
	}
	if entry == nil || entry.canRedial(time.Now()) {
		failures := 0
		if entry != nil {
			failures = entry.failures + 1
		}
		entry = &poolEntry{ready: make(chan struct{}), failures: failures}
		p.links[t] = entry
		go p.open(t, entry)
	}
	p.mu.Unlock()
	return p.await(ctx, entry)
}

// errOpenTimeout means that a link did not open within Timing.OpenTimeout. The
// peer may no longer exist.
var errOpenTimeout = errors.New("link: the peer does not answer the dial")

// await waits until the link of an entry is open, for at most Timing.OpenTimeout.
func (p *Pool) await(ctx context.Context, entry *poolEntry) (*Link, error) {
	select {
	case <-entry.ready:
		return entry.link, entry.err
	default:
	}
	var timeout <-chan time.Time
	if p.timing.OpenTimeout > 0 {
		timer := time.NewTimer(p.timing.OpenTimeout)
		defer timer.Stop()
		timeout = timer.C
	}
	select {
	case <-entry.ready:
		return entry.link, entry.err
	case <-timeout:
		return nil, errOpenTimeout
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// open dials and runs the link until it ends, then recovers its streams.
func (p *Pool) open(t target, entry *poolEntry) {
	link, err := p.dial(t)
	if err != nil {
		entry.err = err
		entry.redialAt = time.Now().Add(backoff(entry.failures))
		close(entry.ready)
		p.log.Log(event.LinkNotOpened).Str("addr", t.addr).Str("class", string(t.class)).Int("failures", entry.failures+1).Err(err).Msg("link not opened")
		p.expireFailure(t, entry)
		return
	}
	if !p.publish(entry, link) {
		link.conn.close(ErrClosed)
		return
	}
	p.log.Log(event.LinkOpened).Str("addr", t.addr).Str("class", string(t.class)).Msg("link opened")
	link.conn.onUnknown = func(kind wire.Type) {
		p.log.Log(event.LinkFrameUnknown).Str("addr", t.addr).Str("class", string(t.class)).Int("type", int(kind)).Msg("frame ignored")
	}
	reason := link.run(p.keepalive)
	p.remove(t, entry)
	p.log.Log(event.LinkClosed).Str("addr", t.addr).Str("class", string(t.class)).Err(reason).Msg("link closed")
	p.recoverStreams(t, link, reason)
}

// publish passes a link to the waiting calls. It returns false if the Pool is
// closed.
func (p *Pool) publish(entry *poolEntry, link *Link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		entry.err = ErrClosed
	} else {
		entry.link = link
	}
	close(entry.ready)
	return !p.closed
}

// expireFailure removes a failed entry after failureRetention unless another dial
// has replaced it. Until the backoff is over, calls on the entry fail immediately.
func (p *Pool) expireFailure(t target, entry *poolEntry) {
	time.AfterFunc(failureRetention, func() { p.remove(t, entry) })
}

// backoff returns the wait, with jitter, after a number of earlier consecutive
// failures.
func backoff(failures int) time.Duration {
	delay := maxBackoffAfter(failures)
	return delay/2 + rand.N(delay/2)
}

// maxBackoffAfter returns the longest wait after a number of earlier consecutive
// failures.
func maxBackoffAfter(failures int) time.Duration {
	delay := minBackoff
	for range failures {
		delay += delay / 2
		if delay >= maxBackoff {
			return maxBackoff
		}
	}
	return delay
}

// sleep waits for d and returns false if done is closed first.
func sleep(done <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-done:
		return false
	}
}

// remove removes an entry unless another one has replaced it.
func (p *Pool) remove(t target, entry *poolEntry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.links[t] == entry {
		delete(p.links, t)
	}
}

// recoverStreams resumes the streams of a broken link on a new link. It stops
// after Timing.RecoveryTimeout, or when the peer refuses connections, since its
// process no longer exists.
func (p *Pool) recoverStreams(t target, closedLink *Link, reason error) {
	streams := closedLink.takeStreams()
	if len(streams) == 0 {
		return
	}
	if p.timing.IdempotentTimeout > 0 {
		idempotent := slices.DeleteFunc(slices.Clone(streams), func(s *clientStream) bool { return !s.idempotent })
		timer := time.AfterFunc(p.timing.IdempotentTimeout, func() {
			for _, s := range idempotent {
				s.failIfNotResumed(closedLink, reason)
			}
		})
		defer timer.Stop()
	}
	ctx, cancel := context.WithTimeout(context.Background(), p.timing.RecoveryTimeout)
	defer cancel()
	resumed := 0
	for len(streams) > 0 {
		link, err := p.reopen(ctx, t)
		if err != nil {
			reason = errors.WithMessagef(reason, "no new link (%v) after", err)
			break
		}
		for len(streams) > 0 && link.resumeStream(streams[0]) == nil {
			streams = streams[1:]
			resumed++
		}
	}
	for _, s := range streams {
		s.fail(reason)
	}
	p.log.Log(event.LinkRecovered).Str("addr", t.addr).Str("class", string(t.class)).Int("asked", resumed).Int("lost", len(streams)).Msg("link recovery finished")
}

// reopen retries until it has a new link, the context ends, the Pool is closed or
// the peer refuses connections.
func (p *Pool) reopen(ctx context.Context, t target) (*Link, error) {
	for {
		link, err := p.get(ctx, t)
		if err == nil && !link.isClosed() {
			return link, nil
		}
		if ctx.Err() != nil || errors.Is(err, ErrClosed) || errors.Is(err, syscall.ECONNREFUSED) {
			return nil, err
		}
		if !sleep(p.done, reopenInterval) {
			return nil, ErrClosed
		}
	}
}

// Close closes every link and refuses further calls.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.closed = true
	close(p.done)
	for _, entry := range p.links {
		select {
		case <-entry.ready:
			if entry.link != nil {
				entry.link.conn.close(ErrClosed)
			}
		default:
		}
	}
}

func (p *Pool) dial(t target) (*Link, error) {
	dialer := websocket.Dialer{HandshakeTimeout: handshakeTimeout, NetDialContext: dialLimited}
	ws, response, err := dialer.Dial("ws://"+t.addr+Path, http.Header{})
	if err != nil {
		return nil, errors.Wrapf(err, "link: dial %s", t.addr)
	}
	_ = response.Body.Close()
	session, err := handshakeCalling(ws, p.identity, t.class)
	if err != nil {
		_ = ws.Close()
		return nil, err
	}
	if limited, ok := ws.NetConn().(*headLimit); ok {
		limited.release()
	}
	link := newLink(newConn(ws), p.timing, session)
	if t.class == ClassBulk {
		link.pacer = &p.bulkPacer
	}
	return link, nil
}

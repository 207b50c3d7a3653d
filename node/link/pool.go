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
)

// Path is the HTTP path of links on the peer port.
const Path = "/link"

const (
	// minBackoff and maxBackoff bound the pause after a dial that failed. The
	// pause grows by half with each failure in a row and is spread by jitter, so
	// that a peer which comes back is found in a part of the time it was away.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
	// reopenInterval is the pause between looks for a new link that the requests of
	// a broken one wait for.
	reopenInterval = 20 * time.Millisecond
	// forgetFailures is the time after which a failed dial no longer lengthens
	// the pause.
	forgetFailures = 30 * time.Second
)

// Pool opens links to peers as calls need them and keeps one for each address
// and class.
type Pool struct {
	identity Identity
	timing   Timing
	log      *event.Logger
	bulk     pacer // of the answers on bulk links
	beater   *beater

	mu     sync.Mutex
	links  map[target]*pooled
	closed bool
	done   chan struct{} // closed by Close
}

type target struct {
	addr  string
	class Class
}

// pooled is a link that is open, being opened, or could not be opened a short
// while ago.
type pooled struct {
	opened   chan struct{} // closed when link or err is set
	link     *Link
	err      error
	retryAt  time.Time // valid with err: no dial before
	failures int       // dials that failed in a row before this one
}

// mayRetry reports whether the dial failed and its pause is over.
func (e *pooled) mayRetry(now time.Time) bool {
	select {
	case <-e.opened:
		return e.err != nil && !now.Before(e.retryAt)
	default:
		return false
	}
}

// NewPool returns a Pool.
func NewPool(identity Identity, timing Timing, log *event.Logger) *Pool {
	return &Pool{identity: identity, timing: timing, log: log, bulk: pacer{rate: bulkRate}, beater: newBeater(timing), links: map[target]*pooled{}, done: make(chan struct{})}
}

// Do sends a request to the daemon at a peer address. The error is an *Error.
func (p *Pool) Do(ctx context.Context, addr string, class Class, r *call.Request) (*call.Answer, error) {
	link, err := p.get(ctx, target{addr, class})
	if err != nil {
		return nil, &Error{false, err}
	}
	return link.Do(ctx, r)
}

func (p *Pool) get(ctx context.Context, t target) (*Link, error) {
	p.mu.Lock()
	entry := p.links[t]
	if p.closed {
		p.mu.Unlock()
		return nil, ErrClosed
	}
	if entry == nil || entry.mayRetry(time.Now()) {
		failures := 0
		if entry != nil {
			failures = entry.failures + 1
		}
		entry = &pooled{opened: make(chan struct{}), failures: failures}
		p.links[t] = entry
		go p.open(t, entry)
	}
	p.mu.Unlock()
	return p.await(ctx, entry)
}

// errOpening means that a link takes long to open: the peer may be gone.
var errOpening = errors.New("link: the peer does not answer the dial")

// await returns the link of an entry when it is open.
func (p *Pool) await(ctx context.Context, entry *pooled) (*Link, error) {
	select {
	case <-entry.opened:
		return entry.link, entry.err
	default:
	}
	var late <-chan time.Time
	if p.timing.OpenTimeout > 0 {
		timer := time.NewTimer(p.timing.OpenTimeout)
		defer timer.Stop()
		late = timer.C
	}
	select {
	case <-entry.opened:
		return entry.link, entry.err
	case <-late:
		return nil, errOpening
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// open dials and then serves the link until it ends.
func (p *Pool) open(t target, entry *pooled) {
	link, err := p.dial(t)
	if err != nil {
		entry.err = err
		entry.retryAt = time.Now().Add(backoff(entry.failures))
		close(entry.opened)
		p.log.Log(event.LinkNotOpened).Str("addr", t.addr).Str("class", string(t.class)).Int("failures", entry.failures+1).Err(err).Msg("link not opened")
		p.holdOff(t, entry)
		return
	}
	if !p.opened(entry, link) {
		link.conn.close(ErrClosed)
		return
	}
	p.log.Log(event.LinkOpened).Str("addr", t.addr).Str("class", string(t.class)).Msg("link opened")
	reason := link.run(p.beater)
	p.remove(t, entry)
	p.log.Log(event.LinkClosed).Str("addr", t.addr).Str("class", string(t.class)).Err(reason).Msg("link closed")
	p.recover(t, link, reason)
}

// opened hands a link to those who wait. It reports false if the Pool is closed.
func (p *Pool) opened(entry *pooled, link *Link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		entry.err = ErrClosed
	} else {
		entry.link = link
	}
	close(entry.opened)
	return !p.closed
}

// holdOff keeps a failed entry, so that calls fail at once until its pause is
// over, and forgets it when nobody has dialled again for long.
func (p *Pool) holdOff(t target, entry *pooled) {
	time.AfterFunc(forgetFailures, func() { p.remove(t, entry) })
}

// backoff returns the pause after a number of earlier failures in a row.
func backoff(failures int) time.Duration {
	pause := mostBackoff(failures)
	return pause/2 + rand.N(pause/2)
}

// mostBackoff returns the longest pause after a number of earlier failures in a row.
func mostBackoff(failures int) time.Duration {
	pause := minBackoff
	for range failures {
		pause += pause / 2
		if pause >= maxBackoff {
			return maxBackoff
		}
	}
	return pause
}

// sleep waits and reports false if done was closed first.
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

// remove forgets an entry.
func (p *Pool) remove(t target, entry *pooled) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.links[t] == entry {
		delete(p.links, t)
	}
}

// recover asks, on a new link, for the answers of streams whose link broke. It
// gives up when the peer refuses connections, since a process that is gone
// can't be asked, and after Timing.Recovery.
func (p *Pool) recover(t target, broken *Link, reason error) {
	streams := broken.orphans()
	if len(streams) == 0 {
		return
	}
	if p.timing.IdempotentTimeout > 0 {
		repeatable := slices.DeleteFunc(slices.Clone(streams), func(s *clientStream) bool { return !s.repeatable })
		timer := time.AfterFunc(p.timing.IdempotentTimeout, func() {
			for _, s := range repeatable {
				s.abandon(broken, reason)
			}
		})
		defer timer.Stop()
	}
	ctx, cancel := context.WithTimeout(context.Background(), p.timing.RecoveryTimeout)
	defer cancel()
	asked := 0
	for len(streams) > 0 {
		link, err := p.reopen(ctx, t)
		if err != nil {
			reason = errors.WithMessagef(reason, "no new link (%v) after", err)
			break
		}
		for len(streams) > 0 && link.adopt(streams[0]) == nil {
			streams = streams[1:]
			asked++
		}
	}
	for _, s := range streams {
		s.lose(reason)
	}
	p.log.Log(event.LinkRecovered).Str("addr", t.addr).Str("class", string(t.class)).Int("asked", asked).Int("lost", len(streams)).Msg("requests of a broken link")
}

// reopen returns a new link.
func (p *Pool) reopen(ctx context.Context, t target) (*Link, error) {
	for {
		link, err := p.get(ctx, t)
		if err == nil && !link.isBroken() {
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

// Close ends every link.
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
		case <-entry.opened:
			if entry.link != nil {
				entry.link.conn.close(ErrClosed)
			}
		default:
		}
	}
}

func (p *Pool) dial(t target) (*Link, error) {
	dialer := websocket.Dialer{HandshakeTimeout: handshakeTimeout}
	ws, response, err := dialer.Dial("ws://"+t.addr+Path, http.Header{})
	if err != nil {
		return nil, errors.Wrapf(err, "link: dial %s", t.addr)
	}
	_ = response.Body.Close()
	session, err := greetServing(ws, p.identity, t.class)
	if err != nil {
		_ = ws.Close()
		return nil, err
	}
	link := newLink(newConn(ws), p.timing, session)
	if t.class == ClassBulk {
		link.pace = &p.bulk
	}
	return link, nil
}

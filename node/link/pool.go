package link

import (
	"context"
	"net/http"
	"sync"

	"github.com/gorilla/websocket"
	"github.com/pkg/errors"

	"fuchsiavane.org/node/call"
	"fuchsiavane.org/node/event"
)

// Path is the HTTP path of links on the peer port.
const Path = "/link"

// Pool opens links to peers as calls need them and keeps one for each address
// and class.
type Pool struct {
	identity Identity
	log      *event.Logger

	mu     sync.Mutex
	links  map[target]*pooled
	closed bool
}

type target struct {
	addr  string
	class Class
}

// pooled is a link that is open or being opened.
type pooled struct {
	opened chan struct{} // closed when link or err is set
	link   *Link
	err    error
}

// NewPool returns a Pool.
func NewPool(identity Identity, log *event.Logger) *Pool {
	return &Pool{identity: identity, log: log, links: map[target]*pooled{}}
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
	if entry == nil {
		entry = &pooled{opened: make(chan struct{})}
		p.links[t] = entry
		go p.open(t, entry)
	}
	p.mu.Unlock()
	select {
	case <-entry.opened:
		return entry.link, entry.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// open dials and then serves the link until it ends.
func (p *Pool) open(t target, entry *pooled) {
	ws, err := dial(t, p.identity)
	if err != nil {
		entry.err = err
		p.drop(t, entry)
		close(entry.opened)
		p.log.Log(event.LinkClosed).Str("addr", t.addr).Str("class", string(t.class)).Err(err).Msg("link not opened")
		return
	}
	entry.link = newLink(newConn(ws))
	close(entry.opened)
	p.log.Log(event.LinkOpened).Str("addr", t.addr).Str("class", string(t.class)).Msg("link opened")
	reason := entry.link.run()
	p.drop(t, entry)
	p.log.Log(event.LinkClosed).Str("addr", t.addr).Str("class", string(t.class)).Err(reason).Msg("link closed")
}

func (p *Pool) drop(t target, entry *pooled) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.links[t] == entry {
		delete(p.links, t)
	}
}

// Close ends every link.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
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

func dial(t target, identity Identity) (*websocket.Conn, error) {
	dialer := websocket.Dialer{HandshakeTimeout: handshakeTimeout}
	ws, response, err := dialer.Dial("ws://"+t.addr+Path, http.Header{})
	if err != nil {
		return nil, errors.Wrapf(err, "link: dial %s", t.addr)
	}
	_ = response.Body.Close()
	if err := greetServing(ws, identity, t.class); err != nil {
		_ = ws.Close()
		return nil, err
	}
	return ws, nil
}

package link

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"

	"github.com/gorilla/websocket"
	"github.com/pkg/errors"

	"fuchsiavane.org/node/call"
	"fuchsiavane.org/node/event"
	"fuchsiavane.org/node/wire"
)

// Listener takes links on the peer port.
type Listener struct {
	identity Identity
	server   call.Server
	log      *event.Logger
	upgrader websocket.Upgrader
	keeper   *keeper

	mu       sync.Mutex
	conns    map[*conn]struct{}
	leaving  bool
	goneOnce sync.Once
	empty    chan struct{} // closed when leaving and no link is left
}

// NewListener returns a Listener that hands requests to a server.
func NewListener(identity Identity, timing Timing, server call.Server, log *event.Logger) *Listener {
	return &Listener{
		identity: identity,
		server:   server,
		log:      log,
		upgrader: websocket.Upgrader{HandshakeTimeout: handshakeTimeout},
		keeper:   newKeeper(timing),
		conns:    map[*conn]struct{}{},
		empty:    make(chan struct{}),
	}
}

// ServeHTTP implements http.Handler for Path.
func (l *Listener) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if l.isLeaving() {
		http.Error(w, "the instance is leaving", http.StatusServiceUnavailable)
		return
	}
	if len(l.identity.Key) == 0 && !isLoopback(r.RemoteAddr) {
		l.log.Log(event.LinkRefused).Str("remote", r.RemoteAddr).Msg("link refused: no link key is set and the peer is not on loopback")
		http.Error(w, "links need a key", http.StatusForbidden)
		return
	}
	ws, err := l.upgrader.Upgrade(w, r, nil)
	if err != nil {
		l.log.Log(event.LinkMalformed).Str("remote", r.RemoteAddr).Err(err).Msg("link refused: not a WebSocket request")
		return
	}
	peer, session, err := greetCalling(ws, l.identity)
	if err != nil {
		_ = ws.Close()
		l.log.Log(refusalEvent(err)).Str("remote", r.RemoteAddr).Err(err).Msg("link refused")
		return
	}
	l.serve(ws, session, peer, r.RemoteAddr)
}

func (l *Listener) isLeaving() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leaving
}

func refusalEvent(err error) event.Event {
	if errors.Is(err, ErrMalformed) {
		return event.LinkMalformed
	}
	return event.LinkRefused
}

func (l *Listener) serve(ws *websocket.Conn, session []byte, peer *wire.Hello, remote string) {
	c := newConn(ws)
	if !l.track(c) {
		c.close(ErrClosed)
		return
	}
	defer l.untrack(c)
	reason := newServing(c, session, Class(peer.Class), l.server, l.keeper).run()
	kind := event.LinkClosed
	if errors.Is(reason, ErrMalformed) {
		kind = event.LinkMalformed
	}
	l.log.Log(kind).Str("peer", peer.Instance).Str("remote", remote).Err(reason).Msg("link closed")
}

// track counts a link. It reports false if the Listener takes no more.
func (l *Listener) track(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leaving {
		return false
	}
	l.conns[c] = struct{}{}
	return true
}

func (l *Listener) untrack(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	if l.leaving && len(l.conns) == 0 {
		l.gone()
	}
}

// Shutdown takes no more links, asks the calling sides to close theirs when
// they have their answers, and waits for that. Links that are left when the
// context ends are closed.
func (l *Listener) Shutdown(ctx context.Context) {
	l.mu.Lock()
	l.leaving = true
	open := slices.Collect(maps.Keys(l.conns))
	if len(open) == 0 {
		l.gone()
	}
	l.mu.Unlock()
	for _, c := range open {
		c.post(&wire.Frame{Type: wire.TypeGoAway})
	}
	select {
	case <-l.empty:
	case <-ctx.Done():
	}
	l.Close()
}

// gone reports that no link is left. The caller holds the lock.
func (l *Listener) gone() { l.goneOnce.Do(func() { close(l.empty) }) }

// Stats returns what became of answers whose link broke.
func (l *Listener) Stats() Stats { return l.keeper.snapshot() }

// Close ends every link.
func (l *Listener) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving = true
	for c := range l.conns {
		c.close(ErrClosed)
	}
}

func isLoopback(remote string) bool {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}

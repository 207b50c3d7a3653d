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

	"fuchsiavane.org/node/bodies"
	"fuchsiavane.org/node/call"
	"fuchsiavane.org/node/event"
	"fuchsiavane.org/node/wire"
)

// Listener accepts links on the peer port.
type Listener struct {
	identity Identity
	server   call.Server
	log      *event.Logger
	upgrader websocket.Upgrader
	registry *runRegistry

	mu            sync.Mutex
	conns         map[*conn]struct{}
	leaving       bool
	allClosedOnce sync.Once
	allClosed     chan struct{} // closed when the Listener is leaving and has no link
}

// NewListener returns a Listener that passes requests to a server. budget bounds the
// memory of request bodies; nil means no bound.
func NewListener(identity Identity, timing Timing, server call.Server, budget *bodies.Budget, log *event.Logger) *Listener {
	l := &Listener{
		identity:  identity,
		server:    server,
		log:       log,
		upgrader:  websocket.Upgrader{HandshakeTimeout: handshakeTimeout},
		registry:  newRunRegistry(timing),
		conns:     map[*conn]struct{}{},
		allClosed: make(chan struct{}),
	}
	l.registry.bodies = budget
	return l
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
	peer, session, err := handshakeServing(ws, l.identity)
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
	c.onUnknown = func(kind wire.Type) {
		l.log.Log(event.LinkFrameUnknown).Str("peer", peer.Instance).Str("remote", remote).Int("type", int(kind)).Msg("frame ignored")
	}
	if !l.track(c) {
		c.close(ErrClosed)
		return
	}
	defer l.untrack(c)
	reason := newServingLink(c, session, Class(peer.Class), l.server, l.registry).run()
	kind := event.LinkClosed
	if errors.Is(reason, ErrMalformed) {
		kind = event.LinkMalformed
	}
	l.log.Log(kind).Str("peer", peer.Instance).Str("remote", remote).Err(reason).Msg("link closed")
}

// track registers a link. It returns false if the Listener is leaving.
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
		l.signalAllClosed()
	}
}

// Shutdown refuses new links, asks the calling sides to close their links after
// receiving all answers, and waits until they have. It closes the remaining links
// when the context ends.
func (l *Listener) Shutdown(ctx context.Context) {
	l.mu.Lock()
	l.leaving = true
	open := slices.Collect(maps.Keys(l.conns))
	if len(open) == 0 {
		l.signalAllClosed()
	}
	l.mu.Unlock()
	for _, c := range open {
		c.sendAsync(&wire.Frame{Type: wire.TypeGoAway})
	}
	select {
	case <-l.allClosed:
	case <-ctx.Done():
	}
	l.Close()
}

// signalAllClosed reports that the last link has closed. The caller holds l.mu.
func (l *Listener) signalAllClosed() { l.allClosedOnce.Do(func() { close(l.allClosed) }) }

// Stats returns the kept answers and the counts of resumed requests.
func (l *Listener) Stats() Stats { return l.registry.snapshot() }

// Close closes every link and refuses new ones.
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

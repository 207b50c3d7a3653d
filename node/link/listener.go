package link

import (
	"net"
	"net/http"
	"sync"

	"github.com/gorilla/websocket"
	"github.com/pkg/errors"

	"fuchsiavane.org/node/call"
	"fuchsiavane.org/node/event"
)

// Listener takes links on the peer port.
type Listener struct {
	identity Identity
	server   call.Server
	log      *event.Logger
	upgrader websocket.Upgrader

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// NewListener returns a Listener that hands requests to a server.
func NewListener(identity Identity, server call.Server, log *event.Logger) *Listener {
	return &Listener{
		identity: identity,
		server:   server,
		log:      log,
		upgrader: websocket.Upgrader{HandshakeTimeout: handshakeTimeout},
		conns:    map[*conn]struct{}{},
	}
}

// ServeHTTP implements http.Handler for Path.
func (l *Listener) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
	peer, err := greetCalling(ws, l.identity)
	if err != nil {
		_ = ws.Close()
		l.log.Log(refusalEvent(err)).Str("remote", r.RemoteAddr).Err(err).Msg("link refused")
		return
	}
	l.serve(ws, peer.Instance, r.RemoteAddr)
}

func refusalEvent(err error) event.Event {
	if errors.Is(err, ErrMalformed) {
		return event.LinkMalformed
	}
	return event.LinkRefused
}

func (l *Listener) serve(ws *websocket.Conn, peer, remote string) {
	c := newConn(ws)
	l.track(c, true)
	defer l.track(c, false)
	reason := newServing(c, l.server).run()
	kind := event.LinkClosed
	if errors.Is(reason, ErrMalformed) {
		kind = event.LinkMalformed
	}
	l.log.Log(kind).Str("peer", peer).Str("remote", remote).Err(reason).Msg("link closed")
}

func (l *Listener) track(c *conn, open bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if open {
		l.conns[c] = struct{}{}
		return
	}
	delete(l.conns, c)
}

// Close ends every link.
func (l *Listener) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
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

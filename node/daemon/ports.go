package daemon

import (
	"context"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"fuchsiavane.org/node/admin"
	"fuchsiavane.org/node/call"
	"fuchsiavane.org/node/link"
	"fuchsiavane.org/node/membership"
	"fuchsiavane.org/node/settingsync"
)

const (
	// readHeaderTimeout bounds the time that a client takes to send a header.
	readHeaderTimeout = 5 * time.Second
	// readTimeout bounds the time that a client takes to send a request.
	readTimeout = 30 * time.Second
	// maxReadHeaderBytes is the size of a header that is still read, so that
	// one beyond call.MaxHeaderBytes gets a problem body.
	maxReadHeaderBytes = 4 * call.MaxHeaderBytes
	// idleTimeout ends connections without a request.
	idleTimeout = 2 * time.Minute
)

// port is one listening HTTP server.
type port struct {
	name     string
	listener *listener
	server   *http.Server
}

// ports are the daemon's listening ports.
type ports struct {
	caller, local, peer, admin *port
	leaving                    atomic.Bool
}

func (d *Daemon) listen() (*ports, error) {
	peer := http.NewServeMux()
	peer.Handle(link.Path, d.listener)
	peer.Handle(membership.Path, d.shared.members)
	peer.Handle(settingsync.Path, d.shared.exchange)
	p := &ports{}
	for _, want := range []struct {
		at      **port
		name    string
		addr    string
		handler http.Handler
	}{
		{&p.caller, "caller", d.config.CallerListen, p.closing(d.callers())},
		{&p.local, "local", d.config.LocalListen, d.gateway.LocalPort()},
		{&p.peer, "peer", d.config.PeerListen, peer},
		{&p.admin, "admin", d.config.AdminListen, admin.Handler(d)},
	} {
		if want.addr == "" {
			continue
		}
		opened, err := open(want.name, want.addr, want.handler)
		if err != nil {
			p.close()
			return nil, err
		}
		*want.at = opened
	}
	return p, nil
}

// callers returns the handler of the caller port.
func (d *Daemon) callers() http.Handler {
	if d.around.CallerDialect != nil {
		return d.gateway.RoutedPort()
	}
	return d.gateway.CallerPort()
}

func open(name, addr string, handler http.Handler) (*port, error) {
	// Keep-alive probes are off: idleTimeout ends what a lost client left, and each
	// probe setting is a system call for each connection.
	config := net.ListenConfig{KeepAlive: -1}
	tcp, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "%s port", name)
	}
	return &port{name, newListener(tcp), &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxReadHeaderBytes,
		ErrorLog:          stdlog.New(io.Discard, "", 0),
	}}, nil
}

func (p *ports) all() []*port {
	var all []*port
	for _, one := range []*port{p.caller, p.local, p.peer, p.admin} {
		if one != nil {
			all = append(all, one)
		}
	}
	return all
}

// serve starts every port and returns a channel that gets the first failure.
func (p *ports) serve() <-chan error {
	failed := make(chan error, len(p.all()))
	for _, one := range p.all() {
		go func() {
			if err := one.server.Serve(one.listener); !errors.Is(err, http.ErrServerClosed) {
				failed <- errors.Wrapf(err, "%s port", one.name)
			}
		}()
	}
	return failed
}

// closeAfterAnswer makes the caller port close each connection after its next
// answer, so that callers go elsewhere without losing a request.
func (p *ports) closeAfterAnswer() { p.leaving.Store(true) }

// drainCallers closes the caller port, at a moment in which no connection is
// being opened, and waits for what it has in progress. The local port serves on,
// since running requests use it.
func (p *ports) drainCallers(ctx context.Context) {
	p.caller.listener.awaitQuiet(ctx)
	_ = p.caller.server.Shutdown(ctx)
}

// drainLocal does the same for the local port.
func (p *ports) drainLocal(ctx context.Context) {
	if p.local != nil {
		_ = p.local.server.Shutdown(ctx)
	}
}

// closing adds Connection: close to every answer while the daemon leaves.
func (p *ports) closing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (p *ports) close() {
	for _, one := range p.all() {
		_ = one.server.Close()
		_ = one.listener.Close()
	}
}

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
	"fuchsiavane.org/node/suspect"
)

const (
	// readHeaderTimeout bounds the time in which a client sends its header.
	readHeaderTimeout = 5 * time.Second
	// readTimeout bounds the time in which a client sends its whole request.
	readTimeout = 30 * time.Second
	// maxReadHeaderBytes is the maximum size of a header that is read. It exceeds
	// call.MaxHeaderBytes so that a header above that limit gets a problem body.
	maxReadHeaderBytes = 4 * call.MaxHeaderBytes
	// idleTimeout closes connections without a request.
	idleTimeout = 2 * time.Minute
	// clientSendBufferBytes is the size in bytes of the send buffer of a client's connection.
	// The kernel would let it grow to several megabytes for a client that stops reading.
	clientSendBufferBytes = 256 << 10
)

// port is an HTTP server with its listener.
type port struct {
	name     string
	listener *listener
	server   *http.Server
}

// ports holds the daemon's listening ports; those not configured are nil.
type ports struct {
	caller, local, peer, admin *port
	leaving                    atomic.Bool // set by closeAfterResponse
}

// listen opens the configured ports; serve then serves them. If one can't be opened,
// it closes the others.
func (d *Daemon) listen() (*ports, error) {
	peer := http.NewServeMux()
	peer.Handle(link.Path, d.listener)
	peer.Handle(membership.Path, d.fleet.members)
	peer.Handle(settingsync.Path, d.fleet.exchange)
	peer.Handle(suspect.RecallPath, d.recaller)
	p := &ports{}
	for _, want := range []struct {
		dest    **port
		name    string
		addr    string
		clients bool // not peers, whose links bound what is sent by credit
		handler http.Handler
	}{
		{&p.caller, "caller", d.config.CallerListen, true, p.closeWhenLeaving(d.callerHandler())},
		{&p.local, "local", d.config.LocalListen, true, d.gateway.LocalPort()},
		{&p.peer, "peer", d.config.PeerListen, false, peer},
		{&p.admin, "admin", d.config.AdminListen, true, admin.Handler(d)},
	} {
		if want.addr == "" {
			continue
		}
		opened, err := open(want.name, want.addr, want.handler)
		if err != nil {
			p.close()
			return nil, err
		}
		*want.dest = opened
		if !want.clients {
			continue
		}
		if err := opened.listener.setSendBuffer(clientSendBufferBytes); err != nil {
			p.close()
			return nil, errors.Wrapf(err, "%s port: send buffer", want.name)
		}
	}
	return p, nil
}

// callerHandler returns the handler of the caller port.
func (d *Daemon) callerHandler() http.Handler {
	if d.options.CallerDialect != nil {
		return d.gateway.RoutedPort()
	}
	return d.gateway.CallerPort()
}

// open opens a port and does not serve it yet. name names the port in errors.
func open(name, addr string, handler http.Handler) (*port, error) {
	// Keep-alive probes are off: idleTimeout closes the connections of lost clients,
	// and each probe option costs a system call per connection.
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

// opened returns the ports that are not nil.
func (p *ports) opened() []*port {
	var opened []*port
	for _, one := range []*port{p.caller, p.local, p.peer, p.admin} {
		if one != nil {
			opened = append(opened, one)
		}
	}
	return opened
}

// serve serves every port and returns a channel that receives the failures.
func (p *ports) serve() <-chan error {
	failed := make(chan error, len(p.opened()))
	for _, one := range p.opened() {
		go func() {
			if err := one.server.Serve(one.listener); !errors.Is(err, http.ErrServerClosed) {
				failed <- errors.Wrapf(err, "%s port", one.name)
			}
		}()
	}
	return failed
}

// closeAfterResponse makes the caller port close each connection after its next
// response, so that callers switch to another daemon without losing a request.
func (p *ports) closeAfterResponse() { p.leaving.Store(true) }

// drainCallerPort closes the caller port, when no new connection is waiting, and
// waits for its requests in progress. The local port stays open, since running
// requests use it.
func (p *ports) drainCallerPort(ctx context.Context) {
	p.caller.listener.awaitQuiet(ctx)
	_ = p.caller.server.Shutdown(ctx)
}

// drainLocalPort closes the local port and waits for its requests in progress.
func (p *ports) drainLocalPort(ctx context.Context) {
	if p.local != nil {
		_ = p.local.server.Shutdown(ctx)
	}
}

// closeWhenLeaving adds Connection: close to every response while the daemon
// drains.
func (p *ports) closeWhenLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// close closes all ports and their connections at once.
func (p *ports) close() {
	for _, one := range p.opened() {
		_ = one.server.Close()
		_ = one.listener.Close()
	}
}

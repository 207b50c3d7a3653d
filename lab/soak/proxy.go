package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// fault is what a proxy does to its connections.
type fault int

// Faults.
const (
	faultNone fault = iota
	// faultDelay delays each chunk by delayTime.
	faultDelay
	// faultReset resets every connection, including new ones.
	faultReset
	// faultSilence forwards nothing and closes nothing, including new connections.
	faultSilence
	// faultOneWay forwards requests but no responses.
	faultOneWay
	// faultSilenceOpen silences the open connections permanently; new ones work.
	faultSilenceOpen
	faultCount
)

// delayTime is the delay of each chunk under faultDelay.
const delayTime = 150 * time.Millisecond

// proxy forwards the connections of daemons to one server on loopback. It is safe
// for concurrent use.
type proxy struct {
	listener net.Listener
	target   string

	mu          sync.Mutex
	mode        fault
	connections map[*connection]struct{}
}

// connection is one connection through a proxy.
type connection struct {
	client, server net.Conn
	// silent connections no longer forward anything.
	silent bool
}

func newProxy(to string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "proxy")
	}
	p := &proxy{listener: l, target: to, connections: map[*connection]struct{}{}}
	go p.accept()
	return p, nil
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			reset(client)
			continue
		}
		conn := &connection{client: client, server: server}
		p.mu.Lock()
		p.connections[conn] = struct{}{}
		p.mu.Unlock()
		go p.copy(conn, server, client, false)
		go p.copy(conn, client, server, true)
	}
}

// setFault sets the fault of the open and new connections.
func (p *proxy) setFault(mode fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	for conn := range p.connections {
		switch mode {
		case faultReset:
			reset(conn.client)
			reset(conn.server)
		case faultSilenceOpen:
			conn.silent = true
		}
	}
	if mode == faultSilenceOpen {
		p.mode = faultNone
	}
}

// reset closes a TCP connection with RST.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// faultFor returns the fault that applies to a connection now.
func (p *proxy) faultFor(conn *connection) fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn.silent {
		return faultSilence
	}
	return p.mode
}

// copy forwards bytes in one direction and applies the current fault to each chunk.
func (p *proxy) copy(conn *connection, dst, src net.Conn, response bool) {
	defer func() {
		_ = dst.Close()
		_ = src.Close()
		p.mu.Lock()
		delete(p.connections, conn)
		p.mu.Unlock()
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := src.Read(buffer)
		switch p.faultFor(conn) {
		case faultSilence:
			if err == nil {
				continue
			}
		case faultOneWay:
			if response && err == nil {
				continue
			}
		case faultReset:
			reset(dst)
			reset(src)
			return
		case faultDelay:
			time.Sleep(delayTime)
		}
		if n > 0 {
			if _, err := dst.Write(buffer[:n]); err != nil {
				return
			}
		}
		if errors.Is(err, io.EOF) || err != nil {
			return
		}
	}
}

func (p *proxy) close() { _ = p.listener.Close() }

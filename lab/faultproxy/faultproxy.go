// Package faultproxy is a TCP proxy on loopback that misbehaves on demand: it delays,
// resets or silences connections, as networks do.
package faultproxy

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Fault is what a Proxy does to its connections.
type Fault int

// Faults.
const (
	// None forwards all bytes.
	None Fault = iota
	// Delay delays each chunk by delayTime.
	Delay
	// Reset resets every connection, including new ones.
	Reset
	// Silence forwards nothing and closes nothing, including new connections.
	Silence
	// OneWay forwards requests but no responses.
	OneWay
	// SilenceOpen silences the open connections permanently; new ones work.
	SilenceOpen
	// Count is the number of faults.
	Count
)

// String returns the name and number of a fault.
func (f Fault) String() string {
	return [...]string{"none", "delay", "reset", "silence", "one way", "forget"}[f] + fmt.Sprintf(" (%d)", int(f))
}

// delayTime is the delay of each chunk under Delay.
const delayTime = 150 * time.Millisecond

// Proxy forwards connections to one server on loopback. It is safe for concurrent
// use.
type Proxy struct {
	listener net.Listener
	target   string

	mu          sync.Mutex
	mode        Fault
	connections map[*connection]struct{}
}

// connection is one connection through a proxy.
type connection struct {
	client, server net.Conn
	// silent connections no longer forward anything.
	silent bool
}

// New starts a proxy to an address.
func New(to string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "proxy")
	}
	p := &Proxy{listener: l, target: to, connections: map[*connection]struct{}{}}
	go p.accept()
	return p, nil
}

// Addr returns the address of the proxy.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

func (p *Proxy) accept() {
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

// SetFault sets the fault of the open and new connections.
func (p *Proxy) SetFault(mode Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	for conn := range p.connections {
		switch mode {
		case Reset:
			reset(conn.client)
			reset(conn.server)
		case SilenceOpen:
			conn.silent = true
		}
	}
	if mode == SilenceOpen {
		p.mode = None
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
func (p *Proxy) faultFor(conn *connection) Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn.silent {
		return Silence
	}
	return p.mode
}

// copy forwards bytes in one direction and applies the current fault to each chunk.
func (p *Proxy) copy(conn *connection, dst, src net.Conn, response bool) {
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
		case Silence:
			if err == nil {
				continue
			}
		case OneWay:
			if response && err == nil {
				continue
			}
		case Reset:
			reset(dst)
			reset(src)
			return
		case Delay:
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

// Close stops accepting connections.
func (p *Proxy) Close() { _ = p.listener.Close() }

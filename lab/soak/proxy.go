package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// fault is how a proxy treats its connections.
type fault int

// Faults.
const (
	faultNone fault = iota
	// faultDelay holds each piece for a while.
	faultDelay
	// faultReset resets every connection, also new ones.
	faultReset
	// faultSilence passes nothing and closes nothing, also for new connections.
	faultSilence
	// faultOneWay passes requests and no answers.
	faultOneWay
	// faultForget silences the connections that are open; new ones work.
	faultForget
	faults
)

// delay is how long faultDelay holds a piece.
const delay = 150 * time.Millisecond

// proxy stands between daemons and one server on loopback. It is safe for
// concurrent use.
type proxy struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	mode  fault
	pipes map[*pipe]struct{}
}

// pipe is one connection through a proxy.
type pipe struct {
	calling, serving net.Conn
	// silent connections pass nothing for good.
	silent bool
}

func newProxy(to string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "proxy")
	}
	p := &proxy{listener: l, to: to, pipes: map[*pipe]struct{}{}}
	go p.accept()
	return p, nil
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		calling, err := p.listener.Accept()
		if err != nil {
			return
		}
		serving, err := net.Dial("tcp", p.to)
		if err != nil {
			reset(calling)
			continue
		}
		c := &pipe{calling: calling, serving: serving}
		p.mu.Lock()
		p.pipes[c] = struct{}{}
		p.mu.Unlock()
		go p.copy(c, serving, calling, false)
		go p.copy(c, calling, serving, true)
	}
}

// set changes the treatment of the connections.
func (p *proxy) set(mode fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	for c := range p.pipes {
		switch mode {
		case faultReset:
			reset(c.calling)
			reset(c.serving)
		case faultForget:
			c.silent = true
		}
	}
	if mode == faultForget {
		p.mode = faultNone
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// treatment returns what to do with a piece on a connection now.
func (p *proxy) treatment(c *pipe) fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.silent {
		return faultSilence
	}
	return p.mode
}

// copy passes bytes on in one direction.
func (p *proxy) copy(c *pipe, to, from net.Conn, answers bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
		p.mu.Lock()
		delete(p.pipes, c)
		p.mu.Unlock()
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		switch p.treatment(c) {
		case faultSilence:
			if err == nil {
				continue
			}
		case faultOneWay:
			if answers && err == nil {
				continue
			}
		case faultReset:
			reset(to)
			reset(from)
			return
		case faultDelay:
			time.Sleep(delay)
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if errors.Is(err, io.EOF) || err != nil {
			return
		}
	}
}

func (p *proxy) close() { _ = p.listener.Close() }

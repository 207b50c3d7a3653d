package upstream

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"fuchsiavane.org/node/call"
)

const (
	// connectTimeout bounds the opening of a connection to the upstream.
	connectTimeout = time.Second
	// idleTimeout closes an idle connection before common upstreams do it, since a
	// request that meets a closing connection has an unknown outcome.
	idleTimeout = 4 * time.Second
	// singleIdleTimeout is the same for requests that must not run twice, of which a
	// lost connection is a lost request: upstreams may forget connections within some
	// tenths of a second, and a new one costs about 1 ms.
	singleIdleTimeout = 100 * time.Millisecond
	// leastTrust is the least idle time that the loss of a kept connection leaves.
	leastTrust = 20 * time.Millisecond
	// forgottenWithin is the time in which a request on a connection that the upstream
	// has forgotten is reset: the upstream is on the same machine. A later end has
	// another cause.
	forgottenWithin = 20 * time.Millisecond
	// distrustTime is how long idle times stay shortened after such a loss.
	distrustTime = 10 * time.Second
	// forgetPause is the least time between two times that all idle connections are
	// given up.
	forgetPause = 500 * time.Millisecond
	// sweepInterval is the pause between looks for connections idle for too long.
	sweepInterval = time.Second
	// maxIdle bounds the idle connections.
	maxIdle = 256
	// bufferSize is the size of a connection's buffers. The head of a common request
	// or answer fits in.
	bufferSize = 4 << 10
)

// conns keeps connections to the upstream. It is safe for concurrent use.
type conns struct {
	addr   string
	dialer net.Dialer

	mu   sync.Mutex
	idle []*conn // the one used last at the end
	// trust is the idle time up to which kept connections are used until
	// distrustUntil: shorter than that of one which the upstream dropped.
	trust         time.Duration
	distrustUntil time.Time
	sweeping      bool
	// forgotten is when all idle connections were last given up.
	forgotten time.Time
}

func newConns(addr string) *conns {
	// Keep-alive probes are off: a request on a silent connection ends by its
	// deadline, which is sooner.
	return &conns{addr: addr, dialer: net.Dialer{Timeout: connectTimeout, KeepAlive: -1}}
}

// conn is a connection that carries one request at a time.
type conn struct {
	net.Conn
	pool   *conns
	reader *bufio.Reader
	writer *bufio.Writer
	// kept is set when the connection carried a request before.
	kept bool
	// idleSince is when it last became idle, and idleLimit how long the upstream
	// says that it keeps idle connections, 0 if it doesn't say.
	idleSince time.Time
	idleLimit time.Duration
	// written counts the bytes of the present request that the kernel took.
	written int
	// headLeft is the bytes of a head that may still be read; negative outside of
	// heads.
	headLeft int
}

// errHeadTooLarge is a head beyond call.MaxHeaderBytes.
var errHeadTooLarge = errors.Errorf("the head of the upstream's answer is larger than %d bytes", call.MaxHeaderBytes)

// Read implements io.Reader for the buffered reader.
func (c *conn) Read(p []byte) (int, error) {
	if c.headLeft == 0 {
		return 0, errHeadTooLarge
	}
	if c.headLeft > 0 && len(p) > c.headLeft {
		p = p[:c.headLeft]
	}
	n, err := c.Conn.Read(p)
	if c.headLeft > 0 {
		c.headLeft -= n
	}
	return n, err
}

// Write implements io.Writer for the buffered writer.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += n
	return n, err
}

// take returns a kept connection, or a new one. Requests that must not run twice
// take only one that was idle for a short time.
func (p *conns) take(ctx context.Context, single bool) (*conn, error) {
	for {
		c := p.pop(time.Now(), single)
		if c == nil {
			return p.dial(ctx)
		}
		if c.quiet() {
			c.kept, c.written = true, 0
			return c, nil
		}
		_ = c.Close()
	}
}

// pop takes the connection that was used last, or returns nil if that was idle
// for too long.
func (p *conns) pop(now time.Time, single bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := len(p.idle) - 1
	if last < 0 {
		return nil
	}
	c := p.idle[last]
	idle := now.Sub(c.idleSince)
	if idle >= p.limit(now, c) || single && idle >= singleIdleTimeout {
		return nil
	}
	p.idle = p.idle[:last]
	return c
}

// limit returns the idle time up to which a connection is used. The caller holds
// the lock.
func (p *conns) limit(now time.Time, c *conn) time.Duration {
	limit := idleTimeout
	if c.idleLimit > 0 {
		limit = min(limit, c.idleLimit)
	}
	if now.Before(p.distrustUntil) {
		limit = min(limit, p.trust)
	}
	return limit
}

func (p *conns) dial(ctx context.Context) (*conn, error) {
	tcp, err := p.dialer.DialContext(ctx, "tcp", p.addr)
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	c := &conn{Conn: tcp, pool: p, headLeft: -1}
	c.reader, c.writer = bufio.NewReaderSize(c, bufferSize), bufio.NewWriterSize(c, bufferSize)
	return c, nil
}

// quiet reports that nothing came on an idle connection: neither its end nor bytes
// that belong to no request.
func (c *conn) quiet() bool {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return quiet && err == nil
}

// put keeps a connection whose exchange is complete.
func (p *conns) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) >= maxIdle {
		_ = c.Close()
		return
	}
	c.idleSince = time.Now()
	p.idle = append(p.idle, c)
	if !p.sweeping {
		p.sweeping = true
		time.AfterFunc(sweepInterval, p.sweep)
	}
}

// sweep closes the connections that were idle for too long, and looks again while
// there are any.
func (p *conns) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Sub(c.idleSince) >= p.limit(now, c) {
			_ = c.Close()
			continue
		}
		kept = append(kept, c)
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	p.sweeping = len(kept) > 0
	if p.sweeping {
		time.AfterFunc(sweepInterval, p.sweep)
	}
}

// dropped takes in that a kept connection ended without an answer: the upstream
// forgets idle connections sooner than known, so that those as old are used no more
// for a while.
func (p *conns) dropped(now time.Time, idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	trust := max(idle/2, leastTrust)
	if now.Before(p.distrustUntil) {
		trust = min(trust, p.trust)
	}
	p.trust, p.distrustUntil = trust, now.Add(distrustTime)
}

// silent takes in that a kept connection gave no answer until the deadline: what lies
// between may have lost track of all idle ones without a word, and they are closed.
func (p *conns) silent(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.forgotten) < forgetPause {
		return
	}
	p.forgotten = now
	for _, c := range p.idle {
		_ = c.Close()
	}
	clear(p.idle)
	p.idle = p.idle[:0]
}

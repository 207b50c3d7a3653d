package upstream

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"fuchsiavane.org/node/call"
)

const (
	// connectTimeout bounds the dialling of the upstream.
	connectTimeout = time.Second
	// idleTimeout is shorter than that of common upstreams, since a request on a
	// connection that the upstream is closing has an unknown outcome.
	idleTimeout = 4 * time.Second
	// singleIdleTimeout is the idleTimeout for requests that must not run twice,
	// which are lost with their connection: upstreams may drop connections within
	// some tenths of a second, and a new one costs about 1 ms.
	singleIdleTimeout = 100 * time.Millisecond
	// minTrustedIdle is the lower bound of trustedIdle.
	minTrustedIdle = 20 * time.Millisecond
	// staleResetTime is the time within which a request on a connection that the
	// upstream has dropped is reset, as the upstream is on the same machine. A
	// later reset has another cause.
	staleResetTime = 20 * time.Millisecond
	// distrustDuration is how long trustedIdle applies after the reset of an idle
	// connection.
	distrustDuration = 10 * time.Second
	// minFlushInterval is the minimum time between two closings of all idle
	// connections.
	minFlushInterval = 500 * time.Millisecond
	// sweepInterval is the time between checks for connections that were idle for
	// too long.
	sweepInterval = time.Second
	// maxIdle bounds the number of idle connections.
	maxIdle = 256
	// maxRefused is the number of refusals after which a connection is not kept.
	maxRefused = 32
	// bufferSize is the size of a connection's read and write buffers in bytes. The
	// head of a common request or response fits in.
	bufferSize = 4 << 10
)

// connPool is a pool of connections to the upstream. It is safe for concurrent use.
type connPool struct {
	addr   string
	dialer net.Dialer

	mu   sync.Mutex
	idle []*conn // most recently used last
	// trustedIdle is the maximum idle time of connections that are reused until
	// distrustUntil: shorter than the idle time of the connections that the
	// upstream has reset.
	trustedIdle   time.Duration
	distrustUntil time.Time
	sweeping      bool
	// flushedAt is when all idle connections were last closed because one gave no
	// response.
	flushedAt time.Time
}

func newConnPool(addr string) *connPool {
	// Keep-alive probes are off: the deadline of a request on a silent connection
	// is sooner.
	return &connPool{addr: addr, dialer: net.Dialer{Timeout: connectTimeout, KeepAlive: -1}}
}

// conn is a connection that carries one request at a time.
type conn struct {
	net.Conn
	pool   *connPool
	reader *bufio.Reader
	writer *bufio.Writer
	// reused is set if the connection has carried an earlier request.
	reused bool
	// idleSince is when the connection last became idle, and idleLimit the maximum
	// idle time by the upstream's Keep-Alive header, 0 if there is none.
	idleSince time.Time
	idleLimit time.Duration
	// refused lists the ids of the requests that the upstream refused on this
	// connection.
	refused []string
	// written is the number of bytes of the current request that the kernel
	// accepted; writeErr is the error of its failed write, whose cause net/http hides.
	written  int
	writeErr error
	// headRemaining is the number of bytes that may still be read of a response
	// head; negative while no head is read.
	headRemaining int
}

// errHeadTooLarge means that a response head is larger than call.MaxHeaderBytes.
var errHeadTooLarge = errors.Errorf("the head of the upstream's answer is larger than %d bytes", call.MaxHeaderBytes)

// Read implements io.Reader for the buffered reader.
func (c *conn) Read(p []byte) (int, error) {
	if c.headRemaining == 0 {
		return 0, errHeadTooLarge
	}
	if c.headRemaining > 0 && len(p) > c.headRemaining {
		p = p[:c.headRemaining]
	}
	n, err := c.Conn.Read(p)
	if c.headRemaining > 0 {
		c.headRemaining -= n
	}
	return n, err
}

// Write implements io.Writer for the buffered writer.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += n
	if err != nil {
		c.writeErr = err
	}
	return n, err
}

// reuse says which idle connections a request may use.
type reuse struct {
	// recent allows only connections idle for less than singleIdleTimeout, for requests
	// that must not run twice.
	recent bool
	// id is the id of a request that an upstream may have refused before, else empty.
	// The connection of that refusal is not used: a faulty upstream may write it there
	// once more.
	id string
}

// reuseOf returns which idle connections a request may use.
func reuseOf(r *call.Request) reuse {
	allowed := reuse{recent: !r.Idempotent}
	if r.Repeat {
		allowed.id = r.CallerRequestID
	}
	return allowed
}

// take returns an idle connection that may be used, or a new one if there is none.
func (p *connPool) take(ctx context.Context, allowed reuse) (*conn, error) {
	for {
		c := p.pop(time.Now(), allowed)
		if c == nil {
			return p.dial(ctx)
		}
		if c.isIdleClean() {
			c.reused, c.written = true, 0
			return c, nil
		}
		_ = c.Close()
	}
}

// pop removes and returns the most recently used connection that may be used, or returns
// nil if there is none or it was idle for too long.
func (p *connPool) pop(now time.Time, allowed reuse) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := len(p.idle) - 1
	for last >= 0 && allowed.id != "" && slices.Contains(p.idle[last].refused, allowed.id) {
		last--
	}
	if last < 0 {
		return nil
	}
	c := p.idle[last]
	idle := now.Sub(c.idleSince)
	if idle >= p.maxIdleTime(now, c) || allowed.recent && idle >= singleIdleTimeout {
		return nil
	}
	p.idle = slices.Delete(p.idle, last, last+1)
	return c
}

// maxIdleTime returns the maximum idle time of a connection that may be reused. The
// caller holds the lock.
func (p *connPool) maxIdleTime(now time.Time, c *conn) time.Duration {
	limit := idleTimeout
	if c.idleLimit > 0 {
		limit = min(limit, c.idleLimit)
	}
	if now.Before(p.distrustUntil) {
		limit = min(limit, p.trustedIdle)
	}
	return limit
}

func (p *connPool) dial(ctx context.Context) (*conn, error) {
	tcp, err := p.dialer.DialContext(ctx, "tcp", p.addr)
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	c := &conn{Conn: tcp, pool: p, headRemaining: -1}
	c.reader, c.writer = bufio.NewReaderSize(c, bufferSize), bufio.NewWriterSize(c, bufferSize)
	return c, nil
}

// isIdleClean reports whether nothing arrived on an idle connection: neither its
// end nor bytes that belong to no request.
func (c *conn) isIdleClean() bool {
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

// put returns a connection to the pool after a complete exchange.
func (p *connPool) put(c *conn) {
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

// sweep closes connections that were idle for too long, and schedules itself again
// while any are idle.
func (p *connPool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	valid := p.idle[:0]
	for _, c := range p.idle {
		if now.Sub(c.idleSince) >= p.maxIdleTime(now, c) {
			_ = c.Close()
			continue
		}
		valid = append(valid, c)
	}
	clear(p.idle[len(valid):])
	p.idle = valid
	p.sweeping = len(valid) > 0
	if p.sweeping {
		time.AfterFunc(sweepInterval, p.sweep)
	}
}

// recordReset records that a reused connection was reset without a response: the
// upstream drops idle connections sooner than expected, so for a while connections
// idle for as long are not reused.
func (p *connPool) recordReset(now time.Time, idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	trust := max(idle/2, minTrustedIdle)
	if now.Before(p.distrustUntil) {
		trust = min(trust, p.trustedIdle)
	}
	p.trustedIdle, p.distrustUntil = trust, now.Add(distrustDuration)
}

// recordSilence closes all idle connections after a reused one gave no response
// until the deadline: the path to the upstream may have silently lost all idle
// connections.
func (p *connPool) recordSilence(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.flushedAt) < minFlushInterval {
		return
	}
	p.flushedAt = now
	for _, c := range p.idle {
		_ = c.Close()
	}
	clear(p.idle)
	p.idle = p.idle[:0]
}

package link

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// relay is a TCP proxy. freeze stops the open connections in one or both
// directions; new connections work.
type relay struct {
	// blackhole makes the relay accept new connections and forward nothing.
	blackhole atomic.Bool

	listener net.Listener
	to       string

	mu    sync.Mutex
	pipes []*pipe
}

// pipe is one relayed connection.
type pipe struct {
	calling, serving                 net.Conn
	frozenToServing, frozenToCalling atomic.Bool // towards the serving or the calling side
	thawed                           chan struct{}
	closeOnce, thawOnce              sync.Once
}

func newRelay(t *testing.T, to string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: l, to: to}
	t.Cleanup(func() {
		_ = l.Close()
		r.each(func(p *pipe) { p.close() })
	})
	go r.accept()
	return r
}

func (r *relay) addr() string { return r.listener.Addr().String() }

func (r *relay) accept() {
	for {
		calling, err := r.listener.Accept()
		if err != nil {
			return
		}
		if r.blackhole.Load() {
			r.mu.Lock()
			r.pipes = append(r.pipes, &pipe{calling: calling, serving: calling, thawed: make(chan struct{})})
			r.mu.Unlock()
			continue
		}
		r.mu.Lock()
		to := r.to
		r.mu.Unlock()
		serving, err := net.Dial("tcp", to)
		if err != nil {
			_ = calling.Close()
			continue
		}
		p := &pipe{calling: calling, serving: serving, thawed: make(chan struct{})}
		r.mu.Lock()
		r.pipes = append(r.pipes, p)
		r.mu.Unlock()
		go p.copy(serving, calling, &p.frozenToServing)
		go p.copy(calling, serving, &p.frozenToCalling)
	}
}

// copy forwards bytes. While its direction is frozen it forwards nothing, not even
// the end of the connection.
func (p *pipe) copy(to, from net.Conn, frozen *atomic.Bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if frozen.Load() {
			<-p.thawed
		}
		if n > 0 {
			_, _ = to.Write(buffer[:n])
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

func (p *pipe) close() {
	p.thawOnce.Do(func() { close(p.thawed) })
	p.closeOnce.Do(func() {
		_ = p.calling.Close()
		_ = p.serving.Close()
	})
}

func (r *relay) each(do func(*pipe)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pipes {
		do(p)
	}
}

// freeze stops the open connections in the given directions.
func (r *relay) freeze(up, down bool) {
	r.each(func(p *pipe) {
		p.frozenToServing.Store(up)
		p.frozenToCalling.Store(down)
	})
}

// thaw forwards the buffered bytes and ends the freeze.
func (r *relay) thaw() {
	r.each(func(p *pipe) {
		p.frozenToServing.Store(false)
		p.frozenToCalling.Store(false)
		p.thawOnce.Do(func() { close(p.thawed) })
	})
}

// cut closes the open connections.
func (r *relay) cut() { r.each(func(p *pipe) { p.close() }) }

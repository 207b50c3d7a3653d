// Package suspect stands in front of the upstream and keeps requests that crash
// it from being run again and again. It sees what was in flight when the
// upstream died; core/suspect decides.
package suspect

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	core "fuchsiavane.org/core/suspect"
	"fuchsiavane.org/node/call"
	"fuchsiavane.org/node/event"
)

// HeaderSuspect marks, between daemons, the answer to a request that was in
// flight when its upstream died, and the request when it is sent once more. Its
// value is MarkAlone or MarkQuarantined.
const HeaderSuspect = "Fuchsiavane-Suspect"

// Values of HeaderSuspect.
const (
	MarkExclusive   = "alone"
	MarkQuarantined = "quarantined"
)

const (
	// probeTime bounds the look whether a broken run was a crash.
	probeTime = 100 * time.Millisecond
	// probePause is the pause between two connections tried in that time.
	probePause = 10 * time.Millisecond
	// aloneWait bounds the wait of a request that must run alone, and of those
	// that wait for it.
	aloneWait = 2 * time.Second
)

// Broadcaster tells other instances of suspicions. The answers of the runs that were
// in the crash wait for Tell, so that no resend comes before the news.
type Broadcaster interface {
	Broadcast(told []core.Suspicion)
}

// Guard is the Server in front of the runner. It is safe for concurrent use.
type Guard struct {
	next   call.Server
	addr   string // of the upstream
	ledger *core.Ledger
	spread Broadcaster
	log    *event.Logger
	room   room

	mu      sync.Mutex
	last    uint64
	flights map[uint64]*flight
	crashes uint64
	looking *crash // the look in progress, nil if none
	dead    bool   // has crashed and not been reached since
}

// flight is a run in progress.
type flight struct {
	print core.Fingerprint
	// crash is the crash that the run was in, nil if none.
	crash *crash
}

// crash is one look at whether the upstream has died. done is closed when
// confirmed is known.
type crash struct {
	done      chan struct{}
	confirmed bool
	prints    []core.Fingerprint
	flights   []*flight
	broken    int
}

var _ call.Server = (*Guard)(nil)

// NewGuard returns a Guard for the upstream at a host:port. spread may be nil.
func NewGuard(next call.Server, addr string, spread Broadcaster, log *event.Logger) *Guard {
	return &Guard{
		next: next, addr: addr, ledger: core.NewLedger(), spread: spread, log: log,
		flights: map[uint64]*flight{},
	}
}

// Ledger returns what is known, for operators and for suspicions that arrive.
func (g *Guard) Ledger() *core.Ledger { return g.ledger }

// Crashes returns the crashes of the upstream seen so far.
func (g *Guard) Crashes() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.crashes
}

// Serve implements call.Server.
func (g *Guard) Serve(ctx context.Context, r *call.Request) *call.Answer {
	print := FingerprintOf(r)
	if mark := r.Header.Get(HeaderSuspect); mark == markTold {
		return g.told(r)
	} else if mark != "" {
		ApplyMark(g.ledger, print, mark)
		r = unmarked(r)
	}
	verdict := g.ledger.Check(time.Now(), print)
	if verdict == core.Quarantined {
		return RefuseQuarantined(r)
	}
	alone := verdict == core.Exclusive
	if !g.room.enter(ctx, alone) {
		a := refuse(r, call.RefusedOverload, "a request that may crash the upstream runs alone")
		a.RetryAfter = time.Second
		return a
	}
	if !g.alive() {
		g.room.leave(alone)
		return refuse(r, call.RefusedUnreachable, "the upstream has crashed")
	}
	id, f := g.begin(print)
	answer := g.next.Serve(ctx, r)
	if broken(answer) {
		return g.broken(id, f, answer, alone)
	}
	if alone && answer.Outcome == call.Ran {
		g.ledger.Clear(print)
	}
	answer.Body = &leavingBody{answer.Body, sync.OnceFunc(func() { g.end(id, alone) })}
	return answer
}

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(r *call.Request) core.Fingerprint {
	return core.FingerprintOf(r.Service, r.Method, r.RequestURI, r.Key, r.Body)
}

// ApplyMark takes what a mark says of a request.
func ApplyMark(ledger *core.Ledger, print core.Fingerprint, mark string) {
	now := time.Now()
	s := core.Suspicion{Fingerprint: print, Crashes: 1, Until: now.Add(core.SuspicionDuration)}
	if mark == MarkQuarantined {
		s = core.Suspicion{Fingerprint: print, Crashes: 2, Quarantined: true, Until: now.Add(core.QuarantineDuration)}
	}
	ledger.Merge(now, []core.Suspicion{s})
}

// unmarked returns the request as the upstream gets it.
func unmarked(r *call.Request) *call.Request {
	clean := *r
	clean.Header = r.Header.Clone()
	clean.Header.Del(HeaderSuspect)
	return &clean
}

// RefuseQuarantined answers a request that is quarantined.
func RefuseQuarantined(r *call.Request) *call.Answer {
	return refuse(r, call.RefusedQuarantined, "the request has crashed upstreams and is quarantined")
}

func refuse(r *call.Request, refusal call.Refusal, detail string) *call.Answer {
	a := call.Refuse(call.NotRun, refusal, detail)
	a.UnusedRetries = r.RetryBudget
	return a
}

// broken reports whether the connection to the upstream broke during the run.
func broken(a *call.Answer) bool {
	return a.Refusal == call.RefusedUnreachable && a.Outcome == call.Unknown
}

// alive reports whether the upstream can be reached, which is looked at only
// after a crash. A run that began at a dead upstream would be taken for the
// cause of a second crash.
func (g *Guard) alive() bool {
	g.mu.Lock()
	dead := g.dead
	g.mu.Unlock()
	if !dead {
		return true
	}
	if g.refuses() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dead = false
	return true
}

func (g *Guard) begin(print core.Fingerprint) (uint64, *flight) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.last++
	f := &flight{print: print}
	g.flights[g.last] = f
	return g.last, f
}

func (g *Guard) end(id uint64, alone bool) {
	g.mu.Lock()
	delete(g.flights, id)
	g.mu.Unlock()
	g.room.leave(alone)
}

// broken ends a run whose connection broke, and marks its answer if the
// upstream has died.
func (g *Guard) broken(id uint64, f *flight, answer *call.Answer, alone bool) *call.Answer {
	c, first := g.crashOf(f)
	if first {
		g.examine(c)
	}
	<-c.done
	if c.confirmed {
		answer.Header.Set(HeaderSuspect, g.mark(f.print))
	}
	g.end(id, alone)
	return answer
}

func (g *Guard) mark(print core.Fingerprint) string {
	if g.ledger.Check(time.Now(), print) == core.Quarantined {
		return MarkQuarantined
	}
	return MarkExclusive
}

// crashOf returns the look that a broken run belongs to. The first of the runs
// that were in flight together opens it.
func (g *Guard) crashOf(f *flight) (c *crash, first bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if f.crash == nil && g.looking != nil {
		f.crash = g.looking // began when the upstream was dead or dying
	}
	if f.crash == nil {
		f.crash = &crash{done: make(chan struct{})}
		first = true
		g.looking = f.crash
		for _, other := range g.flights {
			if other == f || other.crash == nil {
				other.crash = f.crash
				f.crash.flights = append(f.crash.flights, other)
				f.crash.prints = append(f.crash.prints, other.print)
			}
		}
	}
	if slices.Contains(f.crash.flights, f) {
		f.crash.broken++
	}
	return f.crash, first
}

// examine finds out whether the upstream has died: it takes no connection, or
// all of several runs broke together.
func (g *Guard) examine(c *crash) {
	defer g.conclude(c)
	for end := time.Now().Add(probeTime); time.Now().Before(end); time.Sleep(probePause) {
		if g.refuses() || g.allBroken(c) {
			c.confirmed = true
			break
		}
	}
	if !c.confirmed {
		g.forgive(c)
		return
	}
	g.mu.Lock()
	g.crashes++
	g.dead = true
	g.mu.Unlock()
	told := g.ledger.RecordCrash(time.Now(), c.prints)
	g.log.Log(event.UpstreamCrashed).Int("in_flight", len(c.prints)).Msg("the upstream has crashed")
	for _, s := range told {
		if s.Quarantined {
			g.log.Log(event.RequestQuarantined).Uint64("fingerprint", uint64(s.Fingerprint)).Msg("a request is quarantined")
		}
	}
	if g.spread != nil {
		g.spread.Broadcast(told)
	}
}

// conclude ends a look.
func (g *Guard) conclude(c *crash) {
	g.mu.Lock()
	g.looking = nil
	g.mu.Unlock()
	close(c.done)
}

// forgive lets the runs that go on open another look.
func (g *Guard) forgive(c *crash) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, f := range c.flights {
		f.crash = nil
	}
}

func (g *Guard) allBroken(c *crash) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(c.prints) > 1 && c.broken == len(c.prints)
}

// refuses reports whether the upstream takes no connection.
func (g *Guard) refuses() bool {
	conn, err := net.DialTimeout("tcp", g.addr, probeTime)
	if err != nil {
		return true
	}
	_ = conn.Close()
	return false
}

// leavingBody ends the run when the answer's body is closed.
type leavingBody struct {
	body interface {
		Read([]byte) (int, error)
		Close() error
	}
	leave func()
}

// Read implements io.Reader.
func (b *leavingBody) Read(p []byte) (int, error) { return b.body.Read(p) }

// Close implements io.Closer.
func (b *leavingBody) Close() error {
	defer b.leave()
	return b.body.Close()
}

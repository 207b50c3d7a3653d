// Package suspect keeps requests that crash the upstream from being run
// repeatedly. It records the requests in flight at a crash; core/suspect decides
// which may run.
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

// HeaderSuspect is set between daemons on the answer to a request that was in
// flight when its upstream crashed, and on the request when it is sent again. Its
// value is MarkExclusive or MarkQuarantined.
const HeaderSuspect = "Fuchsiavane-Suspect"

// Values of HeaderSuspect.
const (
	// MarkExclusive means that the request may run only while no other one runs.
	MarkExclusive = "alone"
	// MarkQuarantined means that the request must not run.
	MarkQuarantined = "quarantined"
)

const (
	// crashCheckTimeout bounds the check whether a broken run was a crash.
	crashCheckTimeout = 100 * time.Millisecond
	// crashCheckInterval is the time between two connection attempts of a check.
	crashCheckInterval = 10 * time.Millisecond
	// exclusiveTimeout bounds the wait of a request that must run exclusively, and
	// of the requests that wait for it.
	exclusiveTimeout = 2 * time.Second
)

// Broadcaster sends suspicions to other instances. The answers of the runs in
// flight at a crash wait until Broadcast returns, so that the suspicions arrive
// before any resend.
type Broadcaster interface {
	Broadcast(suspicions []core.Suspicion)
}

// Guard is a call.Server that checks requests for suspicion before it passes them
// to the runner. It is safe for concurrent use.
type Guard struct {
	next        call.Server
	addr        string // of the upstream
	ledger      *core.Ledger
	broadcaster Broadcaster
	log         *event.Logger
	lock        exclusiveLock

	mu       sync.Mutex
	lastID   uint64
	running  map[uint64]*run
	crashes  uint64
	checking *crashCheck // the check in progress, nil if none
	down     bool        // crashed and not reachable since
}

// run is a request that is running at the upstream.
type run struct {
	fingerprint core.Fingerprint
	// check is the crash check that the run belongs to, nil if none.
	check *crashCheck
}

// crashCheck is one check whether the upstream has crashed. done is closed when
// confirmed is final; broken is the number of its runs whose connection broke.
type crashCheck struct {
	done         chan struct{}
	confirmed    bool
	fingerprints []core.Fingerprint
	runs         []*run
	broken       int
}

var _ call.Server = (*Guard)(nil)

// NewGuard returns a Guard for the upstream at a host:port. broadcaster may be nil.
func NewGuard(next call.Server, addr string, broadcaster Broadcaster, log *event.Logger) *Guard {
	return &Guard{
		next: next, addr: addr, ledger: core.NewLedger(), broadcaster: broadcaster, log: log,
		running: map[uint64]*run{},
	}
}

// Ledger returns the suspicions known to this instance.
func (g *Guard) Ledger() *core.Ledger { return g.ledger }

// Crashes returns the number of upstream crashes detected so far.
func (g *Guard) Crashes() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.crashes
}

// Serve implements call.Server.
func (g *Guard) Serve(ctx context.Context, r *call.Request) *call.Answer {
	fingerprint := FingerprintOf(r)
	if mark := r.Header.Get(HeaderSuspect); mark == markBroadcast {
		return g.receiveBroadcast(r)
	} else if mark != "" {
		ApplyMark(g.ledger, fingerprint, mark)
		r = withoutMark(r)
	}
	verdict := g.ledger.Check(time.Now(), fingerprint)
	if verdict == core.Quarantined {
		return RefuseQuarantined(r)
	}
	exclusive := verdict == core.Exclusive
	if !g.lock.acquire(ctx, exclusive) {
		a := refuse(r, call.RefusedOverload, "a request that may crash the upstream runs alone")
		a.RetryAfter = time.Second
		return a
	}
	if !g.isReachable() {
		g.lock.release(exclusive)
		return refuse(r, call.RefusedUnreachable, "the upstream has crashed")
	}
	id, f := g.begin(fingerprint)
	answer := g.next.Serve(ctx, r)
	if connectionBroke(answer) {
		return g.endBroken(id, f, answer, exclusive)
	}
	if exclusive && answer.Outcome == call.Ran {
		g.ledger.Clear(fingerprint)
	}
	answer.Body = &endingBody{answer.Body, sync.OnceFunc(func() { g.end(id, exclusive) })}
	return answer
}

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(r *call.Request) core.Fingerprint {
	return core.FingerprintOf(r.Service, r.Method, r.RequestURI, r.Key, r.Body)
}

// ApplyMark merges the suspicion that a value of HeaderSuspect expresses into a
// ledger.
func ApplyMark(ledger *core.Ledger, fingerprint core.Fingerprint, mark string) {
	now := time.Now()
	s := core.Suspicion{Fingerprint: fingerprint, Crashes: 1, Until: now.Add(core.SuspicionDuration)}
	if mark == MarkQuarantined {
		s = core.Suspicion{Fingerprint: fingerprint, Crashes: 2, Quarantined: true, Until: now.Add(core.QuarantineDuration)}
	}
	ledger.Merge(now, []core.Suspicion{s})
}

// withoutMark returns a copy of the request without HeaderSuspect, for the
// upstream.
func withoutMark(r *call.Request) *call.Request {
	clean := *r
	clean.Header = r.Header.Clone()
	clean.Header.Del(HeaderSuspect)
	return &clean
}

// RefuseQuarantined returns the refusal of a quarantined request.
func RefuseQuarantined(r *call.Request) *call.Answer {
	return refuse(r, call.RefusedQuarantined, "the request has crashed upstreams and is quarantined")
}

func refuse(r *call.Request, refusal call.Refusal, detail string) *call.Answer {
	a := call.Refuse(call.NotRun, refusal, detail)
	a.UnusedRetries = r.RetryBudget
	return a
}

// connectionBroke reports whether the connection to the upstream broke during the run.
func connectionBroke(a *call.Answer) bool {
	return a.Refusal == call.RefusedUnreachable && a.Outcome == call.Unknown
}

// isReachable reports whether the upstream accepts connections. It tries only after
// a crash: a run that started while the upstream is down would be taken for the cause
// of a second crash.
func (g *Guard) isReachable() bool {
	g.mu.Lock()
	down := g.down
	g.mu.Unlock()
	if !down {
		return true
	}
	if g.connectionFails() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.down = false
	return true
}

func (g *Guard) begin(fingerprint core.Fingerprint) (uint64, *run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastID++
	f := &run{fingerprint: fingerprint}
	g.running[g.lastID] = f
	return g.lastID, f
}

func (g *Guard) end(id uint64, exclusive bool) {
	g.mu.Lock()
	delete(g.running, id)
	g.mu.Unlock()
	g.lock.release(exclusive)
}

// endBroken ends a run whose connection broke, and marks its answer if the upstream
// has crashed.
func (g *Guard) endBroken(id uint64, f *run, answer *call.Answer, exclusive bool) *call.Answer {
	c, first := g.checkFor(f)
	if first {
		g.runCheck(c)
	}
	<-c.done
	if c.confirmed {
		answer.Header.Set(HeaderSuspect, g.mark(f.fingerprint))
	}
	g.end(id, exclusive)
	return answer
}

// mark returns the value of HeaderSuspect for a suspected request.
func (g *Guard) mark(fingerprint core.Fingerprint) string {
	if g.ledger.Check(time.Now(), fingerprint) == core.Quarantined {
		return MarkQuarantined
	}
	return MarkExclusive
}

// checkFor returns the crash check that a broken run belongs to. The first broken
// run starts the check for all runs in flight; first is set for that run.
func (g *Guard) checkFor(f *run) (c *crashCheck, first bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if f.check == nil && g.checking != nil {
		f.check = g.checking // started during the crash
	}
	if f.check == nil {
		f.check = &crashCheck{done: make(chan struct{})}
		first = true
		g.checking = f.check
		for _, other := range g.running {
			if other == f || other.check == nil {
				other.check = f.check
				f.check.runs = append(f.check.runs, other)
				f.check.fingerprints = append(f.check.fingerprints, other.fingerprint)
			}
		}
	}
	if slices.Contains(f.check.runs, f) {
		f.check.broken++
	}
	return f.check, first
}

// runCheck determines whether the upstream has crashed, which is so if it accepts
// no connection, or if several runs were in flight and all of them broke. A crash
// is recorded and broadcast.
func (g *Guard) runCheck(c *crashCheck) {
	defer g.finishCheck(c)
	for end := time.Now().Add(crashCheckTimeout); time.Now().Before(end); time.Sleep(crashCheckInterval) {
		if g.connectionFails() || g.allRunsBroke(c) {
			c.confirmed = true
			break
		}
	}
	if !c.confirmed {
		g.detachRuns(c)
		return
	}
	g.mu.Lock()
	g.crashes++
	g.down = true
	g.mu.Unlock()
	suspicions := g.ledger.RecordCrash(time.Now(), c.fingerprints)
	g.log.Log(event.UpstreamCrashed).Int("in_flight", len(c.fingerprints)).Msg("the upstream has crashed")
	for _, s := range suspicions {
		if s.Quarantined {
			g.log.Log(event.RequestQuarantined).Uint64("fingerprint", uint64(s.Fingerprint)).Msg("a request is quarantined")
		}
	}
	if g.broadcaster != nil {
		g.broadcaster.Broadcast(suspicions)
	}
}

// finishCheck ends a crash check and wakes the runs that wait for it.
func (g *Guard) finishCheck(c *crashCheck) {
	g.mu.Lock()
	g.checking = nil
	g.mu.Unlock()
	close(c.done)
}

// detachRuns detaches the runs from an unconfirmed check, so that those still
// running can start another one.
func (g *Guard) detachRuns(c *crashCheck) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, f := range c.runs {
		f.check = nil
	}
}

func (g *Guard) allRunsBroke(c *crashCheck) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(c.fingerprints) > 1 && c.broken == len(c.fingerprints)
}

// connectionFails reports whether the upstream accepts no connection.
func (g *Guard) connectionFails() bool {
	conn, err := net.DialTimeout("tcp", g.addr, crashCheckTimeout)
	if err != nil {
		return true
	}
	_ = conn.Close()
	return false
}

// endingBody calls end when the body of an answer is closed.
type endingBody struct {
	body interface {
		Read([]byte) (int, error)
		Close() error
	}
	end func()
}

// Read implements io.Reader.
func (b *endingBody) Read(p []byte) (int, error) { return b.body.Read(p) }

// Close implements io.Closer.
func (b *endingBody) Close() error {
	defer b.end()
	return b.body.Close()
}

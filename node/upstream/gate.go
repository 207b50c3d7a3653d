package upstream

import (
	"context"
	"math"
	"sync"
	"time"

	"fuchsiavane.org/core/admission"
	"fuchsiavane.org/core/level"
	"fuchsiavane.org/core/route"
	"fuchsiavane.org/node/call"
	"fuchsiavane.org/node/event"
	"fuchsiavane.org/node/settingsync"
)

// sharesInterval is the time after which shares are read again, for the windows
// of the setting hours, whose times are whole minutes.
const sharesInterval = 10 * time.Second

// queuedInterval is the pause between looks at the queue while requests wait.
const queuedInterval = 5 * time.Millisecond

// agedInterval is the same for an upstream that announces its slots, where
// requests wait until their deadline and not for a short time of their own.
const agedInterval = 20 * time.Millisecond

// announcedPart is the part of the slots that an upstream announces that is
// used: one that has every slot taken may slow down.
const announcedPart = 0.95

// Gate holds the admission controller of the upstream and lets requests wait
// for its grants. It is safe for concurrent use.
type Gate struct {
	service  string
	settings *settingsync.Holder
	log      *event.Logger

	mu         sync.Mutex
	controller *admission.Controller
	revision   uint64
	slots      int // as the upstream announced them, 0 if it did not
	configured time.Time
	waiting    map[admission.Ticket]chan admission.Reason
	told       []float64 // the part let through by rank, as last logged
	// queued holds a token when a request began to wait since the last look.
	queued chan struct{}
}

// NewGate returns a Gate for the upstream of a service.
func NewGate(service string, holder *settingsync.Holder) *Gate {
	now := time.Now()
	g := &Gate{
		service:  service,
		settings: holder,
		log:      event.Discard(),
		waiting:  map[admission.Ticket]chan admission.Reason{},
		queued:   make(chan struct{}, 1),
	}
	g.controller = admission.New(now, g.config(now))
	return g
}

// SetLogger makes the Gate log its refusals.
func (g *Gate) SetLogger(log *event.Logger) { g.log = log }

// Slot is a slot held by a running request.
type Slot struct {
	gate    *Gate
	ticket  admission.Ticket
	entered time.Time
	// answered is the time that the upstream took to begin its answer, 0 before.
	answered time.Duration
}

// Result says how a run ended, as far as the upstream is concerned.
type Result int

// Ends of runs.
const (
	// ResultCompleted runs got an answer.
	ResultCompleted Result = iota
	// ResultOverloaded runs were refused by the upstream.
	ResultOverloaded
	// ResultTimedOut runs were ended by their deadline.
	ResultTimedOut
	// ResultAbandoned runs were given up, or failed by what they called.
	ResultAbandoned
)

// Acquire waits for a slot. Either the pass or the refusal is nil.
func (g *Gate) Acquire(ctx context.Context, r *call.Request) (*Slot, *call.Answer) {
	now := time.Now()
	rank := g.settings.Current().Document.RankIndex(r.Rank)
	g.mu.Lock()
	g.reconfigure(now)
	d := g.controller.Offer(now, admission.Request{
		ID: r.ID, Rank: rank, Caller: r.Caller, Deadline: r.Deadline, Timestamp: r.Began, Nested: r.Nested,
	})
	g.deliver(d.Grants)
	var granted chan admission.Reason
	if d.Verdict == admission.Queued {
		granted = make(chan admission.Reason, 1)
		g.waiting[d.Ticket] = granted
		g.announceWait()
	}
	g.mu.Unlock()
	reason := d.Reason
	if granted != nil {
		reason = g.wait(ctx, d.Ticket, granted)
	}
	if reason != admission.ReasonNone {
		return nil, g.refuse(r, rank, reason, time.Since(now))
	}
	return &Slot{gate: g, ticket: d.Ticket, entered: time.Now()}, nil
}

// announceWait wakes Run. One token stands for all requests that begin to wait
// before it is taken.
func (g *Gate) announceWait() {
	select {
	case g.queued <- struct{}{}:
	default:
	}
}

// reasonCancelled says that the caller gave up while it waited.
const reasonCancelled admission.Reason = "cancelled"

// wait returns the fate of a queued request.
func (g *Gate) wait(ctx context.Context, ticket admission.Ticket, granted chan admission.Reason) admission.Reason {
	select {
	case reason := <-granted:
		return reason
	case <-ctx.Done():
	}
	g.mu.Lock()
	queued := g.controller.Cancel(ticket)
	delete(g.waiting, ticket)
	g.mu.Unlock()
	if queued {
		return reasonCancelled
	}
	return <-granted
}

func (g *Gate) refuse(r *call.Request, rank int, reason admission.Reason, waited time.Duration) *call.Answer {
	g.mu.Lock()
	retryAfter := g.controller.RetryAfter(rank, r.ID)
	worst := g.controller.Level(rank)
	running, queued, limit := g.controller.InFlight(), g.controller.Queued(), g.controller.Limit(time.Now())
	g.mu.Unlock()
	g.log.Log(event.RequestHeld).Str("request", r.Label).Str("root", r.ID).Str("rank", r.Rank).Bool("nested", r.Nested).
		Str("reason", string(reason)).Int64("age_ms", ageOf(r).Milliseconds()).Int64("waited_ms", waited.Milliseconds()).Int64("left_ms", time.Until(r.Deadline).Milliseconds()).
		Int("running", running).Int("queued", queued).Int("limit", limit).Float64("level_pass", level.AdmittedFraction(worst)).
		Uint64("settings", g.settings.Current().Revision).Msg("no slot")
	var a *call.Answer
	switch reason {
	case reasonCancelled:
		a = call.Refuse(call.NotRun, call.RefusedCancelled, "given up while waiting for a slot")
	case admission.ReasonDeadline:
		a = call.Refuse(call.NotRun, call.RefusedDeadline, "the deadline can't be met")
	default:
		a = call.Refuse(call.NotRun, call.RefusedOverload, "no slot: "+string(reason))
		a.RetryAfter = retryAfter
	}
	a.Level = worst
	return a
}

// ageOf returns the time since a request's root entered the fleet, 0 if that is not
// known.
func ageOf(r *call.Request) time.Duration {
	if r.Began.IsZero() {
		return 0
	}
	return time.Since(r.Began)
}

// SetAnnouncedSlots takes the slots that the upstream says it has, and how much longer it
// stays slow after its start.
func (g *Gate) SetAnnouncedSlots(slots int) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if slots == g.slots {
		return
	}
	g.slots = slots
	g.deliver(g.controller.Configure(now, g.config(now)))
}

// Level returns the admission level of a rank at this upstream.
func (g *Gate) Level(rank string) level.Level {
	index := g.settings.Current().Document.RankIndex(rank)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.controller.Level(index)
}

// ResponseStarted notes that the upstream has begun its answer: the time that a caller
// takes to read it tells nothing about the upstream.
func (p *Slot) ResponseStarted() { p.answered = time.Since(p.entered) }

// Release gives the slot back.
func (p *Slot) Release(end Result) {
	now := time.Now()
	latency := p.answered
	if latency == 0 {
		latency = now.Sub(p.entered)
	}
	g := p.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.controller.Finish(now, p.ticket, admission.Sample{
		Latency: latency, Overloaded: end == ResultOverloaded,
		TimedOut: end == ResultTimedOut, Abandoned: end == ResultAbandoned,
	}))
}

// Run is the duty that settles queued requests whose time is over and adjusts
// the levels, until the context ends. It looks often only while requests wait.
func (g *Gate) Run(ctx context.Context) {
	timer := time.NewTimer(level.Interval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.queued:
		case <-timer.C:
		}
		timer.Reset(g.tick(time.Now()))
	}
}

// tick looks at the queue and the levels and returns the pause before the next
// look.
func (g *Gate) tick(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reconfigure(now)
	g.deliver(g.controller.Expire(now))
	g.logLevels(now)
	if g.controller.Queued() > 0 {
		if g.slots > 0 {
			return agedInterval
		}
		return queuedInterval
	}
	return level.Interval
}

// toldChange is the change of the part let through that is logged.
const toldChange = 0.1

// logLevels writes a line for each rank whose level has changed. The caller holds
// the lock.
func (g *Gate) logLevels(now time.Time) {
	ranks := g.settings.Current().Document.Ranks()
	for len(g.told) < len(ranks) {
		g.told = append(g.told, 1)
	}
	for i := range ranks {
		pass := level.AdmittedFraction(g.controller.Level(i))
		if math.Abs(pass-g.told[i]) < toldChange && (pass < 1 || g.told[i] == 1) {
			continue
		}
		g.told[i] = pass
		g.log.Log(event.LevelChanged).Str("rank", ranks[i].Name).Float64("level_pass", pass).
			Int("running", g.controller.InFlight()).Int("queued", g.controller.Queued()).Int("limit", g.controller.Limit(now)).
			Int64("mean_run_ms", g.controller.MeanRunTime().Milliseconds()).Msg("level changed")
	}
}

// Occupancy returns the requests running and queued.
func (g *Gate) Occupancy() (running, queued int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.controller.InFlight(), g.controller.Queued()
}

// Load returns the load that answers carry.
func (g *Gate) Load() route.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.controller
	return route.Load{Outstanding: c.InFlight() + c.Queued(), Slots: c.Limit(time.Now()), ServiceTime: c.MeanRunTime()}
}

// Limit returns the number of requests that may run at a time.
func (g *Gate) Limit() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.controller.Limit(time.Now())
}

// RefusedFraction returns the part of the requests of the worst rank that the levels
// of this upstream refuse.
func (g *Gate) RefusedFraction() float64 {
	ranks := len(g.settings.Current().Document.Ranks())
	g.mu.Lock()
	defer g.mu.Unlock()
	worst := level.Level(0)
	for rank := range max(ranks, 1) {
		worst = max(worst, g.controller.Level(rank))
	}
	return 1 - level.AdmittedFraction(worst)
}

// deliver hands grants to those who wait. The caller holds the lock.
func (g *Gate) deliver(grants []admission.Grant) {
	for _, grant := range grants {
		if granted, ok := g.waiting[grant.Ticket]; ok {
			delete(g.waiting, grant.Ticket)
			granted <- grant.Reason
		}
	}
}

// reconfigure takes a new revision of the settings, and shares that change with
// the time of day. The caller holds the lock.
func (g *Gate) reconfigure(now time.Time) {
	if g.settings.Current().Revision == g.revision && now.Sub(g.configured) < sharesInterval {
		return
	}
	g.deliver(g.controller.Configure(now, g.config(now)))
}

func (g *Gate) config(now time.Time) admission.Config {
	inForce := g.settings.Current()
	g.revision = inForce.Revision
	g.configured = now
	document := inForce.Document
	v := document.ServiceValues(g.service)
	shares := document.SharesAt(g.service, now)
	if g.slots > 0 {
		v.Slots = max(1, int(announcedPart*float64(g.slots)))
	}
	config := admission.Config{Announced: g.slots > 0, Slots: v.Slots, Connections: v.Connections, QueueTimeout: v.QueueTimeout, SlowStart: v.SlowStart}
	for i, rank := range document.Ranks() {
		config.Ranks = append(config.Ranks, admission.Rank{Share: shares[i], Protected: rank.Protected})
	}
	return config
}

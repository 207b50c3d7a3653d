package upstream

import (
	"context"
	"math"
	"sync"
	"time"

	"fuchsiavane.org/core/admission"
	"fuchsiavane.org/core/level"
	"fuchsiavane.org/core/rate"
	"fuchsiavane.org/core/route"
	"fuchsiavane.org/node/call"
	"fuchsiavane.org/node/event"
	"fuchsiavane.org/node/settingsync"
)

// sharesInterval is how often the shares are recomputed, since the time
// windows of the setting "hours" begin and end at full minutes.
const sharesInterval = 10 * time.Second

// queueInterval is the time between checks of the queue while requests are queued.
const queueInterval = 5 * time.Millisecond

// announcedQueueInterval is the queueInterval for an upstream that announces its
// slots: there, requests are queued until their deadline, not for a short queue
// timeout.
const announcedQueueInterval = 20 * time.Millisecond

// usableFraction is the fraction of the announced slots that is used, since an
// upstream may slow down when all its slots are taken.
const usableFraction = 0.95

// Gate wraps the admission controller of the upstream: requests block in Acquire
// until they get a slot or are refused. It is safe for concurrent use.
type Gate struct {
	service  string
	settings *settingsync.Holder
	log      *event.Logger

	mu             sync.Mutex
	controller     *admission.Controller
	revision       uint64
	announcedSlots int // 0 if the upstream announces none
	configuredAt   time.Time
	limitNamed     time.Time // when the upstream last named a rate limit
	// heard is set once the upstream has answered.
	heard           bool
	waiting         map[admission.Ticket]chan admission.Reason
	loggedFractions []float64 // admitted fraction by rank, as last logged
	// wake contains a token if a request was queued since the last update.
	wake chan struct{}
}

// NewGate returns a Gate for the upstream of a service.
func NewGate(service string, holder *settingsync.Holder) *Gate {
	now := time.Now()
	g := &Gate{
		service:  service,
		settings: holder,
		log:      event.Discard(),
		waiting:  map[admission.Ticket]chan admission.Reason{},
		wake:     make(chan struct{}, 1),
	}
	g.controller = admission.New(now, g.config(now))
	return g
}

// SetLogger sets the logger for refusals and level changes. The default discards
// them.
func (g *Gate) SetLogger(log *event.Logger) { g.log = log }

// Slot is a slot held by a running request.
type Slot struct {
	gate     *Gate
	ticket   admission.Ticket
	acquired time.Time
	// responseTime is the time that the upstream took to start its response, 0
	// before that.
	responseTime time.Duration
}

// Result says how a run ended, as a sample of the upstream's load.
type Result int

// Results of runs.
const (
	// ResultCompleted means that the upstream responded.
	ResultCompleted Result = iota
	// ResultOverloaded means that the upstream refused the request.
	ResultOverloaded
	// ResultTimedOut means that the deadline passed before a response.
	ResultTimedOut
	// ResultAbandoned means that the caller abandoned the request, or that the run
	// failed for a reason other than the upstream, such as a nested call.
	ResultAbandoned
)

// Acquire waits for a slot. It returns either a Slot, which the caller must
// release, or a refusal; the other one is nil.
func (g *Gate) Acquire(ctx context.Context, r *call.Request) (*Slot, *call.Answer) {
	now := time.Now()
	rank := g.settings.Current().Document.RankIndex(r.Rank)
	g.mu.Lock()
	g.reconfigure(now)
	d := g.controller.Offer(now, admission.Request{
		ID: r.ID, Rank: rank, Caller: r.Caller, Deadline: r.Deadline, Timestamp: r.Timestamp, Nested: r.Nested,
	})
	g.deliverGrants(d.Grants)
	var granted chan admission.Reason
	if d.Verdict == admission.Queued {
		granted = make(chan admission.Reason, 1)
		g.waiting[d.Ticket] = granted
		g.wakeRun()
	}
	g.mu.Unlock()
	reason := d.Reason
	if granted != nil {
		reason = g.wait(ctx, d.Ticket, granted)
	}
	if reason != admission.ReasonNone {
		return nil, g.refuse(r, rank, reason, time.Since(now))
	}
	return &Slot{gate: g, ticket: d.Ticket, acquired: time.Now()}, nil
}

// wakeRun wakes Run. One token covers all requests that are queued before Run takes
// it.
func (g *Gate) wakeRun() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// reasonCancelled means that the caller abandoned the request while it was queued.
const reasonCancelled admission.Reason = "cancelled"

// wait blocks until a queued request gets a slot, for which it returns ReasonNone,
// or is refused or cancelled.
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
	rankLevel := g.controller.Level(rank)
	running, queued, limit := g.controller.InFlight(), g.controller.Queued(), g.controller.Limit(time.Now())
	g.mu.Unlock()
	g.log.Log(event.RequestRefused).Str("request", r.CallerRequestID).Str("root", r.ID).Str("rank", r.Rank).Bool("nested", r.Nested).
		Str("reason", string(reason)).Int64("age_ms", ageOf(r).Milliseconds()).Int64("waited_ms", waited.Milliseconds()).Int64("left_ms", time.Until(r.Deadline).Milliseconds()).
		Int("running", running).Int("queued", queued).Int("limit", limit).Float64("level_pass", level.AdmittedFraction(rankLevel)).
		Uint64("settings", g.settings.Current().Revision).Msg("request refused: no slot")
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
	a.Level = rankLevel
	return a
}

// ageOf returns the time since the root request entered the fleet, 0 if that is not
// known.
func ageOf(r *call.Request) time.Duration {
	if r.Timestamp.IsZero() {
		return 0
	}
	return time.Since(r.Timestamp)
}

// SetAnnouncedSlots sets the number of slots that the upstream announces, 0 for
// none.
func (g *Gate) SetAnnouncedSlots(slots int) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if slots == g.announcedSlots {
		return
	}
	g.announcedSlots = slots
	g.deliverGrants(g.controller.Configure(now, g.config(now)))
}

// rateLimitRetention is the time after an answer that names a rate limit in which
// answers that name none don't end it, since answers may overtake each other.
const rateLimitRetention = 500 * time.Millisecond

// RecordRateLimit records whether an answer of the upstream names a rate limit, and
// which, in requests per second.
func (g *Gate) RecordRateLimit(now time.Time, perSecond float64, named bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.heard = true
	switch {
	case named:
		g.limitNamed = now
		g.setRateLimit(now, max(perSecond, rate.MinPerSecond))
	case now.Sub(g.limitNamed) >= rateLimitRetention:
		g.setRateLimit(now, 0)
	}
}

// SuggestRateLimit sets the rate limit that a peer remembers of the upstream, 0 if it
// knows none, until the first answer of the upstream.
func (g *Gate) SuggestRateLimit(now time.Time, perSecond float64) {
	if !(perSecond > 0) || math.IsInf(perSecond, 0) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.heard {
		g.setRateLimit(now, perSecond)
	}
}

// ForgetRateLimit ends the rate limit, because another upstream has taken the place of
// the one that named it.
func (g *Gate) ForgetRateLimit(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limitNamed = time.Time{}
	g.setRateLimit(now, 0)
}

// setRateLimit sets the rate limit; 0 ends it. The caller holds the lock.
func (g *Gate) setRateLimit(now time.Time, perSecond float64) {
	if perSecond == g.controller.RateLimit() {
		return
	}
	if line := g.log.LogRateLimited(event.UpstreamLimit); line != nil {
		line.Float64("per_second", perSecond).Float64("before", g.controller.RateLimit()).
			Int("running", g.controller.InFlight()).Int("queued", g.controller.Queued()).Msg("rate limit of the upstream changed")
	}
	g.deliverGrants(g.controller.SetRateLimit(now, perSecond))
}

// RateLimit returns the rate limit that the upstream names, in requests per second; 0
// if it names none.
func (g *Gate) RateLimit() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.controller.RateLimit()
}

// Level returns the admission level of a rank at this upstream.
func (g *Gate) Level(rank string) level.Level {
	index := g.settings.Current().Document.RankIndex(rank)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.controller.Level(index)
}

// ResponseStarted records that the upstream has started its response. The latency
// ends here: the time that a caller takes to read the response says nothing about
// the upstream.
func (s *Slot) ResponseStarted() { s.responseTime = time.Since(s.acquired) }

// Release frees the slot and records the latency and result of its run.
func (s *Slot) Release(result Result) {
	now := time.Now()
	latency := s.responseTime
	if latency == 0 {
		latency = now.Sub(s.acquired)
	}
	g := s.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliverGrants(g.controller.Finish(now, s.ticket, admission.Sample{
		Latency: latency, Overloaded: result == ResultOverloaded,
		TimedOut: result == ResultTimedOut, Abandoned: result == ResultAbandoned,
	}))
}

// Run expires queued requests and adjusts the levels until the context ends. It
// checks at short intervals only while requests are queued.
func (g *Gate) Run(ctx context.Context) {
	timer := time.NewTimer(level.Interval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.wake:
		case <-timer.C:
		}
		timer.Reset(g.update(time.Now()))
	}
}

// update expires queued requests, adjusts the levels and returns the time until the
// next update.
func (g *Gate) update(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reconfigure(now)
	g.deliverGrants(g.controller.Expire(now))
	g.logLevels(now)
	if g.controller.Queued() > 0 {
		if g.announcedSlots > 0 {
			return announcedQueueInterval
		}
		return queueInterval
	}
	return level.Interval
}

// minLoggedChange is the smallest change of an admitted fraction that is logged.
const minLoggedChange = 0.1

// logLevels logs each rank whose level has changed. The caller holds the lock.
func (g *Gate) logLevels(now time.Time) {
	ranks := g.settings.Current().Document.Ranks()
	for len(g.loggedFractions) < len(ranks) {
		g.loggedFractions = append(g.loggedFractions, 1)
	}
	for i := range ranks {
		admitted := level.AdmittedFraction(g.controller.Level(i))
		if math.Abs(admitted-g.loggedFractions[i]) < minLoggedChange && (admitted < 1 || g.loggedFractions[i] == 1) {
			continue
		}
		g.loggedFractions[i] = admitted
		g.log.Log(event.LevelChanged).Str("rank", ranks[i].Name).Float64("level_pass", admitted).
			Int("running", g.controller.InFlight()).Int("queued", g.controller.Queued()).Int("limit", g.controller.Limit(now)).
			Int64("mean_run_ms", g.controller.MeanRunTime().Milliseconds()).Msg("level changed")
	}
}

// Occupancy returns the numbers of running and queued requests.
func (g *Gate) Occupancy() (running, queued int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.controller.InFlight(), g.controller.Queued()
}

// Load returns the load of this instance that is reported with each answer.
func (g *Gate) Load() route.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.controller
	return route.Load{Outstanding: c.InFlight() + c.Queued(), Slots: c.Capacity(time.Now()), ServiceTime: c.MeanRunTime(), RateLimit: c.RateLimit()}
}

// Limit returns the number of requests that may run concurrently.
func (g *Gate) Limit() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.controller.Limit(time.Now())
}

// RefusedFraction returns the fraction of requests that this upstream's level
// refuses, for the rank with the strictest level.
func (g *Gate) RefusedFraction() float64 {
	ranks := len(g.settings.Current().Document.Ranks())
	g.mu.Lock()
	defer g.mu.Unlock()
	strictest := level.Level(0)
	for rank := range max(ranks, 1) {
		strictest = max(strictest, g.controller.Level(rank))
	}
	return 1 - level.AdmittedFraction(strictest)
}

// deliverGrants passes grants to the waiting requests. The caller holds the lock.
func (g *Gate) deliverGrants(grants []admission.Grant) {
	for _, grant := range grants {
		if granted, ok := g.waiting[grant.Ticket]; ok {
			delete(g.waiting, grant.Ticket)
			granted <- grant.Reason
		}
	}
}

// reconfigure applies a new revision of the settings, and shares that change with
// the time of day. The caller holds the lock.
func (g *Gate) reconfigure(now time.Time) {
	if g.settings.Current().Revision == g.revision && now.Sub(g.configuredAt) < sharesInterval {
		return
	}
	g.deliverGrants(g.controller.Configure(now, g.config(now)))
}

func (g *Gate) config(now time.Time) admission.Config {
	inForce := g.settings.Current()
	g.revision = inForce.Revision
	g.configuredAt = now
	document := inForce.Document
	v := document.ServiceValues(g.service)
	shares := document.SharesAt(g.service, now)
	if g.announcedSlots > 0 {
		v.Slots = max(1, int(usableFraction*float64(g.announcedSlots)))
	}
	config := admission.Config{Announced: g.announcedSlots > 0, Slots: v.Slots, Connections: v.Connections, QueueTimeout: v.QueueTimeout, SlowStart: v.SlowStart}
	for i, rank := range document.Ranks() {
		config.Ranks = append(config.Ranks, admission.Rank{Share: shares[i], Protected: rank.Protected})
	}
	return config
}

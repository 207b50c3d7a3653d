// Package presence tracks the upstream of the daemon: its last heartbeat, and whether
// it accepts requests.
//
// An upstream announces itself with heartbeats. Each start of it is an incarnation
// with a start time; heartbeats of an older incarnation, or older heartbeats of the
// same one, change nothing.
//
// An acknowledged departure outlives the daemon's process: package departure keeps it in
// the platform's store. Until the departures of earlier processes are recalled, a single
// heartbeat doesn't make the upstream ready, since it may have been sent before the
// departure. One of the first after a start, or a second one, does, so that an outage of
// the store takes no upstream away.
//
// The package is a state machine that gets the time as an argument; it is safe for
// concurrent use.
package presence

import (
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Phase says whether an upstream accepts new requests.
type Phase string

// Phases.
const (
	// PhaseAbsent means that no upstream is known, or that the known one has left, was
	// replaced by another at its address, or has sent no heartbeat for too long.
	PhaseAbsent Phase = "absent"
	// PhaseReady means that the upstream accepts requests.
	PhaseReady Phase = "ready"
	// PhaseDraining means that the upstream finishes its requests and accepts no new
	// ones.
	PhaseDraining Phase = "draining"
)

// maxMissedHeartbeats is the number of heartbeat intervals without a heartbeat after
// which an upstream counts as absent. A heartbeat may be seconds late, and a crash is
// detected sooner by its connections.
const maxMissedHeartbeats = 6

// Heartbeat is one heartbeat of an upstream.
type Heartbeat struct {
	// Instance identifies the incarnation. Requests carry it as the expected receiver.
	Instance string
	// StartedAt is the start of the incarnation in Unix milliseconds by the upstream's
	// clock. It is only used to order incarnations.
	StartedAt int64
	// Sequence orders the heartbeats of one incarnation.
	Sequence uint64
	Phase    Phase
	// Slots is the number of requests that the upstream runs at the same time.
	Slots int
	// WarmUpRemaining is how much longer the upstream stays slow after its start.
	WarmUpRemaining time.Duration
	// Version is the version of the upstream's software, for the log.
	Version string
}

// State is what is known of the upstream.
type State struct {
	Heartbeat
	// ReceivedAt is when the last heartbeat was received.
	ReceivedAt time.Time
	// WarmUpEnd is when the upstream is expected to reach its full speed.
	WarmUpEnd time.Time
}

// Departure is what is known of an incarnation that is leaving.
type Departure struct {
	// Instance identifies the incarnation.
	Instance string
	// At is when the daemon was notified.
	At time.Time
	// StartedAt is the start of the incarnation, if StartKnown is set. A daemon that
	// has just started may receive the notice of leaving before any heartbeat.
	StartedAt  int64
	StartKnown bool
}

const (
	// lateHeartbeatTime is how long after a notice of leaving a heartbeat of the
	// instance counts as late if the start of the leaving incarnation is not known.
	// Heartbeats may be seconds late.
	lateHeartbeatTime = 30 * time.Second
	// maxRestartSequence is the highest sequence of a heartbeat that counts as one of an
	// upstream that has just started, since sequences restart with the upstream.
	maxRestartSequence = 2
)

// supersedes reports whether a heartbeat is older than the notice of leaving.
func (d *Departure) supersedes(now time.Time, b Heartbeat) bool {
	if b.Phase == PhaseDraining {
		return false
	}
	if d.StartKnown {
		return b.StartedAt <= d.StartedAt
	}
	return b.Sequence > maxRestartSequence && now.Sub(d.At) < lateHeartbeatTime
}

// Errors of RecordHeartbeat and MarkLeaving.
var (
	// ErrStale means that a newer report of the upstream is known.
	ErrStale = errors.New("the heartbeat is older than the last report of the upstream")
	// ErrOtherInstance means that the instance is not the upstream of this daemon.
	ErrOtherInstance = errors.New("the instance is not the upstream of this daemon")
)

// Presence tracks the upstream. The zero value is not usable; use New.
type Presence struct {
	interval time.Duration

	mu    sync.Mutex
	state State
	// departures holds the incarnations that have announced their departure, by
	// instance.
	departures map[string]Departure
	// departureVersion counts the changes of departures.
	departureVersion uint64
	// recallPending is set until the departures of earlier processes are known.
	recallPending bool
	// confirmed is set once a heartbeat has shown that the upstream has just started or
	// goes on, and firstHeartbeatAt is when the first heartbeat of its incarnation was received.
	confirmed        bool
	firstHeartbeatAt time.Time
	changed          chan struct{}
}

// New returns a Presence without a known upstream. interval is the time between an
// upstream's heartbeats.
func New(interval time.Duration) *Presence {
	return &Presence{
		interval:   interval,
		state:      State{Heartbeat: Heartbeat{Phase: PhaseAbsent}},
		departures: map[string]Departure{},
		changed:    make(chan struct{}, 1),
	}
}

// NewStatic returns a Presence of an upstream that sends no heartbeats and is always
// ready.
func NewStatic() *Presence {
	p := New(0)
	p.state.Phase = PhaseReady
	return p
}

// RecordHeartbeat records a heartbeat. It returns ErrStale if a newer report is known.
func (p *Presence) RecordHeartbeat(now time.Time, b Heartbeat) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isStale(now, b) {
		return ErrStale
	}
	if b.Phase == PhaseDraining {
		p.recordDeparture(Departure{b.Instance, now, b.StartedAt, true})
	}
	sameIncarnation := b.Instance == p.state.Instance && b.StartedAt == p.state.StartedAt
	if !sameIncarnation {
		p.confirmed, p.firstHeartbeatAt = false, now
	}
	confirms := !p.confirmed && (b.Sequence <= maxRestartSequence || sameIncarnation && now.Sub(p.firstHeartbeatAt) >= p.interval/2)
	p.confirmed = p.confirmed || confirms
	changed := !sameIncarnation || b.Phase != p.state.Phase || b.Slots != p.state.Slots || confirms && p.recallPending
	p.state = State{Heartbeat: b, ReceivedAt: now, WarmUpEnd: now.Add(b.WarmUpRemaining)}
	if changed {
		p.notify()
	}
	return nil
}

// isStale reports whether a heartbeat is older than the recorded state. The caller holds
// the lock.
func (p *Presence) isStale(now time.Time, b Heartbeat) bool {
	if d, departed := p.departures[b.Instance]; departed && d.supersedes(now, b) {
		return true
	}
	known := &p.state.Heartbeat
	if known.Instance == "" {
		return false
	}
	if b.StartedAt != known.StartedAt {
		return b.StartedAt < known.StartedAt
	}
	return b.Instance == known.Instance && b.Sequence <= known.Sequence
}

// maxDepartures is the maximum number of leaving incarnations recorded.
const maxDepartures = 64

// recordDeparture records an incarnation that is leaving. The caller holds the lock.
func (p *Presence) recordDeparture(d Departure) {
	known, departed := p.departures[d.Instance]
	if departed && (known.StartKnown && !d.StartKnown || known.StartKnown == d.StartKnown && known.StartedAt >= d.StartedAt) {
		return // the known departure tells as much
	}
	if len(p.departures) >= maxDepartures {
		clear(p.departures)
	}
	p.departures[d.Instance] = d
	p.departureVersion++
}

// Departures returns the known departures, the latest first, and their version, which
// changes with them.
func (p *Presence) Departures() ([]Departure, uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]Departure, 0, len(p.departures))
	for _, d := range p.departures {
		list = append(list, d)
	}
	slices.SortFunc(list, func(a, b Departure) int { return b.At.Compare(a.At) })
	return list, p.departureVersion
}

// AwaitRecall makes the Presence wait for Recall before it relies on a single heartbeat.
func (p *Presence) AwaitRecall() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recallPending = true
}

// Recall adds the departures that earlier processes of the daemon have acknowledged.
func (p *Presence) Recall(now time.Time, departures []Departure) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recallPending = false
	for _, d := range departures {
		p.recordDeparture(d)
	}
	if d, departed := p.departures[p.state.Instance]; departed && d.supersedes(now, p.state.Heartbeat) {
		p.state.Phase = PhaseAbsent
	}
	p.notify()
}

// MarkLeaving records that an instance is leaving. It returns ErrOtherInstance if the
// instance is not the upstream of this daemon, but records the departure: the daemon
// may not have received the first heartbeat of its upstream yet.
func (p *Presence) MarkLeaving(now time.Time, instance string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state.Instance != instance {
		p.recordDeparture(Departure{Instance: instance, At: now})
		return ErrOtherInstance
	}
	p.recordDeparture(Departure{instance, now, p.state.StartedAt, true})
	p.state.Phase = PhaseAbsent
	p.notify()
	return nil
}

// MarkDraining records that an answer of an instance said that it is leaving.
// Heartbeats that say otherwise are of before, unless the instance starts again.
func (p *Presence) MarkDraining(now time.Time, instance string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state.Instance != instance || p.state.Phase != PhaseReady {
		return
	}
	p.recordDeparture(Departure{instance, now, p.state.StartedAt, true})
	p.state.Phase = PhaseDraining
	p.notify()
}

// MarkMisdirected records that another upstream responded at the address of an
// instance. The instance counts as absent until its next heartbeat.
func (p *Presence) MarkMisdirected(instance string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state.Instance != instance || p.state.Phase == PhaseAbsent {
		return
	}
	p.state.Phase = PhaseAbsent
	p.notify()
}

// Current returns the state of the upstream at the time now.
func (p *Presence) Current(now time.Time) State {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.state
	if p.interval > 0 && state.Phase != PhaseAbsent && now.Sub(state.ReceivedAt) > maxMissedHeartbeats*p.interval {
		state.Phase = PhaseAbsent
	}
	if p.recallPending && !p.confirmed && state.Phase == PhaseReady {
		state.Phase = PhaseAbsent
	}
	return state
}

// Changed returns a channel that receives a value when the upstream, its phase or its
// number of slots has changed.
func (p *Presence) Changed() <-chan struct{} { return p.changed }

func (p *Presence) notify() {
	select {
	case p.changed <- struct{}{}:
	default: // a notification is pending
	}
}

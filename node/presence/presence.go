// Package presence knows which upstream stands beside the daemon: what it last
// said of itself, and whether it takes work.
//
// An upstream announces itself with heartbeats. Each start of it is an
// incarnation with a birth time; news of an older incarnation, or older news of
// the same one, changes nothing. The package is a state machine whose time comes
// in as an argument; it is safe for concurrent use.
package presence

import (
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Phase is what an upstream says it does with new work.
type Phase string

// Phases.
const (
	// PhaseAbsent means that no upstream is known.
	PhaseAbsent Phase = "absent"
	// PhaseReady upstreams take work.
	PhaseReady Phase = "ready"
	// PhaseDraining upstreams finish what they have and take nothing new.
	PhaseDraining Phase = "draining"
)

// lapseBeats is the number of heartbeat intervals without a heartbeat after
// which an upstream counts as absent. A heartbeat may come seconds late, and a
// crash shows sooner at its connections.
const lapseBeats = 6

// Heartbeat is one heartbeat of an upstream.
type Heartbeat struct {
	// Instance names the incarnation; requests name it back to the upstream.
	Instance string
	// StartedAt is the start of the incarnation, Unix milliseconds by the upstream's
	// clock; it only orders incarnations.
	StartedAt int64
	// Sequence orders the heartbeats of one incarnation.
	Sequence uint64
	Phase    Phase
	// Slots is the number of requests that the upstream runs at a time.
	Slots int
	// WarmUpRemaining is how much longer the upstream stays slow after its start.
	WarmUpRemaining time.Duration
	// Version is the version of the upstream's software, for the log.
	Version string
}

// State is what is known of the upstream.
type State struct {
	Heartbeat
	// ReceivedAt is when the last heartbeat came.
	ReceivedAt time.Time
	// WarmUpEnd is when the upstream is expected to reach its full speed.
	WarmUpEnd time.Time
}

// departure is what is known of an incarnation that leaves.
type departure struct {
	at time.Time
	// born is its birth, if known: a daemon that was started a moment ago may hear
	// of the departure before it hears any heartbeat.
	born  int64
	known bool
}

const (
	// departedFor is the time in which a heartbeat of an instance whose departed
	// incarnation is not known counts as late, since heartbeats come seconds late.
	departedFor = 30 * time.Second
	// freshSequence is the highest sequence of a heartbeat that shows a new start
	// in that time, since counts start anew.
	freshSequence = 2
)

// overrules reports whether a heartbeat is older news than the departure.
func (d *departure) overrules(now time.Time, b Heartbeat) bool {
	if b.Phase == PhaseDraining {
		return false
	}
	if d.known {
		return b.StartedAt <= d.born
	}
	return b.Sequence > freshSequence && now.Sub(d.at) < departedFor
}

// Errors of Beat and Leave.
var (
	// ErrStale means that newer news of the upstream is known.
	ErrStale = errors.New("the heartbeat is older than what is known")
	// ErrOtherInstance means that the instance is not the upstream beside this daemon.
	ErrOtherInstance = errors.New("the instance is not the one beside this daemon")
)

// Presence follows the upstream. The zero value is not usable; use New.
type Presence struct {
	interval time.Duration

	mu    sync.Mutex
	state State
	// left holds the incarnations that have said that they leave, by instance.
	left    map[string]departure
	changed chan struct{}
}

// New returns a Presence that knows no upstream. interval is the pause between
// an upstream's heartbeats.
func New(interval time.Duration) *Presence {
	return &Presence{
		interval: interval,
		state:    State{Heartbeat: Heartbeat{Phase: PhaseAbsent}},
		left:     map[string]departure{},
		changed:  make(chan struct{}, 1),
	}
}

// NewStatic returns a Presence of an upstream that sends no heartbeats.
func NewStatic() *Presence {
	p := New(0)
	p.state.Phase = PhaseReady
	return p
}

// RecordHeartbeat takes a heartbeat in. It returns ErrStale if newer news is known.
func (p *Presence) RecordHeartbeat(now time.Time, b Heartbeat) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.older(now, b) {
		return ErrStale
	}
	if b.Phase == PhaseDraining {
		p.remember(b.Instance, departure{now, b.StartedAt, true})
	}
	changed := b.Instance != p.state.Instance || b.Phase != p.state.Phase || b.Slots != p.state.Slots || b.StartedAt != p.state.StartedAt
	p.state = State{Heartbeat: b, ReceivedAt: now, WarmUpEnd: now.Add(b.WarmUpRemaining)}
	if changed {
		p.announce()
	}
	return nil
}

// older reports whether a heartbeat is older news than what is known. The
// caller holds the lock.
func (p *Presence) older(now time.Time, b Heartbeat) bool {
	if d, gone := p.left[b.Instance]; gone && d.overrules(now, b) {
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

// maxLeft bounds the incarnations that are remembered as gone.
const maxLeft = 64

// remember notes an incarnation that leaves. The caller holds the lock.
func (p *Presence) remember(instance string, d departure) {
	if p.left[instance].known && !d.known {
		return // says less than what is known
	}
	if len(p.left) >= maxLeft {
		clear(p.left)
	}
	p.left[instance] = d
}

// MarkLeaving takes in that an instance ends. It returns ErrOther if that is not the
// upstream beside this daemon.
func (p *Presence) MarkLeaving(now time.Time, instance string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state.Instance != instance {
		p.remember(instance, departure{at: now})
		return ErrOtherInstance
	}
	p.remember(instance, departure{now, p.state.StartedAt, true})
	p.state.Phase = PhaseAbsent
	p.announce()
	return nil
}

// MarkMisdirected takes in that another upstream answered at the address: the known
// one is gone until it sends another heartbeat.
func (p *Presence) MarkMisdirected(instance string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state.Instance != instance || p.state.Phase == PhaseAbsent {
		return
	}
	p.state.Phase = PhaseAbsent
	p.announce()
}

// Current returns what is known of the upstream.
func (p *Presence) Current(now time.Time) State {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.state
	if p.interval > 0 && state.Phase != PhaseAbsent && now.Sub(state.ReceivedAt) > lapseBeats*p.interval {
		state.Phase = PhaseAbsent
	}
	return state
}

// Changed gets a value when the upstream or its phase changed.
func (p *Presence) Changed() <-chan struct{} { return p.changed }

func (p *Presence) announce() {
	select {
	case p.changed <- struct{}{}:
	default: // one is waiting already
	}
}

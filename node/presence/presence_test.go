package presence

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const interval = 1500 * time.Millisecond

func heartbeat(instance string, startedAt int64, sequence uint64, phase Phase) Heartbeat {
	return Heartbeat{Instance: instance, StartedAt: startedAt, Sequence: sequence, Phase: phase, Slots: 10}
}

// TestNewerNewsHolds checks that the latest heartbeat of the latest incarnation
// applies, in whatever order heartbeats arrive.
func TestNewerNewsHolds(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		name       string
		heartbeats []Heartbeat
		want       Heartbeat
	}{
		{"later heartbeat", []Heartbeat{heartbeat("a", 1, 1, PhaseReady), heartbeat("a", 1, 2, PhaseDraining)}, heartbeat("a", 1, 2, PhaseDraining)},
		{"late heartbeat", []Heartbeat{heartbeat("a", 1, 2, PhaseDraining), heartbeat("a", 1, 1, PhaseReady)}, heartbeat("a", 1, 2, PhaseDraining)},
		{"next incarnation", []Heartbeat{heartbeat("a", 1, 9, PhaseReady), heartbeat("b", 2, 1, PhaseReady)}, heartbeat("b", 2, 1, PhaseReady)},
		{"heartbeat of the previous incarnation", []Heartbeat{heartbeat("b", 2, 1, PhaseReady), heartbeat("a", 1, 9, PhaseReady)}, heartbeat("b", 2, 1, PhaseReady)},
		{"same instance, later start", []Heartbeat{heartbeat("a", 1, 9, PhaseDraining), heartbeat("a", 2, 1, PhaseReady)}, heartbeat("a", 2, 1, PhaseReady)},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := New(interval)
			for _, b := range c.heartbeats {
				_ = p.RecordHeartbeat(start, b)
			}
			is.New(t).Equal(p.Current(start).Heartbeat, c.want)
		})
	}
}

// TestLeavingIsFinal checks that an upstream that has left is not made usable again by
// a heartbeat that is late or was sent before the notice of leaving.
func TestLeavingIsFinal(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	p := New(interval)
	is.NoErr(p.RecordHeartbeat(now, heartbeat("a", 1, 1, PhaseReady)))
	is.NoErr(p.MarkLeaving(now, "a"))
	is.Equal(p.Current(now).Phase, PhaseAbsent)
	is.Equal(p.RecordHeartbeat(now, heartbeat("a", 1, 2, PhaseReady)), ErrStale)
	is.Equal(p.Current(now).Phase, PhaseAbsent)
	is.NoErr(p.RecordHeartbeat(now, heartbeat("a", 5, 1, PhaseReady)))
	is.Equal(p.Current(now).Phase, PhaseReady)
	is.Equal(p.MarkLeaving(now, "other"), ErrOtherInstance)
	is.Equal(p.Current(now).Phase, PhaseReady)
}

// TestSilentUpstreamLapses checks that an upstream is absent after maxMissedHeartbeats
// intervals without a heartbeat.
func TestSilentUpstreamLapses(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	p := New(interval)
	is.NoErr(p.RecordHeartbeat(now, heartbeat("a", 1, 1, PhaseReady)))
	is.Equal(p.Current(now.Add(maxMissedHeartbeats*interval)).Phase, PhaseReady)
	is.Equal(p.Current(now.Add(maxMissedHeartbeats*interval+1)).Phase, PhaseAbsent)
}

// TestMisdirectedUntilTheNextHeartbeat checks that an upstream that rejected a request
// as misdirected is absent until its next heartbeat.
func TestMisdirectedUntilTheNextHeartbeat(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	p := New(interval)
	is.NoErr(p.RecordHeartbeat(now, heartbeat("a", 1, 1, PhaseReady)))
	p.MarkMisdirected("b")
	is.Equal(p.Current(now).Phase, PhaseReady)
	p.MarkMisdirected("a")
	is.Equal(p.Current(now).Phase, PhaseAbsent)
	is.NoErr(p.RecordHeartbeat(now, heartbeat("a", 1, 2, PhaseReady)))
	is.Equal(p.Current(now).Phase, PhaseReady)
}

// TestLeavingBeforeTheFirstHeartbeat starts a daemon just before its upstream
// announces that it leaves. A late heartbeat that was sent before the notice must not
// make the upstream usable; a restart must. Seen in incident inc-61da of alrrm-mesh.
func TestLeavingBeforeTheFirstHeartbeat(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	p := New(interval)
	is.Equal(p.MarkLeaving(now, "a"), ErrOtherInstance)
	late := now.Add(2800 * time.Millisecond)
	is.Equal(p.RecordHeartbeat(late, heartbeat("a", 7, 14, PhaseReady)), ErrStale)
	is.Equal(p.Current(late).Phase, PhaseAbsent)
	is.NoErr(p.RecordHeartbeat(late, heartbeat("a", 8, 1, PhaseReady)))
	is.Equal(p.Current(late).Phase, PhaseReady)
}

// TestLeavingOfAnotherInstance checks that the notice of leaving of another instance
// is not taken for a notice with a known start time.
func TestLeavingOfAnotherInstance(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	p := New(interval)
	is.NoErr(p.RecordHeartbeat(now, heartbeat("a", 5, 1, PhaseReady)))
	is.Equal(p.MarkLeaving(now, "b"), ErrOtherInstance)
	is.Equal(p.RecordHeartbeat(now, heartbeat("b", 9, 30, PhaseReady)), ErrStale)
	is.Equal(p.Current(now).Instance, "a")
	is.NoErr(p.RecordHeartbeat(now.Add(lateHeartbeatTime), heartbeat("b", 9, 50, PhaseReady)))
}

// TestAnswerSaysThatTheUpstreamLeaves checks that later ready heartbeats of a leaving
// upstream change nothing, and that its next start does.
func TestAnswerSaysThatTheUpstreamLeaves(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	p := New(interval)
	is.NoErr(p.RecordHeartbeat(start, heartbeat("a", 1, 1, PhaseReady)))
	p.MarkDraining(start, "b") // not the upstream
	is.Equal(p.Current(start).Phase, PhaseReady)
	p.MarkDraining(start, "a")
	is.Equal(p.Current(start).Phase, PhaseDraining)
	is.Equal(p.RecordHeartbeat(start, heartbeat("a", 1, 2, PhaseReady)), ErrStale)
	is.Equal(p.Current(start).Phase, PhaseDraining)
	is.NoErr(p.RecordHeartbeat(start, heartbeat("a", 2, 1, PhaseReady)))
	is.Equal(p.Current(start).Phase, PhaseReady)
}

// TestFirstHeartbeatOfANewProcess checks that a daemon's new process doesn't take a single
// heartbeat, which may be late, for news of its upstream before it knows what its
// predecessor has acknowledged.
func TestFirstHeartbeatOfANewProcess(t *testing.T) {
	start := time.Unix(1000, 0)
	left := Departure{Instance: "a", At: start.Add(-time.Second), StartedAt: 1, StartKnown: true}
	unknownStart := Departure{Instance: "a", At: start.Add(-time.Second)}
	for _, c := range []struct {
		name   string
		at     time.Duration // of the second heartbeat
		recall []Departure
		want   [3]Phase // after one heartbeat, after the recall, after a second heartbeat
	}{
		{"nothing to recall", interval, []Departure{}, [3]Phase{PhaseAbsent, PhaseReady, PhaseReady}},
		{"it has left", interval, []Departure{left}, [3]Phase{PhaseAbsent, PhaseAbsent, PhaseAbsent}},
		{"it has left, its start is not known", interval, []Departure{unknownStart}, [3]Phase{PhaseAbsent, PhaseAbsent, PhaseAbsent}},
		{"another has left", interval, []Departure{{Instance: "b", At: start, StartedAt: 9, StartKnown: true}}, [3]Phase{PhaseAbsent, PhaseReady, PhaseReady}},
		{"no recall, it goes on", interval, nil, [3]Phase{PhaseAbsent, PhaseAbsent, PhaseReady}},
		{"no recall, late heartbeats at once", interval / 10, nil, [3]Phase{PhaseAbsent, PhaseAbsent, PhaseAbsent}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := New(interval)
			p.AwaitRecall()
			is.NoErr(p.RecordHeartbeat(start, heartbeat("a", 1, 7, PhaseReady)))
			is.Equal(p.Current(start).Phase, c.want[0])
			if c.recall != nil {
				p.Recall(start, c.recall)
			}
			is.Equal(p.Current(start).Phase, c.want[1])
			second := start.Add(c.at)
			_ = p.RecordHeartbeat(second, heartbeat("a", 1, 8, PhaseReady))
			is.Equal(p.Current(second).Phase, c.want[2])
			is.NoErr(p.RecordHeartbeat(second, heartbeat("a", 2, 1, PhaseReady))) // a new start
			is.Equal(p.Current(second).Phase, PhaseReady)
		})
	}
}

package presence

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const interval = 1500 * time.Millisecond

func beat(instance string, born int64, sequence uint64, phase Phase) Heartbeat {
	return Heartbeat{Instance: instance, StartedAt: born, Sequence: sequence, Phase: phase, Slots: 10}
}

func TestNewerNewsHolds(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		name  string
		beats []Heartbeat
		want  Heartbeat
	}{
		{"later heartbeat", []Heartbeat{beat("a", 1, 1, PhaseReady), beat("a", 1, 2, PhaseDraining)}, beat("a", 1, 2, PhaseDraining)},
		{"late heartbeat", []Heartbeat{beat("a", 1, 2, PhaseDraining), beat("a", 1, 1, PhaseReady)}, beat("a", 1, 2, PhaseDraining)},
		{"next incarnation", []Heartbeat{beat("a", 1, 9, PhaseReady), beat("b", 2, 1, PhaseReady)}, beat("b", 2, 1, PhaseReady)},
		{"heartbeat of the one before", []Heartbeat{beat("b", 2, 1, PhaseReady), beat("a", 1, 9, PhaseReady)}, beat("b", 2, 1, PhaseReady)},
		{"same name, born later", []Heartbeat{beat("a", 1, 9, PhaseDraining), beat("a", 2, 1, PhaseReady)}, beat("a", 2, 1, PhaseReady)},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := New(interval)
			for _, b := range c.beats {
				_ = p.RecordHeartbeat(start, b)
			}
			is.New(t).Equal(p.Current(start).Heartbeat, c.want)
		})
	}
}

// TestLeavingIsFinal: neither a late heartbeat nor one that crosses the notice
// makes an upstream that has left usable again.
func TestLeavingIsFinal(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	p := New(interval)
	is.NoErr(p.RecordHeartbeat(now, beat("a", 1, 1, PhaseReady)))
	is.NoErr(p.MarkLeaving(now, "a"))
	is.Equal(p.Current(now).Phase, PhaseAbsent)
	is.Equal(p.RecordHeartbeat(now, beat("a", 1, 2, PhaseReady)), ErrStale)
	is.Equal(p.Current(now).Phase, PhaseAbsent)
	is.NoErr(p.RecordHeartbeat(now, beat("a", 5, 1, PhaseReady)))
	is.Equal(p.Current(now).Phase, PhaseReady)
	is.Equal(p.MarkLeaving(now, "other"), ErrOtherInstance)
	is.Equal(p.Current(now).Phase, PhaseReady)
}

func TestSilentUpstreamLapses(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	p := New(interval)
	is.NoErr(p.RecordHeartbeat(now, beat("a", 1, 1, PhaseReady)))
	is.Equal(p.Current(now.Add(lapseBeats*interval)).Phase, PhaseReady)
	is.Equal(p.Current(now.Add(lapseBeats*interval+1)).Phase, PhaseAbsent)
}

func TestMisdirectedUntilTheNextHeartbeat(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	p := New(interval)
	is.NoErr(p.RecordHeartbeat(now, beat("a", 1, 1, PhaseReady)))
	p.MarkMisdirected("b")
	is.Equal(p.Current(now).Phase, PhaseReady)
	p.MarkMisdirected("a")
	is.Equal(p.Current(now).Phase, PhaseAbsent)
	is.NoErr(p.RecordHeartbeat(now, beat("a", 1, 2, PhaseReady)))
	is.Equal(p.Current(now).Phase, PhaseReady)
}

// TestLeavingBeforeTheFirstHeartbeat plays a daemon that was just started when its
// upstream says that it leaves: a heartbeat that was sent before and comes late
// must not make the upstream usable, and its next start must. Incident inc-61da of
// alrrm-mesh.
func TestLeavingBeforeTheFirstHeartbeat(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	p := New(interval)
	is.Equal(p.MarkLeaving(now, "a"), ErrOtherInstance)
	late := now.Add(2800 * time.Millisecond)
	is.Equal(p.RecordHeartbeat(late, beat("a", 7, 14, PhaseReady)), ErrStale)
	is.Equal(p.Current(late).Phase, PhaseAbsent)
	is.NoErr(p.RecordHeartbeat(late, beat("a", 8, 1, PhaseReady)))
	is.Equal(p.Current(late).Phase, PhaseReady)
}

// TestLeftInstanceOfAnother: news that some other instance leaves says nothing of
// when it was born.
func TestLeftInstanceOfAnother(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	p := New(interval)
	is.NoErr(p.RecordHeartbeat(now, beat("a", 5, 1, PhaseReady)))
	is.Equal(p.MarkLeaving(now, "b"), ErrOtherInstance)
	is.Equal(p.RecordHeartbeat(now, beat("b", 9, 30, PhaseReady)), ErrStale)
	is.Equal(p.Current(now).Instance, "a")
	is.NoErr(p.RecordHeartbeat(now.Add(departedFor), beat("b", 9, 50, PhaseReady)))
}

package presence

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const interval = 1500 * time.Millisecond

func beat(instance string, born int64, sequence uint64, phase Phase) Beat {
	return Beat{Instance: instance, Born: born, Sequence: sequence, Phase: phase, Slots: 10}
}

func TestNewerNewsHolds(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		name  string
		beats []Beat
		want  Beat
	}{
		{"later heartbeat", []Beat{beat("a", 1, 1, PhaseReady), beat("a", 1, 2, PhaseDraining)}, beat("a", 1, 2, PhaseDraining)},
		{"late heartbeat", []Beat{beat("a", 1, 2, PhaseDraining), beat("a", 1, 1, PhaseReady)}, beat("a", 1, 2, PhaseDraining)},
		{"next incarnation", []Beat{beat("a", 1, 9, PhaseReady), beat("b", 2, 1, PhaseReady)}, beat("b", 2, 1, PhaseReady)},
		{"heartbeat of the one before", []Beat{beat("b", 2, 1, PhaseReady), beat("a", 1, 9, PhaseReady)}, beat("b", 2, 1, PhaseReady)},
		{"same name, born later", []Beat{beat("a", 1, 9, PhaseDraining), beat("a", 2, 1, PhaseReady)}, beat("a", 2, 1, PhaseReady)},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := New(interval)
			for _, b := range c.beats {
				_ = p.Beat(start, b)
			}
			is.New(t).Equal(p.Now(start).Beat, c.want)
		})
	}
}

// TestLeavingIsFinal: neither a late heartbeat nor one that crosses the notice
// makes an upstream that has left usable again.
func TestLeavingIsFinal(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	p := New(interval)
	is.NoErr(p.Beat(now, beat("a", 1, 1, PhaseReady)))
	is.NoErr(p.Leave(now, "a"))
	is.Equal(p.Now(now).Phase, PhaseAbsent)
	is.Equal(p.Beat(now, beat("a", 1, 2, PhaseReady)), ErrStale)
	is.Equal(p.Now(now).Phase, PhaseAbsent)
	is.NoErr(p.Beat(now, beat("a", 5, 1, PhaseReady)))
	is.Equal(p.Now(now).Phase, PhaseReady)
	is.Equal(p.Leave(now, "other"), ErrOther)
	is.Equal(p.Now(now).Phase, PhaseReady)
}

func TestSilentUpstreamLapses(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	p := New(interval)
	is.NoErr(p.Beat(now, beat("a", 1, 1, PhaseReady)))
	is.Equal(p.Now(now.Add(lapseBeats*interval)).Phase, PhaseReady)
	is.Equal(p.Now(now.Add(lapseBeats*interval+1)).Phase, PhaseAbsent)
}

func TestMisdirectedUntilTheNextHeartbeat(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	p := New(interval)
	is.NoErr(p.Beat(now, beat("a", 1, 1, PhaseReady)))
	p.Misdirected("b")
	is.Equal(p.Now(now).Phase, PhaseReady)
	p.Misdirected("a")
	is.Equal(p.Now(now).Phase, PhaseAbsent)
	is.NoErr(p.Beat(now, beat("a", 1, 2, PhaseReady)))
	is.Equal(p.Now(now).Phase, PhaseReady)
}

// TestLeavingBeforeTheFirstHeartbeat plays a daemon that was just started when its
// upstream says that it leaves: a heartbeat that was sent before and comes late
// must not make the upstream usable, and its next start must. Incident inc-61da of
// alrrm-mesh.
func TestLeavingBeforeTheFirstHeartbeat(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	p := New(interval)
	is.Equal(p.Leave(now, "a"), ErrOther)
	late := now.Add(2800 * time.Millisecond)
	is.Equal(p.Beat(late, beat("a", 7, 14, PhaseReady)), ErrStale)
	is.Equal(p.Now(late).Phase, PhaseAbsent)
	is.NoErr(p.Beat(late, beat("a", 8, 1, PhaseReady)))
	is.Equal(p.Now(late).Phase, PhaseReady)
}

// TestLeftInstanceOfAnother: news that some other instance leaves says nothing of
// when it was born.
func TestLeftInstanceOfAnother(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	p := New(interval)
	is.NoErr(p.Beat(now, beat("a", 5, 1, PhaseReady)))
	is.Equal(p.Leave(now, "b"), ErrOther)
	is.Equal(p.Beat(now, beat("b", 9, 30, PhaseReady)), ErrStale)
	is.Equal(p.Now(now).Instance, "a")
	is.NoErr(p.Beat(now.Add(departedFor), beat("b", 9, 50, PhaseReady)))
}

package suspect

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_700_000_000, 0)

func TestSecondCrashAloneConvictsOne(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	l.Crash(start, []Fingerprint{1, 2, 3, 3})
	for f := Fingerprint(1); f <= 3; f++ {
		is.Equal(l.Judge(start, f), Alone)
	}
	is.Equal(l.Judge(start, 4), Free)
	l.Clear(2) // ran alone and ended well
	is.Equal(l.Judge(start, 2), Free)
	told := l.Crash(start, []Fingerprint{1})
	is.Equal(told, []Suspicion{{1, 2, true, start.Add(QuarantineFor)}})
	is.Equal(l.Judge(start, 1), Quarantined)
	is.Equal(l.Judge(start, 3), Alone)
	l.Clear(1)
	is.Equal(l.Judge(start, 1), Quarantined)
}

func TestNeighboursOfTwoCrashesAreNotRefused(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	l.Crash(start, []Fingerprint{1, 2, 3})
	l.Crash(start, []Fingerprint{1, 9}) // 9 is new, only 1 was in both
	is.Equal(l.Judge(start, 1), Quarantined)
	is.Equal(l.Judge(start, 9), Alone)
	other := NewLedger()
	other.Crash(start, []Fingerprint{1, 2})
	other.Crash(start, []Fingerprint{1, 2}) // either may be it
	is.Equal(other.Judge(start, 1), Alone)
	is.Equal(other.Judge(start, 2), Alone)
}

func TestSuspicionsEnd(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	l.Crash(start, []Fingerprint{1})
	is.Equal(l.Judge(start.Add(SuspectFor), 1), Free)
	l.Crash(start, []Fingerprint{2})
	l.Crash(start, []Fingerprint{2})
	is.Equal(l.Judge(start.Add(QuarantineFor-1), 2), Quarantined)
	is.Equal(l.Judge(start.Add(QuarantineFor), 2), Alone) // on probation
	l.Release(2)
	is.Equal(l.Judge(start, 2), Free)
}

func TestLearnTakesTheWorse(t *testing.T) {
	is := is.New(t)
	l, peer := NewLedger(), NewLedger()
	peer.Crash(start, []Fingerprint{1, 2})
	peer.Crash(start, []Fingerprint{1})
	l.Learn(start, peer.List(start))
	is.Equal(l.Judge(start, 1), Quarantined)
	is.Equal(l.Judge(start, 2), Alone)
	l.Learn(start, []Suspicion{{1, 1, false, start.Add(time.Minute)}, {3, 1, true, start}})
	is.Equal(l.Judge(start, 1), Quarantined)
	is.Equal(l.Judge(start, 3), Free)
	for f := Fingerprint(100); f < 100+2*maxFingerprints; f++ {
		l.Crash(start, []Fingerprint{f})
	}
	is.Equal(len(l.List(start)), maxFingerprints)
	is.Equal(l.Judge(start, 1), Quarantined) // suspicions go first
}

package suspect

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_700_000_000, 0)

func TestSecondCrashInExclusiveRunQuarantines(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	l.RecordCrash(start, []Fingerprint{1, 2, 3, 3})
	for f := Fingerprint(1); f <= 3; f++ {
		is.Equal(l.Check(start, f), Exclusive)
	}
	is.Equal(l.Check(start, 4), Unrestricted)
	l.Clear(2) // its exclusive run ended well
	is.Equal(l.Check(start, 2), Unrestricted)
	suspicions := l.RecordCrash(start, []Fingerprint{1})
	is.Equal(suspicions, []Suspicion{{1, 2, true, start.Add(QuarantineDuration)}})
	is.Equal(l.Check(start, 1), Quarantined)
	is.Equal(l.Check(start, 3), Exclusive)
	l.Clear(1)
	is.Equal(l.Check(start, 1), Quarantined)
}

func TestNeighboursOfTwoCrashesAreNotRefused(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	l.RecordCrash(start, []Fingerprint{1, 2, 3})
	l.RecordCrash(start, []Fingerprint{1, 9}) // 9 is new; only 1 was in flight in both crashes
	is.Equal(l.Check(start, 1), Quarantined)
	is.Equal(l.Check(start, 9), Exclusive)
	other := NewLedger()
	other.RecordCrash(start, []Fingerprint{1, 2})
	other.RecordCrash(start, []Fingerprint{1, 2}) // either may be the cause
	is.Equal(other.Check(start, 1), Exclusive)
	is.Equal(other.Check(start, 2), Exclusive)
}

func TestSuspicionsEnd(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	l.RecordCrash(start, []Fingerprint{1})
	is.Equal(l.Check(start.Add(SuspicionDuration), 1), Unrestricted)
	l.RecordCrash(start, []Fingerprint{2})
	l.RecordCrash(start, []Fingerprint{2})
	is.Equal(l.Check(start.Add(QuarantineDuration-1), 2), Quarantined)
	is.Equal(l.Check(start.Add(QuarantineDuration), 2), Exclusive) // suspected again
	l.Release(2)
	is.Equal(l.Check(start, 2), Unrestricted)
}

func TestMergeKeepsTheWorseSuspicion(t *testing.T) {
	is := is.New(t)
	l, peer := NewLedger(), NewLedger()
	peer.RecordCrash(start, []Fingerprint{1, 2})
	peer.RecordCrash(start, []Fingerprint{1})
	l.Merge(start, peer.List(start))
	is.Equal(l.Check(start, 1), Quarantined)
	is.Equal(l.Check(start, 2), Exclusive)
	l.Merge(start, []Suspicion{{1, 1, false, start.Add(time.Minute)}, {3, 1, true, start}})
	is.Equal(l.Check(start, 1), Quarantined)
	is.Equal(l.Check(start, 3), Unrestricted)
	for f := Fingerprint(100); f < 100+2*maxFingerprints; f++ {
		l.RecordCrash(start, []Fingerprint{f})
	}
	is.Equal(len(l.List(start)), maxFingerprints)
	is.Equal(l.Check(start, 1), Quarantined) // suspicions are evicted first
}

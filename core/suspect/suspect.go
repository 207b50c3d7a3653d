// Package suspect finds requests that crash the upstreams that run them.
//
// A fingerprint that was in flight when an upstream died is suspected: from
// then on it runs alone, so that it can harm no neighbour and a further crash
// convicts nobody else. It is quarantined when an upstream dies while it runs
// alone, or when it is the only one that was in flight in two crashes. A run
// alone that ends well clears it. The package is pure: time is an argument.
package suspect

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// SuspicionDuration is the time after which a suspicion that nothing has confirmed
	// or cleared ends.
	SuspicionDuration = 10 * time.Minute
	// QuarantineDuration is the time after which a quarantine ends. The fingerprint
	// is suspected again then.
	QuarantineDuration = time.Hour
	// maxFingerprints bounds the fingerprints remembered. Beyond it the oldest
	// suspicions go, quarantines last.
	maxFingerprints = 1024
)

// Fingerprint tells requests apart by what makes them crash an upstream.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request: what it asks, and its body, or its
// key if it has none.
func FingerprintOf(service, method, target, key string, body []byte) Fingerprint {
	var d xxhash.Digest
	d.Reset()
	for _, text := range []string{service, method, target} {
		_, _ = d.WriteString(text)
		_, _ = d.Write([]byte{0})
	}
	if len(body) > 0 {
		_, _ = d.Write(body)
	} else {
		_, _ = d.WriteString(key)
	}
	return Fingerprint(d.Sum64())
}

// Verdict is how a request may run.
type Verdict int

// Verdicts, in rising order.
const (
	// Unrestricted requests run beside others.
	Unrestricted Verdict = iota
	// Exclusive requests run with no other at the upstream.
	Exclusive
	// Quarantined requests don't run.
	Quarantined
)

// Suspicion is what is known of a fingerprint. Instances send each other
// suspicions.
type Suspicion struct {
	Fingerprint Fingerprint
	// Crashes counts the crashes that it was in flight in.
	Crashes int
	// Quarantined is set when it must not run.
	Quarantined bool
	// Until is when the suspicion ends.
	Until time.Time
}

// Ledger holds suspicions. It is safe for concurrent use.
type Ledger struct {
	mu   sync.Mutex
	held map[Fingerprint]Suspicion
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger { return &Ledger{held: map[Fingerprint]Suspicion{}} }

// Check says how a request may run.
func (l *Ledger) Check(now time.Time, f Fingerprint) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, held := l.held[f]
	switch {
	case !held:
		return Unrestricted
	case !now.Before(s.Until):
		return l.lapse(now, s)
	case s.Quarantined:
		return Quarantined
	}
	return Exclusive
}

// lapse ends a suspicion whose time is over.
func (l *Ledger) lapse(now time.Time, s Suspicion) Verdict {
	if !s.Quarantined {
		delete(l.held, s.Fingerprint)
		return Unrestricted
	}
	s.Quarantined = false
	s.Crashes = 1
	s.Until = now.Add(SuspicionDuration)
	l.held[s.Fingerprint] = s
	return Exclusive
}

// Empty reports whether nothing is held.
func (l *Ledger) Empty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.held) == 0
}

// RecordCrash takes the fingerprints that were in flight when an upstream died, and
// returns what is now known of them.
func (l *Ledger) RecordCrash(now time.Time, inFlight []Fingerprint) []Suspicion {
	inFlight = slices.Clone(inFlight)
	slices.Sort(inFlight)
	inFlight = slices.Compact(inFlight)
	l.mu.Lock()
	defer l.mu.Unlock()
	repeated := 0
	for _, f := range inFlight {
		if l.crashes(now, f) > 0 {
			repeated++
		}
	}
	told := make([]Suspicion, 0, len(inFlight))
	for _, f := range inFlight {
		s := Suspicion{Fingerprint: f, Crashes: l.crashes(now, f) + 1, Until: now.Add(SuspicionDuration)}
		if s.Crashes > 1 && repeated == 1 {
			s.Quarantined = true
			s.Until = now.Add(QuarantineDuration)
		}
		l.put(s)
		told = append(told, s)
	}
	return told
}

func (l *Ledger) crashes(now time.Time, f Fingerprint) int {
	s, held := l.held[f]
	if !held || !now.Before(s.Until) {
		return 0
	}
	return s.Crashes
}

// Clear ends the suspicion of a fingerprint that ran alone and ended well. A
// quarantine stays.
func (l *Ledger) Clear(f Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.held[f].Quarantined {
		delete(l.held, f)
	}
}

// Release ends whatever is held of a fingerprint, for operators.
func (l *Ledger) Release(f Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.held, f)
}

// Merge takes suspicions of other instances: the worse one counts.
func (l *Ledger) Merge(now time.Time, told []Suspicion) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range told {
		if !now.Before(s.Until) {
			continue
		}
		s.Until = minTime(s.Until, now.Add(QuarantineDuration))
		own := l.held[s.Fingerprint]
		if own.Quarantined && now.Before(own.Until) {
			continue
		}
		if s.Quarantined || s.Crashes > l.crashes(now, s.Fingerprint) {
			l.put(s)
		}
	}
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// put stores a suspicion within the bound. The caller holds the lock.
func (l *Ledger) put(s Suspicion) {
	if _, held := l.held[s.Fingerprint]; !held && len(l.held) >= maxFingerprints {
		l.dropLeast()
	}
	l.held[s.Fingerprint] = s
}

// dropLeast forgets the suspicion that matters least.
func (l *Ledger) dropLeast() {
	var least Suspicion
	for _, s := range l.held {
		if least.Until.IsZero() || less(s, least) {
			least = s
		}
	}
	delete(l.held, least.Fingerprint)
}

func less(a, b Suspicion) bool {
	if a.Quarantined != b.Quarantined {
		return b.Quarantined
	}
	return a.Until.Before(b.Until)
}

// List returns what is held at a time, by fingerprint.
func (l *Ledger) List(now time.Time) []Suspicion {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []Suspicion
	for _, s := range l.held {
		if now.Before(s.Until) {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b Suspicion) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return list
}

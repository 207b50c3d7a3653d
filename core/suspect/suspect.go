// Package suspect finds requests that crash the upstreams that run them.
//
// A fingerprint that was in flight when an upstream crashed is suspected: from
// then on its requests run exclusively, so that they can't harm other requests
// and a further crash can be attributed to it alone. It is quarantined
// when an upstream crashes during its exclusive run, or when it is the only
// fingerprint that was in flight in two crashes. An exclusive run that ends
// without a crash clears it. The package is pure: time is an argument.
package suspect

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// SuspicionDuration is the time after which a suspicion that was neither
	// confirmed nor cleared expires.
	SuspicionDuration = 10 * time.Minute
	// QuarantineDuration is the time after which a quarantine ends. The
	// fingerprint is then suspected again.
	QuarantineDuration = time.Hour
	// maxFingerprints bounds the fingerprints in a Ledger. At the bound,
	// suspicions that expire first are evicted first, and quarantines last.
	maxFingerprints = 1024
)

// Fingerprint identifies requests by the content that may make them crash an
// upstream.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request: the hash of its service,
// method and target, and of its body, or of its key if it has no body.
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

// Verdict says how a request may run.
type Verdict int

// Verdicts, from the least to the most restrictive.
const (
	// Unrestricted requests run concurrently with others.
	Unrestricted Verdict = iota
	// Exclusive requests run while the upstream runs no other.
	Exclusive
	// Quarantined requests don't run.
	Quarantined
)

// Suspicion is what is known of a fingerprint. Instances send suspicions to
// each other.
type Suspicion struct {
	Fingerprint Fingerprint
	// Crashes counts the crashes during which the fingerprint was in flight.
	Crashes int
	// Quarantined is set when requests with the fingerprint must not run.
	Quarantined bool
	// Until is when the suspicion or quarantine ends.
	Until time.Time
}

// Ledger holds the suspicions that one instance knows. It is safe for
// concurrent use.
type Ledger struct {
	mu         sync.Mutex
	suspicions map[Fingerprint]Suspicion
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger { return &Ledger{suspicions: map[Fingerprint]Suspicion{}} }

// Check returns how a request with a fingerprint may run.
func (l *Ledger) Check(now time.Time, f Fingerprint) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, known := l.suspicions[f]
	switch {
	case !known:
		return Unrestricted
	case !now.Before(s.Until):
		return l.expire(now, s)
	case s.Quarantined:
		return Quarantined
	}
	return Exclusive
}

// expire ends a suspicion after its Until. A quarantined fingerprint is
// suspected again. The caller holds the lock.
func (l *Ledger) expire(now time.Time, s Suspicion) Verdict {
	if !s.Quarantined {
		delete(l.suspicions, s.Fingerprint)
		return Unrestricted
	}
	s.Quarantined = false
	s.Crashes = 1
	s.Until = now.Add(SuspicionDuration)
	l.suspicions[s.Fingerprint] = s
	return Exclusive
}

// Empty reports whether the ledger holds no suspicions.
func (l *Ledger) Empty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.suspicions) == 0
}

// RecordCrash records the fingerprints that were in flight when an upstream
// crashed, and returns the resulting suspicions.
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
	suspicions := make([]Suspicion, 0, len(inFlight))
	for _, f := range inFlight {
		s := Suspicion{Fingerprint: f, Crashes: l.crashes(now, f) + 1, Until: now.Add(SuspicionDuration)}
		if s.Crashes > 1 && repeated == 1 {
			s.Quarantined = true
			s.Until = now.Add(QuarantineDuration)
		}
		l.put(s)
		suspicions = append(suspicions, s)
	}
	return suspicions
}

func (l *Ledger) crashes(now time.Time, f Fingerprint) int {
	s, known := l.suspicions[f]
	if !known || !now.Before(s.Until) {
		return 0
	}
	return s.Crashes
}

// Clear ends the suspicion of a fingerprint after an exclusive run that ended
// without a crash. A quarantine stays.
func (l *Ledger) Clear(f Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.suspicions[f].Quarantined {
		delete(l.suspicions, f)
	}
}

// Release ends a fingerprint's suspicion or quarantine on an operator's
// request.
func (l *Ledger) Release(f Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.suspicions, f)
}

// Merge adds the suspicions of other instances. A received one replaces the
// known one if it is a quarantine or counts more crashes; a known quarantine
// stays until it ends.
func (l *Ledger) Merge(now time.Time, suspicions []Suspicion) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range suspicions {
		if !now.Before(s.Until) {
			continue
		}
		s.Until = minTime(s.Until, now.Add(QuarantineDuration))
		own := l.suspicions[s.Fingerprint]
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

// put stores a suspicion and keeps to maxFingerprints. The caller holds the
// lock.
func (l *Ledger) put(s Suspicion) {
	if _, known := l.suspicions[s.Fingerprint]; !known && len(l.suspicions) >= maxFingerprints {
		l.evictOne()
	}
	l.suspicions[s.Fingerprint] = s
}

// evictOne evicts the suspicion that ends first, a quarantine only if there is
// nothing else. The caller holds the lock.
func (l *Ledger) evictOne() {
	var evicted Suspicion
	for _, s := range l.suspicions {
		if evicted.Until.IsZero() || evictedBefore(s, evicted) {
			evicted = s
		}
	}
	delete(l.suspicions, evicted.Fingerprint)
}

// evictedBefore reports whether a is evicted before b: suspicions before
// quarantines, and those that end first before others.
func evictedBefore(a, b Suspicion) bool {
	if a.Quarantined != b.Quarantined {
		return b.Quarantined
	}
	return a.Until.Before(b.Until)
}

// List returns the suspicions in force at a time, sorted by fingerprint.
func (l *Ledger) List(now time.Time) []Suspicion {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []Suspicion
	for _, s := range l.suspicions {
		if now.Before(s.Until) {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b Suspicion) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return list
}

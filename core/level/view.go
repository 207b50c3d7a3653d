package level

import (
	"math"
	"time"
)

const (
	// reportAveragingTime is the time over which the levels reported by several
	// instances are averaged. minWeight is the smallest weight of one response in
	// that average.
	reportAveragingTime = 100 * time.Millisecond
	minWeight           = 0.02
	// holdTime is how long a level stays in force without an update. After it, the admitted
	// fraction doubles every doublingTime.
	holdTime     = 500 * time.Millisecond
	doublingTime = 250 * time.Millisecond
	// maxEntries is the maximum number of levels in a View. While all of them are in
	// force, further levels are dropped and their requests are not refused here.
	maxEntries = 4096
)

// Key identifies a rank and a subtree of calls: the requests to one call path of a
// service, and the calls that they cause.
type Key struct {
	// Service is the service called; Path is its call path.
	Service, Path string
	// Rank is the name of the request's rank.
	Rank string
}

// View keeps the levels of the subtrees of calls that begin with the requests of a
// daemon, as reported by responses.
type View struct {
	entries map[Key]entry
	swept   time.Time
}

// entry is the admitted fraction of a subtree when it was last updated.
type entry struct {
	admittedFraction float64
	updated          time.Time
}

// NewView returns an empty View.
func NewView() *View { return &View{entries: map[Key]entry{}} }

// Record records the level that a response carried.
func (v *View) Record(now time.Time, key Key, l Level) {
	e, known := v.entries[key]
	if !known {
		if l == 0 || !v.evictExpired(now) {
			return
		}
		e = entry{admittedFraction: 1, updated: now.Add(-reportAveragingTime)}
	}
	admit := e.fractionAt(now)
	weight := min(max(float64(now.Sub(e.updated))/float64(reportAveragingTime), minWeight), 1)
	admit += weight * (AdmittedFraction(l) - admit)
	if l == 0 && admit > 1-minAdmitted {
		delete(v.entries, key)
		return
	}
	v.entries[key] = entry{admittedFraction: admit, updated: now}
}

// Level returns the level in force for a key, 0 if none is.
func (v *View) Level(now time.Time, key Key) Level {
	e, known := v.entries[key]
	if !known {
		return 0
	}
	return FromFraction(e.fractionAt(now))
}

// Len returns the number of levels in the view.
func (v *View) Len() int { return len(v.entries) }

// evictExpired evicts expired entries if the view is full and reports whether one more
// entry fits.
func (v *View) evictExpired(now time.Time) bool {
	if len(v.entries) < maxEntries {
		return true
	}
	if now.Sub(v.swept) < holdTime {
		return false
	}
	v.swept = now
	for key, e := range v.entries {
		if e.fractionAt(now) >= 1 {
			delete(v.entries, key)
		}
	}
	return len(v.entries) < maxEntries
}

// fractionAt returns the admitted fraction at a time. Without updates it rises to 1.
func (e entry) fractionAt(now time.Time) float64 {
	stale := now.Sub(e.updated) - holdTime
	if stale <= 0 {
		return e.admittedFraction
	}
	return min(e.admittedFraction*math.Exp2(float64(stale)/float64(doublingTime)), 1)
}

package level

import (
	"math"
	"time"
)

const (
	// smoothing is the time over which answers of several instances are
	// averaged, and leastWeight the least weight of one answer.
	smoothing   = 100 * time.Millisecond
	leastWeight = 0.02
	// freshTime is how long a level holds without news; after it, the part let
	// through doubles every doubling.
	freshTime = 500 * time.Millisecond
	doubling  = 250 * time.Millisecond
	// maxEntries bounds the kept levels. When all are in force, new ones are
	// not kept and their requests not refused here.
	maxEntries = 4096
)

// Key names a subtree of calls and a rank.
type Key struct {
	// Service is the service called; Path is its call path.
	Service, Path string
	// Rank is the name of the request's rank.
	Rank string
}

// View keeps the levels of the subtrees that a daemon calls.
type View struct {
	entries map[Key]entry
	swept   time.Time
}

type entry struct {
	pass  float64
	heard time.Time
}

// NewView returns an empty View.
func NewView() *View { return &View{entries: map[Key]entry{}} }

// Record takes the level of an answer in.
func (v *View) Record(now time.Time, key Key, l Level) {
	e, known := v.entries[key]
	if !known {
		if l == 0 || !v.room(now) {
			return
		}
		e = entry{pass: 1, heard: now.Add(-smoothing)}
	}
	pass := e.at(now)
	weight := min(max(float64(now.Sub(e.heard))/float64(smoothing), leastWeight), 1)
	pass += weight * (AdmittedFraction(l) - pass)
	if l == 0 && pass > 1-leastPass {
		delete(v.entries, key)
		return
	}
	v.entries[key] = entry{pass: pass, heard: now}
}

// Level returns the level in force for a key.
func (v *View) Level(now time.Time, key Key) Level {
	e, known := v.entries[key]
	if !known {
		return 0
	}
	return FromFraction(e.at(now))
}

// Len returns the number of levels kept.
func (v *View) Len() int { return len(v.entries) }

// room makes room for one more entry and reports whether there is any.
func (v *View) room(now time.Time) bool {
	if len(v.entries) < maxEntries {
		return true
	}
	if now.Sub(v.swept) < freshTime {
		return false
	}
	v.swept = now
	for key, e := range v.entries {
		if e.at(now) >= 1 {
			delete(v.entries, key)
		}
	}
	return len(v.entries) < maxEntries
}

// at returns the part let through at a time: a level without news fades.
func (e entry) at(now time.Time) float64 {
	silent := now.Sub(e.heard) - freshTime
	if silent <= 0 {
		return e.pass
	}
	return min(e.pass*math.Exp2(float64(silent)/float64(doubling)), 1)
}

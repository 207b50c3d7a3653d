package once

import (
	"slices"
	"time"

	"fuchsiavane.org/core/chart"
)

// bucketSpan is the span of birth times that is forgotten together.
const bucketSpan = Millis(60_000)

// minMemory is the age up to which keys are remembered in any case.
const minMemory = 2 * time.Minute

// Limits bound what an Owner remembers.
type Limits struct {
	// Keys bounds the keys remembered. At the bound the memory becomes shorter,
	// down to minMemory; below that new keys are refused.
	Keys int
	// AnswerBytes bounds the answers kept, all together. At the bound the
	// oldest answers go; their keys stay.
	AnswerBytes int
	// Retention is the age from which keys are refused as too old and forgotten.
	Retention time.Duration
}

// States of a key at its owner, as in the chart owned-request.
const (
	// Running keys have a run in progress.
	Running chart.State = "running"
	// Finished keys ran, and their answer is kept.
	Finished chart.State = "finished"
	// Unknown keys ran, or may have run, and no answer is kept.
	Unknown chart.State = "unknown"
)

// Events of the chart owned-request.
const (
	eventRun     chart.Event = "run"
	eventNotRun  chart.Event = "not-run"
	eventRan     chart.Event = "ran"
	eventLost    chart.Event = "lost"
	eventDropped chart.Event = "answer-dropped"
)

var requestChart = chart.Load("owned-request")

// Entry is a key that the owner has seen. A is what the owner's user keeps with
// it.
type Entry[A any] struct {
	State chart.State
	// Fingerprint is the fingerprint of the request that came first.
	Fingerprint uint64
	// Value is set by the owner's user while Running or Finished.
	Value A
	key   Key
	size  int
}

// Verdict is what may be done with a key that arrives.
type Verdict int

// Verdicts.
const (
	// Run means: run the request now, and call End after.
	Run Verdict = iota
	// Join means: wait for the run in progress and share its answer.
	Join
	// Replay means: give the kept answer.
	Replay
	// Duplicate means that the key has run or may have run, and no answer is kept,
	// or that it came with another request.
	Duplicate
	// NotHeld means that no interval of this owner holds the key.
	NotHeld
	// TooOld means that the key's birth lies in a time that the owner has
	// forgotten.
	TooOld
	// Full means that no more keys can be remembered. The key has not run.
	Full
)

// Owner remembers the keys that one holder has seen. It is not safe for
// concurrent use.
type Owner[A any] struct {
	limits  Limits
	held    [Shards][]Interval
	latest  [Shards]Millis // birth of the youngest key run, by shard, plus 1
	cut     bool
	floor   Millis
	now     Millis // as of the last Forget
	count   int
	bytes   int
	buckets map[Millis]map[Key]*Entry[A]
	kept    []*Entry[A] // finished with an answer, oldest first
}

// NewOwner returns an Owner that holds nothing.
func NewOwner[A any](limits Limits) *Owner[A] {
	return &Owner[A]{limits: limits, buckets: map[Millis]map[Key]*Entry[A]{}}
}

// AddIntervals takes the intervals of a table that the store has confirmed. After Cut
// it does nothing.
func (o *Owner[A]) AddIntervals(claims [Shards]Interval) {
	if o.cut {
		return
	}
	for shard, claim := range claims {
		if claim.From < claim.To {
			o.held[shard] = hold(o.held[shard], claim)
		}
	}
}

// hold adds a claim to the list, in place of an earlier form of the same claim.
func hold(held []Interval, claim Interval) []Interval {
	if n := len(held); n > 0 && held[n-1].From == claim.From {
		held[n-1].To = max(held[n-1].To, claim.To)
		return held
	}
	return append(held, claim)
}

// Intervals returns the intervals of a shard, oldest first.
func (o *Owner[A]) Intervals(shard int) []Interval { return slices.Clone(o.held[shard]) }

// MinTimestamp returns the birth time before which keys are refused as too old.
func (o *Owner[A]) MinTimestamp() Millis { return o.floor }

// Truncate ends the intervals right after the youngest key that has run, for good,
// and returns these ends. What follows may be given to others.
func (o *Owner[A]) Truncate() [Shards]Millis {
	o.cut = true
	for shard := range o.held {
		for i := range o.held[shard] {
			h := &o.held[shard][i]
			h.To = min(h.To, max(h.From, o.latest[shard]))
		}
	}
	return o.latest
}

// Begin decides on a key. print is the fingerprint of its request. The entry
// is nil for Elsewhere, TooOld and Full.
func (o *Owner[A]) Begin(k Key, print uint64) (Verdict, *Entry[A]) {
	birth, shard := k.Timestamp(), k.Shard()
	if !o.holds(shard, birth) {
		return NotHeld, nil
	}
	if birth < o.floor {
		return TooOld, nil
	}
	if e := o.buckets[birth/bucketSpan][k]; e != nil {
		return e.verdict(print), e
	}
	if o.count >= o.limits.Keys && !o.shorten(birth) {
		return Full, nil
	}
	e := &Entry[A]{State: requestChart.Initial, Fingerprint: print, key: k}
	e.fire(eventRun)
	o.add(birth, e)
	o.latest[shard] = max(o.latest[shard], birth+1)
	return Run, e
}

func (o *Owner[A]) holds(shard int, birth Millis) bool {
	for _, h := range o.held[shard] {
		if h.Contains(birth) {
			return true
		}
	}
	return false
}

func (e *Entry[A]) verdict(print uint64) Verdict {
	switch {
	case e.Fingerprint != print || e.State == Unknown:
		return Duplicate
	case e.State == Running:
		return Join
	}
	return Replay
}

func (o *Owner[A]) add(birth Millis, e *Entry[A]) {
	bucket := o.buckets[birth/bucketSpan]
	if bucket == nil {
		bucket = map[Key]*Entry[A]{}
		o.buckets[birth/bucketSpan] = bucket
	}
	bucket[e.key] = e
	o.count++
}

// EndNotRun forgets a key that is known not to have run, so that it may run
// later.
func (o *Owner[A]) EndNotRun(e *Entry[A]) {
	if !e.fire(eventNotRun) {
		return
	}
	bucket := o.buckets[e.key.Timestamp()/bucketSpan]
	if bucket[e.key] == e {
		delete(bucket, e.key)
		o.count--
	}
}

// EndUnknown marks a key that may have run and whose answer is not kept.
func (o *Owner[A]) EndUnknown(e *Entry[A]) { e.drop(eventLost) }

// EndFinished marks a key that ran and whose answer, of size bytes, is kept in its
// Value.
func (o *Owner[A]) EndFinished(e *Entry[A], size int) {
	if !e.fire(eventRan) {
		return
	}
	e.size = size
	o.bytes += size
	o.kept = append(o.kept, e)
	for o.bytes > o.limits.AnswerBytes {
		o.bytes -= o.kept[0].size
		o.kept[0].drop(eventDropped)
		o.kept = o.kept[1:]
	}
}

// drop forgets the answer of a key.
func (e *Entry[A]) drop(event chart.Event) {
	if !e.fire(event) {
		return
	}
	var none A
	e.Value, e.size = none, 0
}

// fire moves the key by its chart and reports whether it could.
func (e *Entry[A]) fire(event chart.Event) bool {
	to, ok := requestChart.Next(e.State, event)
	e.State = to
	return ok
}

// Expire gives up the keys that are older than the memory. Keys of that age are
// refused from now on.
func (o *Owner[A]) Expire(now Millis) {
	o.now = max(o.now, now)
	o.raise(now.Add(-o.limits.Retention) / bucketSpan * bucketSpan)
}

// shorten gives up the oldest keys to make room for one that is born then, and
// reports whether there is room now.
func (o *Owner[A]) shorten(birth Millis) bool {
	oldest := birth / bucketSpan
	for at := range o.buckets {
		oldest = min(oldest, at)
	}
	floor := (oldest + 1) * bucketSpan
	if floor > birth || floor > o.now.Add(-minMemory) {
		return false
	}
	o.raise(floor)
	return o.count < o.limits.Keys
}

// raise gives up the keys that are born before a floor.
func (o *Owner[A]) raise(floor Millis) {
	if floor <= o.floor {
		return
	}
	o.floor = floor
	for at, bucket := range o.buckets {
		if at*bucketSpan < floor {
			o.count -= len(bucket)
			delete(o.buckets, at)
		}
	}
	for len(o.kept) > 0 && o.kept[0].key.Timestamp() < floor {
		o.bytes -= o.kept[0].size
		o.kept[0].drop(eventDropped)
		o.kept = o.kept[1:]
	}
	for shard, held := range o.held {
		for len(held) > 1 && held[0].To <= floor {
			held = held[1:]
		}
		o.held[shard] = held
	}
}

// Stats is what an Owner holds.
type Stats struct {
	// Shards is the number of shards with an interval that has now.
	Shards int
	// Keys and AnswerBytes are what is remembered.
	Keys, AnswerBytes int
	// Remaining is the least time to the end of the intervals that have now.
	Remaining time.Duration
}

// Stats returns what the owner holds at a time.
func (o *Owner[A]) Stats(now Millis) Stats {
	s := Stats{Keys: o.count, AnswerBytes: o.bytes}
	for shard := range o.held {
		for _, h := range o.held[shard] {
			if !h.Contains(now) {
				continue
			}
			if left := h.To.Sub(now); s.Shards == 0 || left < s.Remaining {
				s.Remaining = left
			}
			s.Shards++
		}
	}
	return s
}

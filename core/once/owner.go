package once

import (
	"slices"
	"time"

	"fuchsiavane.org/core/chart"
)

// bucketSpan is the span of timestamps, in milliseconds, whose keys are evicted
// together.
const bucketSpan = Millis(60_000)

// minRetention is the age up to which keys are always retained.
const minRetention = 2 * time.Minute

// Limits bound what an Owner retains.
type Limits struct {
	// Keys bounds the number of keys retained. At the bound the retention is
	// shortened, down to minRetention; then new keys are refused.
	Keys int
	// AnswerBytes bounds the total size of the answers retained. At the bound the
	// oldest answers are evicted; their keys stay.
	AnswerBytes int
	// Retention is the age from which keys are refused as too old and evicted.
	Retention time.Duration
}

// States of a key at its owner, as in the state chart owned-request (package
// chart).
const (
	// Running keys have a run in progress.
	Running chart.State = "running"
	// Finished keys have run, and their answer is retained.
	Finished chart.State = "finished"
	// Unknown keys have run or may have run, and no answer is retained.
	Unknown chart.State = "unknown"
)

// Events of the state chart owned-request.
const (
	eventRun     chart.Event = "run"
	eventNotRun  chart.Event = "not-run"
	eventRan     chart.Event = "ran"
	eventLost    chart.Event = "lost"
	eventDropped chart.Event = "answer-dropped"
)

var requestChart = chart.Load("owned-request")

// Entry is a key that the owner retains. A is the type of the value that the
// user of the Owner stores with it.
type Entry[A any] struct {
	State chart.State
	// Fingerprint is the fingerprint of the first request with the key.
	Fingerprint uint64
	// Value is set by the user of the Owner while the key is Running or
	// Finished.
	Value       A
	key         Key
	answerBytes int
}

// Verdict is the decision on a request with a key.
type Verdict int

// Verdicts.
const (
	// Run means: run the request now, then call EndNotRun, EndUnknown or
	// EndFinished.
	Run Verdict = iota
	// Join means: wait for the run in progress and share its answer.
	Join
	// Replay means: return the retained answer.
	Replay
	// Duplicate means that the key has run or may have run and no answer is
	// retained, or that it was first used by a request with another fingerprint.
	Duplicate
	// NotHeld means that no interval of this owner contains the key.
	NotHeld
	// TooOld means that the key's timestamp is below MinTimestamp: the owner has
	// evicted the keys of that time.
	TooOld
	// Full means that no more keys can be recorded. The key has not run.
	Full
)

// Owner records the keys that one holder has received. It is not safe for
// concurrent use.
type Owner[A any] struct {
	limits       Limits
	intervals    [Shards][]Interval
	ends         [Shards]Millis // by shard, 1 ms after the highest timestamp of a key that has run
	truncated    bool
	minTimestamp Millis
	now          Millis // as of the last Expire
	count        int
	bytes        int
	buckets      map[Millis]map[Key]*Entry[A]
	answered     []*Entry[A] // finished keys whose answer is retained, oldest first
}

// NewOwner returns an Owner without intervals.
func NewOwner[A any](limits Limits) *Owner[A] {
	return &Owner[A]{limits: limits, buckets: map[Millis]map[Key]*Entry[A]{}}
}

// AddIntervals adds the intervals of a holder's claims, by shard, from a table
// that the store has confirmed. After Truncate it does nothing.
func (o *Owner[A]) AddIntervals(intervals [Shards]Interval) {
	if o.truncated {
		return
	}
	for shard, added := range intervals {
		if added.From < added.To {
			o.intervals[shard] = mergeInterval(o.intervals[shard], added)
		}
	}
}

// mergeInterval adds an interval to the list. One with the same start as the
// last one extends it.
func mergeInterval(intervals []Interval, added Interval) []Interval {
	if n := len(intervals); n > 0 && intervals[n-1].From == added.From {
		intervals[n-1].To = max(intervals[n-1].To, added.To)
		return intervals
	}
	return append(intervals, added)
}

// Intervals returns the intervals of a shard, oldest first.
func (o *Owner[A]) Intervals(shard int) []Interval { return slices.Clone(o.intervals[shard]) }

// MinTimestamp returns the timestamp below which keys are refused as too old.
func (o *Owner[A]) MinTimestamp() Millis { return o.minTimestamp }

// Truncate ends the owner's intervals for good, right after the key with the
// highest timestamp that has run, and returns these ends by shard. Later keys
// may be given to other holders.
func (o *Owner[A]) Truncate() [Shards]Millis {
	o.truncated = true
	for shard := range o.intervals {
		for i := range o.intervals[shard] {
			h := &o.intervals[shard][i]
			h.To = min(h.To, max(h.From, o.ends[shard]))
		}
	}
	return o.ends
}

// Begin decides on a key whose request has the given fingerprint, and
// registers the key as Running if the verdict is Run. The entry is nil for
// NotHeld, TooOld and Full.
func (o *Owner[A]) Begin(k Key, fingerprint uint64) (Verdict, *Entry[A]) {
	timestamp, shard := k.Timestamp(), k.Shard()
	if !o.contains(shard, timestamp) {
		return NotHeld, nil
	}
	if timestamp < o.minTimestamp {
		return TooOld, nil
	}
	if e := o.buckets[timestamp/bucketSpan][k]; e != nil {
		return e.verdict(fingerprint), e
	}
	if o.count >= o.limits.Keys && !o.evictOldest(timestamp) {
		return Full, nil
	}
	e := &Entry[A]{State: requestChart.Initial, Fingerprint: fingerprint, key: k}
	e.fire(eventRun)
	o.insert(timestamp, e)
	o.ends[shard] = max(o.ends[shard], timestamp+1)
	return Run, e
}

func (o *Owner[A]) contains(shard int, timestamp Millis) bool {
	for _, h := range o.intervals[shard] {
		if h.Contains(timestamp) {
			return true
		}
	}
	return false
}

func (e *Entry[A]) verdict(fingerprint uint64) Verdict {
	switch {
	case e.Fingerprint != fingerprint || e.State == Unknown:
		return Duplicate
	case e.State == Running:
		return Join
	}
	return Replay
}

func (o *Owner[A]) insert(timestamp Millis, e *Entry[A]) {
	bucket := o.buckets[timestamp/bucketSpan]
	if bucket == nil {
		bucket = map[Key]*Entry[A]{}
		o.buckets[timestamp/bucketSpan] = bucket
	}
	bucket[e.key] = e
	o.count++
}

// EndNotRun removes a key that is known not to have run, so that it may run
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

// EndUnknown marks a key as Unknown: it may have run, and its answer is not
// retained.
func (o *Owner[A]) EndUnknown(e *Entry[A]) { e.dropAnswer(eventLost) }

// EndFinished marks a key as Finished: it ran, and its answer of size bytes is
// stored in the entry's Value.
func (o *Owner[A]) EndFinished(e *Entry[A], size int) {
	if !e.fire(eventRan) {
		return
	}
	e.answerBytes = size
	o.bytes += size
	o.answered = append(o.answered, e)
	for o.bytes > o.limits.AnswerBytes {
		o.bytes -= o.answered[0].answerBytes
		o.answered[0].dropAnswer(eventDropped)
		o.answered = o.answered[1:]
	}
}

// dropAnswer removes the answer of a key if the event is valid in the key's
// state.
func (e *Entry[A]) dropAnswer(event chart.Event) {
	if !e.fire(event) {
		return
	}
	var none A
	e.Value, e.answerBytes = none, 0
}

// fire applies an event of the state chart to the key's state and reports whether
// the event was valid.
func (e *Entry[A]) fire(event chart.Event) bool {
	to, ok := requestChart.Next(e.State, event)
	e.State = to
	return ok
}

// Expire evicts the keys that are older than the retention. From then on, keys
// of that age are refused.
func (o *Owner[A]) Expire(now Millis) {
	o.now = max(o.now, now)
	o.raiseMinTimestamp(now.Add(-o.limits.Retention) / bucketSpan * bucketSpan)
}

// evictOldest evicts the oldest keys in favour of a key with the given
// timestamp, and reports whether there is now space for it.
func (o *Owner[A]) evictOldest(timestamp Millis) bool {
	oldest := timestamp / bucketSpan
	for at := range o.buckets {
		oldest = min(oldest, at)
	}
	minTimestamp := (oldest + 1) * bucketSpan
	if minTimestamp > timestamp || minTimestamp > o.now.Add(-minRetention) {
		return false
	}
	o.raiseMinTimestamp(minTimestamp)
	return o.count < o.limits.Keys
}

// raiseMinTimestamp evicts the keys with timestamps below a new minimum.
func (o *Owner[A]) raiseMinTimestamp(minTimestamp Millis) {
	if minTimestamp <= o.minTimestamp {
		return
	}
	o.minTimestamp = minTimestamp
	for at, bucket := range o.buckets {
		if at*bucketSpan < minTimestamp {
			o.count -= len(bucket)
			delete(o.buckets, at)
		}
	}
	for len(o.answered) > 0 && o.answered[0].key.Timestamp() < minTimestamp {
		o.bytes -= o.answered[0].answerBytes
		o.answered[0].dropAnswer(eventDropped)
		o.answered = o.answered[1:]
	}
	for shard, intervals := range o.intervals {
		for len(intervals) > 1 && intervals[0].To <= minTimestamp {
			intervals = intervals[1:]
		}
		o.intervals[shard] = intervals
	}
}

// Stats counts what an Owner holds and retains.
type Stats struct {
	// Shards is the number of shards with an interval that contains the current
	// time.
	Shards int
	// Keys is the number of retained keys and AnswerBytes the size of the retained
	// answers.
	Keys, AnswerBytes int
	// Remaining is the shortest time to the end of the intervals that contain
	// the current time.
	Remaining time.Duration
}

// Stats returns the owner's statistics at a time.
func (o *Owner[A]) Stats(now Millis) Stats {
	s := Stats{Keys: o.count, AnswerBytes: o.bytes}
	for shard := range o.intervals {
		for _, h := range o.intervals[shard] {
			if !h.Contains(now) {
				continue
			}
			if remaining := h.To.Sub(now); s.Shards == 0 || remaining < s.Remaining {
				s.Remaining = remaining
			}
			s.Shards++
		}
	}
	return s
}

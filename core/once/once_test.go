package once

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// keyIn returns a key of a shard with a timestamp.
func keyIn(shard int, timestamp Millis) Key {
	var k Key
	for n := uint32(0); ; n++ {
		binary.BigEndian.PutUint64(k[:8], uint64(timestamp)<<16|0x7000)
		binary.BigEndian.PutUint32(k[8:12], 0x80000000|n)
		if k.Shard() == shard {
			return k
		}
	}
}

func TestParseKey(t *testing.T) {
	is := is.New(t)
	lower, err := ParseKey("017f22e2-79b0-7cc3-98c4-dc0c0c07398f") // RFC 9562, appendix A.6
	is.NoErr(err)
	is.Equal(lower.Timestamp(), Millis(1645557742000))
	upper, err := ParseKey("017F22E2-79B0-7CC3-98C4-DC0C0C07398F")
	is.NoErr(err)
	is.Equal(lower, upper)
	for _, text := range []string{"", "bib-17", "017f22e2-79b0-4cc3-98c4-dc0c0c07398f", "017f22e2-79b0-7cc3-18c4-dc0c0c07398f", "017f22e2+79b0-7cc3-98c4-dc0c0c07398f"} {
		_, err := ParseKey(text)
		is.Equal(err, ErrNotUUIDv7)
	}
}

// testHolder is one holder of TestNoKeyRunsTwice.
type testHolder struct {
	holder  Holder
	owner   *Owner[int]
	stopped bool
}

// TestNoKeyRunsTwice checks that no key runs twice while holders of one shard edit its
// table in any order: they crash, leave, lose writes, take live holders for dead, or
// act on outdated claims.
func TestNoKeyRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const shard = 5
		policy := Policy{Length: 100 * time.Millisecond}
		limits := Limits{Keys: 50, AnswerBytes: 10, Retention: time.Hour}
		var table Table
		var runs []*testHolder
		runsOf := map[Key]int{}
		now := Millis(1000)
		started := 0
		start := func(instance int) *testHolder {
			started++
			return &testHolder{holder: Holder{fmt.Sprint("i", instance), fmt.Sprint(started)}, owner: NewOwner[int](limits)}
		}
		for i := range 3 {
			runs = append(runs, start(i))
		}
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			at := rapid.IntRange(0, 2).Draw(t, "holder")
			r := runs[at]
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				now += Millis(rapid.IntRange(0, 80).Draw(t, "wait"))
			case 1: // plan with any view of the live instances
				live := []string{r.holder.Instance}
				for _, other := range runs {
					if other != r && rapid.Bool().Draw(t, "sees as live") {
						live = append(live, other.holder.Instance)
					}
				}
				if !r.stopped {
					table, _ = table.Plan(r.holder, live, now, policy)
				}
				if rapid.Bool().Draw(t, "receives claims") {
					r.owner.AddIntervals(table.Claims(r.holder))
				}
			case 2: // leave; the write to the store may be lost
				r.stopped = true
				ends := r.owner.Truncate()
				if rapid.Bool().Draw(t, "released") {
					table, _ = table.Release(r.holder, ends)
				}
			case 3: // crash and restart
				runs[at] = start(at)
			default:
				timestamp := max(now+Millis(rapid.IntRange(-150, 60).Draw(t, "timestamp offset")), 0)
				k := keyIn(shard, timestamp)
				if verdict, e := r.owner.Begin(k, 1); verdict == Run {
					runsOf[k]++
					r.owner.EndUnknown(e)
				}
				if runsOf[k] > 1 {
					t.Fatalf("key with timestamp %d ran %d times", timestamp, runsOf[k])
				}
			}
		}
	})
}

func TestOwnerRetainsKeys(t *testing.T) {
	is := is.New(t)
	o := NewOwner[string](Limits{Keys: 3, AnswerBytes: 10, Retention: time.Hour})
	var claims [Shards]Interval
	claims[1] = Interval{1000, 2000}
	o.AddIntervals(claims)
	begin := func(k Key, fingerprint uint64, want Verdict) *Entry[string] {
		t.Helper()
		verdict, e := o.Begin(k, fingerprint)
		is.Equal(verdict, want)
		return e
	}
	a, b, c, d := keyIn(1, 1000), keyIn(1, 1001), keyIn(1, 1999), keyIn(1, 1500)
	begin(keyIn(1, 999), 1, NotHeld)
	begin(keyIn(1, 2000), 1, NotHeld)
	e := begin(a, 1, Run)
	begin(a, 1, Join)
	begin(a, 2, Duplicate) // another request with the same key
	o.EndNotRun(e)
	e = begin(a, 1, Run) // not run before, so it may run now
	o.EndFinished(e, 6)
	begin(a, 1, Replay)
	o.EndUnknown(begin(b, 1, Run))
	begin(b, 1, Duplicate)
	e = begin(c, 1, Run)
	begin(d, 1, Full)   // refused rather than evicting another key
	o.EndFinished(e, 6) // evicts the oldest answer, not its key
	begin(a, 1, Duplicate)
	begin(c, 1, Replay)
	is.Equal(o.Truncate()[1], Millis(2000))
	o.AddIntervals(claims)
	begin(c, 1, Replay)
}

// TestForgottenKeysNeverRun checks that a key whose result has expired is refused as
// TooOld, also after the clock steps back.
func TestForgottenKeysNeverRun(t *testing.T) {
	is := is.New(t)
	o := NewOwner[int](Limits{Keys: 1, AnswerBytes: 10, Retention: time.Minute})
	var claims [Shards]Interval
	claims[1] = Interval{0, 1 << 40}
	o.AddIntervals(claims)
	k := keyIn(1, 100_000)
	_, e := o.Begin(k, 1)
	o.EndFinished(e, 1)
	o.Expire(300_000)
	verdict, _ := o.Begin(k, 1)
	is.Equal(verdict, TooOld)
	is.Equal(o.Stats(300_000), Stats{Shards: 1, Remaining: (1<<40 - 300_000) * time.Millisecond})
	o.Expire(0) // a clock that steps back changes nothing
	verdict, _ = o.Begin(k, 1)
	is.Equal(verdict, TooOld)
}

func TestRetentionShrinksBeforeKeysAreRefused(t *testing.T) {
	is := is.New(t)
	o := NewOwner[int](Limits{Keys: 2, AnswerBytes: 10, Retention: time.Hour})
	var claims [Shards]Interval
	claims[1] = Interval{0, 1 << 40}
	o.AddIntervals(claims)
	for _, c := range []struct {
		now, timestamp Millis
		want           Verdict
	}{
		{60_000, 60_000, Run},
		{130_000, 130_000, Run},
		{130_000, 130_001, Full},  // the oldest key is younger than minRetention
		{300_000, 300_000, Run},   // the keys of the first minute are evicted
		{300_000, 60_000, TooOld}, // and don't run again
		{300_000, 900_000, Run},   // those of the third minute too
		{300_000, 130_000, TooOld},
		{300_000, 900_001, Full}, // keys from the future don't evict current ones
		{300_000, 300_000, Duplicate},
	} {
		o.Expire(c.now)
		verdict, e := o.Begin(keyIn(1, c.timestamp), 1)
		is.Equal(verdict, c.want)
		if verdict == Run {
			o.EndUnknown(e)
		}
	}
}

// TestHandOver checks that another instance claims its preferred shards for the time
// after the claims of their holder, and all shards once that holder leaves.
func TestHandOver(t *testing.T) {
	is := is.New(t)
	policy := Policy{Length: 900 * time.Millisecond}
	a, b := Holder{"a", "1"}, Holder{"b", "1"}
	table, changed := Table{}.Plan(a, []string{"a"}, 1000, policy)
	is.True(changed)
	for shard := range Shards {
		is.Equal(table.Shards[shard].Current, Claim{a, Interval{0, 1900}}) // the first claim contains all older keys
	}
	_, changed = table.Plan(a, []string{"a"}, 1200, policy)
	is.True(!changed)
	_, changed = table.Plan(b, []string{"a", "b"}, 1200, policy)
	is.True(!changed) // b waits until half of a's claim has passed
	table, changed = table.Plan(b, []string{"a", "b"}, 1500, policy)
	is.True(changed)
	taken := 0
	for shard := range Shards {
		if table.Shards[shard].Current.Holder == b {
			taken++
			is.Equal(PreferredInstance(shard, []string{"a", "b"}), "b")
			is.Equal(table.Shards[shard].Current.From, Millis(1900))
			holder, position := table.Find(shard, 1899)
			is.Equal(position, PositionHeld)
			is.Equal(holder, a)
		}
	}
	is.True(taken > Shards/4)
	is.True(taken < Shards*3/4)
	// a leaves early: b's claims are extended backwards, and b claims the other shards.
	var ends [Shards]Millis
	for shard := range ends {
		ends[shard] = 1600
	}
	table, _ = table.Release(a, ends)
	table, _ = table.Plan(b, []string{"b"}, 1600, policy)
	for shard := range Shards {
		holder, position := table.Find(shard, 1600)
		is.Equal(position, PositionHeld)
		is.Equal(holder, b)
	}
}

// Package once decides which daemon may run a non-idempotent request, so that
// no key runs twice.
//
// A key belongs to a shard by its hash. A Table, one record in the platform's
// store for each service, gives each shard to a holder for an interval of birth
// times; the intervals of one shard never overlap, whoever edits the table. A
// holder runs only keys born in its intervals and remembers those that it has
// seen (Owner). The birth time is a label in the key, so clocks that are wrong
// delay or refuse work, but never run a key twice.
//
// The package is pure: time comes in as an argument, tables go out as values.
package once

import "time"

// Holder names one run of one daemon. A daemon that starts again is another
// holder, since it has forgotten what it saw.
type Holder struct {
	Instance string `json:"i"`
	// Start tells the runs of one instance apart.
	Start string `json:"s"`
}

// Interval is the birth times from From up to, but not with, To.
type Interval struct {
	From Millis `json:"f"`
	To   Millis `json:"t"`
}

// Contains reports whether a birth time lies in the interval.
func (i Interval) Contains(birth Millis) bool { return i.From <= birth && birth < i.To }

// Claim is a holder's interval.
type Claim struct {
	Holder
	Interval
}

// Record is what the table says of one shard.
type Record struct {
	// Current is the newest claim.
	Current Claim `json:"c"`
	// Previous is the claim that ended where Current begins, for finding its
	// holder. Its holder is empty if there was none.
	Previous Claim `json:"b,omitzero"`
}

// Table gives the shards of one service to holders. A claim names the run that
// made it, so whoever reads the table knows which claims are its own, and an
// edit whose answer was lost needs no settling besides reading again.
type Table struct {
	Shards [Shards]Record `json:"shards"`
}

// Policy is how a holder keeps its claims.
type Policy struct {
	// Length is the time that a claim is taken ahead.
	Length time.Duration
}

// renewAt is the part of Length below which a holder extends its claim.
func (p Policy) renewAt() time.Duration { return p.Length * 2 / 3 }

// handOverAt is the part of Length below which the preferred holder claims what
// follows another holder's claim.
func (p Policy) handOverAt() time.Duration { return p.Length / 2 }

// keepAt is the part of Length below which a holder extends a claim that
// another should have taken.
func (p Policy) keepAt() time.Duration { return p.Length / 3 }

// Plan returns the table as the holder wants it, and whether that differs.
// live are the instances of the service that take new work, the holder's own
// among them. A claim only ever begins where the last one ended, and only its
// holder moves its end. A holder that has died is not hurried: nobody else may
// run the keys of its claim, and what follows is taken in time in any case.
func (t Table) Plan(me Holder, live []string, now Millis, p Policy) (Table, bool) {
	changed := false
	for shard := range t.Shards {
		if t.Shards[shard].Plan(me, PreferredInstance(shard, live) == me.Instance, now, p) {
			changed = true
		}
	}
	return t, changed
}

// Plan extends or takes over one shard if the holder should, and reports whether
// it did. preferred says that the shard should belong to the holder.
func (r *Record) Plan(me Holder, preferred bool, now Millis, p Policy) bool {
	if !r.wanted(me, preferred, now, p) {
		return false
	}
	r.take(me, now, p.Length)
	return true
}

func (r *Record) wanted(me Holder, preferred bool, now Millis, p Policy) bool {
	left := r.Current.To.Sub(now)
	switch {
	case r.Current.Holder == me && preferred:
		return left < p.renewAt()
	case r.Current.Holder == me:
		return left < p.keepAt()
	}
	return preferred && left < p.handOverAt()
}

// take extends the holder's claim, or begins one where the last ended.
func (r *Record) take(me Holder, now Millis, length time.Duration) {
	end := max(r.Current.To, now).Add(length)
	if r.Current.Holder == me {
		r.Current.To = max(r.Current.To, now.Add(length))
		return
	}
	begin := r.Current.To
	if r.Current.From < r.Current.To {
		r.Previous = r.Current
	}
	r.Current = Claim{me, Interval{begin, end}}
}

// Release returns the table with the ends of the holder's claims moved back to
// the given times, and whether that differs. The holder must already have
// stopped running keys born at or after these times.
func (t Table) Release(me Holder, ends [Shards]Millis) (Table, bool) {
	changed := false
	for shard := range t.Shards {
		if t.Shards[shard].Release(me, ends[shard]) {
			changed = true
		}
	}
	return t, changed
}

// Release moves the end of the holder's claim on one shard back, and reports
// whether that changed anything.
func (r *Record) Release(me Holder, end Millis) bool {
	switch {
	case r.Current.Holder == me && end < r.Current.To:
		r.Current.To = max(r.Current.From, end)
		return true
	case r.Previous.Holder == me && end < r.Previous.To && r.Previous.To == r.Current.From:
		// The next holder has come already: its claim grows downwards.
		r.Previous.To = max(r.Previous.From, end)
		r.Current.From = r.Previous.To
		return true
	}
	return false
}

// Claims returns the holder's intervals by shard.
func (t Table) Claims(me Holder) [Shards]Interval {
	var claims [Shards]Interval
	for shard := range t.Shards {
		if t.Shards[shard].Current.Holder == me {
			claims[shard] = t.Shards[shard].Current.Interval
		}
	}
	return claims
}

// RenewalDue reports whether Plan may want a change of the holder's own claims.
func (t Table) RenewalDue(me Holder, now Millis, p Policy) bool {
	for shard := range t.Shards {
		c := &t.Shards[shard].Current
		if c.Holder == me && c.To.Sub(now) < p.renewAt() {
			return true
		}
	}
	return false
}

// Position says what a table knows of a key's holder.
type Position int

// Places.
const (
	// PositionHeld means that a holder's interval has the key.
	PositionHeld Position = iota
	// PositionBefore means that the key is older than the intervals in the table.
	PositionBefore
	// PositionAfter means that no interval reaches as far yet. The holder returned
	// is the one that may extend its own.
	PositionAfter
)

// Find returns the holder of keys of a shard with a birth time.
func (t *Table) Find(shard int, birth Millis) (Holder, Position) {
	r := &t.Shards[shard]
	switch {
	case r.Current.Contains(birth):
		return r.Current.Holder, PositionHeld
	case r.Previous.Contains(birth):
		return r.Previous.Holder, PositionHeld
	case birth >= r.Current.To:
		return r.Current.Holder, PositionAfter
	}
	return Holder{}, PositionBefore
}

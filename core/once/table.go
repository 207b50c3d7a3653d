// Package once decides which daemon may run a non-idempotent request, so that
// no idempotency key runs twice.
//
// A key belongs to a shard by its hash. A Table, one value in the platform's
// store for each service, assigns each shard to a holder for an interval of
// key timestamps. The intervals of one shard never overlap, whichever daemon
// edits the table. A holder runs only keys with timestamps in its intervals
// and records those that it has received (Owner). The timestamp is part of
// the key, so with a wrong clock work may be delayed or refused, but no key
// runs twice.
//
// The package is pure: time is an argument, and tables are returned as values.
package once

import "time"

// Holder identifies one process of a daemon. A restarted daemon is another
// holder, since it has lost the keys that it recorded.
type Holder struct {
	Instance string `json:"i"`
	// Start is an id that distinguishes the processes of one instance, such as
	// a random UUID.
	Start string `json:"s"`
}

// Interval is the timestamps from From, inclusive, to To, exclusive.
type Interval struct {
	From Millis `json:"f"`
	To   Millis `json:"t"`
}

// Contains reports whether a timestamp lies in the interval.
func (i Interval) Contains(timestamp Millis) bool { return i.From <= timestamp && timestamp < i.To }

// Claim is an interval of one shard and its holder.
type Claim struct {
	Holder
	Interval
}

// ShardClaims holds the claims on one shard.
type ShardClaims struct {
	// Current is the newest claim.
	Current Claim `json:"c"`
	// Previous is the claim that ended where Current begins, for finding its
	// holder. Its holder is empty if there was none.
	Previous Claim `json:"b,omitzero"`
}

// Table assigns the shards of one service to holders. A claim names the
// process that made it, so a daemon that reads the table knows which claims
// are its own, and a write whose result is unknown is resolved by reading the
// table again.
type Table struct {
	Shards [Shards]ShardClaims `json:"shards"`
}

// Policy sets how far ahead a holder claims, and thereby when it claims again.
type Policy struct {
	// Length is how far a new or extended claim reaches into the future.
	Length time.Duration
}

// renewBelow is the remaining time below which the preferred holder extends
// its claim.
func (p Policy) renewBelow() time.Duration { return p.Length * 2 / 3 }

// takeOverBelow is the remaining time below which the preferred holder claims
// the interval after another holder's claim.
func (p Policy) takeOverBelow() time.Duration { return p.Length / 2 }

// renewUnpreferredBelow is the remaining time below which a holder extends its
// claim although another holder is preferred and should have taken over.
func (p Policy) renewUnpreferredBelow() time.Duration { return p.Length / 3 }

// Plan returns the table with the changes that the holder should make, and
// whether there are any. live lists the instances of the service that take new
// work, the holder's own included. A new claim always begins where the last
// one ended, and only its holder moves its end. The claim of a dead holder is
// not shortened: no other holder may run its keys, and the preferred holder
// claims the following interval before this one ends.
func (t Table) Plan(me Holder, live []string, now Millis, p Policy) (Table, bool) {
	changed := false
	for shard := range t.Shards {
		if t.Shards[shard].Plan(me, PreferredInstance(shard, live) == me.Instance, now, p) {
			changed = true
		}
	}
	return t, changed
}

// Plan extends or takes over one shard if the holder should, and reports
// whether it did. preferred is set if the shard should belong to the holder.
func (r *ShardClaims) Plan(me Holder, preferred bool, now Millis, p Policy) bool {
	if !r.shouldClaim(me, preferred, now, p) {
		return false
	}
	r.claim(me, now, p.Length)
	return true
}

func (r *ShardClaims) shouldClaim(me Holder, preferred bool, now Millis, p Policy) bool {
	remaining := r.Current.To.Sub(now)
	switch {
	case r.Current.Holder == me && preferred:
		return remaining < p.renewBelow()
	case r.Current.Holder == me:
		return remaining < p.renewUnpreferredBelow()
	}
	return preferred && remaining < p.takeOverBelow()
}

// claim extends the holder's claim, or begins one where the last one ended.
func (r *ShardClaims) claim(me Holder, now Millis, length time.Duration) {
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
// the given times, by shard, and whether that changed it. The holder must
// already have stopped running keys with timestamps at or after these times.
func (t Table) Release(me Holder, ends [Shards]Millis) (Table, bool) {
	changed := false
	for shard := range t.Shards {
		if t.Shards[shard].Release(me, ends[shard]) {
			changed = true
		}
	}
	return t, changed
}

// Release moves the end of the holder's claim on one shard back to a time, and
// reports whether that changed the claims.
func (r *ShardClaims) Release(me Holder, end Millis) bool {
	switch {
	case r.Current.Holder == me && end < r.Current.To:
		r.Current.To = max(r.Current.From, end)
		return true
	case r.Previous.Holder == me && end < r.Previous.To && r.Previous.To == r.Current.From:
		// The next holder has already claimed: its claim is extended backwards.
		r.Previous.To = max(r.Previous.From, end)
		r.Current.From = r.Previous.To
		return true
	}
	return false
}

// Claims returns the holder's current intervals, by shard.
func (t Table) Claims(me Holder) [Shards]Interval {
	var claims [Shards]Interval
	for shard := range t.Shards {
		if t.Shards[shard].Current.Holder == me {
			claims[shard] = t.Shards[shard].Current.Interval
		}
	}
	return claims
}

// RenewalDue reports whether Plan may change one of the holder's own claims.
func (t Table) RenewalDue(me Holder, now Millis, p Policy) bool {
	for shard := range t.Shards {
		c := &t.Shards[shard].Current
		if c.Holder == me && c.To.Sub(now) < p.renewBelow() {
			return true
		}
	}
	return false
}

// Position is where a key's timestamp lies in relation to the intervals of its
// shard in a table.
type Position int

// Positions.
const (
	// PositionHeld means that the interval of a holder contains the key.
	PositionHeld Position = iota
	// PositionBefore means that the key is older than the intervals in the
	// table.
	PositionBefore
	// PositionAfter means that the key is newer than the intervals in the table.
	// Find returns the holder of the newest claim, which may extend it.
	PositionAfter
)

// Find returns the holder of the keys of a shard with the given timestamp, and
// their position. The holder is empty for PositionBefore.
func (t *Table) Find(shard int, timestamp Millis) (Holder, Position) {
	r := &t.Shards[shard]
	switch {
	case r.Current.Contains(timestamp):
		return r.Current.Holder, PositionHeld
	case r.Previous.Contains(timestamp):
		return r.Previous.Holder, PositionHeld
	case timestamp >= r.Current.To:
		return r.Current.Holder, PositionAfter
	}
	return Holder{}, PositionBefore
}

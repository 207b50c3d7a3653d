package settings

import (
	"fmt"
	"math"
	"strings"
	"time"

	"fuchsiavane.org/core/jsontree"
)

const (
	// storeValueBytes is the largest value that the platform's store holds.
	storeValueBytes = 1 << 20
	// envelopeBytes bounds what is stored around the document.
	envelopeBytes = 64 << 10
	// MaxDocumentBytes is the largest document that is accepted: the store
	// holds it in base64, four bytes for three, within an envelope.
	MaxDocumentBytes = (storeValueBytes - envelopeBytes) / 4 * 3
)

// Key describes one setting.
type Key struct {
	// Name is the key in a settings object.
	Name string
	// Unit is the unit of the value.
	Unit string
	// Doc says what the setting does.
	Doc string
	// DeepestLevel is the deepest level at which the setting holds: at that one and at
	// those above it.
	DeepestLevel Level
	// read checks the value and returns the change that it makes, or nil after
	// a finding.
	read func(c *checker, n *jsontree.Node) func(*Values)
	// get returns the value as it would stand in a document.
	get func(v *Values) any
}

// override is one setting of a level.
type override struct {
	// key is the index in keys.
	key    int
	change func(*Values)
	// at is the place; nil once the document is accepted.
	at *jsontree.Node
}

// levels lists the levels of a document from the top.
var levels = []Level{LevelRoot, LevelService, LevelPath, LevelRank}

// Levels lists the levels at which the setting may stand.
func (k Key) Levels() []Level {
	for i, level := range levels {
		if level == k.DeepestLevel {
			return levels[:i+1]
		}
	}
	return levels
}

func (k Key) holdsAt(level Level) bool {
	for _, l := range k.Levels() {
		if l == level {
			return true
		}
	}
	return false
}

func (k Key) levelsText() string {
	names := make([]string, len(k.Levels()))
	for i, level := range k.Levels() {
		names[i] = string(level)
	}
	return fmt.Sprintf("it holds at the levels %s", strings.Join(names, ", "))
}

// Default returns the value where no level sets one, as it would stand in a
// document.
func (k Key) Default() any {
	v := Defaults()
	return k.get(&v)
}

// Indexes of the keys that rules refer to.
var (
	keyIndex   = indexKeys()
	keyRank    = keyIndex["rank"]
	keyTimeout = keyIndex["timeout_ms"]
	keyQueue   = keyIndex["queue_ms"]
)

func indexKeys() map[string]int {
	index := make(map[string]int, len(keys))
	for i, key := range keys {
		index[key.Name] = i
	}
	return index
}

// Keys lists every setting in the order of the documentation.
func Keys() []Key { return keys }

var keys = []Key{
	{
		"rank", "rank name", "Rank of work on the call path.", LevelPath,
		func(c *checker, n *jsontree.Node) func(*Values) {
			name, ok := c.text(n)
			if !ok {
				return nil
			}
			c.useRank(n, name)
			return func(v *Values) { v.Rank = name }
		},
		func(v *Values) any { return v.Rank },
	},
	{
		"timeout_ms", "ms", "Time allowed for the whole call, children included.", LevelRank,
		duration(1, maxDuration, func(v *Values) *time.Duration { return &v.Timeout }),
		func(v *Values) any { return v.Timeout.Milliseconds() },
	},
	{
		"attempts", "runs", "Most runs of one request across the whole call chain.", LevelRank,
		integer(1, 100, func(v *Values) *int { return &v.Attempts }),
		func(v *Values) any { return v.Attempts },
	},
	{
		"retry_ratio", "part of first sends, 0 to 1", "Bounds retries of a service and resends of a caller.", LevelRank,
		func(c *checker, n *jsontree.Node) func(*Values) {
			f, ok := c.number(n, 0, 1)
			if !ok {
				return nil
			}
			return func(v *Values) { v.RetryRatio = f }
		},
		func(v *Values) any { return v.RetryRatio },
	},
	{
		"retry_burst", "retries", "Retries of a service that the whole fleet may make in a window beyond the ratio.", LevelRank,
		integer(0, 1_000_000, func(v *Values) *int { return &v.RetryBurst }),
		func(v *Values) any { return v.RetryBurst },
	},
	{
		"retry_window_ms", "ms", "Time over which retries and first sends are counted.", LevelRank,
		duration(1000, maxDuration, func(v *Values) *time.Duration { return &v.RetryWindow }),
		func(v *Values) any { return v.RetryWindow.Milliseconds() },
	},
	{
		"idempotent", "true or false", "Whether a request may run more than once; by method as in RFC 9110 if unset.", LevelRank,
		func(c *checker, n *jsontree.Node) func(*Values) {
			b, ok := c.boolean(n)
			if !ok {
				return nil
			}
			return func(v *Values) { v.Idempotent = &b }
		},
		func(v *Values) any {
			if v.Idempotent == nil {
				return "by method"
			}
			return *v.Idempotent
		},
	},
	{
		"target_ms", "ms", "Time within which an answer is of full use; 0 if unset: the timeout.", LevelRank,
		duration(0, maxDuration, func(v *Values) *time.Duration { return &v.TargetLatency }),
		func(v *Values) any { return v.TargetLatency.Milliseconds() },
	},
	{
		"once_per", `"key" or "attempt"`, "What a non-idempotent request runs at most once for: its idempotency key, or the one attempt that a caller makes.", LevelRank,
		func(c *checker, n *jsontree.Node) func(*Values) {
			s, ok := c.text(n)
			if !ok {
				return nil
			}
			if s != string(OncePerKey) && s != string(OncePerAttempt) {
				c.add(n, "%q is neither \"key\" nor \"attempt\"", s)
				return nil
			}
			return func(v *Values) { v.OncePer = OncePer(s) }
		},
		func(v *Values) any { return string(v.OncePer) },
	},
	{
		"slots", "requests", "Most concurrent requests at one upstream instance.", LevelService,
		integer(1, 100000, func(v *Values) *int { return &v.Slots }),
		func(v *Values) any { return v.Slots },
	},
	{
		"connections", "connections", "Most open connections to one upstream instance.", LevelService,
		integer(1, 100000, func(v *Values) *int { return &v.Connections }),
		func(v *Values) any { return v.Connections },
	},
	{
		"queue_ms", "ms", "Longest wait for a slot; calls made by a run wait up to 4 times as long.", LevelService,
		duration(0, maxDuration, func(v *Values) *time.Duration { return &v.QueueTimeout }),
		func(v *Values) any { return v.QueueTimeout.Milliseconds() },
	},
	{
		"cross_region", `"never" or "spill"`, "Whether a call may leave its region.", LevelRank,
		func(c *checker, n *jsontree.Node) func(*Values) {
			s, ok := c.text(n)
			if !ok {
				return nil
			}
			if s != string(CrossRegionNever) && s != string(CrossRegionSpill) {
				c.add(n, "%q is neither \"never\" nor \"spill\"", s)
				return nil
			}
			return func(v *Values) { v.CrossRegion = CrossRegion(s) }
		},
		func(v *Values) any { return v.CrossRegion },
	},
	{
		"region_link_mbit", "Mbit/s", "Capacity of the link between regions, each way, shared by the daemons of a region.", LevelRoot,
		func(c *checker, n *jsontree.Node) func(*Values) {
			mbit, ok := c.number(n, 0, 1e6)
			if !ok {
				return nil
			}
			return func(v *Values) { v.RegionLinkRate = mbit * BytesPerMegabit }
		},
		func(v *Values) any { return v.RegionLinkRate / BytesPerMegabit },
	},
	{
		"hours", "list of windows", "Daily windows in which the shares of ranks differ.", LevelService,
		readHours,
		func(v *Values) any { return formatWindows(v.ShareWindows) },
	},
	{
		"slow_start_ms", "ms", "Time over which a new upstream's share of work rises.", LevelService,
		duration(0, maxDuration, func(v *Values) *time.Duration { return &v.SlowStart }),
		func(v *Values) any { return v.SlowStart.Milliseconds() },
	},
	{
		"drain_ms", "ms", "Longest graceful shutdown.", LevelService,
		duration(0, maxDuration, func(v *Values) *time.Duration { return &v.DrainTimeout }),
		func(v *Values) any { return v.DrainTimeout.Milliseconds() },
	},
}

// maxDuration is the longest duration that a setting may give.
const maxDuration = 24 * time.Hour

func duration(least int, most time.Duration, field func(*Values) *time.Duration) func(*checker, *jsontree.Node) func(*Values) {
	return func(c *checker, n *jsontree.Node) func(*Values) {
		f, ok := c.number(n, float64(least), float64(most.Milliseconds()))
		if !ok {
			return nil
		}
		d := time.Duration(math.Round(f * float64(time.Millisecond)))
		return func(v *Values) { *field(v) = d }
	}
}

func integer(least, most int, field func(*Values) *int) func(*checker, *jsontree.Node) func(*Values) {
	return func(c *checker, n *jsontree.Node) func(*Values) {
		f, ok := c.number(n, float64(least), float64(most))
		if !ok {
			return nil
		}
		if f != math.Trunc(f) {
			c.add(n, "%v is not a whole number", f)
			return nil
		}
		return func(v *Values) { *field(v) = int(f) }
	}
}

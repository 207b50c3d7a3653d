package settings

import (
	"fmt"
	"math"
	"strings"
	"time"

	"fuchsiavane.org/core/jsontree"
)

const (
	// maxStoreValueBytes is the maximum size of a value in the platform's store.
	maxStoreValueBytes = 1 << 20
	// maxEnvelopeBytes is the maximum size of the data stored around the
	// document.
	maxEnvelopeBytes = 64 << 10
	// MaxDocumentBytes is the maximum size of a document: the store holds it
	// base64-encoded, four bytes for three, within an envelope.
	MaxDocumentBytes = (maxStoreValueBytes - maxEnvelopeBytes) / 4 * 3
)

// Key describes one setting of the tree.
type Key struct {
	// Name is the key in a settings object of a document.
	Name string
	// Unit is the unit of the value.
	Unit string
	// Doc describes the setting for operators.
	Doc string
	// DeepestLevel is the deepest level that may set the key; all levels above
	// it may too.
	DeepestLevel Level
	// safeValue is the JSON text that ParseTolerant puts in the place of a value that
	// it can't read; empty if the value of the level above is as safe.
	safeValue string
	// read validates the value and returns the function that sets it, or nil
	// after a finding.
	read func(c *checker, n *jsontree.Node) func(*Values)
	// get returns the value as a document writes it.
	get func(v *Values) any
}

// override is one setting that a level sets.
type override struct {
	// key is the index of the setting in keys.
	key   int
	apply func(*Values)
	// node is the JSON value; nil once Parse returns the document.
	node *jsontree.Node
}

// levels lists the levels of a document, root first.
var levels = []Level{LevelRoot, LevelService, LevelPath, LevelRank}

// Levels lists the levels that may set the key, root first.
func (k Key) Levels() []Level {
	for i, level := range levels {
		if level == k.DeepestLevel {
			return levels[:i+1]
		}
	}
	return levels
}

func (k Key) allowedAt(level Level) bool {
	for _, l := range k.Levels() {
		if l == level {
			return true
		}
	}
	return false
}

func (k Key) allowedLevelsText() string {
	names := make([]string, len(k.Levels()))
	for i, level := range k.Levels() {
		names[i] = string(level)
	}
	return fmt.Sprintf("allowed at the levels %s", strings.Join(names, ", "))
}

// Default returns the value that applies if no level sets the key, as a
// document writes it.
func (k Key) Default() any {
	v := Defaults()
	return k.get(&v)
}

// Indexes in keys, by name and of the keys that checks refer to.
var (
	keyIndexes      = indexKeys()
	rankKeyIndex    = keyIndexes["rank"]
	timeoutKeyIndex = keyIndexes["timeout_ms"]
	queueKeyIndex   = keyIndexes["queue_ms"]
)

func indexKeys() map[string]int {
	index := make(map[string]int, len(keys))
	for i, key := range keys {
		index[key.Name] = i
	}
	return index
}

// Keys lists all settings in the order of the documentation.
func Keys() []Key { return keys }

var keys = []Key{
	{
		"rank", "rank name", "Rank of requests on the call path.", LevelPath, "",
		func(c *checker, n *jsontree.Node) func(*Values) {
			name, ok := c.readString(n)
			if !ok {
				return nil
			}
			c.addRankReference(n, name)
			return func(v *Values) { v.Rank = name }
		},
		func(v *Values) any { return v.Rank },
	},
	{
		"timeout_ms", "ms", "Timeout of the whole call, nested calls included.", LevelRank, "",
		durationReader(1, maxDuration, func(v *Values) *time.Duration { return &v.Timeout }),
		func(v *Values) any { return v.Timeout.Milliseconds() },
	},
	{
		"attempts", "runs", "Maximum number of runs of one request across the whole call chain.", LevelRank, `1`,
		integerReader(1, 100, func(v *Values) *int { return &v.Attempts }),
		func(v *Values) any { return v.Attempts },
	},
	{
		"retry_ratio", "part of first sends, 0 to 1", "Limit on the retries of a service and the resends of a caller.", LevelRank, `0`,
		func(c *checker, n *jsontree.Node) func(*Values) {
			f, ok := c.readNumber(n, 0, 1)
			if !ok {
				return nil
			}
			return func(v *Values) { v.RetryRatio = f }
		},
		func(v *Values) any { return v.RetryRatio },
	},
	{
		"retry_burst", "retries", "Retries of a service that the whole fleet may make per retry window beyond the ratio.", LevelRank, `0`,
		integerReader(0, 1_000_000, func(v *Values) *int { return &v.RetryBurst }),
		func(v *Values) any { return v.RetryBurst },
	},
	{
		"retry_window_ms", "ms", "Time window in which retries and first sends are counted.", LevelRank, "",
		durationReader(1000, maxDuration, func(v *Values) *time.Duration { return &v.RetryWindow }),
		func(v *Values) any { return v.RetryWindow.Milliseconds() },
	},
	{
		"idempotent", "true or false", "Whether a request may run more than once; by method as in RFC 9110 if unset.", LevelRank, `false`,
		func(c *checker, n *jsontree.Node) func(*Values) {
			b, ok := c.readBoolean(n)
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
		"target_ms", "ms", "Target latency, up to which a response is fully useful to its caller; 0, the default, stands for the timeout.", LevelRank, "",
		durationReader(0, maxDuration, func(v *Values) *time.Duration { return &v.TargetLatency }),
		func(v *Values) any { return v.TargetLatency.Milliseconds() },
	},
	{
		"once_per", `"key" or "attempt"`, "Scope in which a non-idempotent request runs at most once: its idempotency key, or each send by the caller, a resend being another send.", LevelRank, `"key"`,
		func(c *checker, n *jsontree.Node) func(*Values) {
			s, ok := c.readString(n)
			if !ok {
				return nil
			}
			if s != string(OncePerKey) && s != string(OncePerAttempt) {
				c.addFinding(n, "%q is neither \"key\" nor \"attempt\"", s)
				return nil
			}
			return func(v *Values) { v.OncePer = OncePer(s) }
		},
		func(v *Values) any { return string(v.OncePer) },
	},
	{
		"slots", "requests", "Maximum number of concurrent requests at one upstream instance.", LevelService, "",
		integerReader(1, 100000, func(v *Values) *int { return &v.Slots }),
		func(v *Values) any { return v.Slots },
	},
	{
		"connections", "connections", "Maximum number of open connections to one upstream instance.", LevelService, "",
		integerReader(1, 100000, func(v *Values) *int { return &v.Connections }),
		func(v *Values) any { return v.Connections },
	},
	{
		"queue_ms", "ms", "Maximum wait for a slot; nested calls wait up to 4 times as long.", LevelService, "",
		durationReader(0, maxDuration, func(v *Values) *time.Duration { return &v.QueueTimeout }),
		func(v *Values) any { return v.QueueTimeout.Milliseconds() },
	},
	{
		"cross_region", `"never" or "spill"`, "Whether a call may leave its region when its upstreams are unusable, refuse much, or would make it wait much longer.", LevelRank, "",
		func(c *checker, n *jsontree.Node) func(*Values) {
			s, ok := c.readString(n)
			if !ok {
				return nil
			}
			if s != string(CrossRegionNever) && s != string(CrossRegionSpill) {
				c.addFinding(n, "%q is neither \"never\" nor \"spill\"", s)
				return nil
			}
			return func(v *Values) { v.CrossRegion = CrossRegion(s) }
		},
		func(v *Values) any { return v.CrossRegion },
	},
	{
		"region_link_mbit", "Mbit/s", "Capacity of the region link in each direction, shared by the daemons of a region.", LevelRoot, "",
		func(c *checker, n *jsontree.Node) func(*Values) {
			mbit, ok := c.readNumber(n, 0, 1e6)
			if !ok {
				return nil
			}
			return func(v *Values) { v.RegionLinkRate = mbit * BytesPerMegabit }
		},
		func(v *Values) any { return v.RegionLinkRate / BytesPerMegabit },
	},
	{
		"hours", "list of windows", "Daily time windows with different shares of ranks.", LevelService, "",
		readShareWindows,
		func(v *Values) any { return formatWindows(v.ShareWindows) },
	},
	{
		"slow_start_ms", "ms", "Time over which the share of requests of a new upstream instance rises to its full value.", LevelService, "",
		durationReader(0, maxDuration, func(v *Values) *time.Duration { return &v.SlowStart }),
		func(v *Values) any { return v.SlowStart.Milliseconds() },
	},
	{
		"drain_ms", "ms", "Maximum duration of a graceful shutdown.", LevelService, "",
		durationReader(0, maxDuration, func(v *Values) *time.Duration { return &v.DrainTimeout }),
		func(v *Values) any { return v.DrainTimeout.Milliseconds() },
	},
}

// maxDuration is the maximum value of a duration setting.
const maxDuration = 24 * time.Hour

func durationReader(minMs int, maxValue time.Duration, field func(*Values) *time.Duration) func(*checker, *jsontree.Node) func(*Values) {
	return func(c *checker, n *jsontree.Node) func(*Values) {
		f, ok := c.readNumber(n, float64(minMs), float64(maxValue.Milliseconds()))
		if !ok {
			return nil
		}
		d := time.Duration(math.Round(f * float64(time.Millisecond)))
		return func(v *Values) { *field(v) = d }
	}
}

func integerReader(minValue, maxValue int, field func(*Values) *int) func(*checker, *jsontree.Node) func(*Values) {
	return func(c *checker, n *jsontree.Node) func(*Values) {
		f, ok := c.readNumber(n, float64(minValue), float64(maxValue))
		if !ok {
			return nil
		}
		if f != math.Trunc(f) {
			c.addFinding(n, "%v is not an integer", f)
			return nil
		}
		return func(v *Values) { *field(v) = int(f) }
	}
}

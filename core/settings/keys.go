package settings

import (
	"math"
	"time"
)

// MaxDocumentBytes is the largest document that the platform's store holds as
// one value.
const MaxDocumentBytes = 1 << 20

// Key describes one setting.
type Key struct {
	// Name is the key in a settings object.
	Name string
	// Unit is the unit of the value.
	Unit string
	// Doc says what the setting does.
	Doc string
	// read checks the value and returns the change that it makes.
	read func(c *checker, n *node) override
	// get returns the value as it would stand in a document.
	get func(v *Values) any
}

// override changes one value.
type override func(v *Values)

// Keys lists every setting in the order of the documentation.
func Keys() []Key { return keys }

var keys = []Key{
	{
		"rank", "rank name", "Rank of work on the call path.",
		func(c *checker, n *node) override {
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
		"timeout_ms", "ms", "Time allowed for the whole call, children included.",
		duration(1, maxDuration, func(v *Values) *time.Duration { return &v.Timeout }),
		func(v *Values) any { return v.Timeout.Milliseconds() },
	},
	{
		"attempts", "runs", "Most runs of one request across the whole call chain.",
		integer(1, 100, func(v *Values) *int { return &v.Attempts }),
		func(v *Values) any { return v.Attempts },
	},
	{
		"retry_ratio", "part of first sends, 0 to 1", "Bounds retries of a service and resends of a caller.",
		func(c *checker, n *node) override {
			f, ok := c.number(n, 0, 1)
			if !ok {
				return nil
			}
			return func(v *Values) { v.RetryRatio = f }
		},
		func(v *Values) any { return v.RetryRatio },
	},
	{
		"idempotent", "true or false", "Whether a request may run more than once; by method as in RFC 9110 if unset.",
		func(c *checker, n *node) override {
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
		"slots", "requests", "Most concurrent requests at one upstream instance.",
		integer(1, 100000, func(v *Values) *int { return &v.Slots }),
		func(v *Values) any { return v.Slots },
	},
	{
		"connections", "connections", "Most open connections to one upstream instance.",
		integer(1, 100000, func(v *Values) *int { return &v.Connections }),
		func(v *Values) any { return v.Connections },
	},
	{
		"queue_ms", "ms", "Longest wait for a slot.",
		duration(0, maxDuration, func(v *Values) *time.Duration { return &v.Queue }),
		func(v *Values) any { return v.Queue.Milliseconds() },
	},
	{
		"cross_region", `"never" or "spill"`, "Whether a call may leave its region.",
		func(c *checker, n *node) override {
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
		"region_link_mbit", "Mbit/s", "Capacity of the link between regions, each way, shared by the daemons of a region.",
		func(c *checker, n *node) override {
			mbit, ok := c.number(n, 0, 1e6)
			if !ok {
				return nil
			}
			return func(v *Values) { v.RegionLink = mbit * BytesPerMegabit }
		},
		func(v *Values) any { return v.RegionLink / BytesPerMegabit },
	},
	{
		"hours", "list of windows", "Daily windows in which the shares of ranks differ.",
		func(c *checker, n *node) override {
			windows := c.windows(n)
			return func(v *Values) { v.Hours = windows }
		},
		func(v *Values) any { return formatWindows(v.Hours) },
	},
	{
		"slow_start_ms", "ms", "Time over which a new upstream's share of work rises.",
		duration(0, maxDuration, func(v *Values) *time.Duration { return &v.SlowStart }),
		func(v *Values) any { return v.SlowStart.Milliseconds() },
	},
	{
		"drain_ms", "ms", "Longest graceful shutdown.",
		duration(0, maxDuration, func(v *Values) *time.Duration { return &v.Drain }),
		func(v *Values) any { return v.Drain.Milliseconds() },
	},
}

// maxDuration is the longest duration that a setting may give.
const maxDuration = 24 * time.Hour

func duration(least int, most time.Duration, field func(*Values) *time.Duration) func(*checker, *node) override {
	return func(c *checker, n *node) override {
		f, ok := c.number(n, float64(least), float64(most.Milliseconds()))
		if !ok {
			return nil
		}
		d := time.Duration(math.Round(f * float64(time.Millisecond)))
		return func(v *Values) { *field(v) = d }
	}
}

func integer(least, most int, field func(*Values) *int) func(*checker, *node) override {
	return func(c *checker, n *node) override {
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

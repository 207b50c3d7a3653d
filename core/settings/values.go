// Package settings parses, checks and resolves the operators' settings tree.
//
// A document has four levels: root, service, call path and rank. Each level
// overrides only what differs from the level above it. The package is pure: it
// performs no I/O and reads no clock. A parsed Document is immutable and safe
// for concurrent use.
package settings

import (
	"fmt"
	"strings"
	"time"
)

// CrossRegion says whether a call may leave its region over the narrow link.
type CrossRegion string

// Values of CrossRegion.
const (
	// CrossRegionNever keeps calls in the caller's region.
	CrossRegionNever CrossRegion = "never"
	// CrossRegionSpill lets calls leave the region when it has no usable upstream.
	CrossRegionSpill CrossRegion = "spill"
)

// OncePer says what a non-idempotent request runs at most once for.
type OncePer string

// Values of OncePer.
const (
	// OncePerKey means that resends of one idempotency key, through whichever
	// daemon, run once.
	OncePerKey OncePer = "key"
	// OncePerAttempt means that each request of a caller runs once, and a
	// resend is another request.
	OncePerAttempt OncePer = "attempt"
)

// Level names the level of the tree that a value comes from.
type Level string

// The levels, from the least to the most specific.
const (
	LevelDefault Level = "default"
	LevelRoot    Level = "root"
	LevelService Level = "service"
	LevelPath    Level = "call path"
	LevelRank    Level = "rank"
	// LevelRequest is the rank that a request asked for.
	LevelRequest Level = "request"
)

// Rank is a class of work. Ranks are listed most urgent first.
type Rank struct {
	Name string
	// Share is the part of an upstream's capacity, from 0 to 1, that the rank
	// keeps in any flood.
	Share float64
	// Protected ranks are shed last.
	Protected bool
}

// Window is a daily period in which the shares of ranks differ.
type Window struct {
	// From and To are offsets from midnight in Zone. A window whose To is not
	// after From crosses midnight.
	From, To time.Duration
	// Zone is an IANA time zone.
	Zone *time.Location
	// Shares gives the share of each rank that differs, by rank name.
	Shares map[string]float64
}

// Values is a complete set of settings for one service, call path and rank.
type Values struct {
	// Rank is the rank of work on this call path.
	Rank string
	// Timeout bounds the whole call, children included.
	Timeout time.Duration
	// Attempts bounds the runs of one request across the whole call chain.
	Attempts int
	// RetryRatio bounds retries as a part of first attempts, per service and
	// per caller.
	RetryRatio float64
	// RetryBurst is the retries of a service that the fleet may make in RetryWindow
	// beyond the ratio.
	RetryBurst  int
	RetryWindow time.Duration
	// Idempotent says whether the call may run more than once. When it is not
	// set, the method decides as in RFC 9110.
	Idempotent *bool
	// TargetLatency is the time within which an answer is of full use; 0 if only the
	// timeout counts.
	TargetLatency time.Duration
	// OncePer says what a non-idempotent request runs at most once for.
	OncePer OncePer
	// Slots bounds concurrent requests at one upstream instance.
	Slots int
	// Connections bounds open connections to one upstream instance.
	Connections int
	// QueueTimeout bounds the wait for a slot.
	QueueTimeout time.Duration
	// CrossRegion says whether a call may leave its region.
	CrossRegion CrossRegion
	// RegionLinkRate is the capacity of the link between regions, each way, in bytes
	// per second; the daemons of a region share it.
	RegionLinkRate float64
	// ShareWindows are the windows in which shares differ.
	ShareWindows []Window
	// SlowStart is the time over which a new upstream's share of work rises.
	SlowStart time.Duration
	// DrainTimeout bounds a graceful shutdown.
	DrainTimeout time.Duration
}

// IsIdempotent reports whether a request with the given method may run more
// than once. Source: RFC 9110, section 9.2.2.
func (v *Values) IsIdempotent(method string) bool {
	if v.Idempotent != nil {
		return *v.Idempotent
	}
	switch method {
	case "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE":
		return true
	}
	return false
}

// BytesPerMegabit converts Mbit/s to bytes per second.
const BytesPerMegabit = 1e6 / 8

// Defaults returns the values that hold where no level says otherwise.
func Defaults() Values {
	return Values{
		Timeout:        2 * time.Second,
		Attempts:       3,
		RetryRatio:     0.1,
		RetryBurst:     10,
		RetryWindow:    10 * time.Second,
		OncePer:        OncePerKey,
		Slots:          50,
		Connections:    400,
		QueueTimeout:   50 * time.Millisecond,
		CrossRegion:    CrossRegionSpill,
		RegionLinkRate: 30 * BytesPerMegabit,
		SlowStart:      10 * time.Second,
		DrainTimeout:   30 * time.Second,
	}
}

// String formats the window for an operator.
func (w Window) String() string {
	return fmt.Sprintf("%s-%s %s %v", clock(w.From), clock(w.To), w.Zone, w.Shares)
}

func clock(d time.Duration) string {
	return fmt.Sprintf("%02d:%02d", int(d.Hours()), int(d.Minutes())%60)
}

func formatWindows(windows []Window) string {
	parts := make([]string, len(windows))
	for i, w := range windows {
		parts[i] = w.String()
	}
	return strings.Join(parts, "; ")
}

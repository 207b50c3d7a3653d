// Package settings parses, validates and resolves the operators' settings tree.
//
// A document has four levels: root, service, call path and rank. Each level
// inherits the values of the level above it and overrides some of them. The
// package performs no I/O and reads no clock. A parsed Document is immutable and
// safe for concurrent use.
package settings

import (
	"fmt"
	"strings"
	"time"
)

// CrossRegion says whether a call may leave its region over the region link.
type CrossRegion string

// Values of CrossRegion.
const (
	// CrossRegionNever keeps calls in the caller's region.
	CrossRegionNever CrossRegion = "never"
	// CrossRegionSpill allows calls to leave the region when its upstreams are
	// unusable, refuse much, or would make the call wait much longer (package
	// route).
	CrossRegionSpill CrossRegion = "spill"
)

// OncePer is the scope in which a non-idempotent request runs at most once.
type OncePer string

// Values of OncePer.
const (
	// OncePerKey means that requests with the same idempotency key run at most
	// once, whichever daemon receives them.
	OncePerKey OncePer = "key"
	// OncePerAttempt means that each send by a caller runs at most once, a
	// resend being another send.
	OncePerAttempt OncePer = "attempt"
)

// Level is a level of the settings tree, or another source of a value: the
// defaults, a route or the request.
type Level string

// Values of Level, from the least to the most specific.
const (
	LevelDefault Level = "default"
	LevelRoot    Level = "root"
	LevelService Level = "service"
	LevelPath    Level = "call path"
	LevelRank    Level = "rank"
	// LevelRequest is the level of a rank that the request asked for.
	LevelRequest Level = "request"
)

// Rank is a class of requests. Ranks are listed most urgent first.
type Rank struct {
	Name string
	// Share is the fraction of an upstream's capacity, from 0 to 1, that is
	// guaranteed to the rank under any load from other ranks.
	Share float64
	// Protected means that the requests of the rank are shed last.
	Protected bool
}

// Window is a daily period with different shares of ranks.
type Window struct {
	// From and To are the start and the end as offsets from midnight in Zone.
	// A window whose To is before From crosses midnight.
	From, To time.Duration
	// Zone is the IANA time zone of From and To.
	Zone *time.Location
	// Shares holds the shares that the window changes, by rank name.
	Shares map[string]float64
}

// Values is a complete set of settings for one service, call path and rank.
type Values struct {
	// Rank is the name of the rank of the requests.
	Rank string
	// Timeout is the timeout of the whole call, nested calls included.
	Timeout time.Duration
	// Attempts is the maximum number of runs of one request across the whole
	// call chain.
	Attempts int
	// RetryRatio is the limit on the retries of a service and on the resends of
	// a caller, each as a fraction of the first sends.
	RetryRatio float64
	// RetryBurst is the number of retries of a service that the fleet may make
	// per RetryWindow beyond the ratio.
	RetryBurst int
	// RetryWindow is the time window in which retries and first sends are
	// counted.
	RetryWindow time.Duration
	// Idempotent says whether a request may run more than once; if nil, its
	// method decides as in RFC 9110.
	Idempotent *bool
	// TargetLatency is the latency up to which a response is fully useful to its
	// caller; 0 stands for the timeout. The wait after which a refused caller
	// should resend leaves time for a response within it.
	TargetLatency time.Duration
	// OncePer is the scope in which a non-idempotent request runs at most once.
	OncePer OncePer
	// Slots is the maximum number of concurrent requests at one upstream
	// instance.
	Slots int
	// Connections is the maximum number of open connections to one upstream
	// instance.
	Connections int
	// QueueTimeout is the maximum wait for a slot; nested calls wait up to 4
	// times as long.
	QueueTimeout time.Duration
	// CrossRegion says whether a call may leave its region over the region link.
	CrossRegion CrossRegion
	// RegionLinkRate is the capacity of the region link in each direction, in
	// bytes per second, shared by all daemons of a region.
	RegionLinkRate float64
	// ShareWindows are the daily windows with different shares of ranks.
	ShareWindows []Window
	// SlowStart is the time over which the share of requests of a new upstream
	// instance rises to its full value.
	SlowStart time.Duration
	// DrainTimeout is the maximum duration of a drain.
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

// Defaults returns the values that apply if no level of a document sets them.
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
	return fmt.Sprintf("%s-%s %s %v", formatTimeOfDay(w.From), formatTimeOfDay(w.To), w.Zone, w.Shares)
}

func formatTimeOfDay(d time.Duration) string {
	return fmt.Sprintf("%02d:%02d", int(d.Hours()), int(d.Minutes())%60)
}

func formatWindows(windows []Window) string {
	parts := make([]string, len(windows))
	for i, w := range windows {
		parts[i] = w.String()
	}
	return strings.Join(parts, "; ")
}

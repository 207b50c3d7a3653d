package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestReturnsAreInTimeAndSpread checks that refused callers that can still be answered
// within the target resend in time for it, and spread over time.
func TestReturnsAreInTimeAndSpread(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name                     string
		admitted                 float64
		target, elapsed, typical time.Duration
		min, max                 time.Duration
	}{
		{"in time", 0.8, 1500 * ms, 10 * ms, 490 * ms, 500 * ms, 1000 * ms},
		{"much time", 0.8, 4000 * ms, 0, 600 * ms, 750 * ms, 1500 * ms},
		{"little time", 0.8, 400 * ms, 0, 90 * ms, 155 * ms, 310 * ms},
		{"most are refused", 0.2, 1500 * ms, 10 * ms, 490 * ms, 750 * ms, 1500 * ms},
		{"too late", 0.8, 400 * ms, 300 * ms, 90 * ms, 750 * ms, 1500 * ms},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(ResendAfter(c.admitted, c.target, c.elapsed, c.typical, 0), c.min)
			is.True(ResendAfter(c.admitted, c.target, c.elapsed, c.typical, 0.999999) <= c.max)
			is.True(ResendAfter(c.admitted, c.target, c.elapsed, c.typical, 0.5) > c.min)
		})
	}
}

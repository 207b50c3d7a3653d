package retry

import "time"

const (
	// firstBackoff bounds the wait before the first retry.
	firstBackoff = 10 * time.Millisecond
	// maxBackoff bounds every wait.
	maxBackoff = 500 * time.Millisecond
)

// Backoff returns the wait before the next attempt of a request that was sent the
// given number of times, at least 1. random is a uniform draw from [0, 1): the wait
// is uniform between half of the bound and the bound, which doubles with each send.
func Backoff(sends int, random float64) time.Duration {
	bound := maxBackoff
	if shift := max(sends, 1) - 1; shift < 6 {
		bound = min(firstBackoff<<shift, maxBackoff)
	}
	return bound/2 + time.Duration(random*float64(bound/2))
}

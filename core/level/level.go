// Package level lets the entry daemons refuse requests that an overloaded service
// further down would shed.
//
// A level applies to one rank in one subtree of calls: the requests to one call path
// of a service, and the calls that they cause. It is a threshold on the hash of the ID
// of the root request: requests whose hash is below it are refused. The ID is the
// same at every hop, so a request gets the same verdict wherever the level is known,
// and the strictest of several levels is their maximum. A Meter sets the levels of one
// upstream from the requests that were admitted and got no slot, a Governor from the
// wait for its slots; a View keeps the levels that responses carried. All of them are
// pure state machines and not safe for concurrent use.
package level

import (
	"math"
	"time"
)

// Level is an admission level: a threshold on Hash. 0 refuses nothing.
type Level = uint32

const (
	// hashRange is the number of hash values.
	hashRange = 1 << 32
	// minAdmitted is the smallest admitted fraction of requests. Some requests
	// always pass, so that the end of an overload is seen.
	minAdmitted = 1.0 / 1024
)

// Hash returns the hash of a request ID that levels are compared with. It is
// FNV-1a with the finalizer of MurmurHash3.
func Hash(id string) uint32 {
	h := uint64(14695981039346656037)
	for i := range len(id) {
		h ^= uint64(id[i])
		h *= 1099511628211
	}
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return uint32(h >> 32)
}

// Refuses reports whether a level refuses the request with the given ID.
func Refuses(l Level, id string) bool { return l > 0 && Hash(id) < l }

// AdmittedFraction returns the fraction of requests that a level admits, from 0
// to 1.
func AdmittedFraction(l Level) float64 { return 1 - float64(l)/hashRange }

// FromFraction returns the level that admits a fraction of requests. Fractions
// below 1/1024 are raised to it, so that the end of an overload is seen.
func FromFraction(fraction float64) Level {
	fraction = min(max(fraction, minAdmitted), 1)
	return Level(math.Min((1-fraction)*hashRange, hashRange-1))
}

const (
	// minRetryAfter and maxRetryAfter bound RetryAfter before it is spread.
	minRetryAfter = time.Second
	maxRetryAfter = 20 * time.Second
)

// RetryAfter returns the wait after which a caller should resend a request that a
// level refused. It grows with the refused fraction, and the request ID adds up to
// half of it, so that callers don't all resend at the same time.
func RetryAfter(l Level, id string) time.Duration {
	wait := time.Duration(float64(minRetryAfter) / max(AdmittedFraction(l), minAdmitted))
	wait = min(wait, maxRetryAfter)
	return wait + time.Duration(float64(wait)/2*float64(Hash(id))/hashRange)
}

// Package level carries refusal from where a service is overloaded to where a
// request enters.
//
// A level belongs to one rank at one subtree of calls. It is a threshold of the
// hash of a request's id: requests below it are refused. The id is the same at
// every hop, so a request has the same verdict wherever the level is known, and
// the worst of several levels is their maximum. A Meter makes the levels of one
// upstream from its own refusals; a View keeps those that answers brought. Both
// are pure state machines and not safe for concurrent use.
package level

import (
	"math"
	"time"
)

// Level is a threshold of Hash. 0 refuses nothing.
type Level = uint32

const (
	// whole is the number of hash values.
	whole = 1 << 32
	// leastPass is the part of requests that always passes, so that the end of
	// an overload is seen.
	leastPass = 1.0 / 1024
)

// Hash returns the place of a request among the requests of its rank. Source of
// the functions: FNV-1a with the finalizer of MurmurHash3.
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

// Refuses reports whether a level refuses the request with the given id.
func Refuses(l Level, id string) bool { return l > 0 && Hash(id) < l }

// AdmittedFraction returns the part of requests that a level lets through, from 0 to 1.
func AdmittedFraction(l Level) float64 { return 1 - float64(l)/whole }

// FromFraction returns the level that lets a part of requests through. At least a small
// part always passes.
func FromFraction(pass float64) Level {
	pass = min(max(pass, leastPass), 1)
	return Level(math.Min((1-pass)*whole, whole-1))
}

const (
	// leastRetryAfter and mostRetryAfter bound RetryAfter.
	leastRetryAfter = time.Second
	mostRetryAfter  = 20 * time.Second
)

// RetryAfter returns the wait after which a request refused by a level is of
// use. It grows with the part refused, and is spread by the request id, so that
// callers don't come back together.
func RetryAfter(l Level, id string) time.Duration {
	wait := time.Duration(float64(leastRetryAfter) / max(AdmittedFraction(l), leastPass))
	wait = min(wait, mostRetryAfter)
	return wait + time.Duration(float64(wait)/2*float64(Hash(id))/whole)
}

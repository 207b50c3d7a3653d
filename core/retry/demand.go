package retry

import "time"

// Claim describes a request that asks for a retry.
type Claim struct {
	// Rank is the index of the request's rank, 0 for the most urgent.
	Rank int
	// Nested is set for calls that a run makes.
	Nested bool
}

// maxRanks is the number of ranks that are told apart; less urgent ranks count as the
// last of them.
const maxRanks = 32

// class orders claims, the most urgent first. In a rank, root requests come first: one
// retry saves a root request, while a run needs one for each nested call that fails.
type class int

func (c Claim) class() class {
	rank := min(max(c.Rank, 0), maxRanks-1)
	if c.Nested {
		return class(2*rank + 1)
	}
	return class(2 * rank)
}

// demands measures, by class, how often retries are asked for.
type demands map[class]*demand

// demand is the recent rate of the claims of one class.
type demand struct {
	claims      float64
	since, last time.Time
}

const (
	// demandSpan is the time, in buckets of a window, over which claims are counted. A
	// class without claims for so long has no demand.
	demandSpan = 2
	// demandStart is the time, in buckets, that is added to the time since the first
	// claim, so that the first claims of a class don't show a high rate.
	demandStart = 0.25
)

// count counts a claim.
func (d demands) count(now time.Time, c class, bucket time.Duration) {
	of := d[c]
	if of == nil || now.Sub(of.last) > demandSpan*bucket {
		d[c] = &demand{claims: 1, since: now, last: now}
		return
	}
	if now.Sub(of.since) > demandSpan*bucket {
		// Halves the weight of the past.
		half := demandSpan * bucket / 2
		of.claims *= float64(half) / float64(now.Sub(of.since))
		of.since = now.Add(-half)
	}
	of.claims++
	of.last = now
}

// ofMoreUrgent estimates how many claims the classes above c make in a window.
func (d demands) ofMoreUrgent(now time.Time, c class, bucket time.Duration) float64 {
	total := 0.0
	for other, of := range d {
		if other >= c || now.Sub(of.last) > demandSpan*bucket {
			continue
		}
		buckets := float64(now.Sub(of.since))/float64(bucket) + demandStart
		total += of.claims / buckets * windowBuckets
	}
	return total
}

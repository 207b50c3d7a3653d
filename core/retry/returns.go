package retry

import "time"

const (
	// leastReturn is the least wait told to a refused caller: an overload seldom
	// ends sooner, and a return at once would only be refused again.
	leastReturn = 150 * time.Millisecond
	// mostReturn bounds it where the caller has much time, so that it comes back
	// while it still waits.
	mostReturn = 1500 * time.Millisecond
)

// ReturnAfter returns the wait after which a refused caller does best to come
// back. target is the time from its first attempt in which an answer is of full
// use, took what has passed of it, and typical how long such requests take. draw
// is uniform in [0, 1). Callers are spread over the later half of the time in
// which they can still be answered within the target: a return that comes later
// is served for half of its use at the same cost.
func ReturnAfter(target, took, typical time.Duration, draw float64) time.Duration {
	room := min(target-took-typical, mostReturn)
	if room < 2*leastReturn {
		// Too late for the target: come back when there is most room.
		room = mostReturn
	}
	return room/2 + time.Duration(draw*float64(room/2))
}

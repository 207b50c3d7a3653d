package retry

import "time"

const (
	// leastReturn is the least wait told to a refused caller: an overload seldom
	// ends sooner, and a return at once would only be refused again.
	leastReturn = 150 * time.Millisecond
	// mostReturn bounds it where the caller has much time, so that it comes back
	// while it still waits.
	mostReturn = 1500 * time.Millisecond
	// mostRefused is the part let through below which a return in time would most
	// likely be refused again; a later one may outlast the overload.
	mostRefused = 0.4
)

// ResendAfter returns the wait after which a refused caller does best to come
// back. pass is the part of such requests that is let through now, target the time
// from the caller's first attempt in which an answer is of full use, took what has
// passed of it, and typical how long such requests take. draw is uniform in
// [0, 1). Callers are spread over the later half of the time in which they can
// still be answered within the target, since a later answer is of less use.
func ResendAfter(pass float64, target, took, typical time.Duration, draw float64) time.Duration {
	room := min(target-took-typical, mostReturn)
	if room < 2*leastReturn || pass < mostRefused {
		// Come back when there is most room.
		room = mostReturn
	}
	return room/2 + time.Duration(draw*float64(room/2))
}

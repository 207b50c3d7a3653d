package retry

import "time"

const (
	// minResendWait is the shortest wait given to a refused caller: an overload seldom
	// ends sooner, and an immediate resend would only be refused again.
	minResendWait = 150 * time.Millisecond
	// maxResendWait bounds the wait of a caller with much time, so that it resends
	// while it still waits for an answer.
	maxResendWait = 1500 * time.Millisecond
	// minAdmittedForTarget is the admitted fraction below which a resend that can be
	// answered within the target would most likely be refused again. A later one may
	// come after the overload.
	minAdmittedForTarget = 0.4
)

// ResendAfter returns the wait after which a refused caller should resend its
// request. admitted is the fraction of such requests that is admitted now, target
// the time from the caller's first attempt within which it wants the answer,
// elapsed the time since that attempt, and typical how long such requests take.
// random is a uniform draw from [0, 1). If a resend can still be answered within
// the target, the waits are spread over the later half of the time until the last
// such resend, since a later answer is of less use. In any case they end with
// maxResendWait.
func ResendAfter(admitted float64, target, elapsed, typical time.Duration, random float64) time.Duration {
	bound := min(target-elapsed-typical, maxResendWait)
	if bound < 2*minResendWait || admitted < minAdmittedForTarget {
		// A resend within the target is too late or likely refused: use the longest
		// wait, after which most requests may be admitted.
		bound = maxResendWait
	}
	return bound/2 + time.Duration(random*float64(bound/2))
}

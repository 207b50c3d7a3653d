package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"fuchsiavane.org/core/level"
	"fuchsiavane.org/core/retry"
	"fuchsiavane.org/core/settings"
	"fuchsiavane.org/node/call"
)

const (
	// meanTimeWeight is the weight of one call in the moving average of a subtree's
	// call time.
	meanTimeWeight = 0.05
	// maxMeanTimes is the maximum number of subtrees whose averages are stored.
	maxMeanTimes = 4096
)

// resendWaits computes how long refused callers should wait before they resend. It is
// safe for concurrent use.
type resendWaits struct {
	mu        sync.Mutex
	meanTimes map[level.Key]time.Duration
}

func newResendWaits() *resendWaits { return &resendWaits{meanTimes: map[level.Key]time.Duration{}} }

// record adds the duration of a request that ran to the average of its subtree.
func (w *resendWaits) record(r *call.Request, took time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	key := subtreeKey(r)
	mean, ok := w.meanTimes[key]
	if !ok {
		if len(w.meanTimes) >= maxMeanTimes {
			clear(w.meanTimes)
		}
		mean = took
	}
	w.meanTimes[key] = mean + time.Duration(meanTimeWeight*float64(took-mean))
}

// wait returns the Retry-After time of a refusal. admitted is the fraction of admitted
// requests, took the time since the request came in.
func (w *resendWaits) wait(r *call.Request, admitted float64, v *settings.Values, took time.Duration) time.Duration {
	w.mu.Lock()
	meanTime := w.meanTimes[subtreeKey(r)]
	w.mu.Unlock()
	target := v.TargetLatency
	if target == 0 {
		target = v.Timeout
	}
	return retry.ResendAfter(admitted, target, took, meanTime, rand.Float64())
}

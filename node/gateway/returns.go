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
	// maxMeanTimes is the maximum number of subtrees whose averages are kept.
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
func (t *resendWaits) record(r *call.Request, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := subtreeKey(r)
	known, ok := t.meanTimes[key]
	if !ok {
		if len(t.meanTimes) >= maxMeanTimes {
			clear(t.meanTimes)
		}
		known = took
	}
	t.meanTimes[key] = known + time.Duration(meanTimeWeight*float64(took-known))
}

// wait returns the Retry-After time of a refusal. pass is the admitted fraction of
// requests, took the time since the request came in.
func (t *resendWaits) wait(r *call.Request, pass float64, v *settings.Values, took time.Duration) time.Duration {
	t.mu.Lock()
	meanTime := t.meanTimes[subtreeKey(r)]
	t.mu.Unlock()
	target := v.TargetLatency
	if target == 0 {
		target = v.Timeout
	}
	return retry.ResendAfter(pass, target, took, meanTime, rand.Float64())
}

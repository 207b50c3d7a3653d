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
	// typicalWeight is the weight of one answer in the typical time of its route.
	typicalWeight = 0.05
	// maxTypical bounds the routes whose times are kept.
	maxTypical = 4096
)

// returns tells refused callers when to come back. It is safe for concurrent use.
type returns struct {
	mu      sync.Mutex
	typical map[level.Key]time.Duration
}

func newReturns() *returns { return &returns{typical: map[level.Key]time.Duration{}} }

// learn takes in how long a request took that was answered.
func (t *returns) learn(r *call.Request, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := keyOf(r)
	known, ok := t.typical[key]
	if !ok {
		if len(t.typical) >= maxTypical {
			clear(t.typical)
		}
		known = took
	}
	t.typical[key] = known + time.Duration(typicalWeight*float64(took-known))
}

// after returns the wait told with a refusal.
func (t *returns) after(r *call.Request, pass float64, v *settings.Values, took time.Duration) time.Duration {
	t.mu.Lock()
	typical := t.typical[keyOf(r)]
	t.mu.Unlock()
	target := v.TargetLatency
	if target == 0 {
		target = v.Timeout
	}
	return retry.ResendAfter(pass, target, took, typical, rand.Float64())
}

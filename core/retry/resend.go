package retry

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// generationKeys is the maximum number of keys in each of the two generations that
// Resends stores. When the recent one is full, the older one is dropped.
const generationKeys = 32_768

// Resends bounds the requests that callers resend, as a fraction of their first
// sends. A request is a resend if its idempotency key recently came from the same
// caller to the same service. First sends are never refused. It is safe for
// concurrent use.
type Resends struct {
	ratios *Ratios

	mu            sync.Mutex
	recent, older map[uint64]struct{}
}

// NewResends returns a Resends without keys.
func NewResends() *Resends {
	return &Resends{ratios: NewRatios(), recent: map[uint64]struct{}{}, older: map[uint64]struct{}{}}
}

// Admit counts a request and reports whether it is admitted.
func (r *Resends) Admit(caller, service, key string, ratio float64) bool {
	if r.seen(caller, service, key) {
		return r.ratios.Take(caller, ratio)
	}
	r.ratios.CountFirstSend(caller, ratio)
	return true
}

// seen records the key made of the given texts and reports whether it was
// recorded before.
func (r *Resends) seen(texts ...string) bool {
	var d xxhash.Digest
	d.Reset()
	for _, text := range texts {
		_, _ = d.WriteString(text)
		_, _ = d.Write([]byte{0})
	}
	sum := d.Sum64()
	r.mu.Lock()
	defer r.mu.Unlock()
	_, recent := r.recent[sum]
	_, older := r.older[sum]
	if recent || older {
		return true
	}
	if len(r.recent) >= generationKeys {
		r.recent, r.older = map[uint64]struct{}{}, r.recent
	}
	r.recent[sum] = struct{}{}
	return false
}

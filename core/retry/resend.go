package retry

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// generationKeys is the number of keys after which the older half of what
// Resends remembers is forgotten.
const generationKeys = 32_768

// Resends bounds the requests that callers send again, as a part of what they
// send first. A request is a resend if its idempotency key came from the same
// caller to the same service lately. First sends are never refused. It is safe
// for concurrent use.
type Resends struct {
	ratios *Ratios

	mu         sync.Mutex
	young, old map[uint64]struct{}
}

// NewResends returns a Resends that has seen nothing.
func NewResends() *Resends {
	return &Resends{ratios: NewRatios(), young: map[uint64]struct{}{}, old: map[uint64]struct{}{}}
}

// Admit counts a request and reports whether it may go on.
func (r *Resends) Admit(caller, service, key string, ratio float64) bool {
	if r.seen(caller, service, key) {
		return r.ratios.Take(caller, ratio)
	}
	r.ratios.CountFirstSend(caller, ratio)
	return true
}

// seen remembers a key and reports whether it was remembered already.
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
	_, young := r.young[sum]
	_, old := r.old[sum]
	if young || old {
		return true
	}
	if len(r.young) >= generationKeys {
		r.young, r.old = map[uint64]struct{}{}, r.young
	}
	r.young[sum] = struct{}{}
	return false
}

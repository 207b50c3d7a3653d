package retry

import "sync"

// ratioBurst is the number of repeated sends that Ratios allows a name before its
// first sends are counted, and the maximum that a name saves up.
const ratioBurst = 10

// maxNames is the maximum number of names with counts of their own. A new name
// beyond it clears the counts of all names.
const maxNames = 1024

// Ratios bounds repeated sends as a fraction of first sends, separately for each
// name, such as that of a caller: the repeated sends of a name never exceed
// ratioBurst plus the ratio times its first sends. Unlike Allowances it has no
// window. It is safe for concurrent use.
type Ratios struct {
	mu     sync.Mutex
	tokens map[string]float64
}

// NewRatios returns a Ratios without any counts.
func NewRatios() *Ratios { return &Ratios{tokens: map[string]float64{}} }

// CountFirstSend counts a first send of a name.
func (r *Ratios) CountFirstSend(name string, ratio float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens[name] = min(r.available(name)+ratio, ratioBurst)
}

// Take asks for one repeated send and reports whether it may be made. A ratio of 0
// allows none.
func (r *Ratios) Take(name string, ratio float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	available := r.available(name)
	if ratio <= 0 || available < 1 {
		return false
	}
	r.tokens[name] = available - 1
	return true
}

// available returns the tokens of a name. The caller holds the lock.
func (r *Ratios) available(name string) float64 {
	tokens, known := r.tokens[name]
	if known {
		return tokens
	}
	if len(r.tokens) >= maxNames {
		clear(r.tokens)
	}
	r.tokens[name] = ratioBurst
	return ratioBurst
}

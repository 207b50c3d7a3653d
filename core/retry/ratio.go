package retry

import "sync"

// ratioBurst is the retries that a Ratio allows before it has seen any first
// send, and the most that it saves up.
const ratioBurst = 10

// maxNames bounds the names with a ratio of their own. Beyond it all begin
// anew.
const maxNames = 1024

// Ratios bounds retries as a part of first sends, for each of many names: the
// retries of a name never pass ratioBurst plus the ratio times its first sends.
// It is safe for concurrent use.
type Ratios struct {
	mu     sync.Mutex
	tokens map[string]float64
}

// NewRatios returns a Ratios that has seen nothing.
func NewRatios() *Ratios { return &Ratios{tokens: map[string]float64{}} }

// CountFirstSend counts a first send.
func (r *Ratios) CountFirstSend(name string, ratio float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens[name] = min(r.held(name)+ratio, ratioBurst)
}

// Take asks for one retry. A ratio of 0 allows none.
func (r *Ratios) Take(name string, ratio float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := r.held(name)
	if ratio <= 0 || held < 1 {
		return false
	}
	r.tokens[name] = held - 1
	return true
}

// held returns the tokens of a name. The caller holds the lock.
func (r *Ratios) held(name string) float64 {
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

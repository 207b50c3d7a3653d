// Package settingsync keeps the settings in force: it takes revisions from the
// platform's store and from peers, and only ever goes forward.
package settingsync

import (
	"sync/atomic"

	"fuchsiavane.org/core/settings"
	"fuchsiavane.org/node/edit"
)

// InForce is the settings that a daemon acts by. It is immutable.
type InForce struct {
	// Revision counts accepted edits; 0 before the first.
	Revision uint64
	Document *settings.Document
	// Head is the edit as the store holds it, for peers that ask.
	Head edit.Head
}

// Holder gives every duty the settings in force. It is safe for concurrent use.
type Holder struct {
	current atomic.Pointer[InForce]
}

// NewHolder returns a Holder with an empty document at revision 0.
func NewHolder() *Holder {
	empty, _ := settings.Parse([]byte("{}"))
	h := &Holder{}
	h.current.Store(&InForce{Document: empty})
	return h
}

// Current returns the settings in force.
func (h *Holder) Current() *InForce { return h.current.Load() }

// Offer puts a head in force if it is newer and has no finding. It reports
// whether it did.
func (h *Holder) Offer(head edit.Head) (bool, settings.Findings) {
	if head.Revision <= h.Current().Revision {
		return false, nil
	}
	document, findings := settings.Parse(head.Document)
	if len(findings) > 0 {
		return false, findings
	}
	next := &InForce{Revision: head.Revision, Document: document, Head: head}
	for {
		now := h.current.Load()
		if head.Revision <= now.Revision {
			return false, nil
		}
		if h.current.CompareAndSwap(now, next) {
			return true, nil
		}
	}
}

// Package settingsync keeps the settings in force: it takes revisions from the
// platform's store and from peers, and only ever goes forward.
package settingsync

import (
	"sync"
	"sync/atomic"

	"fuchsiavane.org/core/settings"
	"fuchsiavane.org/node/edit"
)

const (
	// keptRevisions and keptBytes bound the earlier documents that are kept so
	// that peers can be sent the difference only.
	keptRevisions = 8
	keptBytes     = 2 << 20
)

// Snapshot is the settings that a daemon acts by. It is immutable.
type Snapshot struct {
	// Revision counts accepted edits; 0 before the first.
	Revision uint64
	Document *settings.Document
	// Head is the edit as the store holds it, for peers that ask. One that
	// came from a peer lacks the list of recent edits.
	Head edit.Head
}

// Holder gives every duty the settings in force. It is safe for concurrent use.
type Holder struct {
	current atomic.Pointer[Snapshot]

	mu      sync.Mutex
	earlier []edit.Head // oldest first
}

// NewHolder returns a Holder with an empty document at revision 0.
func NewHolder() *Holder {
	empty, _ := settings.Parse([]byte("{}"))
	h := &Holder{}
	h.current.Store(&Snapshot{Document: empty})
	return h
}

// Current returns the settings in force.
func (h *Holder) Current() *Snapshot { return h.current.Load() }

// Update puts a head in force if it is newer and has no finding. It reports
// whether it did.
func (h *Holder) Update(head edit.Head) (bool, settings.Findings) {
	if head.Revision <= h.Current().Revision {
		return false, nil
	}
	document, findings := settings.Parse(head.Document)
	if len(findings) > 0 {
		return false, findings
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.current.Load()
	if head.Revision <= now.Revision {
		return false, nil
	}
	h.keep(now.Head)
	h.current.Store(&Snapshot{Revision: head.Revision, Document: document, Head: head})
	return true, nil
}

// keep remembers a replaced head. The caller holds the lock.
func (h *Holder) keep(head edit.Head) {
	if head.Revision == 0 {
		return
	}
	h.earlier = append(h.earlier, head)
	size := 0
	for i := len(h.earlier) - 1; i >= 0; i-- {
		size += len(h.earlier[i].Document)
		if len(h.earlier)-i > keptRevisions || size > keptBytes {
			h.earlier = append([]edit.Head(nil), h.earlier[i+1:]...)
			return
		}
	}
}

// find returns the head that an edit made, if it is kept.
func (h *Holder) find(editID string) (edit.Head, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, head := range h.earlier {
		if head.EditID == editID {
			return head, true
		}
	}
	return edit.Head{}, false
}

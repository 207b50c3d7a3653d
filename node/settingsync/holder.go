// Package settingsync keeps the settings in force up to date. It receives revisions
// from the platform's store and from peers, and never goes back to a lower one.
package settingsync

import (
	"sync"
	"sync/atomic"

	"fuchsiavane.org/core/settings"
	"fuchsiavane.org/node/edit"
)

const (
	// maxRetainedRevisions and maxRetainedBytes limit the earlier documents that are
	// retained, so that peers can be sent a patch instead of the whole document.
	maxRetainedRevisions = 8
	maxRetainedBytes     = 2 << 20
)

// Snapshot is a revision of the settings in force at a daemon. It is immutable.
type Snapshot struct {
	// Revision is the number of accepted edits; 0 before the first.
	Revision uint64
	Document *settings.Document
	// Head is the edit as the store holds it, to be sent to peers. A head received
	// from a peer has no list of recent edits.
	Head edit.Head
}

// Holder holds the settings in force of a daemon. It is safe for concurrent use.
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

// Update puts a head in force if its revision is higher than the one in force and
// its document can be read. It returns whether it did, and the findings: the parts
// of the document that are left out because this version doesn't know them or
// because they break a rule, or why the document can't be read.
func (h *Holder) Update(head edit.Head) (bool, settings.Findings) {
	if head.Revision <= h.Current().Revision {
		return false, nil
	}
	document, findings := settings.ParseTolerant(head.Document)
	if document == nil {
		return false, findings
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	current := h.current.Load()
	if head.Revision <= current.Revision {
		return false, nil
	}
	h.retain(current.Head)
	h.current.Store(&Snapshot{Revision: head.Revision, Document: document, Head: head})
	return true, findings
}

// retain adds a replaced head to the earlier ones and removes the oldest beyond
// the limits. The caller holds the lock.
func (h *Holder) retain(head edit.Head) {
	if head.Revision == 0 {
		return
	}
	h.earlier = append(h.earlier, head)
	size := 0
	for i := len(h.earlier) - 1; i >= 0; i-- {
		size += len(h.earlier[i].Document)
		if len(h.earlier)-i > maxRetainedRevisions || size > maxRetainedBytes {
			h.earlier = append([]edit.Head(nil), h.earlier[i+1:]...)
			return
		}
	}
}

// find returns the earlier head with an edit id, if it is retained.
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

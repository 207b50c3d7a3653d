package member

import (
	"cmp"
	"math"
	"slices"
)

// update is a queued membership update.
type update struct {
	id        string
	remaining int // sends until the update leaves the queue
}

// updateQueue holds the ids of the members whose records this member still
// disseminates. Beyond maxQueuedUpdates the update that was sent most often is
// dropped; digests still spread it.
type updateQueue struct {
	updates []update
}

func (q *updateQueue) add(id string, members int) {
	q.drop(id)
	q.updates = append(q.updates, update{id, retransmitLimit(members)})
	if len(q.updates) > maxQueuedUpdates {
		slices.SortStableFunc(q.updates, func(a, b update) int { return cmp.Compare(b.remaining, a.remaining) })
		q.updates = q.updates[:maxQueuedUpdates]
	}
}

func (q *updateQueue) drop(id string) {
	q.updates = slices.DeleteFunc(q.updates, func(r update) bool { return r.id == id })
}

func retransmitLimit(members int) int {
	return retransmitFactor * int(math.Ceil(math.Log10(float64(members+1))))
}

// take returns the records of the ids in first and then of the least sent
// updates, as many as fit in bytes, and counts each as sent once more.
func (q *updateQueue) take(v *view, bytes int, first ...string) []Record {
	var records []Record
	tryAdd := func(id string) bool {
		e := v.entries[id]
		if e == nil || e.size() > bytes {
			return false
		}
		bytes -= e.size()
		records = append(records, e.Record)
		return true
	}
	for _, id := range first {
		tryAdd(id)
	}
	if len(q.updates) == 0 {
		return records
	}
	slices.SortStableFunc(q.updates, func(a, b update) int { return cmp.Compare(b.remaining, a.remaining) })
	for i := range q.updates {
		r := &q.updates[i]
		if slices.Contains(first, r.id) || tryAdd(r.id) {
			r.remaining--
		}
		if bytes < recordOverhead {
			break
		}
	}
	q.updates = slices.DeleteFunc(q.updates, func(r update) bool { return r.remaining <= 0 || v.entries[r.id] == nil })
	return records
}

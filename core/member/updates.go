package member

import (
	"cmp"
	"math"
	"slices"
)

// rumour is news with the number of times that it is still to be sent.
type rumour struct {
	id   string
	left int
}

// rumours is the news that this member still spreads. Beyond maxRumours the one
// that was sent most is given up: digests carry it on.
type rumours struct {
	queue []rumour
}

func (q *rumours) add(id string, members int) {
	q.drop(id)
	q.queue = append(q.queue, rumour{id, retransmits(members)})
	if len(q.queue) > maxRumours {
		slices.SortStableFunc(q.queue, func(a, b rumour) int { return cmp.Compare(b.left, a.left) })
		q.queue = q.queue[:maxRumours]
	}
}

func (q *rumours) drop(id string) {
	q.queue = slices.DeleteFunc(q.queue, func(r rumour) bool { return r.id == id })
}

func retransmits(members int) int {
	return retransmitFactor * int(math.Ceil(math.Log10(float64(members+1))))
}

// take returns the records least sent so far that fit the bytes, and counts
// them as sent once more.
func (q *rumours) take(v *view, bytes int, first ...string) []Record {
	var records []Record
	fits := func(id string) bool {
		e := v.entries[id]
		if e == nil || e.size() > bytes {
			return false
		}
		bytes -= e.size()
		records = append(records, e.Record)
		return true
	}
	for _, id := range first {
		fits(id)
	}
	if len(q.queue) == 0 {
		return records
	}
	slices.SortStableFunc(q.queue, func(a, b rumour) int { return cmp.Compare(b.left, a.left) })
	for i := range q.queue {
		r := &q.queue[i]
		if slices.Contains(first, r.id) || fits(r.id) {
			r.left--
		}
		if bytes < recordOverhead {
			break
		}
	}
	q.queue = slices.DeleteFunc(q.queue, func(r rumour) bool { return r.left <= 0 || v.entries[r.id] == nil })
	return records
}

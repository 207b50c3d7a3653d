package admission

import (
	"container/heap"
	"container/list"
	"time"

	"fuchsiavane.org/core/level"
)

const (
	// flowsPerRank is the number of queues among which the callers of a rank are
	// spread by a hash of their names.
	flowsPerRank = 64
	// leastQueue is the least bound of a rank's queue, in requests.
	leastQueue = 4
	// nestedPatience is the wait of nested requests in multiples of the others'.
	nestedPatience = 4
)

// waiting is a queued request.
type waiting struct {
	ticket  Ticket
	request Request
	// place orders the requests of a flow, the earliest first.
	place   time.Time
	expires time.Time
	// cause is the reason given when it expires.
	cause Reason
	flow  *flow
	at    *list.Element // place in flow.requests
	index int           // place in the expiry heap
}

// flow holds the queued requests of the callers that share a hash.
type flow struct {
	requests list.List     // of *waiting, by place
	turn     *list.Element // place in rank.turns while not empty
}

// rank is the state of one rank.
type rank struct {
	running, queued int
	flows           [flowsPerRank]flow
	turns           list.List // of *flow with requests, next first
	// backlogged is when the queue last became non-empty.
	backlogged time.Time
	// deficit is what the rank got less than its share, in slot-seconds.
	deficit float64
	// peak is the recent demand, in slots.
	peak float64
	// offered and granted are recent counts, which halve every second.
	offered, granted float64
	service          serviceTime
}

// expiryHeap orders queued requests by the time that they expire.
type expiryHeap []*waiting

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expires.Before(h[j].expires) }

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	w := x.(*waiting)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return w
}

// enqueue puts a request in its rank's queue. If that is full, the oldest
// request of the longest flow gives way; w is nil if the new request belongs to
// that flow and is not newer than what overload prefers.
func (c *Controller) enqueue(now time.Time, r Request) (w *waiting, grants []Grant) {
	k := c.ranks[r.Rank]
	f := c.flowOf(k, r)
	if k.queued >= c.queueBound(now) {
		longest := k.longest()
		if longest == f && !c.newestFirst(now, k) {
			return nil, nil
		}
		oldest := longest.requests.Front().Value.(*waiting)
		c.remove(oldest)
		c.meter.Shed(r.Rank)
		grants = append(grants, Grant{oldest.ticket, ReasonQueueFull})
	}
	c.last++
	w = &waiting{ticket: c.last, request: r, place: c.placeOf(now, r), flow: f}
	w.expires, w.cause = c.expiryOf(now, r)
	c.insert(now, k, w)
	return w, grants
}

// expiryOf returns when a queued request is given up, and why.
func (c *Controller) expiryOf(now time.Time, r Request) (time.Time, Reason) {
	byQueue := now.Add(c.config.QueueTimeout)
	if r.Nested {
		byQueue = now.Add(nestedPatience * c.config.QueueTimeout)
	}
	if r.Nested && c.config.Announced {
		byQueue = r.Deadline
	}
	byDeadline := r.Deadline.Add(-c.ranks[r.Rank].service.estimate(now))
	if byDeadline.Before(byQueue) {
		return byDeadline, ReasonDeadline
	}
	return byQueue, ReasonQueueTimeout
}

func (c *Controller) insert(now time.Time, k *rank, w *waiting) {
	if k.queued == 0 {
		k.backlogged = now
	}
	w.at = w.flow.insert(w)
	if w.flow.turn == nil {
		w.flow.turn = k.turns.PushBack(w.flow)
	}
	k.queued++
	c.waiting[w.ticket] = w
	heap.Push(&c.expiry, w)
}

// insert puts a request in its place; most come last.
func (f *flow) insert(w *waiting) *list.Element {
	for e := f.requests.Back(); e != nil; e = e.Prev() {
		if !e.Value.(*waiting).place.After(w.place) {
			return f.requests.InsertAfter(w, e)
		}
	}
	return f.requests.PushFront(w)
}

// remove takes a request out of its queue.
func (c *Controller) remove(w *waiting) {
	k := c.ranks[w.request.Rank]
	w.flow.requests.Remove(w.at)
	if w.flow.requests.Len() == 0 {
		k.turns.Remove(w.flow.turn)
		w.flow.turn = nil
	}
	k.queued--
	delete(c.waiting, w.ticket)
	heap.Remove(&c.expiry, w.index)
}

// flowOf returns the flow of a request: that of its caller, or one for all where the
// age of the root decides.
func (c *Controller) flowOf(k *rank, r Request) *flow {
	if c.config.Announced {
		return &k.flows[0]
	}
	return &k.flows[level.Hash(r.Caller)%flowsPerRank]
}

// longest returns the flow with most requests; of equals, the one whose turn is
// last.
func (k *rank) longest() *flow {
	var longest *flow
	for e := k.turns.Back(); e != nil; e = e.Prev() {
		f := e.Value.(*flow)
		if longest == nil || f.requests.Len() > longest.requests.Len() {
			longest = f
		}
	}
	return longest
}

// newestFirst reports whether the rank has had a queue for longer than a request
// may wait: then the oldest requests are the least likely to be of use.
func (c *Controller) newestFirst(now time.Time, k *rank) bool {
	return !c.config.Announced && k.queued > 0 && now.Sub(k.backlogged) > c.config.QueueTimeout
}

// next takes the request whose turn it is out of a rank's queue: one of each
// flow in turn.
func (c *Controller) next(now time.Time, k *rank) *waiting {
	f := k.turns.Front().Value.(*flow)
	at := f.requests.Front()
	if c.newestFirst(now, k) {
		at = f.requests.Back()
	}
	w := at.Value.(*waiting)
	k.turns.MoveToBack(f.turn)
	c.remove(w)
	return w
}

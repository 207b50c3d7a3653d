package admission

import (
	"container/heap"
	"container/list"
	"time"

	"fuchsiavane.org/core/level"
)

const (
	// flowsPerRank is the number of queues over which the callers of a rank are
	// distributed by a hash of their names.
	flowsPerRank = 64
	// minQueueLength is the minimum bound of a rank's queue, in requests.
	minQueueLength = 4
	// nestedTimeoutFactor is the queue timeout of nested requests, in multiples of
	// that of root requests.
	nestedTimeoutFactor = 4
)

// queuedRequest is a request that waits for a slot.
type queuedRequest struct {
	ticket  Ticket
	request Request
	// sortKey orders the requests of a flow, earliest first.
	sortKey time.Time
	expires time.Time
	// expiryReason is the reason for refusal once expires has passed.
	expiryReason Reason
	flow         *flow
	flowElement  *list.Element // element of flow.requests
	heapIndex    int           // index in Controller.expiry
}

// flow is the queue of the callers of a rank that share a hash.
type flow struct {
	requests      list.List     // of *queuedRequest, by sortKey
	activeElement *list.Element // element of rankState.activeFlows; nil while the flow is empty
}

// rankState is the queue and the usage of one rank.
type rankState struct {
	running, queued int
	flows           [flowsPerRank]flow
	activeFlows     list.List // of *flow, the non-empty ones in round-robin order
	// queuedSince is when the queue last became non-empty.
	queuedSince time.Time
	// deficit is how much less than its guaranteed share the rank has used, in
	// slot-seconds. It is negative if the rank has used more.
	deficit float64
	// peak is the recent peak of the demand, in slots.
	peak float64
	// offered and granted count recent requests. They decay with countHalfLife.
	offered, granted float64
	runTime          runTime
}

// expiryHeap orders queued requests by expiry time.
type expiryHeap []*queuedRequest

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expires.Before(h[j].expires) }

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	w := x.(*queuedRequest)
	w.heapIndex = len(*h)
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

// enqueue adds a request to the queue of its rank. If the queue is full, the oldest
// request of the longest flow is evicted. If the new request itself belongs to that
// flow, it is refused with a nil w, unless the queue serves the newest requests first.
func (c *Controller) enqueue(now time.Time, r Request) (w *queuedRequest, grants []Grant) {
	k := c.ranks[r.Rank]
	f := c.flowOf(k, r)
	if k.queued >= c.maxQueueLength(now) {
		longest := k.longestFlow()
		if longest == f && !c.newestFirst(now, k) {
			return nil, nil
		}
		oldest := longest.requests.Front().Value.(*queuedRequest)
		c.remove(oldest)
		c.meter.CountShed(r.Rank)
		grants = append(grants, Grant{oldest.ticket, ReasonQueueFull})
	}
	c.lastTicket++
	w = &queuedRequest{ticket: c.lastTicket, request: r, sortKey: c.sortKeyOf(now, r), flow: f}
	w.expires, w.expiryReason = c.queueExpiry(now, r)
	c.insert(now, k, w)
	return w, grants
}

// queueExpiry returns when a queued request expires, and the reason for the refusal.
func (c *Controller) queueExpiry(now time.Time, r Request) (time.Time, Reason) {
	byQueue := now.Add(c.config.QueueTimeout)
	if r.Nested {
		byQueue = now.Add(nestedTimeoutFactor * c.config.QueueTimeout)
	}
	if r.Nested && c.config.Announced {
		byQueue = r.Deadline
	}
	byDeadline := r.Deadline.Add(-c.ranks[r.Rank].runTime.estimate(now))
	if byDeadline.Before(byQueue) {
		return byDeadline, ReasonDeadline
	}
	return byQueue, ReasonQueueTimeout
}

// insert adds w to its flow, to the round-robin of its rank and to the expiry heap.
func (c *Controller) insert(now time.Time, k *rankState, w *queuedRequest) {
	if k.queued == 0 {
		k.queuedSince = now
	}
	w.flowElement = w.flow.insert(w)
	if w.flow.activeElement == nil {
		w.flow.activeElement = k.activeFlows.PushBack(w.flow)
	}
	k.queued++
	c.waiting[w.ticket] = w
	heap.Push(&c.expiry, w)
}

// insert adds a request by its sort key. It searches from the back, where most
// requests belong.
func (f *flow) insert(w *queuedRequest) *list.Element {
	for e := f.requests.Back(); e != nil; e = e.Prev() {
		if !e.Value.(*queuedRequest).sortKey.After(w.sortKey) {
			return f.requests.InsertAfter(w, e)
		}
	}
	return f.requests.PushFront(w)
}

// remove takes a request out of its queue.
func (c *Controller) remove(w *queuedRequest) {
	k := c.ranks[w.request.Rank]
	w.flow.requests.Remove(w.flowElement)
	if w.flow.requests.Len() == 0 {
		k.activeFlows.Remove(w.flow.activeElement)
		w.flow.activeElement = nil
	}
	k.queued--
	delete(c.waiting, w.ticket)
	heap.Remove(&c.expiry, w.heapIndex)
}

// flowOf returns the flow of a request: that of its caller, or a single one for the
// whole rank if requests are ordered by the age of their root requests.
func (c *Controller) flowOf(k *rankState, r Request) *flow {
	if c.config.Announced {
		return &k.flows[0]
	}
	return &k.flows[level.Hash(r.Caller)%flowsPerRank]
}

// longestFlow returns the flow with the most requests. Ties go to the flow that is
// served last.
func (k *rankState) longestFlow() *flow {
	var longest *flow
	for e := k.activeFlows.Back(); e != nil; e = e.Prev() {
		f := e.Value.(*flow)
		if longest == nil || f.requests.Len() > longest.requests.Len() {
			longest = f
		}
	}
	return longest
}

// newestFirst reports whether the rank serves its newest requests first. It does once it
// has been queueing for longer than the queue timeout: the oldest requests are then the
// least likely to complete in time. Requests ordered by age are always served oldest
// first.
func (c *Controller) newestFirst(now time.Time, k *rankState) bool {
	return !c.config.Announced && k.queued > 0 && now.Sub(k.queuedSince) > c.config.QueueTimeout
}

// dequeue removes and returns the next request of a rank, in round-robin over its
// flows.
func (c *Controller) dequeue(now time.Time, k *rankState) *queuedRequest {
	f := k.activeFlows.Front().Value.(*flow)
	at := f.requests.Front()
	if c.newestFirst(now, k) {
		at = f.requests.Back()
	}
	w := at.Value.(*queuedRequest)
	k.activeFlows.MoveToBack(f.activeElement)
	c.remove(w)
	return w
}

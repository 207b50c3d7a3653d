package route

import "time"

// Load is what a peer says of the work at its upstream.
type Load struct {
	// Outstanding is the requests that run or wait there, and Slots those that run at a
	// time; 0 slots if the load is not known.
	Outstanding, Slots int
	// ServiceTime is the mean time of a run.
	ServiceTime time.Duration
}

const (
	// loadMemory is the age at which a reported load is no longer believed. In
	// that time a full upstream empties its queue.
	loadMemory = time.Second
	// regionDistance and farDistance are the waits that a call to another data
	// centre, and to another region, must save, since bytes on the way are paid
	// for by volume. Both are below the wait at which an upstream's level begins to
	// refuse (package admission): work goes a long way before it is refused.
	regionDistance = 15 * time.Millisecond
	farDistance    = 25 * time.Millisecond
)

// distance returns the wait that a call to a tier must save.
func (t tier) distance() time.Duration {
	switch t {
	case tierRegion:
		return regionDistance
	case tierFar:
		return farDistance
	}
	return 0
}

// reported is the last load that a peer told, and the own calls in flight then.
type reported struct {
	Load
	at       time.Time
	inFlight int
}

// wait estimates how long one more call waits for a slot. Calls that were begun
// since the peer told its load are added to it.
func (s *peerState) wait(now time.Time) time.Duration {
	r := &s.load
	age := now.Sub(r.at)
	if r.Slots == 0 || age >= loadMemory {
		return 0
	}
	queued := r.Outstanding + max(s.inFlight-r.inFlight, 0) + 1 - r.Slots
	if queued <= 0 {
		return 0
	}
	wait := float64(queued) * r.ServiceTime.Seconds() / float64(r.Slots)
	fresh := 1 - float64(age)/float64(loadMemory)
	return time.Duration(wait * fresh * float64(time.Second))
}

// learnLoad takes in what a peer says of its load.
func (s *peerState) learnLoad(now time.Time, l Load) {
	if l.Slots > 0 {
		s.load = reported{l, now, s.inFlight}
	}
}

// nearer returns the one of two peers that a call goes to: the farther one only
// if it saves more waiting than its distance is worth. This answers the load of
// which one data centre has more than its upstreams take while others have room.
func nearer(now time.Time, near, far *peerState) *peerState {
	if near == nil {
		return far
	}
	if far == nil {
		return near
	}
	saved := near.wait(now) - far.wait(now)
	if saved > far.tier.distance()-near.tier.distance() {
		return far
	}
	return near
}

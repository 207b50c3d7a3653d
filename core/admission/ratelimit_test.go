package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"fuchsiavane.org/core/level"
)

// TestRateLimitOfTheUpstreamIsKept guards against more runs than an upstream with a rate
// limit takes, in a flood of short runs for which slots are free. What the limit allows
// is used, and requests that it can't serve in time are refused, not queued.
func TestRateLimitOfTheUpstreamIsKept(t *testing.T) {
	const (
		limit   = 20.0
		perStep = 4 // requests in 10 ms
		step    = 10 * time.Millisecond
		length  = 20 * time.Second
		window  = 4 * time.Second
	)
	is := is.New(t)
	start := time.Unix(1_000_000, 0)
	c := New(start, Config{Announced: true, Slots: 50, QueueTimeout: 400 * time.Millisecond, Ranks: []Rank{{Share: 0.04}}})
	is.Equal(len(c.SetRateLimit(start, limit)), 0)
	var begun []time.Time
	var running []Ticket
	queued := map[Ticket]time.Time{}
	settle := func(now time.Time, grants []Grant) {
		for _, g := range grants {
			if g.Reason == ReasonNone {
				begun = append(begun, now)
				running = append(running, g.Ticket)
				is.True(now.Sub(queued[g.Ticket]) <= time.Second)
			}
			delete(queued, g.Ticket)
		}
	}
	n := 0
	for now := start; now.Before(start.Add(length)); now = now.Add(step) {
		for _, ticket := range running {
			settle(now, c.Finish(now, ticket, Sample{Latency: step}))
		}
		running = running[:0]
		for range perStep {
			n++
			if level.Refuses(c.Level(0), fmt.Sprint(n)) {
				continue // as entry daemons do
			}
			d := c.Offer(now, Request{ID: fmt.Sprint(n), Deadline: now.Add(time.Second), Timestamp: now})
			settle(now, d.Grants)
			switch d.Verdict {
			case Admitted:
				begun = append(begun, now)
				running = append(running, d.Ticket)
			case Queued:
				queued[d.Ticket] = now
			case Refused:
			}
		}
		settle(now, c.Expire(now))
	}
	for i, from := range begun {
		end, _ := slices.BinarySearchFunc(begun, from.Add(window), time.Time.Compare)
		is.True(float64(end-i) <= 1.5*limit*window.Seconds()+5)
	}
	t.Log(len(begun), "runs begun")
	is.True(float64(len(begun)) >= 0.9*limit*length.Seconds())
	is.Equal(c.Capacity(start), 1) // a run of 10 ms at 20 a second
	is.Equal(len(c.SetRateLimit(start.Add(length), 0)) > 0 || c.Queued() == 0, true)
}

// TestRequestThatARateLimitHoldsUpMayGoElsewhere guards against refusals for the deadline
// of requests that another upstream of the service has time for.
func TestRequestThatARateLimitHoldsUpMayGoElsewhere(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1_000_000, 0)
	c := New(start, Config{Announced: true, Slots: 50, QueueTimeout: 400 * time.Millisecond, Ranks: []Rank{{Share: 0.04}}})
	c.SetRateLimit(start, 1) // the first token comes after a second
	for _, nested := range []bool{false, true} {
		d := c.Offer(start, Request{ID: "a", Deadline: start.Add(500 * time.Millisecond), Timestamp: start, Nested: nested})
		is.Equal(d.Verdict, Refused)
		is.Equal(d.Reason, ReasonQueueTimeout)
	}
}

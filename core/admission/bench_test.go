package admission

import (
	"testing"
	"time"
)

// BenchmarkOfferFinish measures one admitted request on a controller with free slots.
func BenchmarkOfferFinish(b *testing.B) {
	c := New(start, Config{Slots: 50, QueueTimeout: 50 * time.Millisecond, Ranks: threeRanks})
	now := start
	r := request(1, 1, now)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(100 * time.Microsecond)
		r.Deadline = now.Add(time.Second)
		d := c.Offer(now, r)
		c.Finish(now, d.Ticket, Sample{Latency: time.Millisecond})
	}
}

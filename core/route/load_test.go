package route

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// loadedTiers returns a picker with one peer in its data centre, one in its
// region and one in another region, each with a load just reported.
func loadedTiers(now time.Time, dataCentre, region, crossRegion Load) *Picker {
	p := NewPicker(local)
	peers := append(peersOf("s", "south", "south-1", 1), peersOf("s", "south", "south-2", 1)...)
	peers = append(peers, peersOf("s", "north", "north-1", 1)...)
	p.Update(now, peers)
	for i, l := range []Load{dataCentre, region, crossRegion} {
		p.Begin("s", peers[i].ID)
		p.Done(now, "s", peers[i].ID, Result{Latency: l.ServiceTime, Load: l})
	}
	return p
}

// TestSpillsWhenWaitingCostsMore checks that calls go to other data centres with free
// slots when their own has more load than its upstream can run.
func TestSpillsWhenWaitingCostsMore(t *testing.T) {
	load := func(busy int) Load { return Load{Outstanding: busy, Slots: 16, ServiceTime: 80 * time.Millisecond} }
	for _, c := range []struct {
		name                            string
		dataCentre, region, crossRegion int
		want                            string
	}{
		{"all idle", 0, 0, 0, "south-1"},
		{"data centre is full, without a queue", 15, 0, 0, "south-1"},
		{"data centre has a queue below the minimum saving", 17, 0, 0, "south-1"},
		{"data centre has a queue above the minimum saving", 20, 0, 0, "south-2"},
		{"region is full too, cross-region saves too little", 19, 18, 16, "south-1"},
		{"all but cross-region are overloaded", 40, 40, 0, "north-1"},
		{"all are overloaded alike", 60, 60, 60, "south-1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := loadedTiers(start, load(c.dataCentre), load(c.region), load(c.crossRegion))
			choice, ok := p.Pick(start, Query{Service: "s", CrossRegion: true}, newRandom())
			is.New(t).True(ok)
			is.New(t).Equal(choice.DataCentre, c.want)
		})
	}
}

// TestOwnCallsCountBeforeTheyAreReported checks that a daemon that sends a burst
// spreads it before the peer reports that its queue is long.
func TestOwnCallsCountBeforeTheyAreReported(t *testing.T) {
	idle := Load{Outstanding: 0, Slots: 16, ServiceTime: 80 * time.Millisecond}
	p := loadedTiers(start, idle, idle, idle)
	picked := map[string]int{}
	for range 64 {
		choice, _ := p.Pick(start, Query{Service: "s", CrossRegion: true}, newRandom())
		picked[choice.DataCentre]++
	}
	// 15 ms of waiting are 3 requests of 80 ms each on 16 slots.
	is := is.New(t)
	is.True(picked["south-1"]-picked["south-2"] <= 4)
	is.True(picked["south-2"] > 0)
	is.True(picked["north-1"] > 0)
}

func TestOldLoadIsForgotten(t *testing.T) {
	full := Load{Outstanding: 200, Slots: 16, ServiceTime: 80 * time.Millisecond}
	p := loadedTiers(start, full, Load{Slots: 16, ServiceTime: 80 * time.Millisecond}, full)
	choice, _ := p.Pick(start.Add(maxLoadAge), Query{Service: "s", CrossRegion: true}, newRandom())
	is.New(t).Equal(choice.DataCentre, "south-1")
}

// TestRateLimitOutlivesTheProcessThatReportedIt checks that the rate limit of a peer's
// upstream is remembered for the peer's next process, for a time.
func TestRateLimitOutlivesTheProcessThatReportedIt(t *testing.T) {
	is := is.New(t)
	p := NewPicker(Locality{Instance: "a", Region: "south", DataCentre: "south-1"})
	peer := Peer{ID: "b", Service: "desk", Region: "south", DataCentre: "south-1", Addr: "b:1", Started: 1}
	query := Query{Service: "desk"}
	pick := func(now time.Time) float64 {
		choice, ok := p.Pick(now, query, newRandom())
		is.True(ok)
		return choice.RateLimit
	}
	p.Update(start, []Peer{peer})
	is.Equal(pick(start), 0.0)
	p.Done(start, "desk", "b", Result{Load: Load{Slots: 10, RateLimit: 16}})
	is.Equal(pick(start), 16.0)
	p.Update(start, nil)
	peer.Started = 2
	p.Update(start, []Peer{peer})
	is.Equal(pick(start), 16.0)
	is.Equal(pick(start.Add(rateLimitMemory)), 0.0)
	p.Done(start, "desk", "b", Result{Load: Load{Slots: 10}}) // the limit has ended
	is.Equal(pick(start), 0.0)
}

// TestRateLimitIsOfOneService checks that an instance that returns under its id beside an
// upstream of another service isn't given the rate limit of the former one.
func TestRateLimitIsOfOneService(t *testing.T) {
	is := is.New(t)
	p := NewPicker(Locality{Instance: "a", Region: "south", DataCentre: "south-1"})
	peer := Peer{ID: "b", Service: "desk", Region: "south", DataCentre: "south-1", Addr: "b:1", Started: 1}
	p.Update(start, []Peer{peer})
	p.Done(start, "desk", "b", Result{Load: Load{Slots: 10, RateLimit: 16}})
	peer.Service, peer.Started = "booking", 2
	p.Update(start, []Peer{peer})
	choice, ok := p.Pick(start, Query{Service: "booking"}, newRandom())
	is.True(ok)
	is.Equal(choice.RateLimit, 0.0)
}

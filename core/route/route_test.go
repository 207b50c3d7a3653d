package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var (
	start = time.Date(2026, 1, 5, 6, 0, 0, 0, time.UTC)
	local = Locality{Instance: "self", Region: "south", DataCentre: "south-1"}
)

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// peersOf returns n peers of a service in a data centre.
func peersOf(service, region, dataCentre string, n int) []Peer {
	peers := make([]Peer, n)
	for i := range peers {
		id := fmt.Sprintf("%s-%s-%d", service, dataCentre, i)
		peers[i] = Peer{ID: id, Service: service, Region: region, DataCentre: dataCentre, Addr: id}
	}
	return peers
}

// finish ends a call with a successful response.
func finish(p *Picker, now time.Time, c Choice) {
	p.Done(now, c.Service, c.ID, Result{Latency: 10 * time.Millisecond})
}

func TestNearestTierFirst(t *testing.T) {
	is := is.New(t)
	p := NewPicker(local)
	sameDataCentre := peersOf("s", "south", "south-1", 2)
	sameRegion := peersOf("s", "south", "south-2", 2)
	crossRegion := peersOf("s", "north", "north-1", 2)
	random := newRandom()

	p.Update(start, append(append(sameDataCentre, sameRegion...), crossRegion...))
	c, ok := p.Pick(start, Query{Service: "s", CrossRegion: true}, random)
	is.True(ok)
	is.Equal(c.DataCentre, "south-1")

	p.Update(start, append(sameRegion, crossRegion...))
	c, ok = p.Pick(start, Query{Service: "s", CrossRegion: true}, random)
	is.True(ok)
	is.Equal(c.DataCentre, "south-2")

	p.Update(start, crossRegion)
	c, ok = p.Pick(start, Query{Service: "s", CrossRegion: true}, random)
	is.True(ok)
	is.True(c.CrossRegion)
	_, ok = p.Pick(start, Query{Service: "s"}, random)
	is.True(!ok) // cross-region calls are not allowed
}

func TestSpillsWhenTheNearestTierRefuses(t *testing.T) {
	is := is.New(t)
	p := NewPicker(local)
	p.Update(start, append(peersOf("s", "south", "south-1", 2), peersOf("s", "south", "south-2", 2)...))
	random := newRandom()
	now := start
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		c, ok := p.Pick(now, Query{Service: "s"}, random)
		is.True(ok)
		p.Done(now, "s", c.ID, Result{Refused: c.DataCentre == "south-1", Latency: 5 * time.Millisecond})
	}
	c, _ := p.Pick(now, Query{Service: "s"}, random)
	is.Equal(c.DataCentre, "south-2")
	now = now.Add(10 * time.Second) // refusal rates decay
	c, _ = p.Pick(now, Query{Service: "s"}, random)
	is.Equal(c.DataCentre, "south-1")
}

func TestLeavingPeersGetNothingNew(t *testing.T) {
	is := is.New(t)
	p := NewPicker(local)
	peers := peersOf("s", "south", "south-1", 2)
	p.Update(start, peers)
	random := newRandom()
	c, _ := p.Pick(start, Query{Service: "s"}, random)
	p.Done(start, "s", c.ID, Result{Refused: true, Leaving: true})
	for range 50 {
		next, ok := p.Pick(start.Add(time.Second), Query{Service: "s"}, random)
		is.True(ok)
		is.True(next.ID != c.ID) // refused as leaving
	}
	peers[0].Leaving, peers[1].Leaving = true, true
	p.Update(start, peers)
	_, ok := p.Pick(start.Add(time.Hour), Query{Service: "s"}, random)
	is.True(!ok)
}

// TestRestartedPeerIsAnother checks that an instance restarted with the same name and
// address gets calls at once, without the backoff of the old process.
func TestRestartedPeerIsAnother(t *testing.T) {
	is := is.New(t)
	p := NewPicker(local)
	peers := peersOf("s", "south", "south-1", 1)
	p.Update(start, peers)
	c, _ := p.Pick(start, Query{Service: "s"}, newRandom())
	p.Done(start, "s", c.ID, Result{Refused: true, Leaving: true})
	p.Update(start, peers)
	_, ok := p.Pick(start, Query{Service: "s"}, newRandom())
	is.True(!ok) // the directory still lists the old process
	peers[0].Started = 1
	p.Update(start, peers)
	_, ok = p.Pick(start, Query{Service: "s"}, newRandom())
	is.True(ok)
}

// TestHalfDeadPeerIsLeftAndTakenBack checks that a half-dead peer, which accepts calls
// and never responds, is ejected, and gets its share again after it recovers.
func TestHalfDeadPeerIsLeftAndTakenBack(t *testing.T) {
	is := is.New(t)
	p := NewPicker(local)
	peers := peersOf("s", "south", "south-1", 4)
	halfDead := peers[0].ID
	p.Update(start, peers)
	random := newRandom()
	now := start
	lateFailures := 0
	var inFlight []Choice // eight calls are in flight at any time
	for i := range 2000 {
		now = now.Add(5 * time.Millisecond)
		c, _ := p.Pick(now, Query{Service: "s"}, random)
		if c.ID == halfDead {
			p.Done(now, "s", c.ID, Result{Failed: true, Latency: time.Second})
			if i > 1000 {
				lateFailures++
			}
			continue
		}
		inFlight = append(inFlight, c)
		if len(inFlight) > 8 {
			finish(p, now, inFlight[0])
			inFlight = inFlight[1:]
		}
	}
	is.Equal(p.Ejected(now), []string{halfDead})
	is.True(lateFailures <= 10) // one probe per ejection, and ejections grow longer

	now = now.Add(maxEjectionTime)
	is.Equal(len(p.Ejected(now)), 0)
	picked := 0
	for range 4000 {
		now = now.Add(5 * time.Millisecond)
		c, _ := p.Pick(now, Query{Service: "s"}, random)
		finish(p, now, c)
		if c.ID == halfDead {
			picked++
		}
	}
	is.True(picked > 500) // an equal share is 1000
}

func TestEjectionIsCapped(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(rt, "peers")
		p := NewPicker(local)
		p.Update(start, peersOf("s", "south", "south-1", n))
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0))
		bad := rapid.IntRange(0, n).Draw(rt, "bad")
		now := start
		for range 300 {
			now = now.Add(20 * time.Millisecond)
			c, ok := p.Pick(now, Query{Service: "s"}, random)
			if !ok {
				rt.Fatalf("no peer although none is leaving")
			}
			var i int
			_, _ = fmt.Sscanf(c.ID, "s-south-1-%d", &i)
			p.Done(now, "s", c.ID, Result{Failed: i < bad, Latency: time.Millisecond})
			if got := len(p.Ejected(now)); float64(got) > maxEjectedFraction*float64(n) {
				rt.Fatalf("%d of %d peers are ejected", got, n)
			}
		}
	})
}

func TestSubsetBoundsConnections(t *testing.T) {
	is := is.New(t)
	peers := peersOf("s", "south", "south-1", 400)
	clients := map[string]int{}
	for i := range 200 {
		p := NewPicker(Locality{Instance: fmt.Sprintf("caller-%d", i), Region: "south", DataCentre: "south-1"})
		p.Update(start, peers)
		used := map[string]bool{}
		random := rand.New(rand.NewPCG(uint64(i), 0))
		for range 500 {
			c, _ := p.Pick(start, Query{Service: "s"}, random)
			used[c.ID] = true
			finish(p, start, c)
		}
		is.True(len(used) <= minSubset+1)
		for id := range used {
			clients[id]++
		}
	}
	maxClients := 0
	for _, n := range clients {
		maxClients = max(maxClients, n)
	}
	is.True(maxClients <= 16) // 200 callers x 9 peers over 400 upstreams are 4.5 each
}

func TestSubsetGrowsWithTraffic(t *testing.T) {
	is := is.New(t)
	p := NewPicker(local)
	p.Update(start, peersOf("s", "south", "south-1", 100))
	random := newRandom()
	used := map[string]bool{}
	for range 400 { // all stay in flight
		c, _ := p.Pick(start, Query{Service: "s"}, random)
		used[c.ID] = true
	}
	is.True(len(used) > 40)
}

func TestSlowStartRaisesShareOfNewPeer(t *testing.T) {
	is := is.New(t)
	p := NewPicker(local)
	peers := peersOf("s", "south", "south-1", 4)
	p.Update(start.Add(-time.Hour), peers[:3])
	p.Update(start, peers)
	random := newRandom()
	q := Query{Service: "s", SlowStart: 10 * time.Second}
	share := func(now time.Time) int {
		var inFlight []Choice
		n := 0
		for range 1000 {
			c, _ := p.Pick(now, q, random)
			if c.ID == peers[3].ID {
				n++
			}
			inFlight = append(inFlight, c)
			if len(inFlight) > 20 {
				finish(p, now, inFlight[0])
				inFlight = inFlight[1:]
			}
		}
		for _, c := range inFlight {
			finish(p, now, c)
		}
		return n
	}
	early := share(start.Add(time.Second))
	full := share(start.Add(time.Minute))
	is.True(early < full/2)
	is.True(full > 150)
}

// TestLinkBudgetsAddUpToLessThanTheLink checks that the daemons of a region together
// stay within the capacity of the region link, whatever their number.
func TestLinkBudgetsAddUpToLessThanTheLink(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const linkBytes = 30e6 / 8
		n := rapid.IntRange(1, 500).Draw(rt, "daemons")
		piece := rapid.IntRange(1<<10, 64<<10).Draw(rt, "bytes")
		seconds := 12 // past startupPeriod, after which shares may rise
		total := 0
		for range n {
			b := NewLinkBudget(start)
			now := start
			for range seconds * 2 {
				now = now.Add(500 * time.Millisecond)
				b.SetShare(now, linkBytes, n)
				for b.Allow(now, true) {
					b.Charge(now, piece)
					total += piece
				}
			}
		}
		// Each budget may accumulate one burst and overdraw by one piece.
		allowed := linkBytes*usableFraction*(float64(seconds)+burstTime.Seconds()) + float64(n*piece)
		if float64(total) > allowed {
			rt.Fatalf("%d daemons sent %d bytes in %d s, more than %.0f", n, total, seconds, allowed)
		}
	})
}

func TestLinkBudgetKeepsReserveForUrgentWork(t *testing.T) {
	is := is.New(t)
	b := NewLinkBudget(start)
	now := start.Add(time.Minute)
	b.SetShare(now, 1e6, 1)
	now = now.Add(time.Minute)
	b.SetShare(now, 1e6, 1)
	for b.Allow(now, false) {
		b.Charge(now, 1000)
	}
	is.True(b.Allow(now, true))
	is.True(b.Charge(now, 10e6) > 0)
	is.True(!b.Allow(now, true)) // in debt
	is.True(b.Allow(now.Add(20*time.Second), true))
}

// TestLinkBudgetClockStepsBack checks that a clock that steps back adds nothing to a
// budget, which refills afterwards.
func TestLinkBudgetClockStepsBack(t *testing.T) {
	is := is.New(t)
	b := NewLinkBudget(start)
	b.SetShare(start, 1e6, 1)
	is.True(!b.Allow(start.Add(-time.Hour), true))
	is.True(b.Allow(start.Add(time.Second), true))
}

func BenchmarkPick(b *testing.B) {
	p := NewPicker(local)
	p.Update(start, peersOf("s", "south", "south-1", 18))
	random := newRandom()
	b.ReportAllocs()
	for b.Loop() {
		c, _ := p.Pick(start, Query{Service: "s", SlowStart: time.Second}, random)
		finish(p, start, c)
	}
}

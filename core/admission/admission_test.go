package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

var threeRanks = []Rank{{Share: 0.2, Protected: true}, {Share: 0.4}, {Share: 0.1}}

func request(id int, rank int, now time.Time) Request {
	return Request{ID: fmt.Sprint(id), Rank: rank, Caller: fmt.Sprint("caller-", id%7), Deadline: now.Add(time.Second)}
}

func TestQueueIsBoundedInTime(t *testing.T) {
	is := is.New(t)
	c := New(start, Config{Slots: 1, QueueTimeout: 50 * time.Millisecond})
	first := c.Offer(start, request(1, 0, start))
	is.Equal(first.Verdict, Admitted)
	second := c.Offer(start, request(2, 0, start))
	is.Equal(second.Verdict, Queued)
	is.Equal(len(c.Expire(start.Add(50*time.Millisecond))), 0)
	is.Equal(c.Expire(start.Add(51*time.Millisecond)), []Grant{{second.Ticket, ReasonQueueTimeout}})
}

func TestNestedRequestsWaitLonger(t *testing.T) {
	is := is.New(t)
	c := New(start, Config{Slots: 1, QueueTimeout: 50 * time.Millisecond})
	c.Offer(start, request(1, 0, start))
	nested := request(2, 0, start)
	nested.Nested = true
	d := c.Offer(start, nested)
	is.Equal(len(c.Expire(start.Add(200*time.Millisecond))), 0)
	is.Equal(c.Expire(start.Add(201*time.Millisecond)), []Grant{{d.Ticket, ReasonQueueTimeout}})
}

func TestNoQueueRefusesAtOnce(t *testing.T) {
	is := is.New(t)
	c := New(start, Config{Slots: 1})
	is.Equal(c.Offer(start, request(1, 0, start)).Verdict, Admitted)
	is.Equal(c.Offer(start, request(2, 0, start)).Reason, ReasonQueueFull)
	is.Equal(c.Queued(), 0)
}

func TestRequestThatCannotFinishIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	c := New(start, Config{Slots: 4, QueueTimeout: time.Second})
	now := start
	for i := range 20 {
		d := c.Offer(now, request(i, 0, now))
		now = now.Add(100 * time.Millisecond)
		c.Finish(now, d.Ticket, Sample{Latency: 100 * time.Millisecond})
	}
	doomed := request(100, 0, now)
	doomed.Deadline = now.Add(20 * time.Millisecond)
	is.Equal(c.Offer(now, doomed).Reason, ReasonDeadline)
	is.Equal(c.Offer(now, request(101, 0, now)).Verdict, Admitted)
	// The estimate decays, so that requests refused by it are admitted again.
	later := now.Add(10 * time.Second)
	doomed.Deadline = later.Add(20 * time.Millisecond)
	is.Equal(c.Offer(later, doomed).Verdict, Admitted)
}

func TestShortDeadlinesDoNotLowerTheLimit(t *testing.T) {
	is := is.New(t)
	c := New(start, Config{Slots: 10, QueueTimeout: time.Second})
	now := start
	for i := range 2000 {
		d := c.Offer(now, request(i, 0, now))
		now = now.Add(10 * time.Millisecond)
		s := Sample{Latency: 100 * time.Millisecond}
		if i%2 == 1 {
			s = Sample{Latency: 10 * time.Millisecond, TimedOut: true}
		}
		c.Finish(now, d.Ticket, s)
	}
	is.Equal(c.Limit(now), 10)
}

func TestCallersOfARankShareFairly(t *testing.T) {
	is := is.New(t)
	c := New(start, Config{Slots: 1, QueueTimeout: time.Second})
	running := c.Offer(start, request(0, 0, start)).Ticket
	owner := map[Ticket]string{}
	offer := func(id int, caller string) {
		r := request(id, 0, start)
		r.Caller = caller
		if d := c.Offer(start, r); d.Verdict == Queued {
			owner[d.Ticket] = caller
		}
	}
	for i := range 50 {
		offer(i+1, "greedy")
	}
	offer(100, "modest")
	granted := map[string]int{}
	for range 2 {
		grants := c.Finish(start, running, Sample{Abandoned: true})
		running = grants[len(grants)-1].Ticket
		granted[owner[running]]++
	}
	is.Equal(granted["modest"], 1) // not behind the 50 requests of the other caller
}

func TestNewestFirstWhileOverloaded(t *testing.T) {
	is := is.New(t)
	c := New(start, Config{Slots: 1, QueueTimeout: 50 * time.Millisecond})
	running := c.Offer(start, request(0, 0, start)).Ticket
	offer := func(at time.Time, id int) Ticket {
		r := request(id, 0, at)
		r.Caller = "one"
		return c.Offer(at, r).Ticket
	}
	offer(start, 1)
	offer(start.Add(40*time.Millisecond), 2)
	newest := offer(start.Add(55*time.Millisecond), 3)
	grants := c.Finish(start.Add(60*time.Millisecond), running, Sample{Abandoned: true})
	is.Equal(grants[len(grants)-1], Grant{newest, ReasonNone})
}

func TestConfigureMovesRequestsOfRemovedRanks(t *testing.T) {
	is := is.New(t)
	c := New(start, Config{Slots: 1, QueueTimeout: time.Second, Ranks: threeRanks})
	running := c.Offer(start, request(0, 2, start)).Ticket
	waiting := c.Offer(start, request(1, 2, start)).Ticket
	c.Configure(start, Config{Slots: 1, QueueTimeout: time.Second, Ranks: threeRanks[:1]})
	is.Equal(c.Queued(), 1)
	is.Equal(c.Finish(start, running, Sample{}), []Grant{{waiting, ReasonNone}})
}

// simulate offers requests of each rank at a rate, as a fraction of the capacity:
// first at the rates of calm, then for length at rates. It returns the runs completed
// during length by rank, as fractions of the capacity.
func simulate(slots int, calm, rates []float64, length time.Duration) []float64 {
	return simulateRanks(threeRanks, slots, calm, rates, length)
}

// simulateRanks is simulate with the given ranks.
func simulateRanks(ranksOf []Rank, slots int, calm, rates []float64, length time.Duration) []float64 {
	const work, tick = 100 * time.Millisecond, time.Millisecond
	c := New(start, Config{Slots: slots, QueueTimeout: 50 * time.Millisecond, Ranks: ranksOf})
	begin := start.Add(5 * time.Second)
	random := make([]*rand.Rand, len(rates))
	for i := range random {
		random[i] = rand.New(rand.NewPCG(1, uint64(i)))
	}
	capacity := float64(slots) / work.Seconds()
	type ending struct {
		ticket Ticket
		rank   int
		at     time.Time
	}
	var running []ending
	ranks := map[Ticket]int{}
	done := make([]float64, len(rates))
	id := 0
	applyGrants := func(now time.Time, grants []Grant) {
		for _, g := range grants {
			if g.Reason == ReasonNone {
				running = append(running, ending{g.Ticket, ranks[g.Ticket], now.Add(work)})
			}
			delete(ranks, g.Ticket)
		}
	}
	for now := start; now.Before(begin.Add(length)); now = now.Add(tick) {
		remaining := running[:0:0]
		ended := running
		running = nil
		for _, r := range ended {
			if r.at.After(now) {
				remaining = append(remaining, r)
				continue
			}
			if now.After(begin) {
				done[r.rank]++
			}
			applyGrants(now, c.Finish(now, r.ticket, Sample{Latency: work}))
		}
		running = append(remaining, running...)
		applyGrants(now, c.Expire(now))
		for rank, rate := range calm {
			if now.After(begin) {
				rate = rates[rank]
			}
			for arrivals := rate * capacity * tick.Seconds(); random[rank].Float64() < arrivals; arrivals-- {
				id++
				d := c.Offer(now, request(id, rank, now))
				applyGrants(now, d.Grants)
				switch d.Verdict {
				case Admitted:
					running = append(running, ending{d.Ticket, rank, now.Add(work)})
				case Queued:
					ranks[d.Ticket] = rank
				case Refused:
				}
			}
		}
	}
	for i := range done {
		done[i] /= capacity * length.Seconds()
	}
	return done
}

// TestFloorSharesInAFloodOfTheMostUrgentRank checks that the other ranks keep their
// guaranteed shares while the most urgent rank asks for ten times the capacity.
func TestFloorSharesInAFloodOfTheMostUrgentRank(t *testing.T) {
	is := is.New(t)
	got := simulate(20, []float64{0.1, 0.4, 0.1}, []float64{10, 0.6, 0.3}, 20*time.Second)
	t.Log(got)
	is.True(got[1] >= 0.4)
	is.True(got[2] >= 0.1)
}

// TestProtectedRankInAFloodOfTheLeastUrgentRank checks that a protected rank completes
// as much as without the flood, and that the flood uses the shares that others leave
// unused.
func TestProtectedRankInAFloodOfTheLeastUrgentRank(t *testing.T) {
	is := is.New(t)
	calm := []float64{0.15, 0.2, 0.1}
	alone := simulate(20, calm, calm, 20*time.Second)
	got := simulate(20, calm, []float64{0.15, 0.2, 10}, 20*time.Second)
	t.Log(alone, got)
	is.True(got[0] >= 0.99*alone[0])
	is.True(got[0]+got[1]+got[2] >= 0.9) // unused shares are lent
}

// TestGuaranteedSharesWithAnyRanks checks that each rank keeps its guaranteed share
// while every rank asks for more than the whole capacity.
func TestGuaranteedSharesWithAnyRanks(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 8))
	for range 8 {
		slots := 8 + random.IntN(40)
		ranks := make([]Rank, 2+random.IntN(3))
		calm := make([]float64, len(ranks))
		flood := make([]float64, len(ranks))
		remaining := 0.9
		for i := range ranks {
			ranks[i].Share = remaining * (0.1 + 0.5*random.Float64())
			remaining -= ranks[i].Share
			calm[i], flood[i] = 0.1, 1+9*random.Float64()
		}
		t.Run(fmt.Sprint(slots, ranks), func(t *testing.T) {
			got := simulateRanks(ranks, slots, calm, flood, 20*time.Second)
			t.Log(got)
			for i, rank := range ranks {
				is.New(t).True(got[i] >= rank.Share)
			}
		})
	}
}

func TestUnusedSharesAreLent(t *testing.T) {
	is := is.New(t)
	got := simulate(20, []float64{0, 0, 0.5}, []float64{0, 0, 3}, 10*time.Second)
	t.Log(got)
	is.True(got[2] >= 0.9)
}

// TestEveryTicketIsSettledOnce checks that under any order of calls no more requests
// run than the limit, and that each ticket is granted or refused once.
func TestEveryTicketIsSettledOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 6).Draw(t, "slots")
		queue := time.Duration(rapid.IntRange(0, 30).Draw(t, "queue")) * time.Millisecond
		config := Config{Slots: slots, QueueTimeout: queue, Ranks: threeRanks}
		c := New(start, config)
		now := start
		var runs, queued []Ticket
		decided := map[Ticket]bool{}
		remove := func(list *[]Ticket, ticket Ticket) bool {
			for i, x := range *list {
				if x == ticket {
					*list = append((*list)[:i:i], (*list)[i+1:]...)
					return true
				}
			}
			return false
		}
		grant := func(grants []Grant) {
			for _, g := range grants {
				if decided[g.Ticket] || !remove(&queued, g.Ticket) {
					t.Fatalf("ticket %d was granted or refused twice, or never queued", g.Ticket)
				}
				decided[g.Ticket] = true
				if g.Reason == ReasonNone {
					runs = append(runs, g.Ticket)
				}
			}
		}
		id := 0
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				id++
				r := request(id, rapid.IntRange(-1, 4).Draw(t, "rank"), now)
				r.Deadline = now.Add(time.Duration(rapid.IntRange(-5, 100).Draw(t, "remaining_ms")) * time.Millisecond)
				d := c.Offer(now, r)
				grant(d.Grants)
				switch d.Verdict {
				case Admitted:
					decided[d.Ticket] = true
					runs = append(runs, d.Ticket)
				case Queued:
					queued = append(queued, d.Ticket)
				case Refused:
				}
			},
			"finish": func(t *rapid.T) {
				if len(runs) == 0 {
					t.Skip()
				}
				ticket := rapid.SampledFrom(runs).Draw(t, "run")
				remove(&runs, ticket)
				grant(c.Finish(now, ticket, Sample{Latency: 10 * time.Millisecond, Overloaded: rapid.Bool().Draw(t, "overloaded")}))
			},
			"cancel": func(t *rapid.T) {
				if len(queued) == 0 {
					t.Skip()
				}
				ticket := rapid.SampledFrom(queued).Draw(t, "queued")
				if !c.Cancel(ticket) || c.Cancel(ticket) {
					t.Fatal("a queued ticket must be cancelled exactly once")
				}
				remove(&queued, ticket)
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "ms")) * time.Millisecond)
				grant(c.Expire(now))
			},
			"configure": func(t *rapid.T) {
				config.Ranks = threeRanks[:rapid.IntRange(0, 3).Draw(t, "ranks")]
				grant(c.Configure(now, config))
			},
			"": func(t *rapid.T) {
				if c.InFlight() != len(runs) || c.Queued() != len(queued) {
					t.Fatalf("running %d, want %d; queued %d, want %d", c.InFlight(), len(runs), c.Queued(), len(queued))
				}
				if c.InFlight() > slots {
					t.Fatalf("running %d, more than the limit of %d", c.InFlight(), slots)
				}
			},
		})
		// No request waits forever.
		for range slots + 1 {
			now = now.Add(200 * time.Millisecond)
			grant(c.Expire(now))
			for _, ticket := range runs {
				grant(c.Finish(now, ticket, Sample{Abandoned: true}))
			}
			runs = nil
		}
		if len(queued) != 0 {
			t.Fatalf("%d requests still queued at the end", len(queued))
		}
	})
}

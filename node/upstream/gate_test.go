package upstream

import (
	"context"
	"fmt"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"fuchsiavane.org/node/call"
	"fuchsiavane.org/node/edit"
	"fuchsiavane.org/node/settingsync"
)

func holderOf(t *testing.T, document string) *settingsync.Holder {
	t.Helper()
	holder := settingsync.NewHolder()
	head := edit.Head{Document: []byte(document)}
	head.Revision = 1
	if _, findings := holder.Update(head); len(findings) > 0 {
		t.Fatal(findings)
	}
	return holder
}

// running runs the Gate's background loop until stop is called.
func running(g *Gate) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	go g.Run(ctx)
	return cancel
}

func requestOf(id, rank string) *call.Request {
	return &call.Request{ID: id, Service: "bench", Rank: rank, Caller: "club", Deadline: time.Now().Add(time.Second)}
}

func TestCancelledRequestLeavesTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := NewGate("bench", holderOf(t, `{"settings": {"slots": 1, "slow_start_ms": 0, "queue_ms": 500}}`))
		slot, refusal := g.Acquire(t.Context(), requestOf("1", ""))
		is.True(refusal == nil)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		_, refusal = g.Acquire(ctx, requestOf("2", ""))
		is.Equal(refusal.Refusal, call.RefusedCancelled)
		is.Equal(refusal.Outcome, call.NotRun)
		running, queued := g.Occupancy()
		is.Equal(running, 1)
		is.Equal(queued, 0)
		slot.Release(ResultCompleted)
		running, _ = g.Occupancy()
		is.Equal(running, 0)
	})
}

func TestRefusalHasRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := NewGate("bench", holderOf(t, `{"settings": {"slots": 1, "slow_start_ms": 0, "queue_ms": 20}}`))
		stop := running(g)
		defer stop()
		slot, _ := g.Acquire(t.Context(), requestOf("1", ""))
		defer slot.Release(ResultCompleted)
		_, refusal := g.Acquire(t.Context(), requestOf("2", ""))
		is.Equal(refusal.Refusal, call.RefusedOverload)
		is.True(refusal.RetryAfter >= time.Second)
		is.True(refusal.RetryAfter <= 30*time.Second)
	})
}

// TestSharesFollowTheHours checks that the shares of the ranks follow the setting
// "hours" without a new revision.
func TestSharesFollowTheHours(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		// The virtual clock begins at midnight UTC.
		g := NewGate("bench", holderOf(t, `{
			"settings": {"slots": 4, "slow_start_ms": 0, "queue_ms": 200, "hours": [
				{"from": "00:01", "to": "00:10", "shares": {"bulk": 0.5}}]},
			"ranks": [{"name": "lookup", "share": 0.1}, {"name": "bulk", "share": 0}]}`))
		stop := running(g)
		defer stop()
		is.True(bulkFractionInFlood(t, g) < 0.1)
		time.Sleep(2 * time.Minute)
		is.True(bulkFractionInFlood(t, g) >= 0.5)
	})
}

// bulkFractionInFlood returns the fraction of the capacity that rank bulk gets while both
// ranks request more than all of it.
func bulkFractionInFlood(t *testing.T, g *Gate) float64 {
	const work, length = 20 * time.Millisecond, 10 * time.Second
	var mu sync.Mutex
	done := map[string]int{}
	var group sync.WaitGroup
	end := time.Now().Add(length)
	for _, rank := range []string{"lookup", "bulk"} {
		for caller := range 10 {
			group.Go(func() {
				for i := 0; time.Now().Before(end); i++ {
					slot, refusal := g.Acquire(t.Context(), requestOf(fmt.Sprint(rank, caller, i), rank))
					if refusal != nil {
						time.Sleep(5 * time.Millisecond)
						continue
					}
					time.Sleep(work)
					slot.Release(ResultCompleted)
					mu.Lock()
					done[rank]++
					mu.Unlock()
				}
			})
		}
	}
	group.Wait()
	return float64(done["bulk"]) * work.Seconds() / (4 * length.Seconds())
}

// TestLimitThatAPeerRemembersHoldsUntilTheFirstAnswer guards against a daemon that
// starts beside an upstream with a rate limit and sends it its queue at once.
func TestLimitThatAPeerRemembersHoldsUntilTheFirstAnswer(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	g := NewGate("bench", holderOf(t, `{}`))
	for _, none := range []float64{0, -1, math.NaN(), math.Inf(1)} {
		g.SuggestRateLimit(now, none)
		is.Equal(g.RateLimit(), 0.0)
	}
	g.SuggestRateLimit(now, 16)
	is.Equal(g.RateLimit(), 16.0)
	g.RecordRateLimit(now, 12, true)
	is.Equal(g.RateLimit(), 12.0)
	g.SuggestRateLimit(now, 16) // the upstream itself knows better
	is.Equal(g.RateLimit(), 12.0)
	g.RecordRateLimit(now.Add(rateLimitRetention/2), 0, false) // an earlier answer that was overtaken
	is.Equal(g.RateLimit(), 12.0)
	g.RecordRateLimit(now.Add(rateLimitRetention), 0, false)
	is.Equal(g.RateLimit(), 0.0)
	g.RecordRateLimit(now, 12, true)
	g.ForgetRateLimit(now) // another upstream has its place
	is.Equal(g.RateLimit(), 0.0)
}

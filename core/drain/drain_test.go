package drain

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Date(2026, 1, 5, 6, 0, 0, 0, time.UTC)

// TestTakenRequestsCanEnd plays a request at each moment of drains of several lengths. It
// guards against requests that are taken late and cut at the end of the drain.
func TestTakenRequestsCanEnd(t *testing.T) {
	const notice, step = 3200 * time.Millisecond, 50 * time.Millisecond
	for _, timeout := range []time.Duration{0, 150 * time.Millisecond, time.Second, 2300 * time.Millisecond, 5300 * time.Millisecond, 30 * time.Second} {
		t.Run(fmt.Sprint(timeout), func(t *testing.T) {
			is := is.New(t)
			p := NewPlan(start, timeout, notice)
			is.True(p.Notice <= notice)
			for at := time.Duration(0); at < timeout+time.Second; at += step {
				now := start.Add(at)
				fits, outlasts := p.End, p.End.Add(time.Millisecond)
				ended := at >= timeout
				is.Equal(p.Takes(now, fits), !ended)
				is.Equal(p.TakesNested(now, fits), !ended)
				is.Equal(p.Takes(now, outlasts), at < timeout/2)
				is.Equal(p.TakesNested(now, outlasts), at < timeout-timeout/8)
				is.Equal(p.TakesRun(now, fits), at < p.Notice)
				is.Equal(p.TakesRun(now, outlasts), at < min(p.Notice, timeout/2))
			}
			is.True(timeout == 0 || timeout-p.Notice >= timeout/3) // what has been taken has time to end
		})
	}
}

func TestNoticeIsKeptIfTheDrainIsLongEnough(t *testing.T) {
	p := NewPlan(start, 5300*time.Millisecond, 3200*time.Millisecond)
	is.New(t).Equal(p.Notice, 3200*time.Millisecond)
}

func TestEverythingIsTakenWithoutADrain(t *testing.T) {
	is := is.New(t)
	var p Plan
	is.True(p.Takes(start, start.Add(time.Hour)))
	is.True(p.TakesNested(start, start.Add(time.Hour)))
	is.True(p.TakesRun(start, start.Add(time.Hour)))
}

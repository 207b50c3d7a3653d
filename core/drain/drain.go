// Package drain decides which requests a daemon still takes while it drains, so that each
// request that it takes can end before the daemon does.
//
// A drain has a fixed end. In its first half every request is taken, since callers need
// time to switch to another daemon. In its second half a request is taken only if its
// deadline, at which it ends in any case, is not after the end of the drain. Calls of
// runs that are in progress at the daemon's own upstream are short, and refusing one
// wastes its run; they are taken until shortly before the end.
//
// The package is pure: the time is an argument.
package drain

import "time"

const (
	// lateFraction is the fraction of a drain after which requests that may outlast it
	// are refused.
	lateFraction = 1.0 / 2
	// maxNoticeFraction is the largest fraction of a drain in which the upstream still
	// takes requests, so that they have the rest of it to end.
	maxNoticeFraction = 2.0 / 3
	// nestedReserveFraction is the fraction of a drain, at its end, in which nested calls
	// that may outlast it are refused too.
	nestedReserveFraction = 1.0 / 8
)

// Plan is the schedule of one drain. The zero value is that of a daemon that doesn't
// drain: it takes everything.
type Plan struct {
	// Notice is the time in which callers and then peers are notified.
	Notice time.Duration
	// End is when the daemon ends requests that are still in progress.
	End time.Time

	// lateFrom, runsUntil and nestedUntil are the moments at which the rules of Takes,
	// TakesRun and TakesNested change.
	lateFrom, runsUntil, nestedUntil time.Time
}

// NewPlan returns the plan of a drain that begins at start and may take timeout. notice
// is the time that callers and peers need to switch to other daemons; the plan shortens it
// if the timeout requires that.
func NewPlan(start time.Time, timeout, notice time.Duration) Plan {
	timeout = max(timeout, 0)
	notice = min(notice, fractionOf(timeout, maxNoticeFraction))
	end := start.Add(timeout)
	return Plan{
		Notice:      notice,
		End:         end,
		lateFrom:    start.Add(fractionOf(timeout, lateFraction)),
		runsUntil:   start.Add(notice),
		nestedUntil: end.Add(-fractionOf(timeout, nestedReserveFraction)),
	}
}

func fractionOf(d time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(d) * fraction)
}

// Takes reports whether the daemon takes a request with the given deadline that arrives
// from a caller at the time now.
func (p *Plan) Takes(now, deadline time.Time) bool {
	return p.End.IsZero() || now.Before(p.lateFrom) || p.canEnd(now, deadline)
}

// TakesNested reports whether the daemon takes a call that a run at its own upstream
// makes, or sends a request that it has taken to another peer.
func (p *Plan) TakesNested(now, deadline time.Time) bool {
	return p.End.IsZero() || now.Before(p.nestedUntil) || p.canEnd(now, deadline)
}

// TakesRun reports whether the daemon's upstream takes a request. Peers send it to other
// instances once they are notified.
func (p *Plan) TakesRun(now, deadline time.Time) bool {
	return p.End.IsZero() || now.Before(p.runsUntil) && p.Takes(now, deadline)
}

// canEnd reports whether a request ends before the drain does.
func (p *Plan) canEnd(now, deadline time.Time) bool {
	return now.Before(p.End) && !deadline.After(p.End)
}

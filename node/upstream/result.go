package upstream

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"fuchsiavane.org/core/level"
	"fuchsiavane.org/node/runs"
)

// endOfError says what a run without an answer tells about the upstream.
func endOfError(run *runs.Run, err error) Result {
	if errors.Is(err, context.DeadlineExceeded) && !run.Refused() {
		return ResultTimedOut
	}
	return ResultAbandoned
}

// endOfStatus says what an answer tells about the upstream. A refusal by a
// service that the run called is not the upstream's own.
func endOfStatus(run *runs.Run, status int) Result {
	switch {
	case status != http.StatusServiceUnavailable:
		return ResultCompleted
	case run.Refused():
		return ResultAbandoned
	}
	return ResultOverloaded
}

// worst returns the level that a run's answer carries: the worst of the
// upstream's own and of those of the calls that the run made.
func (g *Gate) worst(run *runs.Run) level.Level {
	return max(g.Level(run.Rank), run.Level())
}

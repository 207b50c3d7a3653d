package upstream

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"fuchsiavane.org/core/level"
	"fuchsiavane.org/node/runs"
)

// resultOfError returns the result of a run that failed without a response.
func resultOfError(run *runs.Run, err error) Result {
	if errors.Is(err, context.DeadlineExceeded) && !run.NestedCallRefused() {
		return ResultTimedOut
	}
	return ResultAbandoned
}

// resultOfStatus returns the result of a run with a response. A 503 after the
// refusal of a nested call is not the upstream's own refusal.
func resultOfStatus(run *runs.Run, status int) Result {
	switch {
	case status != http.StatusServiceUnavailable:
		return ResultCompleted
	case run.NestedCallRefused():
		return ResultAbandoned
	}
	return ResultOverloaded
}

// strictestLevel returns the admission level that a run's answer carries: the strictest
// of the upstream's own level and the levels of the run's nested calls.
func (g *Gate) strictestLevel(run *runs.Run) level.Level {
	return max(g.Level(run.Rank), run.Level())
}

package control

import (
	"testing"

	"github.com/matryer/is"
)

// bytesTarget is the maximum control traffic of a daemon, in bytes per second.
const bytesTarget = 3000

func TestRelayStaysBelowTheTarget(t *testing.T) {
	is := is.New(t)
	q := MeasureIdle(1, 7, 6)
	is.True(q.Relay.BytesPerSecond < bytesTarget)
	is.True(q.Mean.BytesPerSecond < q.Relay.BytesPerSecond) // other members send less than relays
}

// TestViewsConvergeAfterPartition separates three of seven data centres and half of
// another one from the others.
func TestViewsConvergeAfterPartition(t *testing.T) {
	is := is.New(t)
	c := MeasurePartitionEnd(1, 7, 6)
	is.True(c.Converged)
	is.True(c.ConvergenceTime <= convergenceLimit)
}

func TestFitLine(t *testing.T) {
	is := is.New(t)
	slope, intercept := fitLine([]float64{1, 2, 4}, []float64{5, 7, 11})
	is.Equal(slope, 2.0)
	is.Equal(intercept, 3.0)
}

package control

import (
	"testing"

	"github.com/matryer/is"
)

// bytesTarget is the stated bound of control traffic, in bytes per second.
const bytesTarget = 3000

func TestRelayStaysBelowTheTarget(t *testing.T) {
	is := is.New(t)
	q := MeasureIdle(1, 7, 6)
	is.True(q.Relay.BytesPerSecond < bytesTarget)
	is.True(q.Mean.BytesPerSecond < q.Relay.BytesPerSecond) // others pay less
}

// The cut goes through three data centres of seven and the middle of another.
func TestViewsJoinAfterPartition(t *testing.T) {
	is := is.New(t)
	c := MeasurePartitionEnd(1, 7, 6)
	is.True(c.Converged)
	is.True(c.ConvergenceTime <= healBound)
}

func TestSlope(t *testing.T) {
	is := is.New(t)
	perX, at0 := slope([]float64{1, 2, 4}, []float64{5, 7, 11})
	is.Equal(perX, 2.0)
	is.Equal(at0, 3.0)
}

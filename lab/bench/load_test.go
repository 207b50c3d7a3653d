package bench

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestQuantileIsNearestRank(t *testing.T) {
	is := is.New(t)
	var l Latencies
	for i := 100; i > 0; i-- {
		l = append(l, time.Duration(i))
	}
	is.Equal(l.Quantile(0.5), time.Duration(51))
	is.Equal(l.Quantile(0.99), time.Duration(100))
	is.Equal(Latencies(nil).Quantile(0.5), time.Duration(0))
}

func TestMetricValueReadsOneMetric(t *testing.T) {
	is := is.New(t)
	const text = "process_cpu_seconds_total 1.5\nprocess_cpu_seconds_total_x 9\n"
	is.Equal(metricValue(text, "process_cpu_seconds_total"), 1.5)
	is.Equal(metricValue(text, "missing"), 0.0)
}

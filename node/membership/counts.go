package membership

import (
	vm "github.com/VictoriaMetrics/metrics"

	"fuchsiavane.org/node/metrics"
)

// counters are the metrics of a Driver.
type counters struct {
	sent, sentBytes, received, receivedBytes    *vm.Counter
	refused, malformed                          *vm.Counter
	droppedInbound, droppedStream, failedStream *vm.Counter
	storeCalls, storeFailures, joins            *vm.Counter
}

func newCounters(m *metrics.Metrics) counters {
	return counters{
		sent:           m.Counter("fuchsiavane_member_sent_total"),
		sentBytes:      m.Counter("fuchsiavane_member_sent_bytes_total"),
		received:       m.Counter("fuchsiavane_member_received_total"),
		receivedBytes:  m.Counter("fuchsiavane_member_received_bytes_total"),
		refused:        m.Counter("fuchsiavane_member_refused_total"),
		malformed:      m.Counter("fuchsiavane_member_malformed_total"),
		droppedInbound: m.Counter(`fuchsiavane_member_dropped_total{ring="inbound"}`),
		droppedStream:  m.Counter(`fuchsiavane_member_dropped_total{ring="stream"}`),
		failedStream:   m.Counter("fuchsiavane_member_stream_failures_total"),
		storeCalls:     m.Counter("fuchsiavane_member_store_calls_total"),
		storeFailures:  m.Counter("fuchsiavane_member_store_failures_total"),
		joins:          m.Counter("fuchsiavane_member_joins_total"),
	}
}

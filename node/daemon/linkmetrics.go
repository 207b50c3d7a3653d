package daemon

import "fuchsiavane.org/node/link"

// registerLinkMetrics registers gauges for the responses that the peer port
// keeps for links that broke.
func (d *Daemon) registerLinkMetrics() {
	gauge := func(name string, read func(link.Stats) float64) {
		d.metrics.Gauge(name, func() float64 { return read(d.listener.Stats()) })
	}
	gauge("fuchsiavane_link_kept_answers", func(s link.Stats) float64 { return float64(s.KeptAnswers) })
	gauge("fuchsiavane_link_kept_bytes", func(s link.Stats) float64 { return float64(s.KeptBytes) })
	gauge("fuchsiavane_link_evicted_answers_total", func(s link.Stats) float64 { return float64(s.Evicted) })
	gauge(`fuchsiavane_link_asked_total{verdict="found"}`, func(s link.Stats) float64 { return float64(s.Resumed) })
	gauge(`fuchsiavane_link_asked_total{verdict="never-arrived"}`, func(s link.Stats) float64 { return float64(s.NeverArrived) })
	gauge(`fuchsiavane_link_asked_total{verdict="unknown"}`, func(s link.Stats) float64 { return float64(s.Unknown) })
}

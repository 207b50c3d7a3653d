package daemon

import (
	"time"

	"fuchsiavane.org/node/event"
)

// lossReportInterval is the minimum interval between two reports of lost log lines.
const lossReportInterval = time.Second

// ReportLostLogLines logs, until the writer is closed, how many log lines were
// dropped or suppressed since the last report.
func ReportLostLogLines(w *event.AsyncWriter, log *event.Logger) {
	ticker := time.NewTicker(lossReportInterval)
	defer ticker.Stop()
	var reported uint64
	for {
		select {
		case <-w.Done():
			return
		case <-ticker.C:
		}
		if total := w.Dropped() + log.Suppressed(); total > reported {
			log.Log(event.LogLinesLost).Uint64("count", total-reported).Msg("log lines lost")
			reported = total
		}
	}
}

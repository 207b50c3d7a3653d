package daemon

import (
	"time"

	"fuchsiavane.org/node/event"
)

// lossInterval is the least time between two lines on lost log lines.
const lossInterval = time.Second

// ReportLostLogLines logs, until the writer ends, how many lines were dropped since
// the last word on it.
func ReportLostLogLines(w *event.AsyncWriter, log *event.Logger) {
	ticker := time.NewTicker(lossInterval)
	defer ticker.Stop()
	var told uint64
	for {
		select {
		case <-w.Done():
			return
		case <-ticker.C:
		}
		if lost := w.Dropped() + log.Suppressed(); lost > told {
			log.Log(event.LogLinesLost).Uint64("count", lost-told).Msg("log lines lost")
			told = lost
		}
	}
}

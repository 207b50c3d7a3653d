// Package event writes the daemon's log as numbered events. A test checks that the
// operators' catalogue, docs/EVENTS.md, matches this package.
package event

import (
	"io"
	"sync/atomic"
	"time"

	plog "github.com/phuslu/log"
)

// Event is a kind of log line.
type Event struct {
	// Number identifies the event. It never changes and is never reused.
	Number int
	Name   string
	Level  plog.Level
	// Doc describes what the event means and what an operator should do.
	Doc string
}

// Logger writes events as JSON lines. It is safe for concurrent use.
type Logger struct {
	logger  plog.Logger
	limiter rateLimiter
}

// New returns a Logger that writes events of at least the given level.
func New(w io.Writer, level plog.Level, instance string) *Logger {
	return &Logger{logger: plog.Logger{
		Level:   level,
		Writer:  levelWriter{w},
		Context: plog.NewContext(nil).Str("instance", instance).Value(),
	}}
}

// importantWriter is a writer that drops the lines of WriteImportant last.
type importantWriter interface {
	WriteImportant(line []byte) (int, error)
}

// levelWriter passes lines of warning level and above to WriteImportant if the
// writer has it, and other lines to Write.
type levelWriter struct{ to io.Writer }

// WriteEntry implements plog.Writer.
func (w levelWriter) WriteEntry(e *plog.Entry) (int, error) {
	if to, ok := w.to.(importantWriter); ok && e.Level >= plog.WarnLevel {
		return to.WriteImportant(e.Value())
	}
	return w.to.Write(e.Value())
}

// Discard returns a Logger that writes nothing.
func Discard() *Logger { return New(io.Discard, plog.PanicLevel, "") }

// maxLinesPerSecond limits the lines of LogRateLimited: a reader keeps up with
// that many, and writing them takes a small fraction of a core.
const maxLinesPerSecond = 100

// LogRateLimited is Log for an event that may occur with every request. Beyond
// maxLinesPerSecond it returns nil and counts the line as suppressed.
func (l *Logger) LogRateLimited(e Event) *plog.Entry {
	if !l.limiter.allow(time.Now()) {
		return nil
	}
	return l.Log(e)
}

// Suppressed returns the number of lines that LogRateLimited did not write.
func (l *Logger) Suppressed() uint64 { return l.limiter.suppressed.Load() }

// rateLimiter allows maxLinesPerSecond lines in each second. It is safe for
// concurrent use; it may allow a few more when a second ends.
type rateLimiter struct {
	second, count atomic.Int64
	suppressed    atomic.Uint64
}

func (r *rateLimiter) allow(now time.Time) bool {
	second := now.Unix()
	if r.second.Load() != second {
		r.second.Store(second)
		r.count.Store(0)
	}
	if r.count.Add(1) > maxLinesPerSecond {
		r.suppressed.Add(1)
		return false
	}
	return true
}

// Log starts a log entry for an event; the caller adds fields and calls Msg to
// write it. The entry is nil, and safe to use, if the level is not logged.
func (l *Logger) Log(e Event) *plog.Entry {
	return l.logger.WithLevel(e.Level).Int("event", e.Number).Str("name", e.Name)
}

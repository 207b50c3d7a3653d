// Package event writes the daemon's log as numbered events. The catalogue for
// operators is docs/EVENTS.md, which a test holds to this package.
package event

import (
	"io"
	"sync/atomic"
	"time"

	plog "github.com/phuslu/log"
)

// Event is a kind of log line.
type Event struct {
	// Number never changes and is never used again.
	Number int
	Name   string
	Level  plog.Level
	// Doc says what it means and what to do.
	Doc string
}

// Logger writes events as JSON lines. It is safe for concurrent use.
type Logger struct {
	logger plog.Logger
	often  rate
}

// New returns a Logger that writes events of at least the given level.
func New(w io.Writer, level plog.Level, instance string) *Logger {
	return &Logger{logger: plog.Logger{
		Level:   level,
		Writer:  levelWriter{w},
		Context: plog.NewContext(nil).Str("instance", instance).Value(),
	}}
}

// importantWriter takes lines that are dropped last.
type importantWriter interface {
	WriteImportant(line []byte) (int, error)
}

// levelWriter hands lines on by their level.
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

// oftenPerSecond bounds the lines of LogOften in one second: what an idle reader
// takes in without falling behind, and a small part of a core to write.
const oftenPerSecond = 100

// LogRateLimited is Log for an event that may come with every request. Beyond
// oftenPerSecond it returns nil and the line is counted.
func (l *Logger) LogRateLimited(e Event) *plog.Entry {
	if !l.often.allow(time.Now()) {
		return nil
	}
	return l.Log(e)
}

// Suppressed returns the lines that LogOften did not write.
func (l *Logger) Suppressed() uint64 { return l.often.denied.Load() }

// rate counts the lines of one second. It is safe for concurrent use; a few more
// may pass where a second ends.
type rate struct {
	second, count atomic.Int64
	denied        atomic.Uint64
}

func (r *rate) allow(now time.Time) bool {
	second := now.Unix()
	if r.second.Load() != second {
		r.second.Store(second)
		r.count.Store(0)
	}
	if r.count.Add(1) > oftenPerSecond {
		r.denied.Add(1)
		return false
	}
	return true
}

// Log starts an entry for an event; the caller adds fields and ends it with
// Msg. The entry is nil, and safe to use, if the level is not logged.
func (l *Logger) Log(e Event) *plog.Entry {
	return l.logger.WithLevel(e.Level).Int("event", e.Number).Str("name", e.Name)
}

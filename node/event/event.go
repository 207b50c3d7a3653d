// Package event writes the daemon's log as numbered events. The catalogue for
// operators is docs/EVENTS.md, which a test holds to this package.
package event

import (
	"io"

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
}

// New returns a Logger that writes events of at least the given level.
func New(w io.Writer, level plog.Level, instance string) *Logger {
	return &Logger{plog.Logger{
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

// Log starts an entry for an event; the caller adds fields and ends it with
// Msg. The entry is nil, and safe to use, if the level is not logged.
func (l *Logger) Log(e Event) *plog.Entry {
	return l.logger.WithLevel(e.Level).Int("event", e.Number).Str("name", e.Name)
}

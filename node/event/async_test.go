package event

import (
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	plog "github.com/phuslu/log"
)

// stalledWriter is a writer that blocks until it is released.
type stalledWriter struct {
	release chan struct{}

	mu   sync.Mutex
	text strings.Builder
}

func (s *stalledWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

// TestStalledReaderBlocksNobody checks that, while the reader of the log stalls, lines
// beyond the limit are dropped and counted without blocking, and that a failure is
// still logged after other lines were dropped.
func TestStalledReaderBlocksNobody(t *testing.T) {
	is := is.New(t)
	to := &stalledWriter{release: make(chan struct{})}
	w := NewAsyncWriter(to)
	log := New(w, plog.InfoLevel, "a")
	const lines = 20_000
	for range lines {
		log.Log(RequestAnswered).Str("request", "plain").Msg("answered")
	}
	is.True(w.Dropped() > 0)
	log.Log(RequestFailed).Str("request", "failed-one").Msg("failed")
	close(to.release)
	w.Close()
	text := to.text.String()
	is.True(strings.Contains(text, "failed-one"))
	is.Equal(strings.Count(text, "plain")+int(w.Dropped()), lines)
	_, err := w.Write([]byte("after the end"))
	is.NoErr(err)
}

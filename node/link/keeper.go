package link

import (
	"container/list"
	"sync"
	"time"

	"github.com/pkg/errors"

	"fuchsiavane.org/node/wire"
)

const (
	// maxKeptBytes bounds the finished answers that wait to be settled.
	maxKeptBytes = 8 << 20
	// keptOverhead is the memory, in bytes, that a kept answer costs besides
	// its body.
	keptOverhead = 1 << 10
)

// keeper remembers the requests that came over all links of a Listener, running
// or finished, until the calling side has their answers, so that an answer
// whose link broke is fetched over a new link and the request never runs twice.
type keeper struct {
	timing Timing
	bulk   pacer // of the answers on bulk links
	beater *beater

	mu       sync.Mutex
	sessions map[string]*serving
	runs     map[string]*serverStream
	finished *list.List // of *serverStream, the oldest first
	bytes    int
	stats    Stats
}

// Stats counts what a Listener kept and what became of requests whose link
// broke.
type Stats struct {
	// KeptAnswers and KeptBytes are the finished answers that wait to be
	// settled.
	KeptAnswers, KeptBytes int
	// Evicted counts answers dropped because too many bytes were kept.
	Evicted uint64
	// Resumed, NeverArrived and NotKnown count the verdicts given to calling
	// sides that asked for a run.
	Resumed, NeverArrived, Unknown uint64
}

func newKeeper(timing Timing) *keeper {
	return &keeper{
		timing:   timing,
		bulk:     pacer{rate: bulkRate},
		beater:   newBeater(timing),
		sessions: map[string]*serving{},
		runs:     map[string]*serverStream{},
		finished: list.New(),
	}
}

// opened begins a session.
func (k *keeper) opened(s *serving) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.sessions[s.session] = s
}

// broken keeps a session whose link ended for a while.
func (k *keeper) broken(s *serving) {
	time.AfterFunc(k.timing.Retention, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		delete(k.sessions, s.session)
		s.expired = true
		for _, stream := range s.streams {
			if stream.finished {
				k.forget(stream)
			}
		}
	})
}

// add takes a new request in.
func (k *keeper) add(s *serving, id uint64, stream *serverStream) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, used := s.streams[id]; used || id <= s.settled {
		return errors.Wrapf(ErrMalformed, "stream %d was used before", id)
	}
	if s.open >= wire.MaxStreams {
		return errors.Wrapf(ErrMalformed, "more than %d streams are open", wire.MaxStreams)
	}
	if k.runs[stream.request.Run] != nil {
		return errors.Wrapf(ErrMalformed, "run %q was sent before", stream.request.Run)
	}
	s.streams[id] = stream
	s.open++
	k.runs[stream.request.Run] = stream
	return nil
}

// find returns an open or finished stream of a link, or nil.
func (k *keeper) find(s *serving, id uint64) *serverStream {
	k.mu.Lock()
	defer k.mu.Unlock()
	return s.streams[id]
}

// finish keeps a stream's answer until it is settled.
func (k *keeper) finish(stream *serverStream) {
	size := stream.out.size() + keptOverhead
	k.mu.Lock()
	defer k.mu.Unlock()
	if stream.finished {
		return
	}
	stream.finished = true
	stream.at.open--
	if stream.dropped || stream.at.expired {
		k.forget(stream)
		return
	}
	stream.size = size
	k.bytes += size
	stream.element = k.finished.PushBack(stream)
	for k.bytes > maxKeptBytes {
		oldest := k.finished.Front().Value.(*serverStream)
		oldest.at.forgotten = max(oldest.at.forgotten, oldest.id)
		oldest.origin.forgotten = max(oldest.origin.forgotten, oldest.originID)
		k.forget(oldest)
		k.stats.Evicted++
	}
}

// drop forgets a stream that the calling side gave up, at once or when it ends.
func (k *keeper) drop(stream *serverStream) {
	k.mu.Lock()
	defer k.mu.Unlock()
	stream.dropped = true
	if stream.finished || !stream.started {
		k.forget(stream)
	}
}

// settle forgets the finished streams of a link below an id.
func (k *keeper) settle(s *serving, below uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if below == 0 || below-1 <= s.settled {
		return
	}
	s.settled = below - 1
	for id, stream := range s.streams {
		if id <= s.settled && stream.finished {
			k.forget(stream)
		}
	}
}

// forget removes a stream. The caller holds the lock.
func (k *keeper) forget(stream *serverStream) {
	if stream.element != nil {
		k.finished.Remove(stream.element)
		k.bytes -= stream.size
		stream.element = nil
	}
	if !stream.finished {
		stream.finished = true
		stream.at.open--
	}
	if stream.at.streams[stream.id] == stream {
		delete(stream.at.streams, stream.id)
	}
	if k.runs[stream.request.Run] == stream {
		delete(k.runs, stream.request.Run)
	}
}

// verdict is what is known of a run whose link broke.
type verdict int

const (
	verdictUnknown verdict = iota
	verdictNeverArrived
	verdictFound
)

// lookUp finds the run that a calling side asks for. The link on which the
// request was sent is closed first and its reader has ended, so that a request
// said never to have arrived can't arrive later.
func (k *keeper) lookUp(r *wire.Resume) (*serverStream, verdict) {
	k.mu.Lock()
	origin := k.sessions[string(r.Session)]
	k.mu.Unlock()
	if origin == nil {
		return nil, k.count(verdictUnknown)
	}
	origin.end(ErrReplaced)
	k.mu.Lock()
	defer k.mu.Unlock()
	stream := k.runs[r.Run]
	switch {
	case stream != nil && stream.started:
		k.stats.Resumed++
		return stream, verdictFound
	case stream != nil: // the request's body was cut
		k.forget(stream)
		k.stats.NeverArrived++
		return nil, verdictNeverArrived
	case r.Stream <= origin.forgotten || r.Stream <= origin.settled:
		k.stats.Unknown++
		return nil, verdictUnknown
	}
	k.stats.NeverArrived++
	return nil, verdictNeverArrived
}

func (k *keeper) count(v verdict) verdict {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stats.Unknown++
	return v
}

// move makes a stream one of a new link and returns the link that it was on. It
// returns nil if a later ask came first.
func (k *keeper) move(stream *serverStream, to *serving, id uint64, attempt int) (from *serving) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, used := to.streams[id]; used || attempt <= stream.attempt {
		return nil
	}
	stream.attempt = attempt
	from = stream.at
	delete(from.streams, stream.id)
	if !stream.finished {
		from.open--
		to.open++
	}
	stream.at, stream.id = to, id
	to.streams[id] = stream
	return from
}

// idle reports whether a link has no stream in progress.
func (k *keeper) idle(s *serving) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return s.open == 0
}

// snapshot returns the counts.
func (k *keeper) snapshot() Stats {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.stats
	s.KeptAnswers, s.KeptBytes = k.finished.Len(), k.bytes
	return s
}

// isStarted reports whether the whole request has arrived.
func (k *keeper) isStarted(stream *serverStream) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return stream.started
}

// start marks a request whose whole body has arrived. It reports false if the
// request was given up.
func (k *keeper) start(stream *serverStream) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if stream.finished {
		return false
	}
	stream.started = true
	return true
}

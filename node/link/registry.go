package link

import (
	"container/list"
	"sync"
	"time"

	"github.com/pkg/errors"

	"fuchsiavane.org/node/wire"
)

const (
	// maxKeptBytes bounds the finished answers that are not acknowledged yet.
	maxKeptBytes = 8 << 20
	// keptOverhead is the memory, in bytes, that a kept answer takes in addition
	// to its body.
	keptOverhead = 1 << 10
)

// runRegistry keeps the requests of all links of a Listener, running or finished,
// until the calling side acknowledges their answers. If a link breaks, the answer
// is sent on a new link and the request never runs twice.
type runRegistry struct {
	timing    Timing
	bulkPacer pacer // for answer bodies on bulk links
	keepalive *keepalive

	mu        sync.Mutex
	sessions  map[string]*servingLink
	runs      map[string]*serverStream
	finished  *list.List // of *serverStream, oldest first
	keptBytes int
	stats     Stats
}

// Stats reports the answers that a Listener keeps and the results of resuming
// requests whose link broke.
type Stats struct {
	// KeptAnswers and KeptBytes are the number and size of the finished answers
	// that are not acknowledged yet.
	KeptAnswers, KeptBytes int
	// Evicted counts answers removed because more than maxKeptBytes were kept.
	Evicted uint64
	// Resumed, NeverArrived and Unknown count the verdicts sent to calling sides
	// that asked to resume a run.
	Resumed, NeverArrived, Unknown uint64
}

func newRunRegistry(timing Timing) *runRegistry {
	return &runRegistry{
		timing:    timing,
		bulkPacer: pacer{rate: bulkRate},
		keepalive: newKeepalive(timing),
		sessions:  map[string]*servingLink{},
		runs:      map[string]*serverStream{},
		finished:  list.New(),
	}
}

// addSession registers the session of a new link.
func (k *runRegistry) addSession(s *servingLink) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.sessions[s.session] = s
}

// expireSession removes the session of a link that has ended after
// Timing.Retention.
func (k *runRegistry) expireSession(s *servingLink) {
	time.AfterFunc(k.timing.Retention, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		delete(k.sessions, s.session)
		s.expired = true
		for _, stream := range s.streams {
			if stream.finished {
				k.remove(stream)
			}
		}
	})
}

// add registers a new request. It returns ErrMalformed if the stream or run is
// not new, or if too many streams are open.
func (k *runRegistry) add(s *servingLink, id uint64, stream *serverStream) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, used := s.streams[id]; used || id <= s.acked {
		return errors.Wrapf(ErrMalformed, "stream %d was used before", id)
	}
	if s.openStreams >= wire.MaxStreams {
		return errors.Wrapf(ErrMalformed, "more than %d streams are open", wire.MaxStreams)
	}
	if k.runs[stream.request.Run] != nil {
		return errors.Wrapf(ErrMalformed, "run %q was sent before", stream.request.Run)
	}
	s.streams[id] = stream
	s.openStreams++
	k.runs[stream.request.Run] = stream
	return nil
}

// find returns an open or finished stream of a link, or nil.
func (k *runRegistry) find(s *servingLink, id uint64) *serverStream {
	k.mu.Lock()
	defer k.mu.Unlock()
	return s.streams[id]
}

// finish keeps a stream's answer until it is acknowledged, and evicts the oldest
// answers above maxKeptBytes.
func (k *runRegistry) finish(stream *serverStream) {
	size := stream.sender.size() + keptOverhead
	k.mu.Lock()
	defer k.mu.Unlock()
	if stream.finished {
		return
	}
	stream.finished = true
	stream.link.openStreams--
	if stream.cancelled || stream.link.expired {
		k.remove(stream)
		return
	}
	stream.keptBytes = size
	k.keptBytes += size
	stream.keptElement = k.finished.PushBack(stream)
	for k.keptBytes > maxKeptBytes {
		oldest := k.finished.Front().Value.(*serverStream)
		oldest.link.evicted = max(oldest.link.evicted, oldest.id)
		oldest.origin.evicted = max(oldest.origin.evicted, oldest.originID)
		k.remove(oldest)
		k.stats.Evicted++
	}
}

// cancel removes a stream that the calling side cancelled. A stream that runs is
// removed when it finishes.
func (k *runRegistry) cancel(stream *serverStream) {
	k.mu.Lock()
	defer k.mu.Unlock()
	stream.cancelled = true
	if stream.finished || !stream.started {
		k.remove(stream)
	}
}

// ack removes the finished streams of a link below an id, whose answers the
// calling side has acknowledged.
func (k *runRegistry) ack(s *servingLink, below uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if below == 0 || below-1 <= s.acked {
		return
	}
	s.acked = below - 1
	for id, stream := range s.streams {
		if id <= s.acked && stream.finished {
			k.remove(stream)
		}
	}
}

// remove removes a stream and its answer. The caller holds k.mu.
func (k *runRegistry) remove(stream *serverStream) {
	if stream.keptElement != nil {
		k.finished.Remove(stream.keptElement)
		k.keptBytes -= stream.keptBytes
		stream.keptElement = nil
	}
	if !stream.finished {
		stream.finished = true
		stream.link.openStreams--
	}
	if stream.link.streams[stream.id] == stream {
		delete(stream.link.streams, stream.id)
	}
	if k.runs[stream.request.Run] == stream {
		delete(k.runs, stream.request.Run)
	}
}

// verdict is the result of looking up a run whose link broke.
type verdict int

const (
	verdictUnknown verdict = iota
	verdictNeverArrived
	verdictFound
)

// lookup finds the run that a calling side asks to resume. It first closes the
// link on which the request was sent and waits for its reader to end, so that a
// request reported as never arrived can't arrive later.
func (k *runRegistry) lookup(r *wire.Resume) (*serverStream, verdict) {
	k.mu.Lock()
	origin := k.sessions[string(r.Session)]
	k.mu.Unlock()
	if origin == nil {
		return nil, k.countUnknown(verdictUnknown)
	}
	origin.closeAndWait(ErrReplaced)
	k.mu.Lock()
	defer k.mu.Unlock()
	stream := k.runs[r.Run]
	switch {
	case stream != nil && stream.started:
		k.stats.Resumed++
		return stream, verdictFound
	case stream != nil: // the request body is incomplete
		k.remove(stream)
		k.stats.NeverArrived++
		return nil, verdictNeverArrived
	case r.Stream <= origin.evicted || r.Stream <= origin.acked:
		k.stats.Unknown++
		return nil, verdictUnknown
	}
	k.stats.NeverArrived++
	return nil, verdictNeverArrived
}

// countUnknown counts a run without a known session and returns the verdict.
func (k *runRegistry) countUnknown(v verdict) verdict {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stats.Unknown++
	return v
}

// move moves a stream to a new link and returns its previous link. It returns nil
// if the id is in use or a later attempt to resume the run came first.
func (k *runRegistry) move(stream *serverStream, to *servingLink, id uint64, attempt int) (from *servingLink) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, used := to.streams[id]; used || attempt <= stream.attempt {
		return nil
	}
	stream.attempt = attempt
	from = stream.link
	delete(from.streams, stream.id)
	if !stream.finished {
		from.openStreams--
		to.openStreams++
	}
	stream.link, stream.id = to, id
	to.streams[id] = stream
	return from
}

// isIdle reports whether a link has no unfinished stream.
func (k *runRegistry) isIdle(s *servingLink) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return s.openStreams == 0
}

// snapshot returns the current Stats.
func (k *runRegistry) snapshot() Stats {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.stats
	s.KeptAnswers, s.KeptBytes = k.finished.Len(), k.keptBytes
	return s
}

// isStarted reports whether the whole request has arrived.
func (k *runRegistry) isStarted(stream *serverStream) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return stream.started
}

// start marks a request as completely received. It returns false if the request
// was cancelled.
func (k *runRegistry) start(stream *serverStream) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if stream.finished {
		return false
	}
	stream.started = true
	return true
}

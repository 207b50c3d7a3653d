package link

import (
	"container/list"
	"sync"
	"time"

	"github.com/pkg/errors"

	"fuchsiavane.org/node/bodies"
	"fuchsiavane.org/node/call"
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
	bodies    *bodies.Budget // for request bodies; nil means no bound

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
	// Evicted counts answers removed to bound the memory for kept answers.
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
func (reg *runRegistry) addSession(s *servingLink) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	reg.sessions[s.session] = s
}

// expireSession removes the session of a link that has ended after
// Timing.Retention.
func (reg *runRegistry) expireSession(s *servingLink) {
	time.AfterFunc(reg.timing.Retention, func() {
		reg.mu.Lock()
		defer reg.mu.Unlock()
		delete(reg.sessions, s.session)
		s.expired = true
		for _, stream := range s.streams {
			if stream.finished || !stream.started {
				reg.remove(stream)
			}
		}
	})
}

// add registers a new request. It returns ErrMalformed if the stream or run is
// not new, or if too many streams are open.
func (reg *runRegistry) add(s *servingLink, id uint64, stream *serverStream) error {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	if _, used := s.streams[id]; used || id <= s.acked {
		return errors.Wrapf(ErrMalformed, "stream %d was used before", id)
	}
	if s.openStreams >= wire.MaxStreams {
		return errors.Wrapf(ErrMalformed, "more than %d streams are open", wire.MaxStreams)
	}
	if reg.runs[stream.request.Run] != nil {
		return errors.Wrapf(ErrMalformed, "run %q was sent before", stream.request.Run)
	}
	s.streams[id] = stream
	s.openStreams++
	reg.runs[stream.request.Run] = stream
	return nil
}

// find returns an open or finished stream of a link, or nil.
func (reg *runRegistry) find(s *servingLink, id uint64) *serverStream {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	return s.streams[id]
}

// finish keeps a stream's answer until it is acknowledged, and evicts the oldest
// answers above maxKeptBytes.
func (reg *runRegistry) finish(stream *serverStream) {
	size := stream.sender.size() + keptOverhead
	reg.mu.Lock()
	defer reg.mu.Unlock()
	if stream.finished {
		return
	}
	stream.finished = true
	stream.link.openStreams--
	if stream.cancelled || stream.link.expired {
		reg.remove(stream)
		return
	}
	stream.keptBytes = size
	reg.keptBytes += size
	stream.keptElement = reg.finished.PushBack(stream)
	for reg.keptBytes > maxKeptBytes {
		oldest := reg.finished.Front().Value.(*serverStream)
		oldest.link.evicted = max(oldest.link.evicted, oldest.id)
		oldest.origin.evicted = max(oldest.origin.evicted, oldest.originID)
		reg.remove(oldest)
		reg.stats.Evicted++
	}
}

// cancel removes a stream that the calling side cancelled. A stream that runs is
// removed when it finishes.
func (reg *runRegistry) cancel(stream *serverStream) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	stream.cancelled = true
	if stream.finished || !stream.started {
		reg.remove(stream)
	}
}

// ack removes the finished streams of a link below an id, whose answers the
// calling side has acknowledged.
func (reg *runRegistry) ack(s *servingLink, below uint64) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	if below == 0 || below-1 <= s.acked {
		return
	}
	s.acked = below - 1
	for id, stream := range s.streams {
		if id <= s.acked && stream.finished {
			reg.remove(stream)
		}
	}
}

// reserveBody reserves memory for the body of a request whose first frame has arrived,
// and returns the part of the body in it. It returns false if the body does not fit.
func (reg *runRegistry) reserveBody(f *wire.Frame) (*bodies.Reservation, []byte, bool) {
	size := max(f.Request.BodyLength, len(f.Data))
	if size > call.MaxRequestBody {
		return nil, nil, false
	}
	held, fits := reg.bodies.Reserve(size)
	if !fits || size == len(f.Data) {
		return held, f.Data, fits
	}
	return held, append(make([]byte, 0, size), f.Data...), true
}

// remove removes a stream and its answer. The caller holds reg.mu.
func (reg *runRegistry) remove(stream *serverStream) {
	if !stream.started {
		stream.held.Release()
	}
	if stream.keptElement != nil {
		reg.finished.Remove(stream.keptElement)
		reg.keptBytes -= stream.keptBytes
		stream.keptElement = nil
	}
	if !stream.finished {
		stream.finished = true
		stream.link.openStreams--
	}
	if stream.link.streams[stream.id] == stream {
		delete(stream.link.streams, stream.id)
	}
	if reg.runs[stream.request.Run] == stream {
		delete(reg.runs, stream.request.Run)
	}
}

// verdict is the result of looking up a run whose link broke.
type verdict int

const (
	verdictUnknown      verdict = iota // the run may have happened
	verdictNeverArrived                // the request did not run and never will
	verdictFound                       // the run is in progress or finished
)

// lookup finds the run that a calling side asks to resume. It first closes the
// link on which the request was sent and waits for its reader to end, so that a
// request reported as never arrived can't arrive later.
func (reg *runRegistry) lookup(r *wire.Resume) (*serverStream, verdict) {
	reg.mu.Lock()
	origin := reg.sessions[string(r.Session)]
	reg.mu.Unlock()
	if origin == nil {
		return nil, reg.countUnknown(verdictUnknown)
	}
	origin.closeAndWait(ErrReplaced)
	reg.mu.Lock()
	defer reg.mu.Unlock()
	stream := reg.runs[r.Run]
	switch {
	case stream != nil && stream.started:
		reg.stats.Resumed++
		return stream, verdictFound
	case stream != nil: // the request body is incomplete
		reg.remove(stream)
		reg.stats.NeverArrived++
		return nil, verdictNeverArrived
	case r.Stream <= origin.evicted || r.Stream <= origin.acked:
		reg.stats.Unknown++
		return nil, verdictUnknown
	}
	reg.stats.NeverArrived++
	return nil, verdictNeverArrived
}

// countUnknown counts a run without a known session and returns the verdict.
func (reg *runRegistry) countUnknown(v verdict) verdict {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	reg.stats.Unknown++
	return v
}

// move moves a stream to a new link and returns its previous link. It returns nil
// if the id is in use or a later attempt to resume the run came first.
func (reg *runRegistry) move(stream *serverStream, to *servingLink, id uint64, attempt int) (from *servingLink) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
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
func (reg *runRegistry) isIdle(s *servingLink) bool {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	return s.openStreams == 0
}

// snapshot returns the current Stats.
func (reg *runRegistry) snapshot() Stats {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	s := reg.stats
	s.KeptAnswers, s.KeptBytes = reg.finished.Len(), reg.keptBytes
	return s
}

// isStarted reports whether the complete request has arrived.
func (reg *runRegistry) isStarted(stream *serverStream) bool {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	return stream.started
}

// start marks a request as completely received. It returns false if the request
// was cancelled.
func (reg *runRegistry) start(stream *serverStream) bool {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	if stream.finished {
		return false
	}
	stream.started = true
	return true
}

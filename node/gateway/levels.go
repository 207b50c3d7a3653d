package gateway

import (
	"strings"
	"sync"
	"time"

	"fuchsiavane.org/core/level"
	"fuchsiavane.org/node/call"
)

// levels holds the admission levels that answers carried, so that requests can be
// refused where they enter the fleet. It is safe for concurrent use.
type levels struct {
	mu   sync.Mutex
	view *level.View
}

func newLevels() *levels { return &levels{view: level.NewView()} }

// callIfAdmitted makes the call of a prepared request, unless it comes too late in a
// drain, its caller resends too often or the admission level of its subtree refuses it.
// A request with a parent run is not refused by the level: the parent has been admitted
// at its own entry daemon, and the work done for it would be lost.
func (g *Gateway) callIfAdmitted(p *prepared) *call.Answer {
	if refusal := g.refuseLate(p); refusal != nil {
		return refusal
	}
	if p.parent == nil {
		if refusal := g.refuseResend(p.request, &p.values); refusal != nil {
			return refusal
		}
		if refusal := g.levels.refusal(time.Now(), p.request); refusal != nil {
			return refusal
		}
	}
	answer := g.Call(p.ctx, p.request, &p.values, p.budget)
	g.levels.record(time.Now(), p.request, answer)
	if p.parent != nil {
		p.parent.RecordNestedCall(g.levels.levelOf(time.Now(), p.request, answer), answer.Refusal != call.RefusedNone)
	}
	return answer
}

// refusal returns a refusal if the admission level of the request's subtree refuses
// the request, and nil otherwise.
func (l *levels) refusal(now time.Time, r *call.Request) *call.Answer {
	l.mu.Lock()
	inForce := l.view.Level(now, subtreeKey(r))
	l.mu.Unlock()
	if !level.Refuses(inForce, r.ID) {
		return nil
	}
	a := call.Refuse(outcomeAtEntry(r), call.RefusedOverload, "a service on the call path of "+r.Service+" is overloaded")
	a.RetryAfter = level.RetryAfter(inForce, r.ID)
	a.Level = inForce
	return a
}

// record stores the admission level of an answer. An answer from a request that
// reached no daemon of an upstream carries no level.
func (l *levels) record(now time.Time, r *call.Request, a *call.Answer) {
	if !carriesLevel(a) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.view.Record(now, subtreeKey(r), a.Level)
}

// levelOf returns the admission level of an answer, or the known level of the
// request's subtree if the request reached no daemon of an upstream.
func (l *levels) levelOf(now time.Time, r *call.Request, a *call.Answer) level.Level {
	if carriesLevel(a) {
		return a.Level
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.view.Level(now, subtreeKey(r))
}

// carriesLevel reports whether an answer carries an admission level.
func carriesLevel(a *call.Answer) bool {
	return a.Outcome == call.Ran || a.Level > 0
}

// refusedByLevel reports whether the admission level of an answer refuses the request.
// Other instances are then likely to refuse it too.
func refusedByLevel(r *call.Request, a *call.Answer) bool {
	return a.Refusal == call.RefusedOverload && level.Refuses(a.Level, r.ID)
}

// subtreeKey returns the key of a request's subtree: its service, its rank, and its
// method with the first segment of its path.
func subtreeKey(r *call.Request) level.Key {
	segment, _, _ := strings.Cut(strings.TrimPrefix(r.Path, "/"), "/")
	return level.Key{Service: r.Service, Path: r.Method + " /" + segment, Rank: r.Rank}
}

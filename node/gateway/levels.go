package gateway

import (
	"strings"
	"sync"
	"time"

	"fuchsiavane.org/core/level"
	"fuchsiavane.org/node/call"
)

// levels holds the admission levels that answers brought, for the refusal of
// requests where they enter. It is safe for concurrent use.
type levels struct {
	mu   sync.Mutex
	view *level.View
}

func newLevels() *levels { return &levels{view: level.NewView()} }

// callAdmitted makes the call of a prepared request, unless its caller resends
// too often or the level of its subtree refuses it. A request with a parent run
// is not refused here: its own entry has let it in, and the work done for it
// would be lost.
func (g *Gateway) callAdmitted(p *prepared) *call.Answer {
	if p.parent == nil {
		if refusal := g.resent(p.request, &p.values); refusal != nil {
			return refusal
		}
		if refusal := g.levels.refusal(time.Now(), p.request); refusal != nil {
			return refusal
		}
	}
	answer := g.Call(p.ctx, p.request, &p.values, p.budget)
	g.levels.learn(time.Now(), p.request, answer)
	if p.parent != nil {
		p.parent.RecordNestedCall(g.levels.of(time.Now(), p.request, answer), answer.Refusal != call.RefusedNone)
	}
	return answer
}

// refusal returns the answer to a request that the level of its subtree refuses,
// or nil.
func (l *levels) refusal(now time.Time, r *call.Request) *call.Answer {
	l.mu.Lock()
	inForce := l.view.Level(now, keyOf(r))
	l.mu.Unlock()
	if !level.Refuses(inForce, r.ID) {
		return nil
	}
	a := call.Refuse(outcomeAtEntry(r), call.RefusedOverload, "a service on the call path of "+r.Service+" is overloaded")
	a.RetryAfter = level.RetryAfter(inForce, r.ID)
	a.Level = inForce
	return a
}

// learn takes the level of an answer in. An answer that never reached a daemon
// at an upstream carries none.
func (l *levels) learn(now time.Time, r *call.Request, a *call.Answer) {
	if !carriesLevel(a) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.view.Record(now, keyOf(r), a.Level)
}

// of returns the level that an answer stands for: its own, or the one in force if
// the answer never reached a daemon at an upstream.
func (l *levels) of(now time.Time, r *call.Request, a *call.Answer) level.Level {
	if carriesLevel(a) {
		return a.Level
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.view.Level(now, keyOf(r))
}

func carriesLevel(a *call.Answer) bool {
	return a.Outcome == call.Ran || a.Level > 0
}

// refusedByLevel reports whether an answer's level refuses the request: then other
// instances are likely to refuse it too.
func refusedByLevel(r *call.Request, a *call.Answer) bool {
	return a.Refusal == call.RefusedOverload && level.Refuses(a.Level, r.ID)
}

// keyOf returns the subtree of a request: its service, and its method with the
// first segment of its path.
func keyOf(r *call.Request) level.Key {
	segment, _, _ := strings.Cut(strings.TrimPrefix(r.Path, "/"), "/")
	return level.Key{Service: r.Service, Path: r.Method + " /" + segment, Rank: r.Rank}
}

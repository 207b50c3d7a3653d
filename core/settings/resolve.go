package settings

import (
	"fmt"
	"strings"
	"time"

	"fuchsiavane.org/core/jsontree"
)

// compile resolves the values of every level in advance, so that a request needs
// only a lookup, and checks the constraints between settings.
func (c *checker) compile(d *Document) {
	top := scope{values: Defaults(), rank: len(d.ranks) - 1}
	if len(d.ranks) > 0 {
		top.values.Rank = d.ranks[top.rank].Name
	}
	c.resolveScope(d, &d.root, top)
	for _, s := range d.services {
		c.resolveScope(d, &s.scope, d.root)
		for _, p := range s.paths {
			c.resolveScope(d, &p.scope, s.scope)
			c.compileRanks(d, p)
		}
	}
	c.compileRoutes(d)
}

// resolveScope sets the values of a scope from those of its parent level and its
// own overrides.
func (c *checker) resolveScope(d *Document, s *scope, parent scope) {
	s.values, s.queueSet = parent.values, parent.queueSet
	for _, o := range s.overrides {
		o.apply(&s.values)
		s.queueSet = s.queueSet || o.key == queueKeyIndex
	}
	s.rank = d.RankIndex(s.values.Rank)
	c.checkQueue(s)
}

// checkQueue reports a queue_ms that is longer than timeout_ms, at the level that
// sets one of them.
func (c *checker) checkQueue(s *scope) {
	if !s.queueSet || s.values.QueueTimeout <= s.values.Timeout {
		return
	}
	queue, timeout := s.values.QueueTimeout, s.values.Timeout
	s.values.QueueTimeout = timeout
	for _, o := range s.overrides {
		if o.key == queueKeyIndex || o.key == timeoutKeyIndex {
			c.reportQueue(o.node, queue, timeout)
			return
		}
	}
}

// reportQueue reports a queue_ms that is longer than timeout_ms. A tolerant read
// goes on with the wait that was cut to the timeout.
func (c *checker) reportQueue(n *jsontree.Node, queue, timeout time.Duration) {
	finding := Finding{n.Pointer(), int(n.Line), fmt.Sprintf("queue_ms %d is longer than timeout_ms %d", queue.Milliseconds(), timeout.Milliseconds())}
	if c.tolerant {
		c.notes = append(c.notes, finding)
		return
	}
	c.findings = append(c.findings, finding)
}

func (c *checker) compileRanks(d *Document, p *callPath) {
	p.byRank = make([]*Values, len(d.ranks))
	for name, rank := range p.ranks {
		i := d.RankIndex(name)
		if i < 0 {
			continue // reported by checkRankReferences
		}
		if i < p.rank {
			c.addFinding(rank.node, "rank %q is more urgent than the call path's %q; a caller may only lower the rank, so these settings never apply", name, p.values.Rank)
		}
		s := scope{overrides: rank.overrides}
		c.resolveScope(d, &s, p.scope)
		s.values.Rank = name
		p.byRank[i] = &s.values
	}
}

// scopeOf returns the scope of a service, or the root scope if the document
// doesn't name the service.
func (d *Document) scopeOf(serviceName string) *scope {
	if s := d.services[serviceName]; s != nil {
		return &s.scope
	}
	return &d.root
}

// matchCallPath returns the call path that matches a request, or nil.
func (d *Document) matchCallPath(serviceName, method, requestPath string) *callPath {
	s := d.services[serviceName]
	if s == nil {
		return nil
	}
	for _, p := range s.paths {
		if (p.method == "" || p.method == method) && strings.HasPrefix(requestPath, p.prefix) {
			return p
		}
	}
	return nil
}

// Resolve returns the values for one request. The requested rank applies only if
// it is less urgent than that of the settings tree; a more urgent or unknown rank
// is ignored. Resolve does not allocate.
func (d *Document) Resolve(serviceName, method, requestPath, requestedRank string) Values {
	p := d.matchCallPath(serviceName, method, requestPath)
	s := d.scopeOf(serviceName)
	if p != nil {
		s = &p.scope
	}
	rank := s.rank
	if requestedRank != "" {
		rank = max(rank, d.RankIndex(requestedRank))
	}
	if p != nil && rank >= 0 && p.byRank[rank] != nil {
		return *p.byRank[rank]
	}
	v := s.values
	if rank != s.rank {
		v.Rank = d.ranks[rank].Name
	}
	return v
}

// ServiceValues returns the values at the service level of a service.
func (d *Document) ServiceValues(serviceName string) Values { return d.scopeOf(serviceName).values }

// EffectiveValue is the value of one setting and the level that sets it.
type EffectiveValue struct {
	Key   string `json:"key"`
	Value any    `json:"value"`
	Unit  string `json:"unit"`
	Level Level  `json:"level"`
}

// Effective lists the value of every setting for one request with the deepest
// level that sets it, even if that level only repeats the value of the level
// above.
func (d *Document) Effective(serviceName, method, requestPath, requestedRank string) []EffectiveValue {
	v := d.Resolve(serviceName, method, requestPath, requestedRank)
	out := make([]EffectiveValue, len(keys))
	for i, key := range keys {
		out[i] = EffectiveValue{key.Name, key.get(&v), key.Unit, LevelDefault}
	}
	setLevel := func(overrides []override, level Level) {
		for _, o := range overrides {
			out[o.key].Level = level
		}
	}
	setLevel(d.root.overrides, LevelRoot)
	s := d.scopeOf(serviceName)
	if s != &d.root {
		setLevel(s.overrides, LevelService)
	}
	if p := d.matchCallPath(serviceName, method, requestPath); p != nil {
		s = &p.scope
		setLevel(p.overrides, LevelPath)
		setLevel(p.ranks[v.Rank].overrides, LevelRank)
	}
	if v.Rank != s.values.Rank {
		out[rankKeyIndex].Level = LevelRequest
	}
	return out
}

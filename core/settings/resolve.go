package settings

import "strings"

// compile works out the values of every level, so that a request only looks
// them up, and checks the rules that hold between settings.
func (c *checker) compile(d *Document) {
	top := scope{values: Defaults(), rank: len(d.ranks) - 1}
	if len(d.ranks) > 0 {
		top.values.Rank = d.ranks[top.rank].Name
	}
	c.derive(d, &d.root, top)
	for _, s := range d.services {
		c.derive(d, &s.scope, d.root)
		for _, p := range s.paths {
			c.derive(d, &p.scope, s.scope)
			c.compileRanks(d, p)
		}
	}
	c.compileRoutes(d)
}

// derive sets the values of a scope from those of the level above it.
func (c *checker) derive(d *Document, s *scope, above scope) {
	s.values, s.queueSet = above.values, above.queueSet
	for _, o := range s.overrides {
		o.change(&s.values)
		s.queueSet = s.queueSet || o.key == keyQueue
	}
	s.rank = d.RankIndex(s.values.Rank)
	c.checkQueue(s)
}

// checkQueue reports a wait for a slot that outlasts the call, at the level
// that sets either.
func (c *checker) checkQueue(s *scope) {
	if !s.queueSet || s.values.QueueTimeout <= s.values.Timeout {
		return
	}
	for _, o := range s.overrides {
		if o.key == keyQueue || o.key == keyTimeout {
			c.add(o.at, "queue_ms %d is longer than timeout_ms %d", s.values.QueueTimeout.Milliseconds(), s.values.Timeout.Milliseconds())
			return
		}
	}
}

func (c *checker) compileRanks(d *Document, p *path) {
	p.byRank = make([]*Values, len(d.ranks))
	for name, of := range p.ranks {
		i := d.RankIndex(name)
		if i < 0 {
			continue // reported as an unknown rank
		}
		if i < p.rank {
			c.add(of.at, "rank %q is more urgent than the call path's %q, and a caller may only lower the rank: it never holds", name, p.values.Rank)
		}
		s := scope{overrides: of.overrides}
		c.derive(d, &s, p.scope)
		s.values.Rank = name
		p.byRank[i] = &s.values
	}
}

// scopeOf returns the values of a service; the root's for one that the
// document doesn't name.
func (d *Document) scopeOf(serviceName string) *scope {
	if s := d.services[serviceName]; s != nil {
		return &s.scope
	}
	return &d.root
}

// match returns the call path of a request, or nil.
func (d *Document) match(serviceName, method, requestPath string) *path {
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

// Resolve returns the values for one request. The requested rank may be less
// urgent than the tree's; a more urgent or unknown one is ignored. Resolve
// allocates nothing.
func (d *Document) Resolve(serviceName, method, requestPath, requestedRank string) Values {
	p := d.match(serviceName, method, requestPath)
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

// ServiceValues returns the values that hold for a service as a whole.
func (d *Document) ServiceValues(serviceName string) Values { return d.scopeOf(serviceName).values }

// EffectiveValue is one setting in force with the level that sets it.
type EffectiveValue struct {
	Key   string `json:"key"`
	Value any    `json:"value"`
	Unit  string `json:"unit"`
	Level Level  `json:"level"`
}

// Effective lists every setting for one request with the level that sets it,
// be it to the value that it has above.
func (d *Document) Effective(serviceName, method, requestPath, requestedRank string) []EffectiveValue {
	v := d.Resolve(serviceName, method, requestPath, requestedRank)
	out := make([]EffectiveValue, len(keys))
	for i, key := range keys {
		out[i] = EffectiveValue{key.Name, key.get(&v), key.Unit, LevelDefault}
	}
	mark := func(overrides []override, level Level) {
		for _, o := range overrides {
			out[o.key].Level = level
		}
	}
	mark(d.root.overrides, LevelRoot)
	s := d.scopeOf(serviceName)
	if s != &d.root {
		mark(s.overrides, LevelService)
	}
	if p := d.match(serviceName, method, requestPath); p != nil {
		s = &p.scope
		mark(p.overrides, LevelPath)
		mark(p.ranks[v.Rank].overrides, LevelRank)
	}
	if v.Rank != s.values.Rank {
		out[keyRank].Level = LevelRequest
	}
	return out
}

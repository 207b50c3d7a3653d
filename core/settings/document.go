package settings

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Document is a checked settings tree. It is immutable.
type Document struct {
	root     []override
	ranks    []Rank
	services map[string]*service
}

type service struct {
	overrides []override
	// paths are sorted by falling length, so that the first match is the
	// longest.
	paths []*path
}

type path struct {
	method    string // empty matches every method
	prefix    string
	name      string
	overrides []override
	ranks     map[string][]override
}

// Parse checks a document. It returns either a document or every finding.
func Parse(data []byte) (*Document, Findings) {
	if len(data) > MaxDocumentBytes {
		return nil, Findings{{"", 0, fmt.Sprintf("the document has %d bytes, more than the store's %d", len(data), MaxDocumentBytes)}}
	}
	root, err := parseNode(data)
	if err != nil {
		line := 1 + strings.Count(string(data[:min(len(data), syntaxOffset(err))]), "\n")
		return nil, Findings{{"", line, "not JSON: " + err.Error()}}
	}
	c := &checker{}
	d := c.document(root)
	c.checkRankUses(d)
	if len(c.findings) > 0 {
		slices.SortStableFunc(c.findings, func(a, b Finding) int { return a.Line - b.Line })
		return nil, c.findings
	}
	return d, nil
}

func (c *checker) document(n *node) *Document {
	d := &Document{services: map[string]*service{}}
	c.object(n, map[string]func(*node){
		"settings": func(v *node) { d.root = c.overrides(v) },
		"ranks":    func(v *node) { d.ranks = c.ranks(v) },
		"services": func(v *node) {
			c.each(v, func(name string, value *node) { d.services[name] = c.service(value) })
		},
	})
	return d
}

func (c *checker) service(n *node) *service {
	s := &service{}
	c.object(n, map[string]func(*node){
		"settings": func(v *node) { s.overrides = c.overrides(v) },
		"paths": func(v *node) {
			c.each(v, func(name string, value *node) { s.paths = append(s.paths, c.path(name, value)) })
		},
	})
	slices.SortStableFunc(s.paths, func(a, b *path) int { return len(b.prefix) - len(a.prefix) })
	return s
}

func (c *checker) path(name string, n *node) *path {
	p := &path{name: name, ranks: map[string][]override{}}
	method, prefix, found := strings.Cut(name, " ")
	if !found {
		method, prefix = "", name
	}
	p.method, p.prefix = method, prefix
	if !strings.HasPrefix(prefix, "/") {
		c.add(n, "call path %q is not \"METHOD /prefix\" or \"/prefix\"", name)
	}
	c.object(n, map[string]func(*node){
		"settings": func(v *node) { p.overrides = c.overrides(v) },
		"ranks": func(v *node) {
			c.each(v, func(rank string, value *node) {
				c.useRank(value, rank)
				c.object(value, map[string]func(*node){
					"settings": func(s *node) { p.ranks[rank] = c.overrides(s) },
				})
			})
		},
	})
	return p
}

func (c *checker) checkRankUses(d *Document) {
	for _, use := range c.uses {
		if d.RankIndex(use.name) < 0 {
			c.add(use.at, "rank %q is not in \"ranks\"", use.name)
		}
	}
}

// Ranks returns the ranks, most urgent first. The caller must not change them.
func (d *Document) Ranks() []Rank { return d.ranks }

// RankIndex returns the place of a rank from 0, the most urgent, or -1.
func (d *Document) RankIndex(name string) int {
	return slices.IndexFunc(d.ranks, func(r Rank) bool { return r.Name == name })
}

// Services returns the names of the services in the document, sorted.
func (d *Document) Services() []string {
	names := make([]string, 0, len(d.services))
	for name := range d.services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Resolve returns the values for one request. The requested rank may be less
// urgent than the tree's; a more urgent or unknown one is ignored.
func (d *Document) Resolve(serviceName, method, requestPath, requestedRank string) Values {
	v := Defaults()
	d.apply(&v, serviceName, method, requestPath, requestedRank, nil)
	return v
}

// apply writes each level's overrides to v and calls after once a level.
func (d *Document) apply(v *Values, serviceName, method, requestPath, requestedRank string, after func(Level)) {
	step := func(level Level, overrides []override) {
		for _, o := range overrides {
			o(v)
		}
		if after != nil {
			after(level)
		}
	}
	step(LevelRoot, d.root)
	var p *path
	if s := d.services[serviceName]; s != nil {
		step(LevelService, s.overrides)
		p = s.match(method, requestPath)
	}
	if p != nil {
		step(LevelPath, p.overrides)
	}
	if v.Rank == "" && len(d.ranks) > 0 {
		v.Rank = d.ranks[len(d.ranks)-1].Name
	}
	if d.RankIndex(requestedRank) > d.RankIndex(v.Rank) {
		v.Rank = requestedRank
	}
	rank := v.Rank
	if p != nil {
		step(LevelRank, p.ranks[rank])
	}
	v.Rank = rank
}

func (s *service) match(method, requestPath string) *path {
	for _, p := range s.paths {
		if (p.method == "" || p.method == method) && strings.HasPrefix(requestPath, p.prefix) {
			return p
		}
	}
	return nil
}

// ServiceValues returns the values that hold for a service as a whole.
func (d *Document) ServiceValues(serviceName string) Values {
	return d.Resolve(serviceName, "", "", "")
}

// SharesAt returns the share of each rank of a service at a time, in the order
// of Ranks.
func (d *Document) SharesAt(serviceName string, now time.Time) []float64 {
	shares := make([]float64, len(d.ranks))
	for i, r := range d.ranks {
		shares[i] = r.Share
	}
	v := d.ServiceValues(serviceName)
	for _, w := range v.Hours {
		if !w.Contains(now) {
			continue
		}
		for name, share := range w.Shares {
			shares[d.RankIndex(name)] = share
		}
	}
	return shares
}

// Contains reports whether the window holds the time.
func (w Window) Contains(now time.Time) bool {
	local := now.In(w.Zone)
	at := time.Duration(local.Hour())*time.Hour + time.Duration(local.Minute())*time.Minute
	if w.From < w.To {
		return at >= w.From && at < w.To
	}
	return at >= w.From || at < w.To
}

// EffectiveValue is one setting in force with the level that it comes from.
type EffectiveValue struct {
	Key   string `json:"key"`
	Value any    `json:"value"`
	Level Level  `json:"level"`
}

// Effective lists every setting for one request with its level.
func (d *Document) Effective(serviceName, method, requestPath, requestedRank string) []EffectiveValue {
	v := Defaults()
	out := make([]EffectiveValue, len(keys))
	for i, key := range keys {
		out[i] = EffectiveValue{key.Name, key.get(&v), LevelDefault}
	}
	d.apply(&v, serviceName, method, requestPath, requestedRank, func(level Level) {
		for i, key := range keys {
			if value := key.get(&v); fmt.Sprint(value) != fmt.Sprint(out[i].Value) {
				out[i] = EffectiveValue{key.Name, value, level}
			}
		}
	})
	out[0].Value = v.Rank
	return out
}

func formatWindows(windows []Window) string {
	parts := make([]string, len(windows))
	for i, w := range windows {
		parts[i] = fmt.Sprintf("%s-%s %s %v", clock(w.From), clock(w.To), w.Zone, w.Shares)
	}
	return strings.Join(parts, "; ")
}

func clock(d time.Duration) string {
	return fmt.Sprintf("%02d:%02d", int(d.Hours()), int(d.Minutes())%60)
}

package settings

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"

	"fuchsiavane.org/core/jsontree"
)

// Document is a checked settings tree. It is immutable.
type Document struct {
	ranks    []Rank
	root     scope
	services map[string]*service
	routes   map[routeKey]*Route
}

// scope is one level of the tree with the values that hold there.
type scope struct {
	overrides []override
	// values hold for requests that ask for no rank of their own.
	values Values
	// rank is the index of values.Rank, or -1 if the document has no ranks.
	rank int
	// queueSet is set if this level or one above sets the queue time.
	queueSet bool
}

type service struct {
	scope
	// paths are sorted by falling length, so that the first match is the
	// longest; of two of one length, that with a method comes first.
	paths []*path
}

type path struct {
	scope
	method string // empty matches every method
	prefix string
	// ranks are the overrides by rank name.
	ranks map[string]rankOverrides
	// byRank holds the values by rank index; nil where they differ from the
	// path's in nothing but the rank.
	byRank []*Values
}

type rankOverrides struct {
	at        *jsontree.Node // nil once the document is accepted
	overrides []override
}

// Parse checks a document. It returns either a document or every finding.
func Parse(data []byte) (*Document, Findings) {
	if len(data) > MaxDocumentBytes {
		return nil, Findings{{"", 0, fmt.Sprintf("the document has %d bytes, more than the %d that the store can hold", len(data), MaxDocumentBytes)}}
	}
	root, err := jsontree.Parse(data)
	if err != nil {
		return nil, Findings{syntaxFinding(err)}
	}
	c := &checker{}
	d := c.document(root)
	c.checkRankUses(d)
	c.checkHours(d.ranks)
	c.compile(d)
	if len(c.findings) > 0 {
		slices.SortStableFunc(c.findings, compareFindings)
		return nil, c.findings
	}
	d.forgetPlaces()
	return d, nil
}

// forgetPlaces lets go of the JSON tree, which only findings need.
func (d *Document) forgetPlaces() {
	d.root.forgetPlaces()
	for _, s := range d.services {
		s.forgetPlaces()
		for _, p := range s.paths {
			p.forgetPlaces()
			for name, of := range p.ranks {
				forget(of.overrides)
				p.ranks[name] = rankOverrides{overrides: of.overrides}
			}
		}
	}
	for _, r := range d.routes {
		forget(r.overrides)
	}
}

func (s *scope) forgetPlaces() { forget(s.overrides) }

func forget(overrides []override) {
	for i := range overrides {
		overrides[i].at = nil
	}
}

func compareFindings(a, b Finding) int {
	return cmp.Or(a.Line-b.Line, strings.Compare(a.Pointer, b.Pointer), strings.Compare(a.Message, b.Message))
}

func syntaxFinding(err error) Finding {
	var syntax *jsontree.SyntaxError
	if !errors.As(err, &syntax) {
		return Finding{"", 0, "not JSON: " + err.Error()}
	}
	return Finding{"", syntax.Line, "not JSON: " + syntax.Err.Error()}
}

func (c *checker) document(n *jsontree.Node) *Document {
	d := &Document{services: map[string]*service{}}
	c.object(n, map[string]func(*jsontree.Node){
		"settings": func(v *jsontree.Node) { d.root.overrides = c.overrides(v, LevelRoot) },
		"ranks":    func(v *jsontree.Node) { d.ranks = c.ranks(v) },
		"routes":   func(v *jsontree.Node) { d.routes = c.routes(v) },
		"services": func(v *jsontree.Node) {
			c.members(v, func(name string, value *jsontree.Node) {
				c.name(value, "service", name, "/:")
				d.services[name] = c.service(value)
			})
		},
	})
	return d
}

func (c *checker) service(n *jsontree.Node) *service {
	s := &service{}
	c.object(n, map[string]func(*jsontree.Node){
		"settings": func(v *jsontree.Node) { s.overrides = c.overrides(v, LevelService) },
		"paths": func(v *jsontree.Node) {
			c.members(v, func(name string, value *jsontree.Node) { s.paths = append(s.paths, c.path(name, value)) })
		},
	})
	slices.SortStableFunc(s.paths, comparePaths)
	return s
}

func comparePaths(a, b *path) int {
	if a.prefix != b.prefix {
		return len(b.prefix) - len(a.prefix)
	}
	return len(b.method) - len(a.method)
}

func (c *checker) path(name string, n *jsontree.Node) *path {
	p := &path{prefix: name, ranks: map[string]rankOverrides{}}
	if method, prefix, found := strings.Cut(name, " "); found {
		p.method, p.prefix = method, prefix
		c.method(n, name, method)
	}
	if !strings.HasPrefix(p.prefix, "/") || strings.ContainsAny(p.prefix, "?#") {
		c.add(n, "call path %q is not \"METHOD /prefix\" or \"/prefix\" without a query", name)
	}
	c.object(n, map[string]func(*jsontree.Node){
		"settings": func(v *jsontree.Node) { p.overrides = c.overrides(v, LevelPath) },
		"ranks": func(v *jsontree.Node) {
			c.members(v, func(rank string, value *jsontree.Node) {
				c.useRank(value, rank)
				c.object(value, map[string]func(*jsontree.Node){
					"settings": func(s *jsontree.Node) {
						p.ranks[rank] = rankOverrides{value, c.overrides(s, LevelRank)}
					},
				})
			})
		},
	})
	return p
}

func (c *checker) method(n *jsontree.Node, name, method string) {
	upper := func(r rune) bool { return (r >= 'A' && r <= 'Z') || r == '-' }
	if method == "" || strings.IndexFunc(method, func(r rune) bool { return !upper(r) }) >= 0 {
		c.add(n, "call path %q: %q is not an HTTP method in capital letters", name, method)
	}
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

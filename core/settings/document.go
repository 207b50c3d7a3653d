package settings

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"

	"fuchsiavane.org/core/jsontree"
)

// Document is a validated settings tree. It is immutable.
type Document struct {
	ranks    []Rank
	root     scope
	services map[string]*service
	routes   map[routeKey]*Route
}

// scope is one level of the tree and its resolved values.
type scope struct {
	overrides []override
	// values apply to requests that don't ask for a rank.
	values Values
	// rank is the index of values.Rank, or -1 if the document has no ranks.
	rank int
	// queueSet is true if this level or one above it sets queue_ms.
	queueSet bool
}

type service struct {
	scope
	// paths are sorted by descending prefix length, so that the first match is
	// the longest; for equal prefixes, one with a method comes first.
	paths []*callPath
}

type callPath struct {
	scope
	method string // empty matches every method
	prefix string
	// ranks holds the overrides by rank name.
	ranks map[string]rankOverrides
	// byRank holds the values by rank index; nil if they differ from the call
	// path's values only in the rank.
	byRank []*Values
}

type rankOverrides struct {
	node      *jsontree.Node // nil once Parse returns the document
	overrides []override
}

// Parse validates a settings document. It returns either the document or all
// findings.
func Parse(data []byte) (*Document, Findings) {
	root, findings := parseTree(data)
	if root == nil {
		return nil, findings
	}
	c := &checker{}
	d := c.build(root)
	if len(c.findings) > 0 {
		slices.SortStableFunc(c.findings, compareFindings)
		return nil, c.findings
	}
	d.releaseNodes()
	return d, nil
}

// parseTree parses the JSON text of a document. It returns either the tree or the
// findings.
func parseTree(data []byte) (*jsontree.Node, Findings) {
	if len(data) > MaxDocumentBytes {
		return nil, Findings{{"", 0, fmt.Sprintf("the document has %d bytes, more than the maximum of %d that the store can hold", len(data), MaxDocumentBytes)}}
	}
	root, err := jsontree.Parse(data)
	if err != nil {
		return nil, Findings{syntaxFinding(err)}
	}
	return root, nil
}

// build reads, checks and compiles the document of a JSON tree.
func (c *checker) build(root *jsontree.Node) *Document {
	d := c.readDocument(root)
	c.checkRankReferences(d)
	c.checkShareWindows(d.ranks)
	c.compile(d)
	return d
}

// releaseNodes drops the references to the JSON tree, which only findings need.
func (d *Document) releaseNodes() {
	d.root.releaseNodes()
	for _, s := range d.services {
		s.releaseNodes()
		for _, p := range s.paths {
			p.releaseNodes()
			for name, rank := range p.ranks {
				releaseOverrideNodes(rank.overrides)
				p.ranks[name] = rankOverrides{overrides: rank.overrides}
			}
		}
	}
	for _, r := range d.routes {
		releaseOverrideNodes(r.overrides)
	}
}

func (s *scope) releaseNodes() { releaseOverrideNodes(s.overrides) }

func releaseOverrideNodes(overrides []override) {
	for i := range overrides {
		overrides[i].node = nil
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

func (c *checker) readDocument(n *jsontree.Node) *Document {
	d := &Document{services: map[string]*service{}}
	c.readObject(n, map[string]func(*jsontree.Node){
		"settings": func(v *jsontree.Node) { d.root.overrides = c.readOverrides(v, LevelRoot) },
		"ranks":    func(v *jsontree.Node) { d.ranks = c.readRanks(v) },
		"routes":   func(v *jsontree.Node) { d.routes = c.readRoutes(v) },
		"services": func(v *jsontree.Node) {
			c.readMembers(v, func(name string, value *jsontree.Node) {
				c.checkName(value, "service", name, "/:")
				d.services[name] = c.readService(value)
			})
		},
	})
	return d
}

func (c *checker) readService(n *jsontree.Node) *service {
	s := &service{}
	c.readObject(n, map[string]func(*jsontree.Node){
		"settings": func(v *jsontree.Node) { s.overrides = c.readOverrides(v, LevelService) },
		"paths": func(v *jsontree.Node) {
			c.readMembers(v, func(name string, value *jsontree.Node) { s.paths = append(s.paths, c.readCallPath(name, value)) })
		},
	})
	slices.SortStableFunc(s.paths, compareCallPaths)
	return s
}

func compareCallPaths(a, b *callPath) int {
	if a.prefix != b.prefix {
		return len(b.prefix) - len(a.prefix)
	}
	return len(b.method) - len(a.method)
}

func (c *checker) readCallPath(name string, n *jsontree.Node) *callPath {
	p := &callPath{prefix: name, ranks: map[string]rankOverrides{}}
	if method, prefix, found := strings.Cut(name, " "); found {
		p.method, p.prefix = method, prefix
		c.checkMethod(n, name, method)
	}
	if !strings.HasPrefix(p.prefix, "/") || strings.ContainsAny(p.prefix, "?#") {
		c.addFinding(n, "call path %q is not \"METHOD /prefix\" or \"/prefix\" without a query", name)
	}
	c.readObject(n, map[string]func(*jsontree.Node){
		"settings": func(v *jsontree.Node) { p.overrides = c.readOverrides(v, LevelPath) },
		"ranks": func(v *jsontree.Node) {
			c.readMembers(v, func(rank string, value *jsontree.Node) {
				c.addRankReference(value, rank)
				c.readObject(value, map[string]func(*jsontree.Node){
					"settings": func(s *jsontree.Node) {
						p.ranks[rank] = rankOverrides{value, c.readOverrides(s, LevelRank)}
					},
				})
			})
		},
	})
	return p
}

func (c *checker) checkMethod(n *jsontree.Node, name, method string) {
	allowed := func(r rune) bool { return (r >= 'A' && r <= 'Z') || r == '-' }
	if method == "" || strings.IndexFunc(method, func(r rune) bool { return !allowed(r) }) >= 0 {
		c.addFinding(n, "call path %q: %q is not an HTTP method in upper case", name, method)
	}
}

// Services returns the sorted names of the services in the document.
func (d *Document) Services() []string {
	names := make([]string, 0, len(d.services))
	for name := range d.services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

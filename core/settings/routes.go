package settings

import (
	"math"
	"sort"
	"strings"

	"fuchsiavane.org/core/jsontree"
)

// LevelRoute names an entry of "routes": a call path that callers reach by host
// and prefix, in place of the name of a service.
const LevelRoute Level = "route"

// maxWeight bounds the weight of one part of a split.
const maxWeight = 1e6

// Route is the call path of requests that callers address by host and path. Its
// values inherit from those of the service that a request goes to. It is
// immutable.
type Route struct {
	// Host and Prefix select the requests.
	Host, Prefix string
	overrides    []override
	targets      []Target
	total        float64
}

// Target is one service that a route sends requests to.
type Target struct {
	Service string
	// Weight is the part of the route's requests, in proportion to the other
	// targets' weights.
	Weight float64
	scope
}

// Values returns the settings of a request that goes to the target.
func (t *Target) Values() Values { return t.values }

// Choose returns the target for a uniform draw from [0, 1).
func (r *Route) Choose(draw float64) *Target {
	left := draw * r.total
	for i := range r.targets {
		left -= r.targets[i].Weight
		if left < 0 {
			return &r.targets[i]
		}
	}
	return &r.targets[len(r.targets)-1]
}

// routeKey selects a route.
type routeKey struct{ host, prefix string }

// Route returns the route of a request: the one with the longest prefix of those
// of the host, or nil. Prefixes end at slashes, so the lookup takes one step for
// each segment of the path, however many routes there are.
func (d *Document) Route(host, path string) *Route {
	if i := strings.IndexAny(path, "?#"); i >= 0 {
		path = path[:i]
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := d.routes[routeKey{host, path[:end+1]}]; r != nil {
			return r
		}
	}
	return nil
}

func (c *checker) routes(n *jsontree.Node) map[routeKey]*Route {
	if !c.want(n, jsontree.Array) {
		return nil
	}
	routes := make(map[routeKey]*Route, len(n.Children))
	for _, item := range n.Children {
		r := c.route(item)
		key := routeKey{r.Host, r.Prefix}
		if routes[key] != nil {
			c.add(item, "the route of host %q and prefix %q stands twice", r.Host, r.Prefix)
			continue
		}
		routes[key] = r
	}
	return routes
}

func (c *checker) route(n *jsontree.Node) *Route {
	r := &Route{}
	c.object(n, map[string]func(*jsontree.Node){
		"host":     func(v *jsontree.Node) { r.Host, _ = c.text(v) },
		"prefix":   func(v *jsontree.Node) { r.Prefix, _ = c.text(v) },
		"services": func(v *jsontree.Node) { r.targets = c.targets(v) },
		"settings": func(v *jsontree.Node) { r.overrides = c.overrides(v, LevelPath) },
	})
	if n.Kind != jsontree.Object {
		return r
	}
	if r.Host == "" {
		c.add(n, "the route has no host")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		c.add(n, "prefix %q does not begin and end with a slash", r.Prefix)
	}
	for i := range r.targets {
		r.total += r.targets[i].Weight
	}
	if r.total <= 0 {
		c.add(n, "the route names no service with a weight above 0")
	}
	return r
}

// targets reads an object of service names and weights.
func (c *checker) targets(n *jsontree.Node) []Target {
	var targets []Target
	c.members(n, func(name string, value *jsontree.Node) {
		c.name(value, "service", name, "/:")
		weight, ok := c.number(value, 0, maxWeight)
		if ok && !math.IsNaN(weight) {
			targets = append(targets, Target{Service: name, Weight: weight})
		}
	})
	sort.Slice(targets, func(i, j int) bool { return targets[i].Service < targets[j].Service })
	return targets
}

// compileRoutes works out the values of each route for each of its services.
func (c *checker) compileRoutes(d *Document) {
	for _, r := range d.routes {
		for i := range r.targets {
			t := &r.targets[i]
			t.scope.overrides = r.overrides
			c.derive(d, &t.scope, *d.scopeOf(t.Service))
		}
	}
}

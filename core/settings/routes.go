package settings

import (
	"math"
	"sort"
	"strings"

	"fuchsiavane.org/core/jsontree"
)

// LevelRoute is the level of an entry of "routes": a call path that callers
// address by host and path prefix instead of the name of a service. It inherits
// from LevelService, as LevelPath does.
const LevelRoute Level = "route"

// maxWeight is the maximum weight of one target of a route.
const maxWeight = 1e6

// Route is a call path for requests that callers address by host and path. Its
// values inherit from those of the service that a request is sent to. It is
// immutable.
type Route struct {
	// Host and Prefix select the requests of the route.
	Host, Prefix string
	overrides    []override
	targets      []Target
	totalWeight  float64
}

// Target is one service that a route sends requests to, with its weight.
type Target struct {
	Service string
	// Weight is the target's fraction of the route's requests, relative to the
	// sum of the weights of all its targets.
	Weight float64
	scope
}

// Values returns the settings of a request that is sent to the target.
func (t *Target) Values() Values { return t.values }

// Choose selects a target by weight; draw is a uniform random number in [0, 1).
func (r *Route) Choose(draw float64) *Target {
	remaining := draw * r.totalWeight
	for i := range r.targets {
		remaining -= r.targets[i].Weight
		if remaining < 0 {
			return &r.targets[i]
		}
	}
	return &r.targets[len(r.targets)-1]
}

// routeKey identifies a route.
type routeKey struct{ host, prefix string }

// Route returns the route of the host with the longest prefix of the path, or
// nil. Prefixes end at slashes, so that the lookup takes one step per path
// segment, independent of the number of routes.
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

func (c *checker) readRoutes(n *jsontree.Node) map[routeKey]*Route {
	if !c.checkKind(n, jsontree.Array) {
		return nil
	}
	routes := make(map[routeKey]*Route, len(n.Children))
	for _, item := range n.Children {
		r := c.readRoute(item)
		key := routeKey{r.Host, r.Prefix}
		if routes[key] != nil {
			c.addFinding(item, "duplicate route of host %q and prefix %q", r.Host, r.Prefix)
			continue
		}
		routes[key] = r
	}
	return routes
}

func (c *checker) readRoute(n *jsontree.Node) *Route {
	r := &Route{}
	c.readObject(n, map[string]func(*jsontree.Node){
		"host":     func(v *jsontree.Node) { r.Host, _ = c.readString(v) },
		"prefix":   func(v *jsontree.Node) { r.Prefix, _ = c.readString(v) },
		"services": func(v *jsontree.Node) { r.targets = c.readTargets(v) },
		"settings": func(v *jsontree.Node) { r.overrides = c.readOverrides(v, LevelPath) },
	})
	if n.Kind != jsontree.Object {
		return r
	}
	if r.Host == "" {
		c.addFinding(n, "the route has no host")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		c.addFinding(n, "prefix %q does not begin and end with a slash", r.Prefix)
	}
	for i := range r.targets {
		r.totalWeight += r.targets[i].Weight
	}
	if r.totalWeight <= 0 {
		c.addFinding(n, "the route names no service with a weight above 0")
		c.repairBy(len(c.faults)-1, block(n))
	}
	return r
}

// readTargets reads an object of service names and weights.
func (c *checker) readTargets(n *jsontree.Node) []Target {
	var targets []Target
	c.readMembers(n, func(name string, value *jsontree.Node) {
		c.checkName(value, "service", name, "/:")
		weight, ok := c.readNumber(value, 0, maxWeight)
		if ok && !math.IsNaN(weight) {
			targets = append(targets, Target{Service: name, Weight: weight})
		}
	})
	sort.Slice(targets, func(i, j int) bool { return targets[i].Service < targets[j].Service })
	return targets
}

// compileRoutes resolves the values of each route for each of its targets.
func (c *checker) compileRoutes(d *Document) {
	for _, r := range d.routes {
		for i := range r.targets {
			t := &r.targets[i]
			t.scope.overrides = r.overrides
			c.resolveScope(d, &t.scope, *d.scopeOf(t.Service))
		}
	}
}

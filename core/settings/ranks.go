package settings

import (
	"slices"
	"time"
	_ "time/tzdata" // instances may have no time zone files

	"fuchsiavane.org/core/jsontree"
)

// maxRanks bounds the ranks of a document.
const maxRanks = 32

// shareTolerance is the rounding error allowed in a sum of shares.
const shareTolerance = 1e-9

func (c *checker) ranks(n *jsontree.Node) []Rank {
	if !c.want(n, jsontree.Array) {
		return nil
	}
	if len(n.Children) > maxRanks {
		c.add(n, "there are %d ranks, more than %d", len(n.Children), maxRanks)
	}
	var ranks []Rank
	var sum float64
	seen := map[string]bool{}
	for _, item := range n.Children {
		rank := c.rank(item)
		if rank.Name != "" && seen[rank.Name] {
			c.add(item, "rank %q stands twice", rank.Name)
		}
		seen[rank.Name] = true
		sum += rank.Share
		ranks = append(ranks, rank)
	}
	if sum > 1+shareTolerance {
		c.add(n, "the shares add up to %.3g, more than 1", sum)
	}
	return ranks
}

func (c *checker) rank(n *jsontree.Node) Rank {
	var r Rank
	named := false
	c.object(n, map[string]func(*jsontree.Node){
		"name": func(v *jsontree.Node) {
			named = true
			if name, ok := c.text(v); ok {
				c.name(v, "rank", name, ";")
				r.Name = name
			}
		},
		"share":     func(v *jsontree.Node) { r.Share, _ = c.number(v, 0, 1) },
		"protected": func(v *jsontree.Node) { r.Protected, _ = c.boolean(v) },
	})
	if n.Kind == jsontree.Object && !named {
		c.add(n, "the rank has no name")
	}
	return r
}

// readHours reads a list of windows.
func readHours(c *checker, n *jsontree.Node) func(*Values) {
	if !c.want(n, jsontree.Array) {
		return nil
	}
	var list windowList
	for _, item := range n.Children {
		if w, ok := c.window(item); ok {
			list.windows = append(list.windows, w)
			list.places = append(list.places, item)
		}
	}
	c.hours = append(c.hours, list)
	return func(v *Values) { v.ShareWindows = list.windows }
}

// window reads one window and reports whether its times are known.
func (c *checker) window(n *jsontree.Node) (Window, bool) {
	w := Window{Zone: time.UTC, Shares: map[string]float64{}}
	given, valid := map[string]bool{}, true
	at := func(key string, field *time.Duration) func(*jsontree.Node) {
		return func(v *jsontree.Node) {
			given[key] = true
			var ok bool
			*field, ok = c.timeOfDay(v)
			valid = valid && ok
		}
	}
	c.object(n, map[string]func(*jsontree.Node){
		"from": at("from", &w.From),
		"to":   at("to", &w.To),
		"zone": func(v *jsontree.Node) { w.Zone = c.zone(v) },
		"shares": func(v *jsontree.Node) {
			given["shares"] = true
			c.members(v, func(name string, share *jsontree.Node) {
				c.useRank(share, name)
				w.Shares[name], _ = c.number(share, 0, 1)
			})
		},
	})
	if n.Kind != jsontree.Object {
		return w, false
	}
	for _, key := range []string{"from", "to", "shares"} {
		if !given[key] {
			c.add(n, "the window has no %q", key)
			valid = false
		}
	}
	if valid && w.From == w.To {
		c.add(n, "the window begins and ends at %s; shares for the whole day stand in \"ranks\"", clock(w.From))
		valid = false
	}
	return w, valid
}

func (c *checker) timeOfDay(n *jsontree.Node) (time.Duration, bool) {
	s, ok := c.text(n)
	if !ok {
		return 0, false
	}
	t, err := time.Parse("15:04", s)
	if err != nil {
		c.add(n, "%q is not a time of day as HH:MM", s)
		return 0, false
	}
	return time.Duration(t.Hour())*time.Hour + time.Duration(t.Minute())*time.Minute, true
}

func (c *checker) zone(n *jsontree.Node) *time.Location {
	s, ok := c.text(n)
	if !ok {
		return time.UTC
	}
	zone, err := time.LoadLocation(s)
	if err != nil || s == "" || s == "Local" {
		c.add(n, "%q is not an IANA time zone such as \"Pacific/Auckland\"", s)
		return time.UTC
	}
	return zone
}

// checkHours holds each list of windows to its rules: one zone, no overlap, and
// shares that add up to at most 1 together with those of the other ranks.
func (c *checker) checkHours(ranks []Rank) {
	for _, list := range c.hours {
		for i, w := range list.windows {
			if sum := w.sum(ranks); sum > 1+shareTolerance {
				c.add(list.places[i], "the shares add up to %.3g in this window, more than 1", sum)
			}
			for j, earlier := range list.windows[:i] {
				if earlier.Zone.String() != w.Zone.String() {
					c.add(list.places[i], "the window is in zone %s, the one at line %d in %s; one list has one zone", w.Zone, list.places[j].Line, earlier.Zone)
					continue
				}
				if w.overlaps(earlier) {
					c.add(list.places[i], "the window overlaps the one at line %d", list.places[j].Line)
				}
			}
		}
	}
}

// sum adds up the shares that hold in the window.
func (w Window) sum(ranks []Rank) float64 {
	var sum float64
	for _, r := range ranks {
		share, differs := w.Shares[r.Name]
		if !differs {
			share = r.Share
		}
		sum += share
	}
	return sum
}

func (w Window) overlaps(other Window) bool {
	return w.holds(other.From) || other.holds(w.From)
}

// holds reports whether the window holds a time of day.
func (w Window) holds(at time.Duration) bool {
	if w.From < w.To {
		return at >= w.From && at < w.To
	}
	return at >= w.From || at < w.To
}

// Contains reports whether the window holds the time.
func (w Window) Contains(now time.Time) bool {
	local := now.In(w.Zone)
	return w.holds(time.Duration(local.Hour())*time.Hour + time.Duration(local.Minute())*time.Minute)
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

// SharesAt returns the share of each rank of a service at a time, in the order
// of Ranks.
func (d *Document) SharesAt(serviceName string, now time.Time) []float64 {
	shares := make([]float64, len(d.ranks))
	for i, r := range d.ranks {
		shares[i] = r.Share
	}
	for _, w := range d.scopeOf(serviceName).values.ShareWindows {
		if !w.Contains(now) {
			continue
		}
		for i, r := range d.ranks {
			if share, differs := w.Shares[r.Name]; differs {
				shares[i] = share
			}
		}
	}
	return shares
}

package settings

import (
	"slices"
	"time"
	_ "time/tzdata" // instances may lack time zone files

	"fuchsiavane.org/core/jsontree"
)

// maxRanks is the maximum number of ranks in a document.
const maxRanks = 32

// shareTolerance is the allowed rounding error in a sum of shares.
const shareTolerance = 1e-9

func (c *checker) readRanks(n *jsontree.Node) []Rank {
	if !c.checkKind(n, jsontree.Array) {
		return nil
	}
	if len(n.Children) > maxRanks {
		c.addFinding(n, "there are %d ranks, more than the maximum of %d", len(n.Children), maxRanks)
		c.repairBy(len(c.faults)-1, func() { n.Children = n.Children[:min(maxRanks, len(n.Children))] })
	}
	var ranks []Rank
	var sum float64
	seen := map[string]bool{}
	for _, item := range n.Children {
		rank := c.readRank(item)
		if rank.Name != "" && seen[rank.Name] {
			c.addFinding(item, "duplicate rank %q", rank.Name)
		}
		seen[rank.Name] = true
		sum += rank.Share
		ranks = append(ranks, rank)
	}
	if sum > 1+shareTolerance {
		c.addFinding(n, "the shares add up to %.3g, more than 1", sum)
		c.repairBy(len(c.faults)-1, scaleShares(n, sum))
	}
	return ranks
}

func (c *checker) readRank(n *jsontree.Node) Rank {
	var r Rank
	named := false
	c.readObject(n, map[string]func(*jsontree.Node){
		"name": func(v *jsontree.Node) {
			named = true
			if name, ok := c.readString(v); ok {
				c.checkName(v, "rank", name, ";")
				r.Name = name
			}
		},
		"share":     func(v *jsontree.Node) { r.Share, _ = c.readNumber(v, 0, 1) },
		"protected": func(v *jsontree.Node) { r.Protected, _ = c.readBoolean(v) },
	})
	if n.Kind == jsontree.Object && !named {
		c.addFinding(n, "the rank has no name")
	}
	return r
}

// readShareWindows reads the value of the setting "hours".
func readShareWindows(c *checker, n *jsontree.Node) func(*Values) {
	if !c.checkKind(n, jsontree.Array) {
		return nil
	}
	var list shareWindows
	for _, item := range n.Children {
		if w, ok := c.readWindow(item); ok {
			list.windows = append(list.windows, w)
			list.nodes = append(list.nodes, item)
		}
	}
	c.windowLists = append(c.windowLists, list)
	return func(v *Values) { v.ShareWindows = list.windows }
}

// readWindow reads one window and reports whether it has all its fields and valid
// times.
func (c *checker) readWindow(n *jsontree.Node) (Window, bool) {
	w := Window{Zone: time.UTC, Shares: map[string]float64{}}
	// A window with an error is left out as a whole: a part of it could apply at other
	// times than were meant.
	from := len(c.faults)
	defer func() { c.repairBy(from, func() { n.Remove() }) }()
	given, valid := map[string]bool{}, true
	timeReader := func(key string, field *time.Duration) func(*jsontree.Node) {
		return func(v *jsontree.Node) {
			given[key] = true
			var ok bool
			*field, ok = c.readTimeOfDay(v)
			valid = valid && ok
		}
	}
	c.readObject(n, map[string]func(*jsontree.Node){
		"from": timeReader("from", &w.From),
		"to":   timeReader("to", &w.To),
		"zone": func(v *jsontree.Node) { w.Zone = c.readTimeZone(v) },
		"shares": func(v *jsontree.Node) {
			given["shares"] = true
			c.readMembers(v, func(name string, share *jsontree.Node) {
				c.addRankReference(share, name)
				w.Shares[name], _ = c.readNumber(share, 0, 1)
			})
		},
	})
	if n.Kind != jsontree.Object {
		return w, false
	}
	for _, key := range []string{"from", "to", "shares"} {
		if !given[key] {
			c.addFinding(n, "the window has no %q", key)
			valid = false
		}
	}
	if valid && w.From == w.To {
		c.addFinding(n, "the window begins and ends at %s; set shares for the whole day in \"ranks\"", formatTimeOfDay(w.From))
		valid = false
	}
	return w, valid
}

func (c *checker) readTimeOfDay(n *jsontree.Node) (time.Duration, bool) {
	s, ok := c.readString(n)
	if !ok {
		return 0, false
	}
	t, err := time.Parse("15:04", s)
	if err != nil {
		c.addFinding(n, "%q is not a time of day in the form HH:MM", s)
		return 0, false
	}
	return time.Duration(t.Hour())*time.Hour + time.Duration(t.Minute())*time.Minute, true
}

func (c *checker) readTimeZone(n *jsontree.Node) *time.Location {
	s, ok := c.readString(n)
	if !ok {
		return time.UTC
	}
	zone, err := time.LoadLocation(s)
	if err != nil || s == "" || s == "Local" {
		c.addFinding(n, "%q is not an IANA time zone such as \"Pacific/Auckland\"", s)
		return time.UTC
	}
	return zone
}

// checkShareWindows checks that the windows of each list have one time zone and
// don't overlap, and that the shares of all ranks in a window add up to at most
// 1, including those that the window doesn't change.
func (c *checker) checkShareWindows(ranks []Rank) {
	for _, list := range c.windowLists {
		for i, w := range list.windows {
			if sum := w.shareSum(ranks); sum > 1+shareTolerance {
				c.addFinding(list.nodes[i], "the shares add up to %.3g in this window, more than 1", sum)
			}
			for j, earlier := range list.windows[:i] {
				if earlier.Zone.String() != w.Zone.String() {
					c.addFinding(list.nodes[i], "the window is in zone %s, but the one at line %d is in %s; all windows of a list must have one zone", w.Zone, list.nodes[j].Line, earlier.Zone)
					continue
				}
				if w.overlaps(earlier) {
					c.addFinding(list.nodes[i], "the window overlaps the one at line %d", list.nodes[j].Line)
				}
			}
		}
	}
}

// shareSum returns the sum of the shares of all ranks in the window.
func (w Window) shareSum(ranks []Rank) float64 {
	var sum float64
	for _, r := range ranks {
		share, overridden := w.Shares[r.Name]
		if !overridden {
			share = r.Share
		}
		sum += share
	}
	return sum
}

func (w Window) overlaps(other Window) bool {
	return w.containsTimeOfDay(other.From) || other.containsTimeOfDay(w.From)
}

// containsTimeOfDay reports whether the window contains a time of day, given as
// the offset from midnight.
func (w Window) containsTimeOfDay(timeOfDay time.Duration) bool {
	if w.From < w.To {
		return timeOfDay >= w.From && timeOfDay < w.To
	}
	return timeOfDay >= w.From || timeOfDay < w.To
}

// Contains reports whether the window contains the time now.
func (w Window) Contains(now time.Time) bool {
	local := now.In(w.Zone)
	return w.containsTimeOfDay(time.Duration(local.Hour())*time.Hour + time.Duration(local.Minute())*time.Minute)
}

func (c *checker) checkRankReferences(d *Document) {
	for _, ref := range c.rankRefs {
		if d.RankIndex(ref.name) < 0 {
			c.addFinding(ref.node, "rank %q is not in \"ranks\"", ref.name)
		}
	}
}

// Ranks returns the ranks, most urgent first. Callers must not modify the slice.
func (d *Document) Ranks() []Rank { return d.ranks }

// RankIndex returns the index of a rank in Ranks, 0 for the most urgent, or -1 if
// the rank is not defined.
func (d *Document) RankIndex(name string) int {
	return slices.IndexFunc(d.ranks, func(r Rank) bool { return r.Name == name })
}

// SharesAt returns the shares of the ranks for a service at the time now, in the
// order of Ranks.
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
			if share, overridden := w.Shares[r.Name]; overridden {
				shares[i] = share
			}
		}
	}
	return shares
}

package settings

import (
	"fmt"
	"strings"
	"time"
)

// Finding is one fault of a document with its place.
type Finding struct {
	// Pointer is the place as a JSON pointer (RFC 6901); empty is the root.
	Pointer string `json:"pointer"`
	// Line is the line in the document, from 1; 0 when it is not known.
	Line int `json:"line"`
	// Message says what is wrong.
	Message string `json:"message"`
}

// String formats the finding for an operator.
func (f Finding) String() string {
	pointer := f.Pointer
	if pointer == "" {
		pointer = "/"
	}
	return fmt.Sprintf("line %d: %s: %s", f.Line, pointer, f.Message)
}

// Findings are all faults of one document. As an error it lists each on a line.
type Findings []Finding

// Error implements error.
func (fs Findings) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// rankUse is a mention of a rank that must be defined.
type rankUse struct {
	at   *node
	name string
}

// checker collects findings while a document is read.
type checker struct {
	findings Findings
	uses     []rankUse
}

func (c *checker) add(n *node, format string, args ...any) {
	c.findings = append(c.findings, Finding{n.pointer, n.line, fmt.Sprintf(format, args...)})
}

func (c *checker) useRank(n *node, name string) {
	c.uses = append(c.uses, rankUse{n, name})
}

func (c *checker) want(n *node, k kind) bool {
	if n.kind == k {
		return true
	}
	c.add(n, "is %s, must be %s", n.kind, k)
	return false
}

func (c *checker) text(n *node) (string, bool) {
	if !c.want(n, kindString) {
		return "", false
	}
	return n.text, true
}

func (c *checker) boolean(n *node) (bool, bool) {
	return n.boolean, c.want(n, kindBoolean)
}

func (c *checker) number(n *node, least, most float64) (float64, bool) {
	if !c.want(n, kindNumber) {
		return 0, false
	}
	if n.number < least || n.number > most {
		c.add(n, "%v is outside %v to %v", n.number, least, most)
		return 0, false
	}
	return n.number, true
}

// object calls the reader of each member and reports unknown and repeated keys.
func (c *checker) object(n *node, readers map[string]func(*node)) {
	if !c.want(n, kindObject) {
		return
	}
	seen := map[string]bool{}
	for _, m := range n.members {
		read, known := readers[m.name]
		switch {
		case !known:
			c.add(m.value, "unknown key %q", m.name)
		case seen[m.name]:
			c.add(m.value, "key %q stands twice", m.name)
		default:
			read(m.value)
		}
		seen[m.name] = true
	}
}

// each calls read for every member of an object whose keys are names.
func (c *checker) each(n *node, read func(name string, value *node)) {
	if !c.want(n, kindObject) {
		return
	}
	seen := map[string]bool{}
	for _, m := range n.members {
		if seen[m.name] {
			c.add(m.value, "key %q stands twice", m.name)
			continue
		}
		if m.name == "" {
			c.add(m.value, "the name is empty")
			continue
		}
		seen[m.name] = true
		read(m.name, m.value)
	}
}

func (c *checker) overrides(n *node) []override {
	var out []override
	readers := make(map[string]func(*node), len(keys))
	for _, key := range keys {
		readers[key.Name] = func(value *node) {
			if o := key.read(c, value); o != nil {
				out = append(out, o)
			}
		}
	}
	c.object(n, readers)
	return out
}

func (c *checker) ranks(n *node) []Rank {
	if !c.want(n, kindArray) {
		return nil
	}
	var ranks []Rank
	var sum float64
	seen := map[string]bool{}
	for _, item := range n.items {
		rank := c.rank(item)
		if seen[rank.Name] {
			c.add(item, "rank %q stands twice", rank.Name)
		}
		seen[rank.Name] = true
		sum += rank.Share
		ranks = append(ranks, rank)
	}
	if sum > 1 {
		c.add(n, "the shares add up to %.3g, more than 1", sum)
	}
	return ranks
}

func (c *checker) rank(n *node) Rank {
	var r Rank
	c.object(n, map[string]func(*node){
		"name":      func(v *node) { r.Name, _ = c.text(v) },
		"share":     func(v *node) { r.Share, _ = c.number(v, 0, 1) },
		"protected": func(v *node) { r.Protected, _ = c.boolean(v) },
	})
	if r.Name == "" {
		c.add(n, "the rank has no name")
	}
	return r
}

func (c *checker) windows(n *node) []Window {
	if !c.want(n, kindArray) {
		return nil
	}
	var windows []Window
	for _, item := range n.items {
		windows = append(windows, c.window(item))
	}
	return windows
}

func (c *checker) window(n *node) Window {
	w := Window{Zone: time.UTC, Shares: map[string]float64{}}
	from, to := false, false
	c.object(n, map[string]func(*node){
		"from": func(v *node) { w.From, from = c.timeOfDay(v) },
		"to":   func(v *node) { w.To, to = c.timeOfDay(v) },
		"zone": func(v *node) { w.Zone = c.zone(v) },
		"shares": func(v *node) {
			c.each(v, func(name string, share *node) {
				c.useRank(share, name)
				w.Shares[name], _ = c.number(share, 0, 1)
			})
		},
	})
	if n.kind == kindObject && (!from || !to) {
		c.add(n, "a window needs \"from\" and \"to\" as HH:MM")
	}
	return w
}

func (c *checker) timeOfDay(n *node) (time.Duration, bool) {
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

func (c *checker) zone(n *node) *time.Location {
	s, ok := c.text(n)
	if !ok {
		return time.UTC
	}
	zone, err := time.LoadLocation(s)
	if err != nil {
		c.add(n, "%q is not an IANA time zone", s)
		return time.UTC
	}
	return zone
}

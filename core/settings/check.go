package settings

import (
	"fmt"
	"strings"

	"fuchsiavane.org/core/jsontree"
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
	at   *jsontree.Node
	name string
}

// windowList is one value of "hours".
type windowList struct {
	places  []*jsontree.Node
	windows []Window
}

// checker collects findings while a document is read.
type checker struct {
	findings Findings
	uses     []rankUse
	hours    []windowList
}

func (c *checker) add(n *jsontree.Node, format string, args ...any) {
	c.findings = append(c.findings, Finding{n.Pointer(), int(n.Line), fmt.Sprintf(format, args...)})
}

func (c *checker) useRank(n *jsontree.Node, name string) {
	c.uses = append(c.uses, rankUse{n, name})
}

func (c *checker) want(n *jsontree.Node, k jsontree.Kind) bool {
	if n.Kind == k {
		return true
	}
	c.add(n, "is %s, must be %s", n.Kind, k)
	return false
}

func (c *checker) text(n *jsontree.Node) (string, bool) {
	if !c.want(n, jsontree.String) {
		return "", false
	}
	return n.Text, true
}

func (c *checker) boolean(n *jsontree.Node) (bool, bool) {
	return n.Boolean, c.want(n, jsontree.Boolean)
}

func (c *checker) number(n *jsontree.Node, least, most float64) (float64, bool) {
	if !c.want(n, jsontree.Number) {
		return 0, false
	}
	if n.Number < least || n.Number > most {
		c.add(n, "%s is outside %v to %v", n.Text, least, most)
		return 0, false
	}
	return n.Number, true
}

// maxNameBytes bounds the names of services and ranks.
const maxNameBytes = 128

// name reports a name that a request's header could not carry.
func (c *checker) name(n *jsontree.Node, what, name, without string) {
	visible := func(r rune) bool { return r > ' ' && r < 0x7f && !strings.ContainsRune(without, r) }
	bad := strings.IndexFunc(name, func(r rune) bool { return !visible(r) }) >= 0
	if name == "" || len(name) > maxNameBytes || bad {
		c.add(n, "%s %q is not 1 to %d visible ASCII characters without spaces and any of %q", what, name, maxNameBytes, without)
	}
}

// object calls the reader of each member and reports unknown and repeated keys.
func (c *checker) object(n *jsontree.Node, readers map[string]func(*jsontree.Node)) {
	c.members(n, func(name string, value *jsontree.Node) {
		read, known := readers[name]
		if !known {
			c.add(value, "unknown key %q", name)
			return
		}
		read(value)
	})
}

// members calls read for each member of an object, and reports repeated keys.
func (c *checker) members(n *jsontree.Node, read func(name string, value *jsontree.Node)) {
	if !c.want(n, jsontree.Object) {
		return
	}
	var seen map[string]bool
	if len(n.Children) > 1 {
		seen = make(map[string]bool, len(n.Children))
	}
	for _, child := range n.Children {
		if seen[child.Key] {
			c.add(child, "key %q stands twice", child.Key)
			continue
		}
		if seen != nil {
			seen[child.Key] = true
		}
		read(child.Key, child)
	}
}

// overrides reads a settings object at a level of the tree.
func (c *checker) overrides(n *jsontree.Node, level Level) []override {
	var out []override
	c.members(n, func(name string, value *jsontree.Node) {
		i, known := keyIndex[name]
		if !known {
			c.add(value, "unknown key %q", name)
			return
		}
		if !keys[i].holdsAt(level) {
			c.add(value, "%q is not a setting of a %s: %s", name, level, keys[i].levelsText())
			return
		}
		if change := keys[i].read(c, value); change != nil {
			out = append(out, override{i, change, value})
		}
	})
	return out
}

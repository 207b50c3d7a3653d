package settings

import (
	"fmt"
	"strings"

	"fuchsiavane.org/core/jsontree"
)

// Finding is one error in a settings document and its position.
type Finding struct {
	// Pointer is the JSON pointer (RFC 6901) of the value; empty for the root.
	Pointer string `json:"pointer"`
	// Line is the line in the document, counted from 1; 0 if unknown.
	Line int `json:"line"`
	// Message describes the error.
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

// Findings are all errors of one document. Error lists each on its own line.
type Findings []Finding

// Error implements error.
func (fs Findings) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// rankReference is a use of a rank name, which "ranks" must define.
type rankReference struct {
	node *jsontree.Node
	name string
}

// shareWindows is one value of the setting "hours"; nodes[i] is the JSON value
// of windows[i].
type shareWindows struct {
	nodes   []*jsontree.Node
	windows []Window
}

// checker reads a document and collects its findings.
type checker struct {
	findings Findings
	// faults[i] is the cause of findings[i].
	faults      []fault
	rankRefs    []rankReference
	windowLists []shareWindows
	// notes are findings of a tolerant read that need no repair.
	notes Findings
	// tolerant is set if the findings are repaired instead of reported as errors.
	tolerant bool
}

func (c *checker) addFinding(n *jsontree.Node, format string, args ...any) {
	c.findings = append(c.findings, Finding{n.Pointer(), int(n.Line), fmt.Sprintf(format, args...)})
	c.faults = append(c.faults, fault{node: n})
}

func (c *checker) addRankReference(n *jsontree.Node, name string) {
	c.rankRefs = append(c.rankRefs, rankReference{n, name})
}

func (c *checker) checkKind(n *jsontree.Node, k jsontree.Kind) bool {
	if n.Kind == k {
		return true
	}
	c.addFinding(n, "is %s, must be %s", n.Kind, k)
	return false
}

func (c *checker) readString(n *jsontree.Node) (string, bool) {
	if !c.checkKind(n, jsontree.String) {
		return "", false
	}
	return n.Text, true
}

func (c *checker) readBoolean(n *jsontree.Node) (bool, bool) {
	return n.Boolean, c.checkKind(n, jsontree.Boolean)
}

func (c *checker) readNumber(n *jsontree.Node, minValue, maxValue float64) (float64, bool) {
	if !c.checkKind(n, jsontree.Number) {
		return 0, false
	}
	if n.Number < minValue || n.Number > maxValue {
		c.addFinding(n, "%s is outside %v to %v", n.Text, minValue, maxValue)
		return 0, false
	}
	return n.Number, true
}

// maxNameBytes is the maximum length of service and rank names.
const maxNameBytes = 128

// checkName reports a name that a request header can't carry.
func (c *checker) checkName(n *jsontree.Node, kind, name, forbidden string) {
	visible := func(r rune) bool { return r > ' ' && r < 0x7f && !strings.ContainsRune(forbidden, r) }
	bad := strings.IndexFunc(name, func(r rune) bool { return !visible(r) }) >= 0
	if name == "" || len(name) > maxNameBytes || bad {
		c.addFinding(n, "%s %q must be 1 to %d visible ASCII characters without spaces or any of %q", kind, name, maxNameBytes, forbidden)
	}
}

// readObject calls the reader of each member and reports unknown and duplicate
// keys.
func (c *checker) readObject(n *jsontree.Node, readers map[string]func(*jsontree.Node)) {
	c.readMembers(n, func(name string, value *jsontree.Node) {
		read, known := readers[name]
		if !known {
			c.addFinding(value, "unknown key %q", name)
			return
		}
		read(value)
	})
}

// readMembers calls read for each member of an object and reports duplicate keys.
func (c *checker) readMembers(n *jsontree.Node, read func(name string, value *jsontree.Node)) {
	if !c.checkKind(n, jsontree.Object) {
		return
	}
	var seen map[string]bool
	if len(n.Children) > 1 {
		seen = make(map[string]bool, len(n.Children))
	}
	for _, child := range n.Children {
		if seen[child.Key] {
			c.addFinding(child, "duplicate key %q", child.Key)
			continue
		}
		if seen != nil {
			seen[child.Key] = true
		}
		read(child.Key, child)
	}
}

// readOverrides reads the settings object of one level of the tree.
func (c *checker) readOverrides(n *jsontree.Node, level Level) []override {
	var out []override
	c.readMembers(n, func(name string, value *jsontree.Node) {
		i, known := keyIndexes[name]
		if !known {
			c.addFinding(value, "unknown key %q", name)
			return
		}
		if !keys[i].allowedAt(level) {
			c.addFinding(value, "%q is not a setting of a %s: %s", name, level, keys[i].allowedLevelsText())
			return
		}
		from := len(c.faults)
		change := keys[i].read(c, value)
		if change != nil {
			out = append(out, override{i, change, value})
		} else if keys[i].safeValue != "" {
			c.repairBy(from, replaceBy(value, keys[i].safeValue))
		}
	})
	return out
}

package settings

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"fuchsiavane.org/core/jsontree"
)

// Change is one setting whose value differs between two documents.
type Change struct {
	// Pointer is the JSON pointer of the setting, with the name of a rank
	// instead of its index.
	Pointer string `json:"pointer"`
	// Before and After are the values as JSON; empty if the setting is not set.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// String formats the change for an operator.
func (c Change) String() string {
	switch {
	case c.Before == "":
		return c.Pointer + ": set to " + c.After
	case c.After == "":
		return c.Pointer + ": " + c.Before + " removed"
	}
	return c.Pointer + ": " + c.Before + " to " + c.After
}

// Diff lists the settings whose values differ between two documents, sorted by
// pointer. It ignores white space and the order of keys. A document that is not
// JSON counts as one without settings.
func Diff(before, after []byte) []Change {
	a, b := flatten(before), flatten(after)
	pointers := slices.Sorted(maps.Keys(a))
	for pointer := range b {
		if _, inBoth := a[pointer]; !inBoth {
			pointers = append(pointers, pointer)
		}
	}
	slices.Sort(pointers)
	var changes []Change
	for _, pointer := range pointers {
		if a[pointer] != b[pointer] {
			changes = append(changes, Change{pointer, a[pointer], b[pointer]})
		}
	}
	return changes
}

// flatten returns the value of each setting as JSON, by pointer.
func flatten(document []byte) map[string]string {
	flat := map[string]string{}
	root, err := jsontree.Parse(document)
	if err != nil {
		return flat
	}
	flattenNode(flat, root, root.Pointer())
	return flat
}

func flattenNode(flat map[string]string, n *jsontree.Node, pointer string) {
	switch {
	case n.Kind == jsontree.Object:
		for _, child := range n.Children {
			flattenNode(flat, child, pointer+"/"+jsontree.EscapeToken(child.Key))
		}
	case pointer == "/ranks" && n.Kind == jsontree.Array:
		flattenRanks(flat, n, pointer)
	case n.Kind == jsontree.Array && len(n.Children) > 0:
		for i, item := range n.Children {
			flattenNode(flat, item, pointer+"/"+strconv.Itoa(i))
		}
	default:
		flat[pointer] = n.Compact()
	}
}

// flattenRanks adds the settings of each rank under the rank's name, and the
// order of the ranks as a setting of its own.
func flattenRanks(flat map[string]string, n *jsontree.Node, pointer string) {
	var names []string
	for _, item := range n.Children {
		name := rankName(item)
		names = append(names, name)
		flattenNode(flat, item, pointer+"/"+jsontree.EscapeToken(name))
	}
	flat[pointer] = strings.Join(names, " > ")
}

func rankName(n *jsontree.Node) string {
	for _, child := range n.Children {
		if child.Key == "name" {
			return child.Text
		}
	}
	return n.Pointer()
}

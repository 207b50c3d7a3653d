package settings

import (
	"math"
	"slices"

	"fuchsiavane.org/core/jsontree"
)

// UnservedService is the service of a route whose own services can't be read. No
// instance announces it, so that requests on the route are refused without a run
// and don't fall to a route with a shorter prefix.
const UnservedService = "(unserved)"

// ParseTolerant reads a document that a newer version may have written. It leaves
// out only the parts that this version doesn't know or that break a rule, and
// returns a finding for each of them. A setting that is left out is inherited from
// the level above, unless its Key has a safe value. The document is nil if it is too
// large or is not a JSON object.
func ParseTolerant(data []byte) (*Document, Findings) {
	root, findings := parseTree(data)
	if root == nil {
		return nil, findings
	}
	for {
		c := &checker{tolerant: true}
		d := c.build(root)
		findings = append(findings, c.findings...)
		if len(c.findings) == 0 {
			d.releaseNodes()
			findings = append(findings, c.notes...)
			slices.SortStableFunc(findings, compareFindings)
			return d, findings
		}
		if !c.repair() {
			return nil, findings
		}
	}
}

// fault is the JSON value that a finding is about, and how to make the document
// readable without it.
type fault struct {
	node *jsontree.Node
	// repair changes the JSON tree; nil removes the node.
	repair func()
}

// repair changes the JSON tree so that the findings don't occur again. It returns
// false if the document as a whole can't be read.
func (c *checker) repair() bool {
	for _, f := range c.faults {
		switch {
		case f.repair != nil:
			f.repair()
		case !f.node.Remove():
			return false
		}
	}
	return true
}

// repairBy sets the repair of the findings from the given number on.
func (c *checker) repairBy(from int, repair func()) {
	for i := from; i < len(c.faults); i++ {
		c.faults[i].repair = repair
	}
}

// replaceBy returns a repair that replaces a value by another JSON text.
func replaceBy(n *jsontree.Node, text string) func() {
	return func() {
		if replacement, err := jsontree.Parse([]byte(text)); err == nil {
			n.SetValue(replacement)
		}
	}
}

// block returns a repair that leaves a route without a service.
func block(route *jsontree.Node) func() {
	return func() {
		replacement, err := jsontree.Parse([]byte(`{"` + UnservedService + `":1}`))
		if err == nil {
			route.SetMember("services", replacement)
		}
	}
}

// scaleShares returns a repair that scales the shares of ranks so that they add up
// to 1.
func scaleShares(ranks *jsontree.Node, sum float64) func() {
	return func() {
		for _, rank := range ranks.Children {
			for _, member := range rank.Children {
				if member.Key == "share" {
					member.Number = math.Max(member.Number/sum, 0)
				}
			}
		}
	}
}

package jsontree

import "slices"

// Remove removes the node from its parent. It returns false for the root. The
// pointers of the nodes that stay do not change.
func (n *Node) Remove() bool {
	if n.parent == nil {
		return false
	}
	n.parent.Children = slices.DeleteFunc(n.parent.Children, func(child *Node) bool { return child == n })
	return true
}

// SetValue replaces the node's value by that of another tree, which must not be
// used afterwards. The node keeps its key and position.
func (n *Node) SetValue(from *Node) {
	n.Kind, n.Text, n.Number, n.Boolean, n.Children = from.Kind, from.Text, from.Number, from.Boolean, from.Children
	for _, child := range n.Children {
		child.parent = n
	}
}

// SetMember sets a member of an object to the value of another tree, which must not
// be used afterwards.
func (n *Node) SetMember(key string, value *Node) {
	for _, child := range n.Children {
		if child.Key == key {
			child.SetValue(value)
			return
		}
	}
	n.Children = append(n.Children, &Node{Key: key, Line: n.Line, index: int32(len(n.Children)), parent: n})
	n.Children[len(n.Children)-1].SetValue(value)
}

package packer

// MaxTasks returns how many tasks of the request, up to r.Count, fit into the free
// resources of the node.
func MaxTasks(n Node, r Request) int { return r.maxTasks(n, n.Free) }

// NeedsOneRack reports whether Place would place the request in one rack only: it asks for
// that, and some rack could hold it.
func NeedsOneRack(nodes []Node, r Request) bool {
	return r.SameRack && r.Count > 1 && anyEmptyRackHolds(nodes, r)
}

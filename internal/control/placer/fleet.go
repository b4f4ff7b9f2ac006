// Package placer solves the bin packing of gangs and guarantees on a fleet of
// workers. It is pure: the same input gives the same places.
//
//	fleet := placer.NewFleet(nodes)
//	free := fleet.Totals()
//	places, ok := fleet.Place(free, placer.Request{Tasks: 4, PerTask: placer.Resources{Accelerators: 8}, Within: specifier.WithinRack}, placer.Options{})
//	free.Allocate(places)
package placer

import (
	"cmp"
	"slices"

	"daisyhead/internal/entry/specifier"
)

// Resources are amounts on one worker: processors in cores, memory in MB, and
// accelerators.
type Resources struct {
	Processors   int
	MemoryMB     int
	Accelerators int
}

// Node is a worker with its capacity and its location.
type Node struct {
	Worker string
	Rack   string
	Domain string
	Region string
	// Total is the capacity of the empty node.
	Total Resources
}

// Fleet is an immutable set of nodes, sorted by region, domain, rack and worker.
type Fleet struct {
	Nodes []Node
	// index maps workers to positions in Nodes.
	index map[string]int
	// spans holds the groups of nodes of each level.
	spans           [5][]span
	maxAccelerators int
}

// span is the range [from, to) of the nodes of one worker, rack, domain, region
// or the whole fleet.
type span struct{ from, to int }

// Free holds the free resources of each node, in the fleet's order.
type Free []Resources

// NodeTasks is a number of tasks on one node, given by its position in the fleet,
// and what each task takes there.
type NodeTasks struct {
	Node    int
	Tasks   int
	PerTask Resources
}

// levels are the adjacencies from the tightest to the loosest. Fleet.spans has the
// same order.
var levels = [5]specifier.Adjacency{
	specifier.WithinWorker, specifier.WithinRack, specifier.WithinDomain, specifier.WithinRegion, specifier.WithinAny,
}

// Indexes of levels.
const (
	rackLevel   = 1
	domainLevel = 2
)

// NewFleet returns a fleet of the nodes, grouped by each adjacency level.
func NewFleet(nodes []Node) *Fleet {
	f := &Fleet{Nodes: slices.Clone(nodes), index: make(map[string]int, len(nodes))}
	slices.SortFunc(f.Nodes, func(a, b Node) int {
		return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.Worker, b.Worker))
	})
	for i, n := range f.Nodes {
		f.index[n.Worker] = i
		f.maxAccelerators = max(f.maxAccelerators, n.Total.Accelerators)
	}
	for level := range f.spans {
		f.spans[level] = f.spansOfLevel(level)
	}
	return f
}

// spansOfLevel returns the groups of nodes of one adjacency level.
func (f *Fleet) spansOfLevel(level int) []span {
	var spans []span
	for i := range f.Nodes {
		if i > 0 && f.sameGroup(level, i-1, i) {
			spans[len(spans)-1].to = i + 1
			continue
		}
		spans = append(spans, span{i, i + 1})
	}
	return spans
}

// sameGroup reports whether nodes i and j are in the same group of a level.
func (f *Fleet) sameGroup(level, i, j int) bool {
	a, b := f.Nodes[i], f.Nodes[j]
	switch levels[level] {
	case specifier.WithinWorker:
		return false
	case specifier.WithinRack:
		return a.Region == b.Region && a.Domain == b.Domain && a.Rack == b.Rack
	case specifier.WithinDomain:
		return a.Region == b.Region && a.Domain == b.Domain
	case specifier.WithinRegion:
		return a.Region == b.Region
	}
	return true
}

// Index returns the position of a worker in Nodes, or -1 if it is unknown.
func (f *Fleet) Index(worker string) int {
	if i, ok := f.index[worker]; ok {
		return i
	}
	return -1
}

// Totals returns the free resources of an empty fleet.
func (f *Fleet) Totals() Free {
	free := make(Free, len(f.Nodes))
	for i, n := range f.Nodes {
		free[i] = n.Total
	}
	return free
}

// Clone returns a copy of f.
func (f Free) Clone() Free { return slices.Clone(f) }

// Allocate subtracts what the places use. An amount may become negative.
func (f Free) Allocate(places []NodeTasks) {
	for _, p := range places {
		f[p.Node] = f[p.Node].Minus(p.PerTask.Times(p.Tasks))
	}
}

// Release adds what the places use.
func (f Free) Release(places []NodeTasks) {
	for _, p := range places {
		f[p.Node] = f[p.Node].Plus(p.PerTask.Times(p.Tasks))
	}
}

// Min returns the elementwise minimum of f and g.
func (f Free) Min(g Free) Free {
	minimum := f.Clone()
	for i := range minimum {
		minimum[i] = Resources{
			Processors:   min(f[i].Processors, g[i].Processors),
			MemoryMB:     min(f[i].MemoryMB, g[i].MemoryMB),
			Accelerators: min(f[i].Accelerators, g[i].Accelerators),
		}
	}
	return minimum
}

// NonNegative reports whether no amount is negative.
func (r Resources) NonNegative() bool {
	return r.Processors >= 0 && r.MemoryMB >= 0 && r.Accelerators >= 0
}

// Plus returns r + o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.Processors + o.Processors, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Minus returns r - o.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.Processors - o.Processors, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Times returns n times r.
func (r Resources) Times(n int) Resources {
	return Resources{r.Processors * n, r.MemoryMB * n, r.Accelerators * n}
}

// countFits returns how many times need fits into r: at least 0, and a very large
// number if need is zero.
func (r Resources) countFits(need Resources) int {
	n := 1 << 30
	if need.Processors > 0 {
		n = min(n, r.Processors/need.Processors)
	}
	if need.MemoryMB > 0 {
		n = min(n, r.MemoryMB/need.MemoryMB)
	}
	if need.Accelerators > 0 {
		n = min(n, r.Accelerators/need.Accelerators)
	}
	return max(n, 0)
}

// Package packer finds workers for the tasks of a step. It is pure: it looks
// at free room and costs, and returns a choice.
//
//	fleet := []packer.Node{{Rack: "r1", Free: describer.Resources{Accelerators: 8}}}
//	places, ok := packer.Place(fleet, packer.Request{Count: 2, Need: describer.Resources{Accelerators: 4}})
package packer

import (
	"cmp"
	"slices"

	"daisyhead/internal/workload/describer"
)

// Node is a worker as the packer sees it.
type Node struct {
	Rack   string
	Labels []string
	Free   describer.Resources
	Room   describer.Resources
	// Closed nodes take nothing new.
	Closed bool
	// Cost is what is lost when the node is used; equal costs are decided by fit.
	Cost float64
	// Taken counts tasks of the same step that are on the node already.
	Taken int
}

// Request describes tasks that are placed together.
type Request struct {
	Count int
	Need  describer.Resources
	// SameRack asks for one rack if any rack could ever hold the request.
	SameRack     bool
	RequireLabel string
	// PreferRack is tried before all others.
	PreferRack   string
	MaxPerWorker int
}

// Place returns the node of each task, or false when the request has to wait.
func Place(nodes []Node, r Request) (places []int, ok bool) {
	fits := make([]int, len(nodes))
	total := 0
	for i, n := range nodes {
		fits[i] = r.fits(n, n.Free)
		total += fits[i]
	}
	if total < r.Count {
		return nil, false
	}
	if r.PreferRack != "" {
		if places, ok = fill(nodes, fits, r, inRack(nodes, r.PreferRack)); ok {
			return places, true
		}
	}
	if r.SameRack && r.Count > 1 {
		places, ok = placeInRack(nodes, fits, r)
		if ok || anyRackHolds(nodes, r) {
			return places, ok
		}
	}
	return fill(nodes, fits, r, all(nodes))
}

// Possible reports whether the empty fleet could hold the request. Closed
// nodes count, since they may open again.
func Possible(nodes []Node, r Request) bool {
	total := 0
	for _, n := range nodes {
		n.Closed, n.Taken = false, 0
		if total += r.fits(n, n.Room); total >= r.Count {
			return true
		}
	}
	return false
}

func (r Request) fits(n Node, free describer.Resources) int {
	if n.Closed || r.RequireLabel != "" && !slices.Contains(n.Labels, r.RequireLabel) {
		return 0
	}
	count := r.Count
	for _, c := range [][2]int{
		{free.CPU, r.Need.CPU}, {free.MemoryMB, r.Need.MemoryMB}, {free.Accelerators, r.Need.Accelerators},
	} {
		if c[1] > 0 {
			count = min(count, max(c[0], 0)/c[1])
		}
	}
	if r.MaxPerWorker > 0 {
		count = min(count, r.MaxPerWorker-n.Taken)
	}
	return max(count, 0)
}

// rack is a rack as one request sees it.
type rack struct {
	nodes      []int
	fits, free int
}

// placeInRack takes the rack in which the request costs least, and among those the
// one with the least room left afterwards.
func placeInRack(nodes []Node, fits []int, r Request) (places []int, ok bool) {
	var best []int
	bestCost, bestFree := 0.0, 0
	for _, k := range racks(nodes, fits) {
		if k.fits < r.Count {
			continue
		}
		found, _ := fill(nodes, fits, r, k.nodes)
		cost := costOf(nodes, found)
		if best == nil || cmp.Or(cmp.Compare(cost, bestCost), cmp.Compare(k.free, bestFree)) < 0 {
			best, bestCost, bestFree = found, cost, k.free
		}
	}
	return best, best != nil
}

// racks groups the nodes by rack, in the order in which racks first appear.
func racks(nodes []Node, fits []int) (order []*rack) {
	byName := map[string]*rack{}
	for i, n := range nodes {
		k := byName[n.Rack]
		if k == nil {
			k = &rack{}
			byName[n.Rack] = k
			order = append(order, k)
		}
		k.nodes = append(k.nodes, i)
		k.fits += fits[i]
		k.free += n.Free.Accelerators
	}
	return order
}

// costOf adds the costs of the nodes that places use.
func costOf(nodes []Node, places []int) (cost float64) {
	for i, p := range places {
		if i == 0 || places[i-1] != p {
			cost += nodes[p].Cost
		}
	}
	return cost
}

// anyRackHolds reports whether some rack could hold the request if it were empty.
func anyRackHolds(nodes []Node, r Request) bool {
	room := map[string]int{}
	for _, n := range nodes {
		n.Taken = 0
		if room[n.Rack] += r.fits(n, n.Room); room[n.Rack] >= r.Count {
			return true
		}
	}
	return false
}

// fill puts the tasks on the candidates: cheap nodes first, then those that
// the tasks fill best, so that whole workers stay free for wide tasks.
func fill(nodes []Node, fits []int, r Request, candidates []int) (places []int, ok bool) {
	order := slices.DeleteFunc(slices.Clone(candidates), func(i int) bool { return fits[i] == 0 })
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(
			cmp.Compare(nodes[a].Cost, nodes[b].Cost),
			cmp.Compare(leftover(nodes[a], fits[a], r), leftover(nodes[b], fits[b], r)),
			cmp.Compare(nodes[a].Free.Accelerators, nodes[b].Free.Accelerators),
		)
	})
	for _, i := range order {
		for range fits[i] {
			places = append(places, i)
			if len(places) == r.Count {
				return places, true
			}
		}
	}
	return nil, false
}

// leftover is how many accelerators stay free once the node is filled.
func leftover(n Node, fits int, r Request) int {
	return n.Free.Accelerators - fits*r.Need.Accelerators
}

func inRack(nodes []Node, rack string) (found []int) {
	for i, n := range nodes {
		if n.Rack == rack {
			found = append(found, i)
		}
	}
	return found
}

func all(nodes []Node) []int {
	found := make([]int, len(nodes))
	for i := range nodes {
		found[i] = i
	}
	return found
}

// Package packer chooses workers for the tasks of a step by best-fit bin
// packing. Its functions are pure: the result depends only on the arguments.
//
//	fleet := []packer.Node{{Rack: "r1", Free: describer.Resources{Accelerators: 8}}}
//	places, ok := packer.Place(fleet, packer.Request{Count: 2, Need: describer.Resources{Accelerators: 4}})
package packer

import (
	"cmp"
	"slices"

	"daisyhead/internal/workload/describer"
)

// Node holds the properties of a worker that decide which tasks it can take.
type Node struct {
	Rack   string
	Labels []string
	// Free is the unused part of Room.
	Free describer.Resources
	// Room is the total capacity of the worker.
	Room describer.Resources
	// Closed excludes the node from new placements.
	Closed bool
	// Cost is the penalty for using the node. Nodes with lower cost are preferred;
	// ties are broken by best fit.
	Cost float64
	// StepTasks counts the tasks of the same step that already run on the node.
	StepTasks int
	// Slowness is 0 for a node of ordinary speed, above 0 for a slower one, and below 0
	// for a faster one. It orders nodes of equal cost.
	Slowness int
	// Unknown is set if the node may be slower or faster than Slowness tells.
	Unknown bool
}

// Request describes tasks that are placed together, or not at all.
type Request struct {
	// Count is the number of tasks.
	Count int
	// Need is what each task needs.
	Need describer.Resources
	// SameRack requires all tasks in one rack, unless no rack could hold them even
	// if it were empty.
	SameRack bool
	// RequireLabel excludes nodes without this label; empty means no restriction.
	RequireLabel string
	// PreferRack is tried before all other racks; empty means no preference.
	PreferRack string
	// MaxPerWorker limits the tasks of the step on one worker; 0 means no limit.
	MaxPerWorker int
	// Speed is the preferred speed among nodes of equal cost.
	Speed Speed
	// MaxSlowness excludes slower nodes; 0 means no restriction.
	MaxSlowness int
	// knownFirst prefers nodes of known speed.
	knownFirst bool
	// scarcest is set by Place.
	scarcest scarceResource
}

// Place returns the index in nodes that each task is assigned to. It returns
// false if the request can't be placed now and has to wait.
func Place(nodes []Node, r Request) (places []int, ok bool) {
	maxTasks := make([]int, len(nodes))
	total := 0
	for i, n := range nodes {
		maxTasks[i] = r.maxTasks(n, n.Free)
		total += maxTasks[i]
	}
	if total < r.Count {
		return nil, false
	}
	r.scarcest = findScarcest(nodes)
	if r.PreferRack != "" {
		if places, ok = placeSimilar(nodes, maxTasks, r, nodesInRack(nodes, r.PreferRack)); ok {
			return places, true
		}
	}
	if r.SameRack && r.Count > 1 {
		places, ok = placeInRack(nodes, maxTasks, r)
		if ok || anyEmptyRackHolds(nodes, r) {
			return places, ok
		}
	}
	return placeSimilar(nodes, maxTasks, r, allNodes(nodes))
}

// FitsEmptyFleet reports whether the request would fit if no tasks were running.
// It includes closed nodes, since they may reopen.
func FitsEmptyFleet(nodes []Node, r Request) bool {
	total := 0
	for _, n := range nodes {
		n.Closed, n.StepTasks = false, 0
		if total += r.maxTasks(n, n.Room); total >= r.Count {
			return true
		}
	}
	return false
}

// CountTasks returns how many tasks of the request fit into the free resources of the
// nodes, and how many of them into a single rack. It counts at most r.Count for each node.
func CountTasks(nodes []Node, r Request) (total, inRack int) {
	tasksInRack := map[string]int{}
	for _, n := range nodes {
		tasks := r.maxTasks(n, n.Free)
		total += tasks
		tasksInRack[n.Rack] += tasks
		inRack = max(inRack, tasksInRack[n.Rack])
	}
	return total, inRack
}

// maxTasks returns how many tasks of the request, up to r.Count, fit into the
// free resources of a node. A node that is over its capacity in any respect takes none.
func (r Request) maxTasks(n Node, free describer.Resources) int {
	if n.Closed || r.MaxSlowness > 0 && n.Slowness > r.MaxSlowness || r.RequireLabel != "" && !slices.Contains(n.Labels, r.RequireLabel) {
		return 0
	}
	count := r.Count
	for _, amount := range [][2]int{
		{free.CPU, r.Need.CPU}, {free.MemoryMB, r.Need.MemoryMB}, {free.Accelerators, r.Need.Accelerators},
	} {
		switch {
		case amount[0] < 0:
			return 0
		case amount[1] > 0:
			count = min(count, amount[0]/amount[1])
		}
	}
	if r.MaxPerWorker > 0 {
		count = min(count, r.MaxPerWorker-n.StepTasks)
	}
	return max(count, 0)
}

// rackGroup holds the nodes of one rack, and how many tasks of a request and
// how many free accelerators they have in total.
type rackGroup struct {
	nodes                      []int
	maxTasks, freeAccelerators int
}

// placeInRack places the request in the rack with the lowest total cost. Ties
// go to the rack with the best speeds, then to the rack with the fewest free accelerators.
func placeInRack(nodes []Node, maxTasks []int, r Request) (places []int, ok bool) {
	var best []int
	bestFreeAccelerators := 0
	for _, group := range groupByRack(nodes, maxTasks) {
		if group.maxTasks < r.Count {
			continue
		}
		placed, _ := placeSimilar(nodes, maxTasks, r, group.nodes)
		if best == nil || cmp.Or(comparePlaces(nodes, r, placed, best), cmp.Compare(group.freeAccelerators, bestFreeAccelerators)) < 0 {
			best, bestFreeAccelerators = placed, group.freeAccelerators
		}
	}
	return best, best != nil
}

// groupByRack groups the nodes by rack, in the order in which racks first appear.
func groupByRack(nodes []Node, maxTasks []int) (groups []*rackGroup) {
	byName := map[string]*rackGroup{}
	for i, n := range nodes {
		group := byName[n.Rack]
		if group == nil {
			group = &rackGroup{}
			byName[n.Rack] = group
			groups = append(groups, group)
		}
		group.nodes = append(group.nodes, i)
		group.maxTasks += maxTasks[i]
		group.freeAccelerators += n.Free.Accelerators
	}
	return groups
}

// totalCost sums the costs of the nodes in places. It counts each node once:
// the tasks of a node are next to each other in places.
func totalCost(nodes []Node, places []int) (cost float64) {
	for i, p := range places {
		if i == 0 || places[i-1] != p {
			cost += nodes[p].Cost
		}
	}
	return cost
}

// anyEmptyRackHolds reports whether the request would fit into some rack if no
// tasks were running there. Unlike FitsEmptyFleet, it leaves out closed nodes.
// It ignores the limit of slowness: a gang is not spread because a rack has slow nodes.
func anyEmptyRackHolds(nodes []Node, r Request) bool {
	r.MaxSlowness = 0
	tasksInRack := map[string]int{}
	for _, n := range nodes {
		n.StepTasks = 0
		if tasksInRack[n.Rack] += r.maxTasks(n, n.Room); tasksInRack[n.Rack] >= r.Count {
			return true
		}
	}
	return false
}

// placeBestFit assigns the tasks to the candidates: nodes with the lowest cost
// first, then those of the preferred speed, then those that the tasks leave the fewest
// accelerators on. This keeps entire workers free for tasks that need many accelerators. Ties
// go to the node with the least left of the scarcest resource.
func placeBestFit(nodes []Node, maxTasks []int, r Request, candidates []int) (places []int, ok bool) {
	order := slices.DeleteFunc(slices.Clone(candidates), func(i int) bool { return maxTasks[i] == 0 })
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(
			cmp.Compare(nodes[a].Cost, nodes[b].Cost),
			r.compareUnknown(nodes[a], nodes[b]),
			r.Speed.compare(nodes[a].Slowness, nodes[b].Slowness),
			cmp.Compare(leftoverAccelerators(nodes[a], maxTasks[a], r), leftoverAccelerators(nodes[b], maxTasks[b], r)),
			cmp.Compare(nodes[a].Free.Accelerators, nodes[b].Free.Accelerators),
			cmp.Compare(r.scarcest.leftover(nodes[a], maxTasks[a], r), r.scarcest.leftover(nodes[b], maxTasks[b], r)),
		)
	})
	for _, i := range order {
		for range maxTasks[i] {
			places = append(places, i)
			if len(places) == r.Count {
				return places, true
			}
		}
	}
	return nil, false
}

// leftoverAccelerators returns how many accelerators of the node stay free when
// it takes that many tasks.
func leftoverAccelerators(n Node, tasks int, r Request) int {
	return n.Free.Accelerators - tasks*r.Need.Accelerators
}

func nodesInRack(nodes []Node, rack string) (indexes []int) {
	for i, n := range nodes {
		if n.Rack == rack {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

func allNodes(nodes []Node) []int {
	indexes := make([]int, len(nodes))
	for i := range nodes {
		indexes[i] = i
	}
	return indexes
}

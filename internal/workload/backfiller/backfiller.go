// Package backfiller chooses the workers whose capacity is kept for a gang that does not
// fit yet: those on which all of its tasks will have capacity soonest, by the expected ends
// of what runs there. Its functions are pure: the result depends only on the arguments.
//
//	c, ok := backfiller.Choose(backfiller.Input{Nodes: fleet, Releases: releases, Request: gang, WithinMS: 30000})
//	if ok {
//		// c.Places[i] is the node of task i, c.ReadyInMS the time until all of them fit
//	}
package backfiller

import (
	"cmp"
	"slices"

	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/packer"
)

// Release is capacity of a node that is expected to become free.
type Release struct {
	Amount describer.Resources
	// InMS is the expected time until then.
	InMS int64
}

// Input describes a gang and the nodes as it sees them.
type Input struct {
	Nodes []packer.Node
	// Releases returns what becomes free on a node, in any order. It is called for nodes
	// that are open and can't take all tasks at once. Choose sorts the result in place.
	Releases func(node int) []Release
	Request  packer.Request
	// WithinMS is the longest time after which capacity counts.
	WithinMS int64
}

// Choice is where the tasks of a gang will fit.
type Choice struct {
	// Places holds the index of a node for each task. The tasks of a node are next to each
	// other.
	Places []int
	// ReadyInMS is the expected time until all tasks fit.
	ReadyInMS int64
	// FreeTasks is how many of the tasks fit already.
	FreeTasks int
}

// Choose returns the nodes on which the gang will fit soonest. If Place would place it only in
// one rack, it is the rack that is ready first. It returns false if the tasks don't fit
// within the time.
func Choose(in Input) (c Choice, ok bool) {
	var slots []slot
	for i := range in.Nodes {
		slots = in.appendSlots(slots, i)
	}
	if !packer.NeedsOneRack(in.Nodes, in.Request) {
		return in.earliest(slots)
	}
	byRack := map[string][]slot{}
	var racks []string
	for _, s := range slots {
		rack := in.Nodes[s.node].Rack
		if byRack[rack] == nil {
			racks = append(racks, rack)
		}
		byRack[rack] = append(byRack[rack], s)
	}
	for _, rack := range racks {
		found, fits := in.earliest(byRack[rack])
		if fits && (!ok || compareChoices(found, c) < 0) {
			c, ok = found, true
		}
	}
	return c, ok
}

// compareChoices orders by the time until all tasks fit. Of two choices that are ready at the
// same time it prefers the one that keeps less capacity idle until then.
func compareChoices(a, b Choice) int {
	return cmp.Or(cmp.Compare(a.ReadyInMS, b.ReadyInMS), cmp.Compare(a.FreeTasks, b.FreeTasks))
}

// slot is the capacity for one task of the request.
type slot struct {
	node int
	inMS int64
}

// appendSlots appends the slots of a node, at most one for each task of the request.
func (in Input) appendSlots(slots []slot, node int) []slot {
	n := in.Nodes[node]
	if n.Closed || !n.Room.Fits(in.Request.Need) {
		return slots
	}
	tasks := packer.MaxTasks(n, in.Request)
	for range tasks {
		slots = append(slots, slot{node: node})
	}
	if tasks >= in.Request.Count {
		return slots
	}
	releases := in.Releases(node)
	slices.SortStableFunc(releases, func(a, b Release) int { return cmp.Compare(a.InMS, b.InMS) })
	for _, r := range releases {
		if r.InMS > in.WithinMS {
			break
		}
		n.Free = n.Free.Add(r.Amount)
		for fitting := packer.MaxTasks(n, in.Request); tasks < fitting; tasks++ {
			slots = append(slots, slot{node: node, inMS: r.InMS})
		}
	}
	return slots
}

// earliest returns the choice of the earliest slots. Among equal times it prefers nodes in the
// packer's order: those of low cost, then those of the preferred speed.
func (in Input) earliest(slots []slot) (c Choice, ok bool) {
	count := in.Request.Count
	if len(slots) < count {
		return c, false
	}
	slices.SortStableFunc(slots, func(a, b slot) int {
		x, y := in.Nodes[a.node], in.Nodes[b.node]
		return cmp.Or(cmp.Compare(a.inMS, b.inMS), cmp.Compare(x.Cost, y.Cost), cmp.Compare(x.Slowness, y.Slowness), cmp.Compare(a.node, b.node))
	})
	for _, s := range slots[:count] {
		c.Places = append(c.Places, s.node)
		if s.inMS == 0 {
			c.FreeTasks++
		}
	}
	slices.Sort(c.Places)
	c.ReadyInMS = slots[count-1].inMS
	return c, true
}

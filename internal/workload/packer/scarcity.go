package packer

import "daisyhead/internal/workload/describer"

// scarceDivisor: a resource is scarce if less than one part in this many is free.
const scarceDivisor = 4

// scarceResource is the scarcest resource of a fleet.
type scarceResource int

const (
	// scarceNone: none is scarce, or the accelerators are, by which placeBestFit orders anyway.
	scarceNone scarceResource = iota
	scarceCPU
	scarceMemory
)

// findScarcest returns the resource of which the smallest part is free on the open nodes.
func findScarcest(nodes []Node) scarceResource {
	var free, room describer.Resources
	for _, n := range nodes {
		if n.Closed {
			continue
		}
		room = room.Add(n.Room)
		free.CPU += max(n.Free.CPU, 0)
		free.MemoryMB += max(n.Free.MemoryMB, 0)
		free.Accelerators += max(n.Free.Accelerators, 0)
	}
	part := func(free, room int) float64 {
		if room == 0 {
			return 1
		}
		return float64(free) / float64(room)
	}
	cpu, memory := part(free.CPU, room.CPU), part(free.MemoryMB, room.MemoryMB)
	scarcest := min(cpu, memory)
	switch {
	case scarcest*scarceDivisor >= 1 || part(free.Accelerators, room.Accelerators) <= scarcest:
		return scarceNone
	case memory == scarcest:
		return scarceMemory
	}
	return scarceCPU
}

// leftover returns how much of the resource is left on the node when it takes that many tasks of
// the request, 0 if there is no such resource.
func (s scarceResource) leftover(n Node, tasks int, r Request) int {
	switch s {
	case scarceCPU:
		return n.Free.CPU - tasks*r.Need.CPU
	case scarceMemory:
		return n.Free.MemoryMB - tasks*r.Need.MemoryMB
	}
	return 0
}

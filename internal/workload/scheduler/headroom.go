package scheduler

import (
	"cmp"
	"slices"

	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/packer"
)

// headroomDivisor sets the headroom that stays free for urgent work to one accelerator
// in this many. The objective of urgent work is too short to wait until other work has
// stopped.
const headroomDivisor = 6

// reserveHeadroom closes empty workers to all but urgent work, except those with capacity
// that is kept for a gang. It takes those that are not slow first, and them from as few racks
// as possible, so that a gang fits into one rack.
func (p *plan) reserveHeadroom() {
	p.generalNodes = slices.Clone(p.nodes)
	total := 0
	free := map[string]int{}
	var empty []int
	for i, n := range p.nodes {
		total += n.Room.Accelerators
		if !n.Closed {
			p.idleAccelerators[p.workers[i].Service] += n.Free.Accelerators
			p.openAccelerators[p.workers[i].Service] += n.Room.Accelerators
		}
		if !n.Closed && n.Free == n.Room && !p.backfill.workers[i] {
			empty = append(empty, i)
			if n.Slowness <= 0 {
				free[n.Rack] += n.Free.Accelerators
			}
		}
	}
	slices.SortStableFunc(empty, func(a, b int) int {
		x, y := p.nodes[a].Rack, p.nodes[b].Rack
		return cmp.Or(cmp.Compare(max(p.nodes[a].Slowness, 0), max(p.nodes[b].Slowness, 0)), cmp.Compare(free[y], free[x]), cmp.Compare(x, y))
	})
	want := total / headroomDivisor
	for _, i := range empty {
		if want <= 0 {
			return
		}
		p.generalNodes[i].Closed = true
		want -= p.nodes[i].Free.Accelerators
	}
}

// capacity is the total and the free capacity of a service.
type capacity struct {
	room, free describer.Resources
}

func (c *capacity) add(n packer.Node) {
	c.room, c.free = c.room.Add(n.Room), c.free.Add(n.Free)
}

// idlePercent is the idle share of a service's capacity above which work need not wait
// for a place that meets all preferences. The platform requires that no job waits while
// half of the capacity is free; the lower value allows for small differences in how the
// platform counts it.
const idlePercent = 40

// idleEnough reports whether more than idlePercent of the accelerators of the service's
// open workers are free, so that the headroom may be used for other work at once.
func (p *plan) idleEnough(service string) bool {
	return p.idleAccelerators[service]*100 > p.openAccelerators[service]*idlePercent
}

// mostlyIdle reports whether more than idlePercent of any resource of the service is free.
// A service may be idle in this sense although most of its accelerators are in use, or
// although it has none.
func (p *plan) mostlyIdle(service string) bool {
	c := p.capacity[service]
	return c != nil && (c.free.CPU*100 > c.room.CPU*idlePercent ||
		c.free.MemoryMB*100 > c.room.MemoryMB*idlePercent || p.acceleratorsIdle(service))
}

// entirelyIdle reports whether more than idlePercent of each resource of the service is free.
func (p *plan) entirelyIdle(service string) bool {
	c := p.capacity[service]
	return c != nil && c.free.CPU*100 >= c.room.CPU*idlePercent &&
		c.free.MemoryMB*100 >= c.room.MemoryMB*idlePercent && c.free.Accelerators*100 >= c.room.Accelerators*idlePercent
}

// acceleratorsIdle is idleEnough with the workers in quarantine.
func (p *plan) acceleratorsIdle(service string) bool {
	c := p.capacity[service]
	return c != nil && c.free.Accelerators*100 > c.room.Accelerators*idlePercent
}

// withHeadroom returns a copy of the nodes in which the headroom workers of the step's
// service are open too.
func (p *plan) withHeadroom(nodes []packer.Node, c candidate) []packer.Node {
	all := slices.Clone(nodes)
	for i, w := range p.workers {
		kept := p.generalNodes[i].Closed && !p.nodes[i].Closed
		if kept && w.Service == c.queue.Service {
			all[i].Closed = false
		}
	}
	return all
}

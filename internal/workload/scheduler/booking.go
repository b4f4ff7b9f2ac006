package scheduler

import (
	"slices"

	"daisyhead/internal/workload/packer"
)

// booking is the room that an urgent unit waits for. Nobody else gets it, so work
// is stopped for the unit at most once.
type booking struct {
	unit    *unit
	request packer.Request
	on      []*worker
	madeMS  int64
}

// reportMS is how long the end of a stopped task may take to be reported, beside the
// time of the stop: a retry of the order and a report.
const reportMS = 250

// valid reports whether the booked workers can still be given the unit, and whether
// its room may still come free.
func (m *Model) valid(b *booking) bool {
	overdue := m.at.MonoMS-b.madeMS > m.cfg.StopMS+reportMS
	return !overdue && !slices.ContainsFunc(b.on, func(w *worker) bool { return !m.fit(w) })
}

// dropBookings forgets the bookings of units that don't wait any more.
func (m *Model) dropBookings() {
	m.bookings = slices.DeleteFunc(m.bookings, func(b *booking) bool {
		u := b.unit
		over := u.booking != b || u.state != unitWaiting || u.step.job.cancelled || u.step.job.over || !m.valid(b)
		if over && u.booking == b {
			u.booking = nil
		}
		return over
	})
}

// reserve takes the booked room off the nodes, unreserve gives it back.
func (p *plan) reserve(b *booking) {
	for _, w := range b.on {
		if i, ok := p.index[w]; ok {
			p.setFree(i, p.nodes[i].Free.Sub(b.request.Need))
		}
	}
}

func (p *plan) unreserve(b *booking) {
	for _, w := range b.on {
		if i, ok := p.index[w]; ok {
			p.setFree(i, p.nodes[i].Free.Add(b.request.Need))
		}
	}
}

// endsSoon reports whether the run's room is free by itself before it would be if the
// run were stopped.
func (m *Model) endsSoon(r *run) bool {
	switch {
	case r.unit == nil || r.unit.state == unitStopping || r.unit.state == unitDone:
		return true
	case r.unit.step.spec.Perpetual:
		return false
	}
	return m.remainingMS(r.unit) <= m.cfg.StopMS
}

// book finds room for an urgent unit that does not fit, stops the work on it and keeps
// it for the unit.
func (m *Model) book(p *plan, nodes []packer.Node, c candidate, u *unit, r packer.Request) bool {
	if u.booking != nil {
		p.reserve(u.booking)
		return true
	}
	found, ok := m.findRoom(p, nodes, c, r)
	if !ok {
		return false
	}
	b := &booking{unit: u, request: r, madeMS: m.at.MonoMS}
	for _, i := range found.places {
		b.on = append(b.on, p.workers[i])
	}
	u.booking = b
	m.bookings = append(m.bookings, b)
	m.event("RoomBooked", "Job", u.id.Job, "Unit", u.id.String(), "Workers", ids(b.on), "Stops", len(found.victims), "Claimed", found.claimed)
	for _, v := range found.victims {
		m.event("UnitPreempted", "Job", v.ref.Unit.Job, "Unit", v.ref.Unit.String(), "For", u.id.Job, "Worker", v.worker.ID, "LostCoreMS", int64(m.loss(v)), "Claimed", found.claimed)
		m.stopUnit(v.unit, "preempted for job "+u.id.Job)
	}
	p.reserve(b)
	return true
}

// room is where an urgent unit can go once the victims have stopped.
type room struct {
	places  []int
	victims []*run
	// claimed is set within the workspace's guarantee.
	claimed bool
}

// findRoom chooses the workers on which the least work is lost: whatever that costs
// within the workspace's guarantee, and beyond it if little is lost.
func (m *Model) findRoom(p *plan, nodes []packer.Node, c candidate, r packer.Request) (found room, ok bool) {
	freed := slices.Clone(nodes)
	for i := range p.workers {
		m.offer(p, freed, i, r)
	}
	if found.places, ok = packer.Place(freed, r); !ok {
		return found, false
	}
	workspace := c.step.job.sub.Job.Workspace
	found.claimed = p.used[workspace]+r.Count*r.Need.Accelerators <= m.Config.Guaranteed(workspace)
	victims, lost := m.victims(p, nodes, found.places, r)
	if !found.claimed && lost > m.worthLosing(c.step) {
		return found, false
	}
	p.used[workspace] += r.Count * r.Need.Accelerators
	found.victims = victims
	return found, true
}

// offer adds the room of runs that end soon and of those that can be stopped. Its cost
// is the loss for one task of the request.
func (m *Model) offer(p *plan, freed []packer.Node, i int, r packer.Request) {
	n := &freed[i]
	for _, v := range p.workers[i].runs.list {
		if m.endsSoon(v) {
			n.Free = n.Free.Add(v.need)
		}
	}
	free := n.Free
	for _, v := range m.preemptible(p.workers[i]) {
		if m.endsSoon(v) {
			continue
		}
		if !free.Fits(r.Need) {
			n.Cost += m.loss(v)
			free = free.Add(v.need)
		}
		n.Free = n.Free.Add(v.need)
	}
}

func ids(workers []*worker) []string {
	names := make([]string, len(workers))
	for i, w := range workers {
		names[i] = w.ID
	}
	return names
}

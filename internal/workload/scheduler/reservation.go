package scheduler

import (
	"slices"

	"daisyhead/internal/workload/packer"
)

// reservation is capacity that is held for a waiting urgent unit. No other unit can use
// it, so other work is preempted for the unit at most once.
type reservation struct {
	unit    *unit
	request packer.Request
	// workers holds one entry for each task of the unit.
	workers   []*worker
	createdMS int64
	// claims is set if the unit claims its place.
	claims bool
}

// stopReportMS is the longest time, beyond that of the stop itself, until the end of a
// stopped task is reported: one retry of the order and one report.
const stopReportMS = 250

// passesToPlace is how many passes a reservation outlasts the time in which its capacity
// should become free, so that slow passes don't preempt other work for the unit again.
const passesToPlace = 2

// claimPatience is how many times as long the reservation of a unit that claims its place lasts:
// all that was stopped for it is lost if it expires just before the last of that is reported.
const claimPatience = 2

// freedWithinMS is the longest time until capacity should be free, and used, whose work is
// being stopped.
func (m *Model) freedWithinMS() int64 {
	return m.cfg.StopMS + stopReportMS + passesToPlace*m.passPauseMS
}

// reservationValid reports whether the reserved workers can still take new tasks, and
// whether the reservation is recent enough that its capacity may still become free.
func (m *Model) reservationValid(res *reservation) bool {
	waitMS := m.freedWithinMS()
	if res.claims {
		waitMS *= claimPatience
	}
	overdue := m.now.MonoMS-res.createdMS > waitMS
	return !overdue && !slices.ContainsFunc(res.workers, func(w *worker) bool { return !m.schedulable(w) })
}

// removeStaleReservations removes invalid reservations and those of units that no longer
// wait.
func (m *Model) removeStaleReservations() {
	m.reservations = slices.DeleteFunc(m.reservations, func(res *reservation) bool {
		u := res.unit
		valid := m.reservationValid(res)
		stale := u.reservation != res || u.state != unitWaiting || u.step.job.cancelled || u.step.job.ended || !valid
		u.missedReservation = u.missedReservation || !valid
		if stale && u.reservation == res {
			u.reservation = nil
		}
		return stale
	})
}

// reserve subtracts the reserved capacity from the free capacity of the nodes.
func (p *plan) reserve(res *reservation) {
	for _, w := range res.workers {
		if i, ok := p.index[w]; ok {
			p.setFree(i, p.nodes[i].Free.Sub(res.request.Need))
		}
	}
}

// release returns the reserved capacity to the nodes.
func (p *plan) release(res *reservation) {
	for _, w := range res.workers {
		if i, ok := p.index[w]; ok {
			p.setFree(i, p.nodes[i].Free.Add(res.request.Need))
		}
	}
}

// endsSoon reports whether the run is expected to end no later than it would if it were
// stopped now. For a claim, one that should have ended by now is not, and if the claim must not
// rely on estimates, only what is being stopped is.
func (m *Model) endsSoon(r *run, shape requestShape) bool {
	switch {
	case r.unit == nil || r.unit.state == unitDone:
		return true
	case r.unit.state == unitStopping:
		return !shape.claims || !m.stopOverdue(r.unit)
	case r.unit.step.spec.Perpetual || shape.certain:
		return false
	}
	if m.remainingMS(r.unit) > m.cfg.StopMS {
		r.endsSoonSinceMS = 0
		return false
	}
	if r.endsSoonSinceMS == 0 {
		r.endsSoonSinceMS = m.now.MonoMS
	}
	return !shape.claims || m.now.MonoMS-r.endsSoonSinceMS <= m.freedWithinMS()
}

// stopOverdue reports whether the unit should have stopped by now. Its worker may be lost, so
// that its capacity becomes free much later.
func (m *Model) stopOverdue(u *unit) bool {
	return m.now.MonoMS-u.stateSinceMS > m.freedWithinMS()
}

// preemptAndReserve chooses workers for an urgent unit that does not fit, preempts tasks
// there, and reserves the capacity for the unit. possible is set if there are such
// workers, even if too much work would be lost on them.
func (m *Model) preemptAndReserve(p *plan, nodes []packer.Node, c candidate, u *unit, shape requestShape) (reserved, possible bool) {
	req := shape.request
	if u.reservation != nil {
		p.reserve(u.reservation)
		return true, true
	}
	found, ok := m.findPreemption(p, nodes, c, u, shape)
	if !ok {
		return false, found.places != nil
	}
	res := &reservation{unit: u, request: req, createdMS: m.now.MonoMS, claims: shape.claims}
	for _, i := range found.places {
		res.workers = append(res.workers, p.workers[i])
	}
	u.reservation = res
	m.reservations = append(m.reservations, res)
	m.reserveLimit(p, u)
	m.event("RoomBooked", "Job", u.id.Job, "Unit", u.id.String(), "Workers", workerIDs(res.workers), "Stops", len(found.victims), "Claimed", found.withinGuarantee, "InGuarantee", shape.claims)
	for _, r := range found.victims {
		m.event("UnitPreempted", "Job", r.ref.Unit.Job, "Unit", r.ref.Unit.String(), "For", u.id.Job, "Worker", r.worker.ID, "LostCoreMS", int64(m.loss(r)), "Claimed", found.withinGuarantee, "Borrowed", m.urgent(r.unit))
		m.stopUnit(r.unit, "preempted for job "+u.id.Job)
	}
	p.forgetPreemptions()
	p.reserve(res)
	return true, true
}

// forgetPreemptions clears what depends on which units may be preempted, after some were.
func (p *plan) forgetPreemptions() {
	clear(p.reclaimable)
	p.borrowed = nil
	p.version++
}

// reservePlaces reserves capacity for an urgent unit that waits for the limit of its workspace: what
// is free, or else what is preempted for it.
func (m *Model) reservePlaces(p *plan, nodes []packer.Node, c candidate, u *unit, shape requestShape) {
	places, ok := m.findPlaces(p, nodes, c, u, shape)
	if !ok {
		return
	}
	res := &reservation{unit: u, request: shape.request, createdMS: m.now.MonoMS, claims: shape.claims}
	for _, i := range places {
		res.workers = append(res.workers, p.workers[i])
	}
	u.reservation = res
	m.reservations = append(m.reservations, res)
	m.reserveLimit(p, u)
	p.urgentUse[u.workspace()] += shape.request.Count * shape.request.Need.Accelerators
	p.reserve(res)
	m.event("RoomBooked", "Job", u.id.Job, "Unit", u.id.String(), "Workers", workerIDs(res.workers), "Stops", 0, "Claimed", true, "InGuarantee", shape.claims)
}

// preemption is a placement of an urgent unit that becomes possible once the victims
// have stopped.
type preemption struct {
	// places holds, for each task, the index of its worker in the plan.
	places []int
	// victims holds one run of each unit that has to stop.
	victims []*run
	// lost is the work that is lost by that, in core-milliseconds.
	lost float64
	// version is the version of the plan at which the placement was found.
	version int
	// withinGuarantee is set if the placement stays within the workspace's guarantee.
	withinGuarantee bool
}

// findPreemption chooses the workers on which the least work is lost. Within the
// workspace's guarantee any loss is accepted, beyond it only a small one. What is being stopped
// still counts as used, so a unit that claims its place needs no room in the guarantee.
func (m *Model) findPreemption(p *plan, nodes []packer.Node, c candidate, u *unit, shape requestShape) (found preemption, ok bool) {
	req := shape.request
	cacheable := shape.appliesToAllUnits(u, c.queue.Advised)
	found, ok = p.preemptions[shape]
	if !ok || found.version != p.version || !cacheable {
		found = m.cheapestPreemption(p, nodes, shape)
	}
	if cacheable {
		p.preemptions[shape] = found
	}
	if found.places == nil {
		return found, false
	}
	workspace := c.step.job.submission.Job.Workspace
	found.withinGuarantee = shape.claims || p.urgentUse[workspace]+req.Count*req.Need.Accelerators <= m.Config.Guaranteed(workspace)
	if (!found.withinGuarantee || shape.smallLoss) && found.lost > m.maxLoss(c.step) {
		return found, false
	}
	p.urgentUse[workspace] += req.Count * req.Need.Accelerators
	return found, true
}

// cheapestPreemption chooses the workers and the victims for a request. Places is nil if
// there are none.
func (m *Model) cheapestPreemption(p *plan, nodes []packer.Node, shape requestShape) preemption {
	found := preemption{version: p.version}
	freed := slices.Clone(nodes)
	for i := range p.workers {
		m.addReclaimable(p, freed, i, shape)
	}
	var ok bool
	if found.places, ok = packer.Place(freed, shape.request); !ok {
		found.places = nil
		return found
	}
	found.victims, found.lost = m.victims(p, nodes, found.places, shape)
	return found
}

// addReclaimable adds to a node's free capacity that of runs which end soon or can be
// stopped. The node's cost grows by the work that is lost for one task of the request.
func (m *Model) addReclaimable(p *plan, freed []packer.Node, i int, shape requestShape) {
	n := &freed[i]
	for _, r := range p.workers[i].runs.list {
		if m.endsSoon(r, shape) {
			n.Free = n.Free.Add(r.need)
		}
	}
	free := n.Free
	for _, r := range m.reclaimableOn(p, i, shape.claims) {
		if m.endsSoon(r, shape) {
			continue
		}
		if !free.Fits(shape.request.Need) {
			n.Cost += m.preemptionCost(r)
			free = free.Add(r.need)
		}
		n.Free = n.Free.Add(r.need)
	}
}

// reclaimableOn returns what preemptible returns for a worker.
func (m *Model) reclaimableOn(p *plan, i int, claims bool) []*run {
	key := reclaimableKey{i, claims}
	runs, ok := p.reclaimable[key]
	if !ok {
		runs = m.preemptible(p, p.workers[i], claims)
		p.reclaimable[key] = runs
	}
	return runs
}

func workerIDs(workers []*worker) []string {
	ids := make([]string, len(workers))
	for i, w := range workers {
		ids[i] = w.ID
	}
	return ids
}

package scheduler

import (
	"cmp"
	"slices"

	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/packer"
	"daisyhead/internal/workload/ranker"
)

// plan is the working set of one pass. Room only shrinks while it lasts, so what
// did not fit once does not fit later.
type plan struct {
	workers []*worker
	// index finds a worker's nodes.
	index map[*worker]int
	// nodes are the workers as urgent work sees them, others as all other work
	// does: without those that are kept free.
	nodes        []packer.Node
	generalNodes []packer.Node
	// urgentUse counts each workspace's accelerators in jobs of priority 0.
	urgentUse map[string]int
	// idleAccelerators counts the free accelerators of each service's openAccelerators workers, openAccelerators all of theirs.
	idleAccelerators, openAccelerators map[string]int
	// unplaceable holds the requests that found no place.
	unplaceable map[requestShape]bool
}

// requestShape is what decides whether a request finds a place.
type requestShape struct {
	service   string
	urgent    bool
	perpetual bool
	request   packer.Request
}

// appliesToAllUnits reports whether any unit with the shape finds as little room as this one:
// nothing about its place depends on its own step or history.
func (s requestShape) appliesToAllUnits(u *unit, advised bool) bool {
	spec := u.step.spec
	own := s.request.MaxPerWorker > 0 || len(u.failedOn) > 0 || servesUsers(spec) || spec.FillsIdle
	return !own && !s.urgent && !advised
}

// pass places waiting units while there is room, the most valuable first.
func (m *Model) pass() {
	if !m.dirty || !m.tableFresh() || m.now.MonoMS-m.lastPassMS < minPassIntervalMS {
		return
	}
	m.dirty, m.lastPassMS = false, m.now.MonoMS
	found := m.candidates()
	if len(found) == 0 {
		return
	}
	p := m.newPlan()
	for _, c := range found {
		if c.queue.Priority > 0 && p.generalNodes == nil {
			p.reserveHeadroom()
		}
		m.placeStep(p, c)
	}
}

// candidate is a step with waiting units.
type candidate struct {
	step  *step
	queue describer.Queue
	key   ranker.Key
}

func (m *Model) candidates() []candidate {
	var found []candidate
	for _, j := range m.liveJobs {
		if j.cancelled {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.waitingUnits > 0 && s.ready(m.now.WallMS) {
					q := m.queue(j)
					found = append(found, candidate{step: s, queue: q, key: m.rankStep(s, q)})
				}
			}
		}
	}
	slices.SortStableFunc(found, func(a, b candidate) int { return ranker.Compare(a.key, b.key) })
	return found
}

func (m *Model) rankStep(s *step, q describer.Queue) ranker.Key {
	j := s.job
	return ranker.Rank(ranker.Input{
		Priority: q.Priority, Steps: j.submission.Job.Steps, Stretch: q.Stretch, ObjectiveMS: q.ObjectiveMS,
		AcceptedMS: max(j.submission.AcceptedMS, s.occurrence.dueMS), NowMS: m.now.WallMS,
	})
}

func (m *Model) newPlan() *plan {
	p := &plan{urgentUse: map[string]int{}, unplaceable: map[requestShape]bool{}, index: map[*worker]int{}, idleAccelerators: map[string]int{}, openAccelerators: map[string]int{}}
	p.workers = m.fleet
	for i, w := range p.workers {
		p.index[w] = i
		p.nodes = append(p.nodes, m.node(w))
		for _, r := range w.runs.list {
			if r.unit != nil && m.queue(r.unit.step.job).Priority == 0 {
				p.urgentUse[r.unit.step.job.submission.Job.Workspace] += r.need.Accelerators
			}
		}
	}
	m.dropStaleReservations()
	for _, b := range m.reservations {
		p.reserve(b)
		p.urgentUse[b.unit.step.job.submission.Job.Workspace] += len(b.workers) * b.request.Need.Accelerators
	}
	return p
}

func (m *Model) node(w *worker) packer.Node {
	n := packer.Node{Rack: w.Rack, Labels: w.Labels, Room: w.Room, Free: w.Room, Closed: !m.schedulable(w)}
	if w.health.failedSinceSuccess() {
		n.Cost = failurePenalty
	}
	for _, r := range w.runs.list {
		n.Free = n.Free.Sub(r.need)
	}
	return n
}

// schedulable reports whether the worker may be given new tasks.
func (m *Model) schedulable(w *worker) bool {
	silent := w.holdFailures > 0 || m.now.MonoMS-w.clockAtMS > unresponsiveAfterMS
	return m.listedRecently(w) && w.responded && !w.recordedUnreached && !silent && !w.Draining && m.now.MonoMS >= w.cooldownUntilMS && !m.quarantinedForFailures(w) && !m.quarantinedForSlowness(w) && !m.Config.Closed[w.Domain]
}

// placeStep places as many of the step's waiting units as fit.
func (m *Model) placeStep(p *plan, c candidate) {
	r := requestFor(c.step)
	sh := requestShape{service: c.queue.Service, urgent: c.queue.Priority == 0, perpetual: c.step.spec.Perpetual, request: r}
	if p.unplaceable[sh] {
		m.noteWaitReason(c.step.job, "no room")
		return
	}
	nodes := m.nodesFor(p, c.step, c.queue)
	for _, u := range c.step.units {
		if u.state != unitWaiting {
			continue
		}
		if u.reservation != nil {
			p.release(u.reservation)
		}
		if sh.urgent {
			p.refresh(nodes)
		}
		open := m.excludeFailedWorkers(p, nodes, u, r)
		if c.queue.Advised {
			open = m.restrictToPermitted(p, c, open, r)
		}
		places, ok := packer.Place(open, r)
		if !ok && !sh.urgent && p.mostlyIdle(c.queue.Service) {
			// Wide gangs may need just the racks that are kept free.
			places, ok = packer.Place(p.withHeadroom(open, c), r)
		}
		if !ok && sh.urgent && m.preemptAndReserve(p, open, c, u, r) {
			m.noteWaitReason(c.step.job, "booked room")
			continue
		}
		if !ok {
			p.unplaceable[sh] = p.unplaceable[sh] || sh.appliesToAllUnits(u, c.queue.Advised)
			m.noteWaitReason(c.step.job, "no room")
			return
		}
		var on []*worker
		for _, i := range places {
			on = append(on, p.workers[i])
		}
		p.allocate(nodes, places, r)
		if u.reservation == nil {
			p.urgentUse[c.step.job.submission.Job.Workspace] += r.Count * r.Need.Accelerators
		}
		u.reservation = nil
		m.placeUnit(u, on)
	}
}

// excludeFailedWorkers closes the workers on which the unit has failed, if others could take it.
func (m *Model) excludeFailedWorkers(p *plan, nodes []packer.Node, u *unit, r packer.Request) []packer.Node {
	if len(u.failedOn) == 0 {
		return nodes
	}
	others := slices.Clone(nodes)
	for i, w := range p.workers {
		if slices.Contains(u.failedOn, w.ID) {
			others[i].Closed, others[i].Room = true, describer.Resources{}
		}
	}
	if !packer.Possible(others, r) {
		return nodes
	}
	return others
}

// idlePercent is the part of a service's open workers, in percent, above which room that
// is kept free starves nobody: the platform allows no job to wait when half is free, and
// counts a little differently.
const idlePercent = 40

// mostlyIdle reports whether a large part of the service's open workers is free.
func (p *plan) mostlyIdle(service string) bool {
	return p.idleAccelerators[service]*100 > p.openAccelerators[service]*idlePercent
}

// withHeadroom returns the nodes as a step that is not urgent sees them, with those that
// are kept free withHeadroom.
func (p *plan) withHeadroom(nodes []packer.Node, c candidate) []packer.Node {
	all := slices.Clone(nodes)
	for i, w := range p.workers {
		kept := p.generalNodes[i].Closed && !p.nodes[i].Closed
		if kept && w.Service == c.queue.Service && !c.queue.Advised {
			all[i].Closed = false
		}
	}
	return all
}

// allocate marks room as used for the rest of the pass, in all views of the nodes.
func (p *plan) allocate(nodes []packer.Node, places []int, r packer.Request) {
	for _, i := range places {
		p.setFree(i, p.nodes[i].Free.Sub(r.Need))
		nodes[i].Free = p.nodes[i].Free
		nodes[i].Taken++
		p.idleAccelerators[p.workers[i].Service] -= r.Need.Accelerators
	}
}

// setFree changes a worker's free room in all views but a step's own.
func (p *plan) setFree(i int, free describer.Resources) {
	p.nodes[i].Free = free
	if p.generalNodes != nil {
		p.generalNodes[i].Free = free
	}
}

// refresh brings a step's own nodes up to date.
func (p *plan) refresh(nodes []packer.Node) []packer.Node {
	for i := range nodes {
		nodes[i].Free = p.nodes[i].Free
	}
	return nodes
}

func requestFor(s *step) packer.Request {
	r := packer.Request{
		Count: 1, Need: s.spec.Reserved(), RequireLabel: s.spec.RequireLabel,
		PreferRack: s.spec.DataRack, MaxPerWorker: s.spec.MaxPerWorker,
	}
	if s.spec.Gang {
		r.Count, r.SameRack = s.spec.Count, s.spec.SameRack
	}
	return r
}

// nodesFor returns the nodes as the step sees them.
func (m *Model) nodesFor(p *plan, s *step, q describer.Queue) []packer.Node {
	nodes := p.nodes
	// A task that should always run is not kept out of free room.
	if q.Priority > 0 && !s.spec.Perpetual {
		nodes = p.generalNodes
	}
	foreign := slices.ContainsFunc(p.workers, func(w *worker) bool { return w.Service != q.Service })
	apart := servesUsers(s.spec) || s.spec.FillsIdle
	if !foreign && s.spec.MaxPerWorker == 0 && !apart {
		return nodes
	}
	nodes = slices.Clone(nodes)
	for i, w := range p.workers {
		nodes[i].Closed = nodes[i].Closed || w.Service != q.Service
		nodes[i].Taken = 0
		for _, r := range w.runs.list {
			switch {
			case r.unit == nil:
			case r.unit.step == s:
				nodes[i].Taken++
			case interferes(s.spec, r.unit.step.spec):
				nodes[i].Closed = true
			}
		}
	}
	return nodes
}

// servesUsers reports whether the step's tasks serve users under a latency target.
func servesUsers(s describer.Step) bool { return s.LatencyTargetMS > 0 }

// interferes reports whether tasks of two steps are kept apart: those that use idle
// processor time slow down those that serve users, by amounts that are not known
// beforehand.
func interferes(a, b describer.Step) bool {
	return servesUsers(a) && b.FillsIdle || servesUsers(b) && a.FillsIdle
}

// headroomDivisor of the accelerators, one in so many, stay free for urgent work: its
// objective leaves it too little time to wait until other work has stopped.
const headroomDivisor = 6

// reserveHeadroom chooses empty workers that only urgent work may use: few racks, so
// that a gang fits into one of them.
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
		if !n.Closed && n.Free == n.Room {
			empty = append(empty, i)
			free[n.Rack] += n.Free.Accelerators
		}
	}
	slices.SortStableFunc(empty, func(a, b int) int {
		x, y := p.nodes[a].Rack, p.nodes[b].Rack
		return cmp.Or(cmp.Compare(free[y], free[x]), cmp.Compare(x, y))
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

func (m *Model) noteWaitReason(j *job, why string) {
	if j.waitReason == why {
		return
	}
	j.waitReason = why
	m.event("JobWaits", "Job", j.id, "Reason", why, "Workers", len(m.workers))
}

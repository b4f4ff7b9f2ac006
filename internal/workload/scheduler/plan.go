package scheduler

import (
	"slices"

	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/packer"
	"daisyhead/internal/workload/ranker"
)

// plan is the working state of one scheduling pass. Free capacity only shrinks during a
// pass, so a request that did not fit once is not tried again.
type plan struct {
	workers []*worker
	// index maps each worker to the index of its node in nodes and generalNodes.
	index map[*worker]int
	// nodes are the workers as urgent work sees them. generalNodes are the workers as
	// all other work sees them: those kept free as headroom for urgent work are closed.
	// generalNodes is nil until it is needed.
	nodes        []packer.Node
	generalNodes []packer.Node
	// urgentUse counts the accelerators of each workspace's jobs of priority 0,
	// including reserved ones.
	urgentUse map[string]int
	// openAccelerators counts all accelerators of each service's workers that may get
	// new tasks, idleAccelerators those that are free. Both are counted when
	// generalNodes is created.
	idleAccelerators, openAccelerators map[string]int
	// capacity is what the workers of each service have and what of it is free. Workers
	// in quarantine count, those that leave or don't answer don't.
	capacity map[string]*capacity
	// unplaceable holds the request shapes that found no place in this pass.
	unplaceable map[requestShape]bool
	// version counts the changes of free capacity in this pass. preemptions holds, for
	// each shape, what findPreemption found at a version.
	version     int
	preemptions map[requestShape]preemption
	// reclaimable caches, for each worker, its runs that may be preempted.
	reclaimable map[reclaimableKey][]*run
	// split is the split of urgent units by guarantees at the begin of the pass, nil if no
	// urgent step is a candidate. borrowed caches the units that may be preempted for a claim;
	// it is nil until it is needed.
	split    *guaranteeSplit
	borrowed map[*unit]bool
	// trials are the workers on which a suspect has just started. risks caches what a
	// suspect would put at risk on each worker.
	trials map[int]bool
	risks  []*risk
	// startBudget is how many tasks this pass may still place, relaxBudget how often it
	// may still look for a place without preferences.
	startBudget, relaxBudget int
	// quarantined lists the workers that only their quarantine closes.
	quarantined []int
	// limits holds the views of the workspaces' limits.
	limits map[string]*limitView
	// backfill is the capacity that is kept for gangs.
	backfill backfillView
}

// reclaimableKey is the index of a worker, and whether it is for a unit that claims its place.
type reclaimableKey struct {
	worker int
	claims bool
}

// requestShape holds the properties of a request that decide whether it can be placed.
type requestShape struct {
	service string
	urgent  bool
	claims  bool
	// certain is set if the place must not rely on estimates of when other work ends.
	certain bool
	// smallLoss is set if the place must not cost more than a small preemption.
	smallLoss  bool
	perpetual  bool
	relaxation relaxation
	// backfills is how many gangs' kept capacity the request may use.
	backfills int
	request   packer.Request
}

// appliesToAllUnits reports whether a failed placement of this unit means that no other
// unit of the same shape fits either: its placement depends on nothing that is specific
// to its step or to its own failures.
func (s requestShape) appliesToAllUnits(u *unit, advised bool) bool {
	return len(u.failedOn) == 0 && s.appliesToAllSteps(u.step.spec, advised)
}

// appliesToAllSteps is appliesToAllUnits for a placement that ignores failures.
func (s requestShape) appliesToAllSteps(spec describer.Step, advised bool) bool {
	return s.request.MaxPerWorker == 0 && !servesUsers(spec) && !spec.FillsIdle && !advised
}

// canHold reports whether a request of the shape may find a place although the smaller
// ones that are known to be unplaceable did not.
func (p *plan) canHold(s requestShape) bool {
	if p.unplaceable[s] {
		return false
	}
	for smaller := range p.unplaceable {
		if s.atLeast(smaller) {
			return false
		}
	}
	return true
}

// atLeast reports whether a request of the shape finds no place where one of shape o
// finds none. A gang that is bound to one rack may be spread if it is too large for any
// rack, so its size says nothing.
func (s requestShape) atLeast(o requestShape) bool {
	a, b := s.request, o.request
	larger := a.Count >= b.Count && a.Need.CPU >= b.Need.CPU && a.Need.MemoryMB >= b.Need.MemoryMB && a.Need.Accelerators >= b.Need.Accelerators
	a.Count, a.Need = b.Count, b.Need
	s.request = a
	return larger && s == o && !a.SameRack
}

// pass places waiting units in order of rank while there is capacity.
func (m *Model) pass() {
	if !m.passNeeded || !m.configured() || !m.tableFresh() || !m.listFresh() || m.now.MonoMS-m.lastPassMS < max(minPassIntervalMS, m.passPauseMS) {
		return
	}
	m.passNeeded, m.lastPassMS = false, m.now.MonoMS
	found, split := m.candidates()
	if len(found) == 0 {
		m.sequencing.backlogs = nil
		return
	}
	m.emit(PassedCmd{})
	p := m.newPlan()
	m.sequence(found, p)
	p.split = split
	for _, c := range found {
		if p.startBudget <= 0 {
			m.pacePass()
			return
		}
		if c.queue.Priority > 0 && p.generalNodes == nil {
			p.reserveHeadroom()
		}
		m.placeStep(p, c)
		m.keepRoom(p, c)
	}
}

// candidate is a step that has waiting units and is ready to run.
type candidate struct {
	step  *step
	queue describer.Queue
	key   ranker.Key
}

// candidates returns the steps that could be placed now, in order of rank, and the split of the
// urgent units, which is nil if there are only other candidates.
func (m *Model) candidates() (found []candidate, split *guaranteeSplit) {
	for _, j := range m.liveJobs {
		if j.cancelled {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.waitingUnits > 0 && s.ready(m.now.WallMS) {
					q := m.queue(j)
					if q.Priority == 0 && split == nil {
						split = m.splitUrgentUnits()
					}
					found = append(found, candidate{step: s, queue: q, key: m.rankStep(s, q, split)})
				}
			}
		}
	}
	slices.SortStableFunc(found, func(a, b candidate) int { return ranker.Compare(a.key, b.key) })
	return found, split
}

// rankStep returns the step's rank. Its waiting time counts from when it was due.
func (m *Model) rankStep(s *step, q describer.Queue, split *guaranteeSplit) ranker.Key {
	j := s.job
	return ranker.Rank(ranker.Input{
		Priority: q.Priority, Steps: j.submission.Job.Steps, Stretch: q.Stretch, ObjectiveMS: q.ObjectiveMS,
		AcceptedMS: max(j.submission.AcceptedMS, s.occurrence.dueMS), NowMS: m.now.WallMS, Claims: q.Priority == 0 && split != nil && split.claiming[s.firstWaiting()],
		BeyondShare: m.beyondShare(j),
		Correction:  m.sequencing.estimates.Factor(q.Name),
	})
}

// newPlan returns a plan in which running tasks and reservations use capacity.
func (m *Model) newPlan() *plan {
	p := &plan{startBudget: m.startBudget(), relaxBudget: relaxesPerPass, urgentUse: map[string]int{}, unplaceable: map[requestShape]bool{}, preemptions: map[requestShape]preemption{}, reclaimable: map[reclaimableKey][]*run{}, index: map[*worker]int{}, trials: map[int]bool{}, idleAccelerators: map[string]int{}, openAccelerators: map[string]int{}, capacity: map[string]*capacity{}, limits: map[string]*limitView{}}
	p.workers = m.fleet
	for i, w := range p.workers {
		p.index[w] = i
		p.nodes = append(p.nodes, m.node(w))
		if w.onTrial() {
			p.trials[i] = true
		}
		for _, r := range w.runs.list {
			if r.state == runPlanned {
				p.startBudget--
			}
			if r.unit != nil && m.queue(r.unit.step.job).Priority == 0 {
				p.urgentUse[r.unit.step.job.submission.Job.Workspace] += r.need.Accelerators
			}
		}
	}
	m.removeStaleReservations()
	for _, res := range m.reservations {
		p.reserve(res)
		m.reserveLimit(p, res.unit)
		p.urgentUse[res.unit.step.job.submission.Job.Workspace] += len(res.workers) * res.request.Need.Accelerators
	}
	for i, n := range p.nodes {
		w := p.workers[i]
		if p.capacity[w.Service] == nil {
			p.capacity[w.Service] = &capacity{}
		}
		inQuarantine := n.Closed && quarantine(m.closedCause(w))
		if inQuarantine {
			p.quarantined = append(p.quarantined, i)
		}
		if !n.Closed || inQuarantine {
			p.capacity[w.Service].add(n)
		}
	}
	p.backfill = m.newBackfillView(p)
	return p
}

// node describes the worker to the packer, with what its current runs leave free. A worker
// that no answer has proved to exist has no capacity, whatever the list says.
func (m *Model) node(w *worker) packer.Node {
	n := packer.Node{Rack: w.Rack, Labels: w.Labels, Closed: !m.schedulable(w), Slowness: m.speeds.CautiousLevel(w.ID), Unknown: m.speedUnknown(w)}
	if w.answeredInTerm {
		n.Room, n.Free = w.Room, w.Room
	}
	if w.health.failedSinceSuccess() {
		n.Cost = failurePenalty
	}
	for _, r := range w.runs.list {
		n.Free = n.Free.Sub(r.need)
	}
	return n
}

// schedulable reports whether the worker may be given new tasks.
func (m *Model) schedulable(w *worker) bool { return m.closedCause(w) == "" }

// The causes of quarantine, as the log names them.
const (
	closedForFailures = "Failures"
	closedForSlowness = "Slowness"
)

// quarantine reports whether a worker that is closed for the cause would otherwise get
// new tasks.
func quarantine(cause string) bool {
	return cause == closedForFailures || cause == closedForSlowness
}

// closedCause returns why the worker gets no new tasks, as the log names it, or "" if it
// may get some.
func (m *Model) closedCause(w *worker) string {
	switch {
	case !m.listedRecently(w):
		return "Unlisted"
	case w.Draining:
		return "Draining"
	case m.Config.Closed[w.Domain]:
		return "Domain"
	case !w.answered:
		return "Unanswered"
	case w.unreachedRecorded:
		return "Unreached"
	case w.holdFailures > 0 || m.now.MonoMS-w.clockAtMS > silentAfterMS:
		return "Silent"
	case w.owesAnswer():
		return "Unconfirmed"
	case m.now.MonoMS < w.cooldownUntilMS:
		return "Cooldown"
	case m.quarantinedForFailures(w):
		return closedForFailures
	case m.quarantinedForSlowness(w):
		return closedForSlowness
	}
	return ""
}

// placeStep places as many of the step's waiting units as fit.
func (m *Model) placeStep(p *plan, c candidate) {
	r := m.requestFor(c.step, c.queue)
	shape := requestShape{service: c.queue.Service, urgent: c.queue.Priority == 0, perpetual: c.step.spec.Perpetual, backfills: m.usableBackfills(p, c.step, c.queue.Service), request: r}
	if shape.urgent {
		if first := c.step.firstWaiting(); first != nil {
			shape.claims = m.claims(p, first)
		}
	}
	possible := p.canHold(shape)
	if !possible && !m.relaxDue(p, c.step, shape) {
		m.setWaitReason(c.step.job, "no room")
		return
	}
	nodes := m.nodesFor(p, c.step, c.queue)
	var held *unit
	for _, u := range c.step.units {
		if u.state != unitWaiting || u.lateStarts > 0 {
			continue
		}
		if p.startBudget <= 0 {
			return
		}
		if held != nil && (u.suspected() || !held.suspected()) && m.startsApart(p, u, shape.urgent) {
			// Nothing has become free for it since the unit before.
			m.holdBack(u)
			continue
		}
		if shape.urgent {
			shape.claims = m.claims(p, u)
			shape.certain = shape.claims && u.missedReservation
		}
		if !m.withinLimit(p, u) {
			if m.claimLimit(p, nodes, c, u, shape) || u.reservation != nil {
				continue
			}
			m.holdLimit(p, nodes, u, r)
			return
		}
		var places []int
		ok := false
		if possible {
			places, ok = m.findPlaces(p, nodes, c, u, shape)
		}
		if !ok {
			if places, ok = m.placeRelaxed(p, c, u, shape); ok && u.reservation != nil {
				p.release(u.reservation)
			}
		}
		if !ok && u.reservation != nil {
			m.setWaitReason(c.step.job, "reserved room is not free yet")
			continue
		}
		if !ok {
			m.setWaitReason(c.step.job, "no room")
			if u.heldBackSinceMS > 0 {
				held = u
				continue
			}
			if len(u.failedOn) > 0 {
				// The step's other units are not kept off the same workers.
				if _, fits := packer.Place(nodes, r); fits {
					continue
				}
			}
			return
		}
		var workers []*worker
		for _, i := range places {
			workers = append(workers, p.workers[i])
		}
		p.allocate(nodes, places, r)
		p.notePlaced(places, u)
		if u.reservation == nil {
			p.urgentUse[c.step.job.submission.Job.Workspace] += r.Count * r.Need.Accelerators
		} else {
			m.releaseLimit(p, u)
		}
		u.reservation = nil
		u.record.InGuarantee = shape.urgent && p.split.claiming[u]
		p.startBudget -= len(workers)
		m.stopDisturbing(c.step, workers)
		m.placeUnit(u, workers)
	}
}

// findPlaces returns the workers of the unit's tasks. For an urgent unit that does not
// fit, it may preempt other work and reserve the capacity.
func (m *Model) findPlaces(p *plan, nodes []packer.Node, c candidate, u *unit, shape requestShape) (places []int, ok bool) {
	if u.reservation != nil {
		p.release(u.reservation)
	}
	if shape.urgent {
		p.refresh(nodes)
	}
	open := m.excludeFailedWorkers(p, nodes, u, shape.request)
	if places, ok, done := m.placeOnFaster(p, open, c, u, shape); done {
		return places, ok
	}
	if places, ok = m.placeIn(p, c, m.isolate(p, open, u, shape.urgent), shape); ok {
		return places, true
	}
	if m.startsApart(p, u, shape.urgent) {
		if _, fits := m.placeIn(p, c, open, shape); fits {
			m.holdBack(u)
			if u.reservation != nil {
				p.reserve(u.reservation)
			}
			return nil, false
		}
	}
	u.heldBackSinceMS = 0
	reclaimable := false
	if shape.urgent {
		var reserved bool
		reserved, reclaimable = m.preemptAndReserve(p, m.restrictToPermitted(p, c, open, shape.request), c, u, shape)
		if reserved {
			return nil, false
		}
	}
	if !reclaimable && shape.appliesToAllUnits(u, c.queue.Advised) {
		p.unplaceable[shape] = true
	}
	return nil, false
}

// placeIn returns places on the nodes, or on the headroom while the service is idle: a wide
// gang may only fit into racks that are kept free as headroom.
func (m *Model) placeIn(p *plan, c candidate, nodes []packer.Node, shape requestShape) (places []int, ok bool) {
	places, ok = packer.Place(m.restrictToPermitted(p, c, nodes, shape.request), shape.request)
	if !ok && !shape.urgent && p.idleEnough(c.queue.Service) {
		places, ok = packer.Place(m.restrictToPermitted(p, c, p.withHeadroom(nodes, c), shape.request), shape.request)
	}
	return places, ok
}

// excludeFailedWorkers closes the workers on which the unit has failed, unless the
// other workers could never hold the request.
func (m *Model) excludeFailedWorkers(p *plan, nodes []packer.Node, u *unit, r packer.Request) []packer.Node {
	if len(u.failedOn) == 0 {
		return nodes
	}
	service := m.queue(u.step.job).Service
	others := slices.Clone(nodes)
	for i, w := range p.workers {
		if slices.Contains(u.failedOn, w.ID) {
			others[i].Closed = true
		}
		if others[i].Closed && (w.Service != service || slices.Contains(u.failedOn, w.ID) || !m.mayReopen(w)) {
			others[i].Room = describer.Resources{}
		}
	}
	if !packer.FitsEmptyFleet(others, r) {
		return nodes
	}
	return others
}

// mayReopen reports whether a worker that gets no new tasks now is expected to get some
// again soon: it is only silent, in quarantine, or kept free as headroom.
func (m *Model) mayReopen(w *worker) bool {
	return m.listedRecently(w) && !w.Draining && !m.Config.Closed[w.Domain]
}

// allocate subtracts a placed request from the free capacity of its nodes, both in the
// step's own view and in the shared ones. Places holds one index for each task.
func (p *plan) allocate(nodes []packer.Node, places []int, r packer.Request) {
	for _, i := range places {
		free := nodes[i].Free.Sub(r.Need)
		p.setFree(i, p.nodes[i].Free.Sub(r.Need))
		nodes[i].Free = free
		nodes[i].StepTasks++
		p.idleAccelerators[p.workers[i].Service] -= r.Need.Accelerators
		c := p.capacity[p.workers[i].Service]
		c.free = c.free.Sub(r.Need)
	}
}

// setFree sets a worker's free capacity in the views that all steps share.
func (p *plan) setFree(i int, free describer.Resources) {
	p.version++
	p.nodes[i].Free = free
	if p.generalNodes != nil {
		p.generalNodes[i].Free = free.Sub(p.backfill.kept[i])
	}
}

// refresh updates a step's own view of the nodes from the shared one.
func (p *plan) refresh(nodes []packer.Node) []packer.Node {
	for i := range nodes {
		nodes[i].Free = p.nodes[i].Free
	}
	return nodes
}

// requestFor returns the request for one unit of the step.
func (m *Model) requestFor(s *step, q describer.Queue) packer.Request {
	r := packer.Request{
		Count: 1, Need: s.spec.Reserved(), RequireLabel: s.spec.RequireLabel,
		PreferRack: s.spec.DataRack, MaxPerWorker: s.spec.MaxPerWorker, Speed: m.speedFor(s, q),
	}
	if s.spec.Gang {
		r.Count, r.SameRack = s.spec.Count, s.spec.SameRack
	}
	return r
}

// nodesFor returns the nodes as the step sees them.
func (m *Model) nodesFor(p *plan, s *step, q describer.Queue) []packer.Node {
	// Perpetual tasks may use the headroom that is kept for urgent work.
	if q.Priority > 0 && !s.spec.Perpetual {
		return m.restrictNodes(p, m.generalView(p, s, q.Service), s, q)
	}
	return m.restrictNodes(p, p.nodes, s, q)
}

// restrictNodes closes the nodes that the step must not use: those of other services, and
// those whose tasks would interfere with it. It returns the nodes themselves if there are
// none and the step's tasks need not be counted.
func (m *Model) restrictNodes(p *plan, nodes []packer.Node, s *step, q describer.Queue) []packer.Node {
	otherServices := slices.ContainsFunc(p.workers, func(w *worker) bool { return w.Service != q.Service })
	isolated := servesUsers(s.spec) || s.spec.FillsIdle
	if !otherServices && s.spec.MaxPerWorker == 0 && !isolated {
		return nodes
	}
	nodes = slices.Clone(nodes)
	for i, w := range p.workers {
		nodes[i].Closed = nodes[i].Closed || w.Service != q.Service
		nodes[i].StepTasks = 0
		for _, r := range w.runs.list {
			switch {
			case r.unit == nil:
			case r.unit.step == s:
				nodes[i].StepTasks++
			case interferes(s.spec, r.unit.step.spec):
				nodes[i].Closed = true
			}
		}
	}
	return nodes
}

// servesUsers reports whether the step's tasks serve users with a latency target.
func servesUsers(s describer.Step) bool { return s.LatencyTargetMS > 0 }

// interferes reports whether tasks of the two steps must not share a worker: tasks that
// use idle processor time slow down tasks that serve users, by an amount that can't be
// predicted.
func interferes(a, b describer.Step) bool {
	return servesUsers(a) && b.FillsIdle || servesUsers(b) && a.FillsIdle
}

// setWaitReason sets the reason why the job waits, and logs it only if it changes.
func (m *Model) setWaitReason(j *job, reason string) {
	if j.waitReason == reason {
		return
	}
	j.waitReason = reason
	m.event("JobWaits", "Job", j.id, "Reason", reason, "Workers", len(m.workers))
}

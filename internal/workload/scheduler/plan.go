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
	nodes  []packer.Node
	others []packer.Node
	// used counts each workspace's accelerators in jobs of priority 0.
	used map[string]int
	// idle counts the free accelerators of each service's open workers, open all of theirs.
	idle, open map[string]int
	// failed holds the requests that found no place.
	failed map[shape]bool
}

// shape is what decides whether a request finds a place.
type shape struct {
	service   string
	urgent    bool
	perpetual bool
	request   packer.Request
}

// alikeForAll reports whether any unit with the shape finds as little room as this one:
// nothing about its place depends on its own step or history.
func (s shape) alikeForAll(u *unit, advised bool) bool {
	spec := u.step.spec
	own := s.request.MaxPerWorker > 0 || len(u.failedOn) > 0 || serving(spec) || spec.FillsIdle
	return !own && !s.urgent && !advised
}

// pass places waiting units while there is room, the most valuable first.
func (m *Model) pass() {
	if !m.dirty || !m.fresh() || m.at.MonoMS-m.passMS < passGapMS {
		return
	}
	m.dirty, m.passMS = false, m.at.MonoMS
	found := m.candidates()
	if len(found) == 0 {
		return
	}
	p := m.newPlan()
	for _, c := range found {
		if c.queue.Priority > 0 && p.others == nil {
			p.keepFree()
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
	for _, j := range m.order {
		if j.cancelled {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.waiting > 0 && s.ready(m.at.WallMS) {
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
		Priority: q.Priority, Steps: j.sub.Job.Steps, Stretch: q.Stretch, ObjectiveMS: q.ObjectiveMS,
		AcceptedMS: max(j.sub.AcceptedMS, s.occurrence.dueMS), NowMS: m.at.WallMS,
	})
}

func (m *Model) newPlan() *plan {
	p := &plan{used: map[string]int{}, failed: map[shape]bool{}, index: map[*worker]int{}, idle: map[string]int{}, open: map[string]int{}}
	p.workers = m.fleet
	for i, w := range p.workers {
		p.index[w] = i
		p.nodes = append(p.nodes, m.node(w))
		for _, r := range w.runs.list {
			if r.unit != nil && m.queue(r.unit.step.job).Priority == 0 {
				p.used[r.unit.step.job.sub.Job.Workspace] += r.need.Accelerators
			}
		}
	}
	m.dropBookings()
	for _, b := range m.bookings {
		p.reserve(b)
		p.used[b.unit.step.job.sub.Job.Workspace] += len(b.on) * b.request.Need.Accelerators
	}
	return p
}

func (m *Model) node(w *worker) packer.Node {
	n := packer.Node{Rack: w.Rack, Labels: w.Labels, Room: w.Room, Free: w.Room, Closed: !m.fit(w)}
	if w.trust.doubtful() {
		n.Cost = doubtCost
	}
	for _, r := range w.runs.list {
		n.Free = n.Free.Sub(r.need)
	}
	return n
}

// fit reports whether the worker may be given new tasks.
func (m *Model) fit(w *worker) bool {
	silent := w.failures > 0 || m.at.MonoMS-w.clockAtMS > deafMS
	return m.present(w) && w.heard && !w.notedUnheard && !silent && !w.Draining && m.at.MonoMS >= w.avoidMS && !m.suspected(w) && !m.sluggish(w) && !m.Config.Closed[w.Domain]
}

// placeStep places as many of the step's waiting units as fit.
func (m *Model) placeStep(p *plan, c candidate) {
	r := request(c.step)
	sh := shape{service: c.queue.Service, urgent: c.queue.Priority == 0, perpetual: c.step.spec.Perpetual, request: r}
	if p.failed[sh] {
		m.noteWaiting(c.step.job, "no room")
		return
	}
	nodes := m.nodesFor(p, c.step, c.queue)
	for _, u := range c.step.units {
		if u.state != unitWaiting {
			continue
		}
		if u.booking != nil {
			p.unreserve(u.booking)
		}
		if sh.urgent {
			p.view(nodes)
		}
		open := m.avoid(p, nodes, u, r)
		if c.queue.Advised {
			open = m.permitted(p, c, open, r)
		}
		places, ok := packer.Place(open, r)
		if !ok && !sh.urgent && p.mostlyIdle(c.queue.Service) {
			// Wide gangs may need just the racks that are kept free.
			places, ok = packer.Place(p.opened(open, c), r)
		}
		if !ok && sh.urgent && m.book(p, open, c, u, r) {
			m.noteWaiting(c.step.job, "booked room")
			continue
		}
		if !ok {
			p.failed[sh] = p.failed[sh] || sh.alikeForAll(u, c.queue.Advised)
			m.noteWaiting(c.step.job, "no room")
			return
		}
		var on []*worker
		for _, i := range places {
			on = append(on, p.workers[i])
		}
		p.take(nodes, places, r)
		if u.booking == nil {
			p.used[c.step.job.sub.Job.Workspace] += r.Count * r.Need.Accelerators
		}
		u.booking = nil
		m.placeUnit(u, on)
	}
}

// avoid closes the workers on which the unit has failed, if others could take it.
func (m *Model) avoid(p *plan, nodes []packer.Node, u *unit, r packer.Request) []packer.Node {
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

// idleShare is the part of a service's open workers, in percent, above which room that
// is kept free starves nobody: the platform allows no job to wait when half is free, and
// counts a little differently.
const idleShare = 40

// mostlyIdle reports whether a large part of the service's open workers is free.
func (p *plan) mostlyIdle(service string) bool {
	return p.idle[service]*100 > p.open[service]*idleShare
}

// opened returns the nodes as a step that is not urgent sees them, with those that
// are kept free opened.
func (p *plan) opened(nodes []packer.Node, c candidate) []packer.Node {
	all := slices.Clone(nodes)
	for i, w := range p.workers {
		kept := p.others[i].Closed && !p.nodes[i].Closed
		if kept && w.Service == c.queue.Service && !c.queue.Advised {
			all[i].Closed = false
		}
	}
	return all
}

// take marks room as used for the rest of the pass, in all views of the nodes.
func (p *plan) take(nodes []packer.Node, places []int, r packer.Request) {
	for _, i := range places {
		p.setFree(i, p.nodes[i].Free.Sub(r.Need))
		nodes[i].Free = p.nodes[i].Free
		nodes[i].Taken++
		p.idle[p.workers[i].Service] -= r.Need.Accelerators
	}
}

// setFree changes a worker's free room in all views but a step's own.
func (p *plan) setFree(i int, free describer.Resources) {
	p.nodes[i].Free = free
	if p.others != nil {
		p.others[i].Free = free
	}
}

// view brings a step's own nodes up to date.
func (p *plan) view(nodes []packer.Node) []packer.Node {
	for i := range nodes {
		nodes[i].Free = p.nodes[i].Free
	}
	return nodes
}

func request(s *step) packer.Request {
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
		nodes = p.others
	}
	foreign := slices.ContainsFunc(p.workers, func(w *worker) bool { return w.Service != q.Service })
	apart := serving(s.spec) || s.spec.FillsIdle
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
			case disturbs(s.spec, r.unit.step.spec):
				nodes[i].Closed = true
			}
		}
	}
	return nodes
}

// serving reports whether the step's tasks serve users under a latency target.
func serving(s describer.Step) bool { return s.LatencyTargetMS > 0 }

// disturbs reports whether tasks of two steps are kept apart: those that use idle
// processor time slow down those that serve users, by amounts that are not known
// beforehand.
func disturbs(a, b describer.Step) bool {
	return serving(a) && b.FillsIdle || serving(b) && a.FillsIdle
}

// keptShare of the accelerators, one in so many, stay free for urgent work: its
// objective leaves it too little time to wait until other work has stopped.
const keptShare = 6

// keepFree chooses empty workers that only urgent work may use: few racks, so
// that a gang fits into one of them.
func (p *plan) keepFree() {
	p.others = slices.Clone(p.nodes)
	total := 0
	free := map[string]int{}
	var empty []int
	for i, n := range p.nodes {
		total += n.Room.Accelerators
		if !n.Closed {
			p.idle[p.workers[i].Service] += n.Free.Accelerators
			p.open[p.workers[i].Service] += n.Room.Accelerators
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
	want := total / keptShare
	for _, i := range empty {
		if want <= 0 {
			return
		}
		p.others[i].Closed = true
		want -= p.nodes[i].Free.Accelerators
	}
}

func (m *Model) noteWaiting(j *job, why string) {
	if j.waitingFor == why {
		return
	}
	j.waitingFor = why
	m.event("JobWaits", "Job", j.id, "Reason", why, "Workers", len(m.workers))
}

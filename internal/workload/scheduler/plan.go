package scheduler

import (
	"cmp"
	"slices"

	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/packer"
	"daisyhead/internal/workload/ranker"
)

// plan is the working set of one pass.
type plan struct {
	workers []*worker
	nodes   []packer.Node
	// used counts each workspace's accelerators in jobs of priority 0.
	used map[string]int
	// kept are nodes that stay free for urgent work.
	kept []bool
}

// pass places waiting units while there is room, the most valuable first.
func (m *Model) pass() {
	if !m.dirty || !m.fresh() {
		return
	}
	m.dirty, m.passMS = false, m.at.MonoMS
	p := m.newPlan()
	for _, c := range m.candidates() {
		if c.queue.Priority > 0 && p.kept == nil {
			p.keepFree()
		}
		m.placeStep(p, c)
	}
}

// candidate is a step with waiting units.
type candidate struct {
	step  *step
	queue describer.Queue
	units []*unit
	key   ranker.Key
}

func (m *Model) candidates() []candidate {
	var found []candidate
	for _, j := range m.order {
		if j.cancelled {
			continue
		}
		q := m.queue(j)
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.open == 0 || !s.ready(m.at.WallMS) {
					continue
				}
				units := m.waiting(s)
				if len(units) == 0 {
					continue
				}
				found = append(found, candidate{step: s, queue: q, units: units, key: m.rankStep(s, q)})
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

func (m *Model) waiting(s *step) (units []*unit) {
	for _, u := range s.units {
		if u.state == unitWaiting && u.notBeforeMS <= m.at.MonoMS {
			units = append(units, u)
		}
	}
	return units
}

func (m *Model) newPlan() *plan {
	p := &plan{used: map[string]int{}}
	p.workers = m.fleet
	for _, w := range p.workers {
		p.nodes = append(p.nodes, m.node(w))
		for _, r := range w.runs.list {
			if r.unit != nil && m.queue(r.unit.step.job).Priority == 0 {
				p.used[r.unit.step.job.sub.Job.Workspace] += r.need.Accelerators
			}
		}
	}
	return p
}

func (m *Model) node(w *worker) packer.Node {
	n := packer.Node{Rack: w.Rack, Labels: w.Labels, Room: w.Room, Free: w.Room, Closed: !m.fit(w)}
	for _, r := range w.runs.list {
		n.Free = n.Free.Sub(r.need)
	}
	return n
}

// fit reports whether the worker may be given new tasks.
func (m *Model) fit(w *worker) bool {
	silent := w.failures > 0 || m.at.MonoMS-w.clockAtMS > deafMS
	return w.listed && w.heard && !silent && !w.Draining && m.at.MonoMS >= w.avoidMS && !m.suspected(w) && !m.Config.Closed[w.Domain]
}

// placeStep places as many of the step's waiting units as fit.
func (m *Model) placeStep(p *plan, c candidate) {
	nodes := m.nodesFor(p, c.step, c.queue)
	for _, u := range c.units {
		r := request(c.step)
		open := m.avoid(p, nodes, u, r)
		places, ok := packer.Place(open, r)
		if !ok && c.queue.Priority == 0 {
			places, ok = m.preempt(p, open, c, r)
			if ok {
				// The victims' room is free once their ends are listed.
				c.step.job.waitingFor = "room of preempted work"
				for _, i := range places {
					p.take(nodes, i, r)
				}
				continue
			}
		}
		if !ok {
			m.noteWaiting(c.step.job, "no room")
			return
		}
		var on []*worker
		for _, i := range places {
			on = append(on, p.workers[i])
			p.take(nodes, i, r)
			nodes[i].Taken++
		}
		p.used[c.step.job.sub.Job.Workspace] += r.Count * r.Need.Accelerators
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

// take marks room as used for the rest of the pass.
func (p *plan) take(nodes []packer.Node, i int, r packer.Request) {
	nodes[i].Free = nodes[i].Free.Sub(r.Need)
	p.nodes[i].Free = p.nodes[i].Free.Sub(r.Need)
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
	nodes := slices.Clone(p.nodes)
	for i, w := range p.workers {
		if w.Service != q.Service || q.Priority > 0 && p.kept[i] {
			nodes[i].Closed = true
		}
		if s.spec.MaxPerWorker == 0 {
			continue
		}
		for _, r := range w.runs.list {
			if r.unit != nil && r.unit.step == s {
				nodes[i].Taken++
			}
		}
	}
	return nodes
}

// keptShare of the accelerators, one in so many, stay free for urgent work: its
// objective leaves it too little time to wait until other work has stopped.
const keptShare = 6

// keepFree chooses empty workers that only urgent work may use: few racks, so
// that a gang fits into one of them.
func (p *plan) keepFree() {
	p.kept = make([]bool, len(p.nodes))
	total := 0
	free := map[string]int{}
	var empty []int
	for i, n := range p.nodes {
		total += n.Room.Accelerators
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
		p.kept[i] = true
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

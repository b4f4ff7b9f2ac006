package scheduler

import (
	"cmp"
	"slices"

	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/packer"
)

// preempt frees room for work of priority 0 within its workspace's guarantee.
// It returns where the work will go once the victims have stopped.
func (m *Model) preempt(p *plan, nodes []packer.Node, c candidate, r packer.Request) (places []int, ok bool) {
	workspace := c.step.job.sub.Job.Workspace
	if p.used[workspace]+r.Count*r.Need.Accelerators > m.Config.Guaranteed(workspace) {
		return nil, false
	}
	freed := slices.Clone(nodes)
	for i, w := range p.workers {
		for _, v := range w.runs.list {
			if !m.preemptible(v) {
				continue
			}
			freed[i].Free = freed[i].Free.Add(v.need)
			freed[i].Cost += m.loss(v)
		}
	}
	if places, ok = packer.Place(freed, r); !ok {
		return nil, false
	}
	p.used[workspace] += r.Count * r.Need.Accelerators
	need := map[int]int{}
	for _, i := range places {
		need[i]++
	}
	for i, count := range need {
		m.evict(p, nodes, i, count, r, c.step.job.id)
	}
	return places, true
}

// preemptible reports whether the run may give way, or does so already.
func (m *Model) preemptible(v *run) bool {
	return v.unit != nil && m.queue(v.unit.step.job).Priority > 0
}

// loss is the work in core-milliseconds that is thrown away with the run's
// whole unit.
func (m *Model) loss(v *run) float64 {
	if v.unit.state == unitStopping {
		return 0
	}
	perTask := float64(v.need.MilliCores()) / 1000 * float64(v.percent) / 100 * float64(v.unit.step.spec.EstimateMS)
	if v.unit.step.spec.Checkpoints {
		perTask /= savedShare
	}
	return 1 + perTask*float64(len(v.unit.runs))
}

// savedShare is how much cheaper it is to stop a task that keeps a checkpoint:
// it loses the time since the latest one and the restore, about a tenth.
const savedShare = 10

// evict stops enough runs on one worker for count tasks to fit.
func (m *Model) evict(p *plan, nodes []packer.Node, i, count int, r packer.Request, forJob string) {
	free := nodes[i].Free
	var victims []*run
	for _, v := range p.workers[i].runs.list {
		switch {
		case !m.preemptible(v):
		case v.unit.state == unitStopping:
			free = free.Add(v.need)
		default:
			victims = append(victims, v)
		}
	}
	slices.SortFunc(victims, func(a, b *run) int {
		return cmp.Or(cmp.Compare(m.loss(a), m.loss(b)), cmp.Compare(a.ref.Unit.String(), b.ref.Unit.String()), cmp.Compare(a.ref.Member, b.ref.Member))
	})
	for _, v := range victims {
		if holds(free, r, count) {
			return
		}
		free = free.Add(v.need)
		m.event("UnitPreempted", "Job", v.ref.Unit.Job, "Unit", v.ref.Unit.String(), "For", forJob, "Worker", p.workers[i].ID, "Percent", v.percent)
		m.stopUnit(v.unit, "preempted for job "+forJob)
	}
}

func holds(free describer.Resources, r packer.Request, count int) bool {
	for range count {
		if !free.Fits(r.Need) {
			return false
		}
		free = free.Sub(r.Need)
	}
	return true
}

package scheduler

import (
	"cmp"
	"maps"
	"slices"

	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/packer"
)

// maxLossDivisor of a step's own work may be thrown away for it beyond its
// workspace's guarantee, one part in so many.
const maxLossDivisor = 3

// maxLoss is the work, in core-milliseconds, that may be thrown away for a
// step beyond its workspace's guarantee.
func (m *Model) maxLoss(s *step) float64 {
	return 1.0 / maxLossDivisor * float64(s.spec.Count) * float64(s.spec.Need.MilliCores()) / 1000 * float64(s.spec.EstimateMS)
}

// preemptible lists a worker's runs that may give way, those first whose loss is
// least. Tasks whose availability is bounded stay.
func (m *Model) preemptible(w *worker) (runs []*run) {
	for _, v := range w.runs.list {
		if v.unit != nil && v.unit.step.spec.MaxUnavailable == 0 && m.queue(v.unit.step.job).Priority > 0 {
			runs = append(runs, v)
		}
	}
	slices.SortStableFunc(runs, func(a, b *run) int { return cmp.Compare(m.loss(a), m.loss(b)) })
	return runs
}

// loss is the work in core-milliseconds that is thrown away when the run's whole
// unit is stopped.
func (m *Model) loss(v *run) float64 {
	if v.unit.state == unitStopping || v.startedMS == 0 {
		return 0
	}
	perTask := float64(v.need.MilliCores()) / 1000 * float64(m.now.MonoMS-v.startedMS)
	if v.unit.step.spec.Checkpoints {
		perTask /= checkpointLossDivisor
	}
	return perTask * float64(len(v.unit.runs))
}

// checkpointLossDivisor is how much cheaper it is to stop a task that keeps a checkpoint:
// it loses the time of its stop and restore, about a tenth of its run.
const checkpointLossDivisor = 10

// victims lists the runs that have to stop for the places, and what is lost. Runs
// that end soon by themselves don't have to.
func (m *Model) victims(p *plan, nodes []packer.Node, places []int, r packer.Request) (victims []*run, lost float64) {
	need := map[int]int{}
	seen := map[*unit]bool{}
	for _, i := range places {
		need[i]++
	}
	for _, i := range slices.Sorted(maps.Keys(need)) {
		free := nodes[i].Free
		for _, v := range p.workers[i].runs.list {
			if m.endsSoon(v) {
				free = free.Add(v.need)
			}
		}
		for _, v := range m.preemptible(p.workers[i]) {
			if fitsTimes(free, r, need[i]) {
				break
			}
			if m.endsSoon(v) {
				continue
			}
			free = free.Add(v.need)
			if !seen[v.unit] {
				seen[v.unit] = true
				victims = append(victims, v)
				lost += m.loss(v)
			}
		}
	}
	return victims, lost
}

func fitsTimes(free describer.Resources, r packer.Request, count int) bool {
	for range count {
		if !free.Fits(r.Need) {
			return false
		}
		free = free.Sub(r.Need)
	}
	return true
}

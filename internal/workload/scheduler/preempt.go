package scheduler

import (
	"cmp"
	"maps"
	"slices"

	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/packer"
)

// maxLossDivisor limits the work that may be lost for a step beyond its workspace's
// guarantee to one part in this many of the step's own work.
const maxLossDivisor = 3

// maxLoss returns the work, in core-milliseconds, that may be lost for a step beyond
// its workspace's guarantee.
func (m *Model) maxLoss(s *step) float64 {
	return 1.0 / maxLossDivisor * float64(s.spec.Count) * float64(s.spec.Need.MilliCores()) / 1000 * float64(s.spec.EstimateMS)
}

// preemptible lists the worker's runs that may be preempted, in ascending order of the
// work lost. Tasks of steps that bound their unavailability are not preempted.
func (m *Model) preemptible(w *worker) (runs []*run) {
	for _, r := range w.runs.list {
		if r.unit != nil && r.unit.step.spec.MaxUnavailable == 0 && m.queue(r.unit.step.job).Priority > 0 {
			runs = append(runs, r)
		}
	}
	slices.SortStableFunc(runs, func(a, b *run) int { return cmp.Compare(m.loss(a), m.loss(b)) })
	return runs
}

// loss returns the work, in core-milliseconds, that is lost if the run's whole unit is
// stopped.
func (m *Model) loss(r *run) float64 {
	if r.unit.state == unitStopping {
		return 0
	}
	return m.runLoss(r) * float64(len(r.unit.runs))
}

// runLoss returns the work of one run, in core-milliseconds, that is lost if it is stopped.
func (m *Model) runLoss(r *run) float64 {
	if r.startedMS == 0 {
		return 0
	}
	lost := float64(r.need.MilliCores()) / 1000 * float64(m.now.MonoMS-r.startedMS)
	if r.unit.step.spec.Checkpoints {
		lost /= checkpointLossDivisor
	}
	return lost
}

// unitLoss returns the work of all runs of the unit that is lost if it is stopped.
func (m *Model) unitLoss(u *unit) (lost float64) {
	for _, r := range u.runs {
		lost += m.runLoss(r)
	}
	return lost
}

// checkpointLossDivisor reduces the loss of a task that keeps checkpoints: stopping it
// costs only the time of the stop and the restore, about a tenth of the task's run.
const checkpointLossDivisor = 10

// victims returns one run of each unit that has to stop to free the places, and the work
// that is lost. Runs that end soon anyway are not stopped.
func (m *Model) victims(p *plan, nodes []packer.Node, places []int, req packer.Request) (victims []*run, lost float64) {
	need := map[int]int{}
	seen := map[*unit]bool{}
	for _, i := range places {
		need[i]++
	}
	for _, i := range slices.Sorted(maps.Keys(need)) {
		free := nodes[i].Free
		for _, r := range p.workers[i].runs.list {
			if m.endsSoon(r) {
				free = free.Add(r.need)
			}
		}
		for _, r := range m.reclaimableOn(p, i) {
			if fitsCount(free, req, need[i]) {
				break
			}
			if m.endsSoon(r) {
				continue
			}
			free = free.Add(r.need)
			if !seen[r.unit] {
				seen[r.unit] = true
				victims = append(victims, r)
				lost += m.loss(r)
			}
		}
	}
	return victims, lost
}

// fitsCount reports whether the free capacity holds count tasks of the request.
func fitsCount(free describer.Resources, req packer.Request, count int) bool {
	for range count {
		if !free.Fits(req.Need) {
			return false
		}
		free = free.Sub(req.Need)
	}
	return true
}

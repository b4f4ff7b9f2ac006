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

// preemptible lists the worker's runs that may be preempted, in ascending order of what that
// costs: for any urgent unit those that are not urgent, and for one that claims its place also
// those of borrowed urgent units. Tasks of steps that bound their unavailability are preempted
// only for claims, and within that bound.
func (m *Model) preemptible(p *plan, w *worker, claims bool) (runs []*run) {
	for _, r := range w.runs.list {
		if r.unit == nil || r.unit.state == unitStopping || r.unit.step.spec.MaxUnavailable > 0 && !(claims && r.unit.spare()) {
			continue
		}
		if !m.urgent(r.unit) || claims && m.borrowed(p, r.unit) {
			runs = append(runs, r)
		}
	}
	slices.SortStableFunc(runs, func(a, b *run) int { return cmp.Compare(m.preemptionCost(a), m.preemptionCost(b)) })
	return runs
}

// spare reports whether the unit may be stopped within its step's bound on unavailable tasks.
// Only as many units of a step are as may be stopped at the same time, the last ones first.
func (u *unit) spare() bool {
	away := u.size()
	for _, o := range u.step.units {
		if o != u && (!o.atWork() || o.id.Index > u.id.Index) {
			away += o.size()
		}
	}
	return u.atWork() && away <= u.step.spec.MaxUnavailable
}

// atWork reports whether all tasks of the unit, which runs until its job is cancelled, are past
// their startup.
func (u *unit) atWork() bool {
	return u.state == unitRunning && !slices.ContainsFunc(u.runs, func(r *run) bool { return r.percent < completePercent })
}

// completePercent is the percentage that tasks at work or at their end report.
const completePercent = 100

// urgent reports whether the unit's queue has the highest priority.
func (m *Model) urgent(u *unit) bool { return m.queue(u.step.job).Priority == 0 }

// urgentPenalty is added to the cost of the preemption of an urgent unit, so that all other
// work is preempted first.
const urgentPenalty = 1e12

// preemptionCost returns the work that is lost if the run's whole unit is stopped, in
// core-milliseconds, and a penalty for urgent work.
func (m *Model) preemptionCost(r *run) float64 {
	if m.urgent(r.unit) {
		return m.loss(r) + urgentPenalty
	}
	return m.loss(r)
}

// loss returns the work, in core-milliseconds, that is lost if the run's whole unit is
// stopped.
func (m *Model) loss(r *run) float64 {
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
// that is lost. Runs that end soon anyway are not stopped, and neither are those that become
// needless by the last one that was chosen.
func (m *Model) victims(p *plan, nodes []packer.Node, places []int, shape requestShape) (victims []*run, lost float64) {
	req := shape.request
	need := map[int]int{}
	seen := map[*unit]bool{}
	for _, i := range places {
		need[i]++
	}
	for _, i := range slices.Sorted(maps.Keys(need)) {
		free := nodes[i].Free
		for _, r := range p.workers[i].runs.list {
			if m.endsSoon(r, shape) {
				free = free.Add(r.need)
			}
		}
		var chosen []*run
		for _, r := range m.reclaimableOn(p, i, shape.claims) {
			if fitsCount(free, req, need[i]) {
				break
			}
			if !m.endsSoon(r, shape) {
				free = free.Add(r.need)
				chosen = append(chosen, r)
			}
		}
		for _, r := range slices.Backward(chosen) {
			if seen[r.unit] {
				continue
			}
			if without := free.Sub(r.need); fitsCount(without, req, need[i]) {
				free = without
				continue
			}
			seen[r.unit] = true
			victims = append(victims, r)
			lost += m.loss(r)
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

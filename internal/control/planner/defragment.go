package planner

import (
	"daisyhead/internal/control/placer"
	"daisyhead/internal/ledger/reducer"
)

// Limits of preemption that makes room for a waiting job without a guarantee.
const (
	// OverdueRatio is the response ratio at which a job becomes overdue.
	OverdueRatio = 2
	// MinRunMS is how long an attempt runs before it may be moved, so that
	// checkpoints remain a small part of the work.
	MinRunMS = 10 * 60 * 1000
	// MaxDefragmentations is the number of jobs for which one pass tries to
	// move other work.
	MaxDefragmentations = 4
	// MaxPreemptedDivisor limits what is preempted to defragment for a gang: at
	// most 1/MaxPreemptedDivisor of the gang's accelerators.
	MaxPreemptedDivisor = 2
)

// defragment makes room for a gang that finds no place although enough
// accelerators are free in fragments. It preempts smaller movable work, which
// then fits into the fragments, and tries the smallest work first. For an
// overdue job it may preempt movable work of any size.
func (p *pass) defragment(j *reducer.Job) bool {
	if p.in.NowMS-j.WaitSinceMS < ReserveAfterMS || j.Spec.TotalAccelerators() == 0 || p.defragmentations >= MaxDefragmentations {
		return false
	}
	p.defragmentations++
	total := j.Spec.TotalAccelerators()
	for divisor := 8; divisor >= MaxPreemptedDivisor; divisor /= 2 {
		if p.preemptSmaller(j, total/divisor, total/MaxPreemptedDivisor) {
			return true
		}
	}
	return p.responseRatio(j) >= OverdueRatio && p.preemptSmaller(j, 1<<30, 1<<30)
}

// preemptSmaller makes room for a job by preempting movable attempts of at most
// size accelerators each and of at most budget accelerators in total.
func (p *pass) preemptSmaller(j *reducer.Job, size, budget int) bool {
	freeAfter := p.free.Clone()
	for _, a := range p.allocations {
		if a.job.Spec.TotalAccelerators() <= size && p.movable(a) {
			freeAfter.Release(a.places)
		}
	}
	if !j.Restartable() {
		freeAfter = freeAfter.Min(p.unguaranteed)
	}
	places, ok := p.place(j, freeAfter)
	if !ok || p.movableAccelerators(places) > budget || !p.preemptAndHold(j, places, "") {
		return false
	}
	p.addWaitReason(j, "smaller work is being moved out of its way")
	return true
}

// movableAccelerators returns the accelerators of all movable attempts that
// share a node with the places.
func (p *pass) movableAccelerators(places []placer.NodeTasks) int {
	sum := 0
	for _, a := range p.allocations {
		if p.movable(a) && shareNode(a.places, places) {
			sum += a.job.Spec.TotalAccelerators()
		}
	}
	return sum
}

// shareNode reports whether a node occurs in both lists.
func shareNode(a, b []placer.NodeTasks) bool {
	for _, x := range a {
		for _, y := range b {
			if x.Node == y.Node {
				return true
			}
		}
	}
	return false
}

// movable reports whether an attempt is cheap to preempt and has run for MinRunMS.
func (p *pass) movable(a *allocation) bool {
	return a.preemptible && !a.stopping && !a.notStarted && cheapToPreempt(a.job) &&
		p.in.NowMS-a.attempt.CommittedMS >= MinRunMS
}

// cheapToPreempt reports whether the job loses little when it is preempted. Such
// a job may run on workers that are reserved for another.
func cheapToPreempt(j *reducer.Job) bool {
	return j.Spec.Checkpointable && !j.Spec.NonIdempotent && !j.Spec.Urgent
}

// rackWeightsByCostlyWork returns the rack weights for work that is not cheap to
// preempt: the more such work a rack has, the lower the weight. This keeps that
// work together, so that other racks can be freed as a whole.
func (p *pass) rackWeightsByCostlyWork() []int {
	costly := make(placer.Free, len(p.fleet.Nodes))
	for _, a := range p.allocations {
		if !cheapToPreempt(a.job) {
			costly.Release(a.places)
		}
	}
	weights := p.fleet.AcceleratorsPerRack(costly)
	for i := range weights {
		weights[i] = maxRackWeight - weights[i]
	}
	return weights
}

// maxRackWeight is the weight of a rack on which all work is cheap to preempt. It
// is within the limit of placer.Options.RackWeights.
const maxRackWeight = 1000

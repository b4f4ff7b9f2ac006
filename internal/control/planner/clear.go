package planner

import (
	"daisyhead/internal/control/placer"
	"daisyhead/internal/ledger/reducer"
)

// Bounds of stopping work to make room for larger work.
const (
	// OverdueRatio is the response ratio from which a job is overdue.
	OverdueRatio = 2
	// MinRunMS is how long an attempt runs before it is stopped for an overdue
	// job, so that checkpoints stay a small part of the work.
	MinRunMS = 10 * 60 * 1000
	// MaxClears is for how many jobs a pass looks for smaller work to move.
	MaxClears = 4
	// GainShare is the largest part of a gang, one in so many, that may be
	// stopped to let the gang fill idle workers.
	GainShare = 2
)

// clearForLarger makes room for a gang that finds no place although enough
// workers are idle here and there: it stops smaller work that can checkpoint and
// has had its time, and that then fits into the gaps. For an overdue job it may
// stop work of any size.
func (p *pass) clearForLarger(j *reducer.Job) bool {
	if p.in.NowMS-j.WaitSinceMS < ReserveAfterMS || j.Spec.TotalAccelerators() == 0 || p.clears >= MaxClears {
		return false
	}
	p.clears++
	total := j.Spec.TotalAccelerators()
	for share := 8; share >= GainShare; share /= 2 {
		if p.clearSmaller(j, total/share, total/GainShare) {
			return true
		}
	}
	return p.responseRatio(j) >= OverdueRatio && p.clearSmaller(j, 1<<30, 1<<30)
}

// clearSmaller clears a place by stopping attempts of at most size accelerators
// each and of at most budget together.
func (p *pass) clearSmaller(j *reducer.Job, size, budget int) bool {
	room := p.free.Clone()
	for _, a := range p.actives {
		if a.job.Spec.TotalAccelerators() <= size && p.hasHadItsTime(a) {
			room.Give(a.places)
		}
	}
	if !j.Repeatable() {
		room = room.Floor(p.spare)
	}
	places, ok := p.place(j, room)
	if !ok || p.stoppedBy(places) > budget || !p.hold(j, places, "") {
		return false
	}
	p.note(j, "smaller work is being moved out of its way")
	return true
}

// stoppedBy returns the accelerators of the work that stands on the places.
func (p *pass) stoppedBy(places []placer.Place) int {
	sum := 0
	for _, a := range p.actives {
		if p.hasHadItsTime(a) && overlaps(a.places, places) {
			sum += a.job.Spec.TotalAccelerators()
		}
	}
	return sum
}

func overlaps(a, b []placer.Place) bool {
	for _, x := range a {
		for _, y := range b {
			if x.Node == y.Node {
				return true
			}
		}
	}
	return false
}

func (p *pass) hasHadItsTime(a *active) bool {
	return a.reclaimable && !a.stopping && !a.pending && mayBeCleared(a.job) &&
		p.in.NowMS-a.attempt.CommittedMS >= MinRunMS
}

// mayBeCleared reports whether the job can be stopped cheaply later, so that it
// may use workers that are reserved for another.
func mayBeCleared(j *reducer.Job) bool {
	return j.Spec.Checkpointable && !j.Spec.NonIdempotent && !j.Spec.Urgent
}

// weighRacks returns for each node how little its rack suits work that can't be
// cleared: such work is kept together, so that other racks can be cleared whole.
func (p *pass) weighRacks() []int {
	fixed := make(placer.Free, len(p.fleet.Nodes))
	for _, a := range p.actives {
		if !mayBeCleared(a.job) {
			fixed.Give(a.places)
		}
	}
	weights := p.fleet.RackAccelerators(fixed)
	for i := range weights {
		weights[i] = maxRackWeight - weights[i]
	}
	return weights
}

// maxRackWeight is the weight of a rack without work that can't be cleared.
const maxRackWeight = 1000

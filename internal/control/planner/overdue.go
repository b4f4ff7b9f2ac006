package planner

import (
	"daisyhead/internal/ledger/reducer"
)

// Bounds of stopping work for a job that is overdue.
const (
	// OverdueRatio is the response ratio from which a job is overdue.
	OverdueRatio = 2
	// MinRunMS is how long an attempt runs before it is stopped for an overdue
	// job, so that checkpoints stay a small part of the work.
	MinRunMS = 10 * 60 * 1000
)

// clearForOverdue makes room for a job that has waited long for its length, at
// the cost of checkpoints of work that has had its time.
func (p *pass) clearForOverdue(j *reducer.Job) bool {
	if p.in.NowMS-j.WaitSinceMS < ReserveAfterMS || p.responseRatio(j) < OverdueRatio {
		return false
	}
	room := p.free.Clone()
	for _, a := range p.actives {
		if p.hasHadItsTime(a) {
			room.Give(a.places)
		}
	}
	if !j.Repeatable() {
		room = room.Floor(p.spare)
	}
	places, ok := p.place(j, room)
	if !ok {
		return false
	}
	if !p.hold(j, places, "") {
		return false
	}
	p.note(j, "workers are being cleared, since the job is overdue")
	return true
}

func (p *pass) hasHadItsTime(a *active) bool {
	return a.reclaimable && !a.stopping && !a.pending && a.job.Spec.Checkpointable && !a.job.Spec.Urgent &&
		p.in.NowMS-a.attempt.CommittedMS >= MinRunMS
}

// mayBeCleared reports whether the job can be stopped cheaply later, so that it
// may use workers that are reserved for another.
func mayBeCleared(j *reducer.Job) bool { return j.Spec.Checkpointable && !j.Spec.Urgent }

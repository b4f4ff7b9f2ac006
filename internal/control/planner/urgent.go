package planner

import (
	"daisyhead/internal/ledger/reducer"
)

// preemptForUrgent makes room for an urgent job that found no place in a
// guarantee. It preempts work only on resources that no guarantee needs, and no
// other urgent work.
func (p *pass) preemptForUrgent(j *reducer.Job) bool {
	if !j.Spec.Urgent {
		return false
	}
	available := p.unguaranteed.Clone()
	for _, a := range p.allocations {
		if a.preemptible && !a.stopping && a.job.Spec.Urgent {
			available.Allocate(a.places)
		}
	}
	places, ok := p.place(j, available)
	if !ok {
		return false
	}
	if !p.preemptAndHold(j, places, "") {
		return false
	}
	p.unguaranteed.Allocate(places)
	p.addWaitReason(j, "workers are being cleared for urgent work")
	return true
}

package planner

import (
	"daisyhead/internal/ledger/reducer"
)

// reclaimForUrgent makes room for an urgent job that no guarantee covers, on
// workers that no guarantee needs.
func (p *pass) reclaimForUrgent(j *reducer.Job) bool {
	if !j.Spec.Urgent {
		return false
	}
	room := p.spare.Clone()
	for _, a := range p.actives {
		if a.reclaimable && !a.stopping && a.job.Spec.Urgent {
			room.Take(a.places)
		}
	}
	places, ok := p.place(j, room)
	if !ok {
		return false
	}
	if !p.hold(j, places, "") {
		return false
	}
	p.spare.Take(places)
	p.note(j, "workers are being cleared for urgent work")
	return true
}

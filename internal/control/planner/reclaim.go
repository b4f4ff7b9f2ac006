package planner

import (
	"cmp"
	"fmt"
	"slices"

	"daisyhead/internal/control/placer"
	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/ledger/reducer"
)

// freeQuota stops borrowers of the job's own workspace that keep it from
// claiming within the quota. It returns false when the claim can start: a
// guarantee goes before the quota when nothing is left to stop.
func (p *pass) freeQuota(j *reducer.Job) (stopped bool) {
	beyond := p.beyondQuota(j)
	if beyond <= 0 {
		return false
	}
	var own []*active
	for _, a := range p.actives {
		if a.job.Spec.Workspace != j.Spec.Workspace || !a.reclaimable || a.pending {
			continue
		}
		if a.stopping {
			beyond -= a.job.Spec.TotalAccelerators()
			stopped = true
			continue
		}
		own = append(own, a)
	}
	slices.SortStableFunc(own, func(a, b *active) int {
		return cmp.Compare(p.lossOf(a, encoder.StopReclaim), p.lossOf(b, encoder.StopReclaim))
	})
	for _, a := range own {
		if beyond <= 0 {
			break
		}
		p.stop(a, encoder.StopReclaim, fmt.Sprintf("job %s of the same workspace claims a guarantee and the quota is used up", j.ID))
		beyond -= a.job.Spec.TotalAccelerators()
		stopped = true
	}
	if stopped {
		p.note(j, "borrowed work of the same workspace is being stopped, since its quota is used up")
	}
	return stopped
}

// claimPlace is a place inside a shape that borrowers still use.
type claimPlace struct {
	shape  *shape
	places []placer.Place
	cost   int64
}

// reclaim stops the borrowers with the least work to lose and keeps the place
// for the claimant meanwhile.
func (p *pass) reclaim(j *reducer.Job, c *claimPlace) bool {
	c.shape.room.Take(c.places)
	c.shape.used++
	if !p.hold(j, c.places, c.shape.claim) {
		return false
	}
	p.note(j, "borrowed workers are being reclaimed for guarantee "+c.shape.claim)
	return true
}

// hold clears the places for a job and keeps others away from them, in this
// pass and in those that follow until the job starts. It returns false, and
// stops nothing, when the places can't be cleared.
func (p *pass) hold(j *reducer.Job, places []placer.Place, claim string) bool {
	need := "its turn, which is long overdue"
	switch {
	case claim != "":
		need = "guarantee " + claim + " of workspace " + j.Spec.Workspace
	case j.Spec.Urgent:
		need = "urgent work"
	}
	p.free.Take(places)
	if !p.evict(places, j, need) {
		p.free.Give(places)
		return false
	}
	p.plan.Holds[j.ID] = Pending{Claim: claim, Placements: p.toPlacements(places)}
	return true
}

// decideHeld starts a job on the workers that were cleared for it, or goes on
// clearing them.
func (p *pass) decideHeld(j *reducer.Job, h *active) {
	p.free.Give(h.places)
	p.usage[j.Spec.Workspace] -= j.Spec.TotalAccelerators()
	wait := !p.covered(p.free, h.places) || (h.attempt.Claim != "" && p.freeQuota(j))
	if wait {
		p.hold(j, h.places, h.attempt.Claim)
		return
	}
	reason := "on workers that were cleared for it"
	if h.attempt.Claim != "" {
		reason = "claims guarantee " + h.attempt.Claim
	}
	p.start(j, h.places, h.attempt.Claim, reason)
}

// evict stops reclaimable attempts until the places, which are taken from the
// free workers already, are covered. It returns false, and stops nothing, when
// that is not possible.
func (p *pass) evict(places []placer.Place, j *reducer.Job, need string) bool {
	left, cause := p.freeSoon(), encoder.StopReclaim
	if j.Spec.Urgent {
		cause = encoder.StopUrgent
	}
	chosen := map[*active]bool{}
	var order []*active
	for _, pl := range places {
		for _, a := range p.victims(pl.Node, cause) {
			if left[pl.Node].Valid() {
				break
			}
			if !chosen[a] {
				chosen[a] = true
				order = append(order, a)
				left.Give(a.places)
			}
		}
		if !left[pl.Node].Valid() {
			return false
		}
	}
	for _, a := range order {
		p.stop(a, cause, fmt.Sprintf("job %s needs the workers for %s", j.ID, need))
	}
	return true
}

// victims returns the attempts on a node that may be stopped, least loss first.
func (p *pass) victims(node int, cause encoder.StopCause) []*active {
	var list []*active
	for _, a := range p.actives {
		onNode := slices.ContainsFunc(a.places, func(pl placer.Place) bool { return pl.Node == node })
		if onNode && a.reclaimable && !a.stopping && !a.pending {
			list = append(list, a)
		}
	}
	slices.SortStableFunc(list, func(a, b *active) int { return cmp.Compare(p.lossOf(a, cause), p.lossOf(b, cause)) })
	return list
}

// lossOf estimates the accelerator milliseconds that a stop throws away.
func (p *pass) lossOf(a *active, cause encoder.StopCause) int64 {
	weight := int64(max(a.job.Spec.TotalAccelerators(), 1))
	if a.job.Spec.Urgent {
		weight *= 1000
	}
	if a.job.Spec.Checkpointable && cause != encoder.StopUrgent {
		return weight * CheckpointCostMS
	}
	return weight * (p.in.NowMS - a.attempt.CommittedMS + CheckpointCostMS)
}

// CheckpointCostMS is the run time that a checkpoint and a restart cost.
const CheckpointCostMS = 2000

func (p *pass) victimCost(places []placer.Place, cause encoder.StopCause) int64 {
	var cost int64
	for _, pl := range places {
		for _, a := range p.victims(pl.Node, cause) {
			cost += p.lossOf(a, cause)
		}
	}
	return cost
}

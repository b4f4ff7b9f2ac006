package planner

import (
	"cmp"
	"fmt"
	"slices"

	"daisyhead/internal/control/placer"
	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/ledger/reducer"
)

// preemptForQuota stops borrowers of the job's own workspace when the claim of
// the job would exceed the quota. It reports whether the job has to wait for
// attempts that are stopping. With nothing to stop it returns false, and the
// claim starts beyond the quota: a guarantee takes precedence.
func (p *pass) preemptForQuota(j *reducer.Job) (stopped bool) {
	excess := p.quotaExcess(j)
	if excess <= 0 {
		return false
	}
	var own []*allocation
	for _, a := range p.allocations {
		if a.job.Spec.Workspace != j.Spec.Workspace || !a.preemptible || a.notStarted {
			continue
		}
		if a.stopping {
			excess -= a.job.Spec.TotalAccelerators()
			stopped = true
			continue
		}
		own = append(own, a)
	}
	slices.SortStableFunc(own, func(a, b *allocation) int {
		return cmp.Compare(p.workLost(a, encoder.StopReclaim), p.workLost(b, encoder.StopReclaim))
	})
	for _, a := range own {
		if excess <= 0 {
			break
		}
		p.stop(a, encoder.StopReclaim, fmt.Sprintf("job %s of the same workspace claims a guarantee and the quota is used up", j.ID))
		excess -= a.job.Spec.TotalAccelerators()
		stopped = true
	}
	if stopped {
		p.addWaitReason(j, "borrowed work of the same workspace is being stopped, since its quota is used up")
	}
	return stopped
}

// borrowedPlace is a place within a guarantee that borrowers still use.
type borrowedPlace struct {
	guarantee *guarantee
	places    []placer.NodeTasks
	loss      int64
}

// reclaim preempts the borrowers of a place and holds the place for the job that
// claims it.
func (p *pass) reclaim(j *reducer.Job, c *borrowedPlace) bool {
	c.guarantee.unused.Allocate(c.places)
	c.guarantee.claimants++
	if !p.preemptAndHold(j, c.places, c.guarantee.claim) {
		return false
	}
	p.addWaitReason(j, "borrowed workers are being reclaimed for guarantee "+c.guarantee.claim)
	return true
}

// preemptAndHold preempts the work on the places and holds them for the job, in
// this pass and the following ones, until the job starts. It returns false, and
// stops nothing, when preemption can't free the places.
func (p *pass) preemptAndHold(j *reducer.Job, places []placer.NodeTasks, claim string) bool {
	need := "its turn, which is long overdue"
	switch {
	case claim != "":
		need = "guarantee " + claim + " of workspace " + j.Spec.Workspace
	case j.Spec.Urgent:
		need = "urgent work"
	}
	p.free.Allocate(places)
	if !p.evict(places, j, need) {
		p.free.Release(places)
		return false
	}
	p.decision.Holds[j.ID] = Assignment{Claim: claim, Placements: p.toPlacements(places)}
	return true
}

// decideHeld starts a job on the workers that are held for it, or keeps holding
// them while work there is stopping.
func (p *pass) decideHeld(j *reducer.Job, h *allocation) {
	p.free.Release(h.places)
	p.usedAccelerators[j.Spec.Workspace] -= j.Spec.TotalAccelerators()
	wait := !p.placesFit(p.free, h.places) || (h.attempt.Claim != "" && p.preemptForQuota(j))
	if wait {
		p.preemptAndHold(j, h.places, h.attempt.Claim)
		return
	}
	reason := "on workers that were cleared for it"
	if h.attempt.Claim != "" {
		reason = "claims guarantee " + h.attempt.Claim
	}
	p.start(j, h.places, h.attempt.Claim, reason)
}

// evict stops preemptible attempts until the places are free. The caller has
// taken the places from p.free, so a node with a negative amount needs more
// stops. It returns false, and stops nothing, when the places can't be freed.
func (p *pass) evict(places []placer.NodeTasks, j *reducer.Job, need string) bool {
	left, cause := p.freeAfterStops(), encoder.StopReclaim
	if j.Spec.Urgent {
		cause = encoder.StopUrgent
	}
	chosen := map[*allocation]bool{}
	var order []*allocation
	for _, pl := range places {
		for _, a := range p.victims(pl.Node, cause) {
			if left[pl.Node].NonNegative() {
				break
			}
			if !chosen[a] {
				chosen[a] = true
				order = append(order, a)
				left.Release(a.places)
			}
		}
		if !left[pl.Node].NonNegative() {
			return false
		}
	}
	for _, a := range order {
		p.stop(a, cause, fmt.Sprintf("job %s needs the workers for %s", j.ID, need))
	}
	return true
}

// victims returns the attempts on a node that may be preempted, least loss first.
func (p *pass) victims(node int, cause encoder.StopCause) []*allocation {
	var list []*allocation
	for _, a := range p.allocations {
		onNode := slices.ContainsFunc(a.places, func(pl placer.NodeTasks) bool { return pl.Node == node })
		if onNode && a.preemptible && !a.stopping && !a.notStarted {
			list = append(list, a)
		}
	}
	slices.SortStableFunc(list, func(a, b *allocation) int { return cmp.Compare(p.workLost(a, cause), p.workLost(b, cause)) })
	return list
}

// workLost estimates the work that a stop loses, in accelerator milliseconds. A
// checkpoint saves the work, but a stop for urgent work doesn't wait for one. The
// work of urgent jobs counts a thousandfold.
func (p *pass) workLost(a *allocation, cause encoder.StopCause) int64 {
	weight := int64(max(a.job.Spec.TotalAccelerators(), 1))
	if a.job.Spec.Urgent {
		weight *= 1000
	}
	if a.job.Spec.Checkpointable && cause != encoder.StopUrgent {
		return weight * CheckpointCostMS
	}
	return weight * (p.in.NowMS - a.attempt.CommittedMS + CheckpointCostMS)
}

// CheckpointCostMS is the run time lost to a checkpoint and a restart.
const CheckpointCostMS = 2000

// totalWorkLost sums workLost over the preemptible attempts on the places. An
// attempt counts once for each of its nodes.
func (p *pass) totalWorkLost(places []placer.NodeTasks, cause encoder.StopCause) int64 {
	var loss int64
	for _, pl := range places {
		for _, a := range p.victims(pl.Node, cause) {
			loss += p.workLost(a, cause)
		}
	}
	return loss
}

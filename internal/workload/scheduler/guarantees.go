package scheduler

import (
	"cmp"
	"math"
	"slices"
)

// A workspace is guaranteed accelerators for its urgent work; the rest of the fleet it only
// borrows. A unit that waits claims its place if it fits into the guarantee beside what is
// placed there and all units of the workspace that wait before it. Its record then says that it
// was placed in the guarantee, and no claim preempts it: every holder arrives at the same split.
//
// All other urgent units that exceed the guarantee are borrowed, those of later jobs first, and
// may be preempted for claims. A unit that exceeds it only in part is borrowed as a whole: it
// can't give back a part, and that part is guaranteed to others. A unit that was preempted
// doesn't claim before its workspace uses less, so no two units preempt each other in turn.

// urgentUnits calls yield for each unfinished unit of urgent jobs whose turn has come, in the
// order of acceptance.
func (m *Model) urgentUnits(yield func(*unit) bool) {
	var jobs []*job
	for _, j := range m.liveJobs {
		if !j.cancelled && !j.ended && m.queue(j).Priority == 0 {
			jobs = append(jobs, j)
		}
	}
	slices.SortStableFunc(jobs, func(a, b *job) int { return cmp.Compare(m.submissionOffset(a), m.submissionOffset(b)) })
	for _, j := range jobs {
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.unfinishedUnits == 0 || !s.ready(m.now.WallMS) {
					continue
				}
				for _, u := range s.units {
					if u.state != unitDone && u.state != unitFailed && !yield(u) {
						return
					}
				}
			}
		}
	}
}

// submissionOffset returns the offset of the job's submission in the ledger, or the highest one
// if it has not been read back yet.
func (m *Model) submissionOffset(j *job) uint64 {
	if t, known := m.Table.Lookup(j.id); known {
		return t.Offset
	}
	return math.MaxUint64
}

// accelerators returns how many accelerators the unit's tasks take.
func (u *unit) accelerators() int { return u.size() * u.step.spec.Reserved().Accelerators }

// workspace returns the workspace of the unit's job.
func (u *unit) workspace() string { return u.step.job.submission.Job.Workspace }

// placed reports whether the unit has a place that it is not about to leave.
func (u *unit) placed() bool {
	return u.state == unitRecording || u.state == unitStarting || u.state == unitRunning
}

// guaranteeSplit is the split of urgent units by the guarantees of their workspaces.
type guaranteeSplit struct {
	// claiming are the waiting units that may claim their places, borrowed the placed units
	// that may be preempted for claims.
	claiming, borrowed map[*unit]bool
	// exceeded are the workspaces whose urgent units together exceed the guarantee.
	exceeded map[string]bool
}

// splitUrgentUnits returns the split of all urgent units. Jobs that can't earn any credit make
// no new claims: they would keep later ones from it.
func (m *Model) splitUrgentUnits() *guaranteeSplit {
	split := &guaranteeSplit{claiming: map[*unit]bool{}, borrowed: map[*unit]bool{}, exceeded: map[string]bool{}}
	used := map[string]int{}
	fits := func(u *unit, extra int) bool { return used[u.workspace()]+extra <= m.Config.Guaranteed(u.workspace()) }
	var others, waiting []*unit
	for u := range m.urgentUnits {
		switch {
		case u.reservation != nil && u.reservation.claims:
			used[u.workspace()] += u.accelerators()
			split.claiming[u] = true
		case !u.placed():
			waiting = append(waiting, u)
		case u.record.InGuarantee:
			used[u.workspace()] += u.accelerators()
		default:
			others = append(others, u)
		}
	}
	for _, u := range others {
		if !fits(u, u.accelerators()) {
			split.borrowed[u], split.exceeded[u.workspace()] = true, true
			continue
		}
		used[u.workspace()] += u.accelerators()
	}
	for _, u := range waiting {
		if u.accelerators() > m.Config.Guaranteed(u.workspace()) || m.rankStep(u.step, m.queue(u.step.job), nil).Expired {
			split.exceeded[u.workspace()] = true
			continue
		}
		used[u.workspace()] += u.accelerators()
		split.claiming[u] = u.state == unitWaiting && fits(u, 0)
		split.exceeded[u.workspace()] = split.exceeded[u.workspace()] || !fits(u, 0)
	}
	return split
}

// claimDelayDivisor is the part of the time for a reclaim that a claim leaves to urgent work of
// others to end by itself. The stops and the start fit twice into the rest.
const claimDelayDivisor = 3

// claims reports whether other urgent work may be preempted for the unit. The time for a
// reclaim is promised only to workspaces that need no more than their guarantee. For others
// more of the work ends by itself that would be lost.
func (m *Model) claims(p *plan, u *unit) bool {
	if p.split == nil || !p.split.claiming[u] {
		return false
	}
	delayMS := m.cfg.ReclaimMS
	if !p.split.exceeded[u.workspace()] {
		delayMS /= claimDelayDivisor
	}
	return m.now.MonoMS-max(u.step.job.seenMS, u.stateSinceMS) >= delayMS
}

// borrowed reports whether the placed urgent unit may be preempted for a claim.
func (m *Model) borrowed(p *plan, u *unit) bool {
	if p.borrowed == nil {
		p.borrowed = m.splitUrgentUnits().borrowed
	}
	return p.borrowed[u]
}

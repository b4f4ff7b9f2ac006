package scheduler

import "slices"

// An answer to a start does not tell which incarnation of the worker has executed it. If the
// worker has restarted unnoticed, orders that got no answer before extend the lease of its new
// incarnation when they are executed late: their deadlines lie far ahead on its clock. So a run
// that no report has shown may outlive the lease of a silent worker. A run that was reported ends
// with its incarnation, and the deadlines on its clock are those that the holder counts with.

// awaitLateLeases lets the units of a silent worker wait for as long as late orders may extend
// the lease of the runs that no report has shown.
func (m *Model) awaitLateLeases(w *worker) {
	ownUntilMS := m.ownLateGrantMS(w)
	for _, r := range w.runs.list {
		// The incarnation that has executed a start of this holder rejects those of earlier ones.
		untilMS := ownUntilMS
		if r.adopted {
			untilMS = max(untilMS, w.lateGrantMS())
		}
		if r.state == runPlanned || r.shownInIncarnation() || m.now.MonoMS >= untilMS {
			continue
		}
		r.leaseOnly = !r.startInFlight && m.now.MonoMS >= r.lateStartUntilMS
		r.lateStartUntilMS = max(r.lateStartUntilMS, untilMS)
	}
}

// ownLateGrantMS returns until when an order of this holder may be executed that extends the
// worker's lease and has no answer yet.
func (m *Model) ownLateGrantMS(w *worker) int64 {
	untilMS := w.lateGrantUntilMS
	if w.holdInFlight && w.grantingHold {
		untilMS = max(untilMS, w.holdSentMS+maxOrderDelayMS)
	}
	for _, r := range w.runs.list {
		untilMS = max(untilMS, r.lateStartUntilMS)
		if r.startInFlight {
			untilMS = max(untilMS, r.orderSentMS+maxOrderDelayMS)
		}
	}
	if m.lateStartCounts[w.ID] > 0 {
		for _, r := range m.lateStarts {
			if r.worker.ID == w.ID {
				untilMS = max(untilMS, r.lateStartUntilMS)
			}
		}
	}
	return untilMS
}

// shownInIncarnation reports whether a report to this holder, or to the earlier one that has
// recorded it, has shown the run.
func (r *run) shownInIncarnation() bool {
	return r.reported() || r.adopted && r.reportedIn == 0 && r.unit != nil && r.unit.record.Settled && !r.unit.record.Unreported
}

// lateLeaseOver reports whether a run that waits only for its lease is known to be gone: the
// worker has reported since and does not run it, or no process of the worker is up.
func (m *Model) lateLeaseOver(r *run, w *worker) bool {
	return r.leaseOnly && w != nil && (w.answered && w.runs.get(r.ref) == nil || m.notUpSince(w, r.orderSentMS))
}

// mayOutliveLease reports whether a run of the unit may outlive the lease of its worker: no
// report has shown it, and orders that extend the lease have no answer yet.
func (m *Model) mayOutliveLease(u *unit) bool {
	return slices.ContainsFunc(u.runs, func(r *run) bool { return !r.reported() && m.now.MonoMS < m.ownLateGrantMS(r.worker) })
}

// reportedRecordAfterMS is for how long a single task has to run until a further record says that
// its run was reported. Most tasks end before, and need none. Gangs are recorded at once: few
// records cover many runs, and their workers are asked for reports early.
const reportedRecordAfterMS = 5000

// recordUnreported proposes the record of a settled unit if that does not say whether a run
// may outlive its lease. It returns whether that can't change any more.
func (m *Model) recordUnreported(u *unit) (final bool) {
	unreported := m.mayOutliveLease(u)
	due := unreported || u.size() > 1 || m.now.MonoMS-u.runningSinceMS >= reportedRecordAfterMS
	if unreported != u.record.Unreported && due {
		u.record.Unreported = unreported
		m.recordUnit(u)
	}
	return !u.record.Unreported && !slices.ContainsFunc(u.runs, func(r *run) bool { return !r.reported() })
}

package scheduler

import (
	"maps"
	"slices"

	"daisyhead/internal/workload/accountant"
	"daisyhead/internal/workload/reducer"
)

// A start that got no answer may still be executed seconds later. A worker rejects it if it
// has confirmed a stop of the run, the run has ended there or it has seen a newer term, but a
// worker that restarts under its ID has forgotten all of that. The unit of such a start is
// therefore not placed again while the start may still be executed, whatever the worker has
// confirmed: a run that starts late is then the only one of its unit.

// maxOrderDelayMS is how long after it was sent an unanswered order may still be
// executed: the platform's longest delay is 12 s, plus the order's own timeout.
const maxOrderDelayMS = 13000

// predecessorDelayMS is how long after the begin of a term a start of an earlier holder may
// still be executed: the holder may have decided it on a table that was just recent enough,
// and sent it just in time.
const predecessorDelayMS = maxTableAgeMS + maxSendDelayMS + maxOrderDelayMS

// startsExpireMS returns until when starts may be executed that earlier holders sent in the
// given term or before. It depends on the terms alone, so later holders arrive at the same
// time. Term 0 stands for an unknown one.
func (m *Model) startsExpireMS(term uint64) int64 {
	next := m.term.number
	if term > 0 {
		next = min(term+1, next)
	}
	return m.termBegunSince(next) + predecessorDelayMS
}

// trackLateStart remembers a removed run if a start of it may still reach the worker. The
// run's unit waits until the start is settled.
func (m *Model) trackLateStart(r *run) {
	if r.startInFlight {
		r.lateStartUntilMS = max(r.lateStartUntilMS, r.orderSentMS+maxOrderDelayMS)
	}
	if r.blocked == nil && (r.lateStartUntilMS == 0 || m.lateStartSettled(r)) {
		m.accountAs(r, accountant.None)
		return
	}
	if r.unit != nil {
		r.blocked = r.unit
		r.unit.lateStarts++
	}
	m.lateStarts = append(m.lateStarts, r)
	m.lateStartCounts[r.worker.ID]++
	m.accountLateStart(r)
}

// lateStartsOf returns the late starts for which the unit waits, among them those of stray
// runs that have not stopped yet.
func (m *Model) lateStartsOf(u *unit) (starts []reducer.LateStart) {
	add := func(runs []*run) {
		for _, r := range runs {
			if r.blocked == u {
				starts = append(starts, reducer.LateStart{Worker: r.worker.ID, Member: r.ref.Member, Run: r.ref.Run, WaitMS: max(r.lateStartUntilMS-m.now.MonoMS, 0)})
			}
		}
	}
	add(m.lateStarts)
	for _, w := range m.fleet {
		add(w.runs.list)
	}
	return starts
}

// noteLateStarts remembers when this process read the record of a unit that tells for how long
// its starts may be executed.
func (m *Model) noteLateStarts(id reducer.UnitID) {
	if j, ok := m.Table.Jobs[id.Job]; ok && (len(j.Units[id].LateStarts) > 0 || j.Units[id].SettlesMS > 0) {
		m.lateStartsReadMS[id] = m.now.MonoMS
		return
	}
	delete(m.lateStartsReadMS, id)
}

// recordedExpiryMS returns until when starts of an adopted unit may be executed: for the time
// that its record tells, counted from when that was read or, if that is earlier, from when the
// term that determined it had the age that the record tells, but no longer than the terms
// allow. A process that has just started reads all records as new ones.
func (m *Model) recordedExpiryMS(u *unit, recordedMS int64) int64 {
	expiresMS := m.startsExpireMS(u.record.Term)
	if u.record.WaitTerm > 0 {
		expiresMS = min(expiresMS, m.termBegunSince(u.record.WaitTerm)+u.record.WaitTermAgeMS+recordedMS)
	}
	if readMS, known := m.lateStartsReadMS[u.id]; known {
		expiresMS = min(expiresMS, readMS+recordedMS)
	}
	return expiresMS
}

// dateWaits dates the waits in the unit's record by the age of the term.
func (m *Model) dateWaits(u *unit) {
	u.record.WaitTerm, u.record.WaitTermAgeMS = 0, 0
	if ageMS, known := m.termAgeAtMost(); known {
		u.record.WaitTerm, u.record.WaitTermAgeMS = m.term.number, ageMS
	}
}

// settlesMS returns for how much longer a start of the unit may be executed.
func (m *Model) settlesMS(u *unit) (ms int64) {
	for _, r := range u.runs {
		ms = max(ms, r.lateStartUntilMS-m.now.MonoMS)
		if r.startInFlight {
			ms = max(ms, r.orderSentMS+maxOrderDelayMS-m.now.MonoMS)
		}
	}
	return ms
}

// adoptLateStarts restores a unit whose run is over and that waits only for late starts. None
// of its tasks is adopted: what the workers still list of them was handled before. The rest of
// the wait is recorded again, for processes that have started since it was.
func (m *Model) adoptLateStarts(u *unit) {
	u.setState(unitStopping, m.now.MonoMS)
	u.awaiting, u.stopReason = true, "an earlier holder has stopped it"
	forMS := int64(0)
	for _, s := range u.record.LateStarts {
		untilMS := m.recordedExpiryMS(u, s.WaitMS)
		forMS = max(forMS, untilMS-m.now.MonoMS)
		r := &run{
			ref: TaskRef{Unit: u.id, Member: s.Member, Run: s.Run}, worker: m.worker(s.Worker), need: u.step.spec.Reserved(),
			state: runStopping, lateStartUntilMS: untilMS, blocked: u, workspace: u.workspace(), quota: u.step.spec.Need,
		}
		m.lateStarts = append(m.lateStarts, r)
		m.accountLateStart(r)
		m.lateStartCounts[s.Worker]++
		u.lateStarts++
	}
	if forMS > 0 {
		u.record.LateStarts = m.lateStartsOf(u)
		m.dateWaits(u)
		m.recordUnit(u)
	}
	m.event("LateStartsAdopted", "Job", u.id.Job, "Unit", u.id.String(), "Run", u.record.Run, "Starts", u.lateStarts, "StartTerm", u.record.Term, "ForMS", forMS, "Failures", u.record.Failures, "Crashes", len(u.record.Crashes))
}

// unansweredStarts counts the runs whose starts got no answer and may still be executed by
// the worker.
func (m *Model) unansweredStarts(w *worker) (n int) {
	for _, r := range slices.Concat(m.lateStarts, w.runs.list) {
		if r.worker.ID == w.ID && m.now.MonoMS < r.lateStartUntilMS {
			n++
		}
	}
	return n
}

// barLateStarts orders a worker to reject the runs whose starts may still reach it, unless
// its incarnation rejects them already. A run that it has started late occupies capacity and
// has a lease of its own.
func (m *Model) barLateStarts(w *worker) {
	if m.lateStartCounts[w.ID] == 0 {
		return
	}
	m.lateStarts = slices.DeleteFunc(m.lateStarts, func(r *run) bool {
		if r.worker.ID != w.ID || r.barredIn == w.incarnation || m.now.MonoMS >= r.lateStartUntilMS || w.runs.get(r.ref) != nil {
			return false
		}
		r.worker, r.unit, r.orderInFlight, r.startInFlight, r.orderQueued, r.lastAnswerMS, r.state = w, nil, false, false, false, 0, runStopping
		r.bars = true
		w.runs.add(r)
		m.account(r)
		w.leaseEndMS = max(w.leaseEndMS, m.now.MonoMS+withDrift(m.cfg.LeaseMS))
		m.event("RunBarred", "Job", r.ref.Unit.Job, "Unit", r.ref.Unit.String(), "Run", r.ref.Run, "Worker", w.ID)
		m.queueStop(r)
		m.lateStartCounts[w.ID]--
		return true
	})
}

// settleLateStarts lets units go on whose late starts can't be executed any more.
func (m *Model) settleLateStarts() {
	m.releaseLateStarts(m.lateStartSettled)
}

// lateStartSettled reports whether the run is not present on its worker and can't start any
// more: a report that was requested after its start's longest delay does not show it, or the
// lease of a run that started last of all has expired, and so has every lease that a holder
// granted the worker or that an order may extend late. No lease is waited for if the worker was
// not up for the last start.
func (m *Model) lateStartSettled(r *run) bool {
	w := m.workers[r.worker.ID]
	if m.lateLeaseOver(r, w) {
		return true
	}
	if m.now.MonoMS < r.lateStartUntilMS {
		return false
	}
	if w != nil && w.answeredInTerm && w.reportAsOfMS >= r.lateStartUntilMS {
		return w.runs.get(r.ref) == nil
	}
	if w != nil && m.now.MonoMS <= w.leaseEndMS {
		return false
	}
	if w != nil && m.notUpSince(w, r.lateStartUntilMS) {
		return true
	}
	lastGrantMS := r.lateStartUntilMS
	if w != nil {
		lastGrantMS = max(lastGrantMS, w.lateGrantMS())
	}
	return m.now.MonoMS > lastGrantMS+withDrift(m.cfg.LeaseMS)
}

// lateGrantMS returns until when an order of any holder that extends the lease of a silent
// worker may be executed. If the worker has restarted unnoticed, each one extends it for as long
// as a lease can.
func (w *worker) lateGrantMS() int64 {
	// Times from before the start of this process are negative.
	untilMS := w.unreachedSinceMS + maxConfirmationAgeMS + maxOrderDelayMS
	if w.lateGrantUntilMS > 0 {
		untilMS = max(untilMS, w.lateGrantUntilMS)
	}
	if w.holdInFlight && w.grantingHold {
		untilMS = max(untilMS, w.holdSentMS+maxOrderDelayMS)
	}
	for _, r := range w.runs.list {
		if r.lateStartUntilMS != 0 {
			untilMS = max(untilMS, r.lateStartUntilMS)
		}
	}
	return untilMS
}

// mayStartLate reports whether a start of the unit may still be executed.
func (m *Model) mayStartLate(u *unit) bool {
	return u.lateStarts > 0 || slices.ContainsFunc(u.runs, func(r *run) bool { return r.startInFlight || m.now.MonoMS < r.lateStartUntilMS })
}

// releaseLateStarts forgets the late starts for which settled returns true, and continues
// with the units that have waited for them.
func (m *Model) releaseLateStarts(settled func(*run) bool) {
	var released []*run
	m.lateStarts = slices.DeleteFunc(m.lateStarts, func(r *run) bool {
		if !settled(r) {
			return false
		}
		released = append(released, r)
		m.accountAs(r, accountant.None)
		m.lateStartCounts[r.worker.ID]--
		return true
	})
	maps.DeleteFunc(m.lateStartCounts, func(_ string, n int) bool { return n == 0 })
	for _, r := range released {
		if u := r.blocked; u != nil {
			u.lateStarts--
			m.finishStopping(u)
			m.passNeeded = true
		}
	}
}

// recordSettledUnits proposes the records of running units that callers don't know to have
// begun, or whose starts have all been executed or can't be any more, so that a successor need
// not wait for them, and of settled units whose runs may outlive their lease. The records go with the renewal of the term.
func (m *Model) recordSettledUnits() {
	m.unsettled = slices.DeleteFunc(m.unsettled, func(u *unit) bool {
		if u.state != unitRunning || u.step.job.ended {
			return true
		}
		if u.record.Settled {
			return m.recordUnreported(u)
		}
		if m.mayStartLate(u) {
			if u.beginUnrecorded {
				u.record.SettlesMS = m.settlesMS(u)
				m.dateWaits(u)
				m.recordUnit(u)
			}
			return false
		}
		u.record.Settled, u.record.Unreported, u.record.SettlesMS = true, m.mayOutliveLease(u), 0
		m.recordUnit(u)
		return m.recordUnreported(u)
	})
}

// lateStartWaitMS returns the time until the unit of a late start waits only for a report of
// the worker, at most limitMS.
func (m *Model) lateStartWaitMS(w *worker, limitMS int64) int64 {
	if m.lateStartCounts[w.ID] == 0 {
		return limitMS
	}
	for _, r := range m.lateStarts {
		if r.worker.ID == w.ID && r.blocked != nil && r.blocked.state == unitStopping {
			limitMS = min(limitMS, max(r.lateStartUntilMS-m.now.MonoMS, 0))
		}
	}
	return limitMS
}

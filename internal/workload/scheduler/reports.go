package scheduler

import (
	"cmp"
	"maps"
	"slices"

	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/reducer"
)

// handleReport updates the worker and its runs from a report, and sends the next hold.
func (m *Model) handleReport(w *worker, p WorkerReport) {
	restarted := w.incarnation != 0 && w.incarnation != p.IncarnationMS
	if restarted {
		m.event("WorkerRestarted", "Worker", w.ID, "Incarnation", p.IncarnationMS, "Before", w.incarnation, "Runs", w.runs.len(), "UnansweredStarts", m.unansweredStarts(w))
	}
	if w.answered && restarted {
		m.removeRunsBeforeRestart(w, p)
	}
	if !w.answered || w.holdFailures > 0 {
		m.event("WorkerHeard", "Worker", w.ID, "Running", len(p.Running), "Ended", len(p.Ended), "Failures", w.holdFailures)
		m.passNeeded = true
		m.resolveCrashes(w.ID, p.IncarnationMS)
	}
	first := !w.answeredInTerm
	w.answered, w.answeredInTerm, w.holdFailures = true, true, 0
	if !restarted {
		w.confirmationAnswered = max(w.confirmationAnswered, w.confirmingEnd)
	}
	m.proposeReached(w)
	w.incarnation, w.clockMS, w.clockAtMS, w.heardMS = p.IncarnationMS, p.ClockMS, m.now.MonoMS, m.now.MonoMS
	w.reportAsOfMS = w.holdSentMS
	if restarted || first && w.restartedSincePlacement() {
		// Orders that an earlier incarnation left unanswered may still be executed. Their
		// deadlines, on the clock from before, extend the lease for as long as a lease can.
		w.leaseEndMS = max(w.leaseEndMS, m.now.MonoMS+maxOrderDelayMS+withDrift(m.cfg.LeaseMS))
		// A late confirmation would make this incarnation forget ends by the numbers of an
		// earlier one, so no task may end here until then.
		w.coolDown(w.lateConfirmationUntilMS)
		w.startsBarredUntilMS = w.lateConfirmationUntilMS
	}
	m.barLateStarts(w)
	present := map[TaskRef]bool{}
	slices.SortFunc(p.Ended, func(a, b EndReport) int { return cmp.Compare(a.Number, b.Number) })
	for _, e := range p.Ended {
		e.Task = m.resolveUnit(e.Task)
		present[e.Task] = true
		m.handleEnd(w, e)
	}
	for _, r := range p.Running {
		r.Task = m.resolveUnit(r.Task)
		present[r.Task] = true
		m.handleRunning(w, r)
	}
	if len(p.Ended) < maxReportedEnds {
		m.removeMissingRuns(w, present)
	}
	m.checkProgress(w)
	m.advanceConfirmedEnd(w)
	w.nextHoldMS = m.now.MonoMS + m.nextHoldDelayMS(w)
	m.hold(w)
}

// restartedSincePlacement reports whether a run of an earlier holder was placed in an earlier
// incarnation of the worker.
func (w *worker) restartedSincePlacement() bool {
	return slices.ContainsFunc(w.runs.list, func(r *run) bool { return r.adopted && r.incarnation != 0 && r.incarnation != w.incarnation })
}

const (
	// confirmWaitMS is the pause before the next hold while reported ends are not
	// durable yet. Without it, the worker would answer at once with the same ends.
	confirmWaitMS = 400
	// holdIntervalMS is the pause between holds that do not wait for an end.
	holdIntervalMS = 100
)

// nextHoldDelayMS returns the pause before the next hold.
func (m *Model) nextHoldDelayMS(w *worker) int64 {
	switch {
	case w.confirmationDue():
		return m.confirmationDelayMS(w)
	case len(w.ends) > 0:
		return confirmWaitMS
	case m.holdWaitMS(w) == 0:
		return holdIntervalMS
	}
	return 0
}

// resolveUnit sets the unit of a reported task. Workers know only tasks, and all tasks
// of a gang belong to the same unit.
func (m *Model) resolveUnit(ref TaskRef) TaskRef {
	if s, ok := m.stepOf(ref.Unit); ok && s.Gang {
		ref.Unit.Index = 0
	}
	return ref
}

// stepOf returns the step of a unit.
func (m *Model) stepOf(id reducer.UnitID) (s describer.Step, ok bool) {
	var steps []describer.Step
	if j, live := m.jobs[id.Job]; live {
		steps = j.submission.Job.Steps
	} else if j, known := m.Table.Lookup(id.Job); known {
		steps = j.Job.Steps
	}
	if id.Step >= len(steps) {
		return s, false
	}
	return steps[id.Step], true
}

// handleRunning compares a reported running task with the runs that were ordered.
func (m *Model) handleRunning(w *worker, p RunReport) {
	r := w.runs.get(p.Task)
	if r == nil {
		m.stopOrphan(w, p)
		return
	}
	if p.Checkpoint != "" && r.unit != nil && r.unit.state != unitDone {
		r.unit.record.Checkpoint = p.Checkpoint
	}
	if r.bars {
		r.bars = false
		m.account(r)
	}
	r.percent, r.reportedIn = p.Percent, w.incarnation
	m.markPresent(r)
	m.checkStarted(r.unit)
	if r.unit != nil {
		m.clearSuspect(r.unit)
	}
	m.addProgress(r, p)
}

// stopOrphan stops a reported task for which the holder has no run. It occupies
// capacity until it has stopped.
func (m *Model) stopOrphan(w *worker, p RunReport) {
	r := &run{ref: p.Task, worker: w, state: runStopping, lateStartUntilMS: m.startsExpireMS(m.lastTermOf(p.Task.Unit.Job))}
	if s, ok := m.stepOf(p.Task.Unit); ok {
		r.need = s.Reserved()
	}
	if u := m.unit(p.Task.Unit); u != nil {
		r.blocked, r.lateStartUntilMS = u, m.startsExpireMS(u.record.Term)
		u.lateStarts++
		if u.state == unitRecording {
			m.stopUnit(u, "another run is still on worker "+w.ID)
		}
	}
	m.setQuota(r)
	w.runs.add(r)
	m.account(r)
	w.leaseEndMS = max(w.leaseEndMS, m.now.MonoMS+withDrift(m.cfg.LeaseMS))
	state, beside := m.otherRuns(p.Task)
	m.event("StrayRun", "Job", p.Task.Unit.Job, "Unit", p.Task.Unit.String(), "Run", p.Task.Run, "Worker", w.ID, "Incarnation", w.incarnation, "UnitState", state)
	if len(beside) > 0 {
		m.event("RunsOverlap", "Job", p.Task.Unit.Job, "Unit", p.Task.Unit.String(), "Run", p.Task.Run, "Worker", w.ID, "Incarnation", w.incarnation, "OtherWorkers", beside)
	}
	m.queueStop(r)
}

// otherRuns returns the state of a reported run's unit, and the workers on which another run
// of the unit is known to have started and not known to have ended.
func (m *Model) otherRuns(ref TaskRef) (state string, workers []string) {
	u := m.unit(ref.Unit)
	if u == nil {
		return "Unknown", nil
	}
	for _, r := range u.runs {
		if r.ref.Run != ref.Run && r.startedMS > 0 {
			workers = append(workers, r.worker.ID)
		}
	}
	return u.state.String(), workers
}

// handleEnd handles a reported end. Ends that were handled before are ignored.
func (m *Model) handleEnd(w *worker, e EndReport) {
	if w.ends[e.Number] != nil || e.Number <= w.confirmedEnd {
		return
	}
	end := m.newEnd(e)
	w.ends[e.Number] = end
	ref := endRef{worker: w, incarnation: w.incarnation, number: e.Number}
	r := w.runs.get(e.Task)
	u := m.unit(e.Task.Unit)
	state, _ := m.otherRuns(e.Task)
	m.event("RunEnded", "Job", e.Task.Unit.Job, "Unit", e.Task.Unit.String(), "Member", e.Task.Member, "Run", e.Task.Run, "Worker", w.ID, "Kind", e.Kind, "Known", r != nil, "UnitState", state)
	if e.Kind == EndDone || e.Kind == EndFailed && m.lastAttempt(u) {
		m.holdEnd(end, r, u)
	}
	if r != nil {
		m.recordDuration(r, e.Kind)
		r.barredIn = w.incarnation
		m.removeRun(r)
		m.updateHealth(w, r, e)
	}
	switch {
	case u == nil || u.step.job.ended:
		m.markEndsOnceDurable([]endRef{ref})
		m.finishStoppingIfKnown(u)
	case u.state == unitDone:
		m.markEndsOnceDurable([]endRef{ref})
		m.finishCancel(u.step.job)
	case e.Kind == EndDone && !u.step.spec.Perpetual:
		u.pendingEnds = append(u.pendingEnds, ref)
		m.finishUnit(u, e.Task.Run)
	case r == nil || r.unit == nil:
		m.markEndsOnceDurable([]endRef{ref})
	default:
		u.pendingEnds = append(u.pendingEnds, ref)
		m.endRun(u, e)
	}
}

// lastAttempt reports whether the unit is not started again once its current run has failed.
func (m *Model) lastAttempt(u *unit) bool {
	return u == nil || u.step.job.ended || u.record.Failures+1 >= max(m.queue(u.step.job).Attempts, 1)
}

// updateHealth counts a success or failure for the worker's health.
func (m *Model) updateHealth(w *worker, r *run, e EndReport) {
	switch e.Kind {
	case EndDone:
		m.resetFailures(w)
	case EndFailed:
		m.countFailure(w, e.Task.Unit.Job)
		if r.unit != nil {
			r.unit.failedOn = append(r.unit.failedOn, w.ID)
		}
	}
}

// markEndsOnceDurable marks the ends as durable once everything that is proposed so far
// is durable.
func (m *Model) markEndsOnceDurable(ends []endRef) {
	m.onceDurable(func(m *Model) { m.markEndsDurable(ends) })
}

// onceDurable calls ack once everything that is proposed so far is durable.
func (m *Model) onceDurable(ack func(*Model)) {
	p := &m.proposer
	switch {
	case len(p.queued) > 0:
		p.queuedAcks = append(p.queuedAcks, ack)
	case len(p.sent) > 0:
		p.sentAcks = append(p.sentAcks, ack)
	default:
		ack(m)
	}
}

// endRun takes over the checkpoint and the failure of an ended run, and stops the rest
// of its unit.
func (m *Model) endRun(u *unit, e EndReport) {
	if e.Checkpoint != "" {
		u.record.Checkpoint = e.Checkpoint
	}
	if e.Kind == EndFailed {
		u.failed = true
	}
	u.record.Begun = true
	m.stopRemaining(u, "a task ended: "+string(e.Kind))
}

// finishStoppingIfKnown continues with the unit of an ended job, if the unit is known,
// after a run of it has gone.
func (m *Model) finishStoppingIfKnown(u *unit) {
	if u != nil {
		m.finishStopping(u)
	}
}

// maxReportedEnds is how many ends a worker reports at a time. In such a report, a run that is
// missing may have ended too.
const maxReportedEnds = 500

// removeMissingRuns removes runs that are missing from a report that should contain them:
// the report was requested after the worker's last definite answer about the run, or the
// run was adopted. A report that was requested in the same millisecond in which that
// answer came is ignored for the run, since their order is unknown.
func (m *Model) removeMissingRuns(w *worker, present map[TaskRef]bool) {
	for _, r := range w.runs.snapshot() {
		ref := r.ref
		if present[ref] || r.orderInFlight {
			continue
		}
		answered := r.lastAnswerMS > 0 && r.lastAnswerMS < w.holdSentMS
		if r.state != runAdopted && !answered && !r.barNeedless() {
			continue
		}
		if m.mayCompleteStart(r) {
			r.state = runPlanned
			m.account(r)
			m.completeStart(r)
			continue
		}
		m.countCrashBefore(r)
		if r.state == runAdopted {
			// This incarnation has seen the term of the hold and rejects earlier ones.
			r.barredIn = w.incarnation
		}
		m.removeRun(r)
		if r.unit == nil {
			continue
		}
		m.event("RunGone", "Job", ref.Unit.Job, "Unit", ref.Unit.String(), "Run", ref.Run, "Worker", w.ID)
		m.stopRemaining(r.unit, "worker "+w.ID+" does not run it")
	}
}

// barNeedless reports whether a removed run that is missing from the latest report can't start
// any more, so that the worker need not confirm the stop.
func (r *run) barNeedless() bool {
	return r.unit == nil && r.blocked != nil && r.worker.reportAsOfMS >= r.lateStartUntilMS
}

// mayCompleteStart reports whether the holder may start an adopted run that is missing from
// the worker's report. The run has not ended there, since its end would be listed or its unit
// recorded as ended; a worker that has stopped it rejects the start.
func (m *Model) mayCompleteStart(r *run) bool {
	return r.state == runAdopted && r.unit != nil && r.unit.state == unitStarting && !r.unit.record.Settled &&
		r.incarnation == r.worker.incarnation && m.schedulable(r.worker) && !m.queue(r.unit.step.job).Advised
}

// completeStart starts an adopted run. The record has to say first that a start of the unit is
// sent in this term, since a later holder waits for starts by their term. The start is repeated
// for as long as that of a new placement.
func (m *Model) completeStart(r *run) {
	u, run := r.unit, r.ref.Run
	if u.record.Term == m.term.number {
		m.queueStart(r)
		return
	}
	u.record.Term, u.record.SettlesMS, u.termUnrecorded, u.stateSinceMS = m.term.number, 0, true, m.now.MonoMS
	m.propose(reducer.UnitRecord(u.id, u.record), func(m *Model) {
		if u.record.Run != run {
			return
		}
		u.termUnrecorded = false
		for _, r := range u.runs {
			if r.state == runPlanned {
				m.queueStart(r)
			}
		}
	})
}

// markEndsDurable marks the ends as durable. The holds then confirm them to the workers,
// which stop reporting them.
func (m *Model) markEndsDurable(ends []endRef) {
	for _, e := range ends {
		if e.worker.incarnation != e.incarnation {
			continue
		}
		if end := e.worker.ends[e.number]; end != nil {
			end.durable = true
			m.advanceConfirmedEnd(e.worker)
			if len(e.worker.ends) == 0 {
				e.worker.expediteHold(m.now.MonoMS)
			}
		}
	}
}

// unconfirmedEnd is a reported end that the worker lists until it is confirmed.
type unconfirmedEnd struct {
	task TaskRef
	// listedMS is when this holder first saw the end.
	listedMS int64
	durable  bool
	// unit is the unit that the end completes, or fails for good. The end is not confirmed
	// while starts of the unit may be executed: a run that starts after a confirmed end runs
	// the work again.
	unit *unit
	// notBeforeMS is the earliest time of the confirmation.
	notBeforeMS int64
}

// holdEnd keeps a final end from being confirmed as long as the unit may start again. A
// holder that has not seen the run doesn't know whether its predecessors left starts
// unanswered.
func (m *Model) holdEnd(end *unconfirmedEnd, r *run, u *unit) {
	if u != nil && u.step.spec.Perpetual {
		return
	}
	end.unit = u
	if r == nil {
		end.notBeforeMS = m.endWaitMS(end.task.Unit, u)
	}
}

// lastTermOf returns the latest term in which a start of the ended job's tasks may have been
// sent, 0 if it is not known.
func (m *Model) lastTermOf(job string) uint64 {
	if t, known := m.Table.Lookup(job); known && t.Outcome != nil {
		return t.Outcome.Term
	}
	return 0
}

// confirmable reports whether the worker may forget the end.
func (m *Model) confirmable(e *unconfirmedEnd) bool {
	return e.durable && m.now.MonoMS >= e.notBeforeMS && (e.unit == nil || !m.mayStartLate(e.unit))
}

// advanceConfirmedEnd advances confirmedEnd to the last end before the first one that can't
// be confirmed yet.
func (m *Model) advanceConfirmedEnd(w *worker) {
	for _, n := range slices.Sorted(maps.Keys(w.ends)) {
		if !m.confirmable(w.ends[n]) {
			return
		}
		w.confirmedEnd = max(w.confirmedEnd, n)
		m.noteConfirmed(w.ends[n])
		delete(w.ends, n)
	}
}

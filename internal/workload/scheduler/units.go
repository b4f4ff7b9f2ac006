package scheduler

import (
	"strings"

	"daisyhead/internal/workload/reducer"
)

// unitState is the progress of a unit as the holder knows it. A unit normally passes
// through waiting, recording, starting, running and done. If it is stopped, or one of its
// tasks ends early or is lost, it goes through stopping back to waiting, or to failed. It
// becomes done from any other state when a worker reports that its work is complete.
type unitState int

// The states of a unit.
const (
	// unitWaiting has no placement.
	unitWaiting unitState = iota
	// unitRecording waits until its placement is durable.
	unitRecording
	// unitStarting waits until all of its tasks are known to be present.
	unitStarting
	// unitRunning has all of its tasks present on their workers.
	unitRunning
	// unitStopping waits until none of its tasks may be present any more.
	unitStopping
	// unitDone has completed its work.
	unitDone
	// unitFailed is not placed again: it failed too often, or its job has ended.
	unitFailed
)

// String returns the name of the state in the log.
func (s unitState) String() string {
	return [...]string{"Waiting", "Recording", "Starting", "Running", "Stopping", "Done", "Failed"}[s]
}

// unit is what is placed together: a single task or a gang.
type unit struct {
	id    reducer.UnitID
	step  *step
	state unitState
	// record is the unit's record as it is proposed next. Until then, it may differ from
	// the one in the ledger, for example by a newer checkpoint.
	record reducer.Unit
	// runs are the runs of its tasks that are planned or may be present on workers.
	runs []*run
	// termUnrecorded is set while the record does not say yet that starts are sent in this
	// term.
	termUnrecorded bool
	// beginUnrecorded is set until a record is proposed that says that the unit has begun.
	beginUnrecorded bool
	// lateStarts counts removed runs whose starts may still be executed.
	lateStarts int
	// awaiting is set once the unit waits only for its late starts.
	awaiting bool
	// pendingEnds are reported ends that are not durable yet.
	pendingEnds []endRef
	// failed is set once a task of the current run has failed by itself.
	failed bool
	// failedOn are the workers on which tasks of the unit have failed.
	failedOn    []string
	reservation *reservation
	// noBackfillUntilMS is the earliest time at which capacity may be kept for the unit again.
	noBackfillUntilMS int64
	// missedReservation is set once reserved capacity has not become free in time.
	missedReservation bool
	// stopReason is why the unit was last stopped.
	stopReason string
	// stateSinceMS is when the unit entered its state.
	stateSinceMS int64
	// runningSinceMS is when all tasks of the current run were first known to be present,
	// 0 before.
	runningSinceMS int64
	// heldBackSinceMS is since when the unit could be placed, but only beside other work
	// that it has to start apart from; 0 if it is not so.
	heldBackSinceMS int64
	// limitWait is the time in which the unit waits for the limit of its workspace.
	limitWait period
	// faster is the unit's wait for workers that are not slow.
	faster fasterWait
	// speeds is how the current run of a gang was used to compare its workers.
	speeds gangSamples
}

// setState changes the state and updates the step's count of waiting units.
func (u *unit) setState(s unitState, atMS int64) {
	if u.state == unitWaiting {
		u.step.waitingUnits--
	}
	if s == unitWaiting {
		u.step.waitingUnits++
	}
	u.state, u.stateSinceMS, u.awaiting = s, atMS, false
}

// adoptUnit restores a unit from its record. Its tasks may already be running.
func (m *Model) adoptUnit(j *job, id reducer.UnitID, rec reducer.Unit) {
	u := m.unit(id)
	if u == nil {
		return
	}
	u.record = rec
	m.watchUnconfirmedCrashes(u)
	switch rec.Phase {
	case reducer.PhaseDone:
		u.setState(unitDone, m.now.MonoMS)
		u.step.unfinishedUnits--
		if u.step.unfinishedUnits == 0 {
			u.step.occurrence.unfinishedSteps--
		}
	case reducer.PhasePlaced:
		if len(rec.LateStarts) > 0 {
			m.adoptLateStarts(u)
			return
		}
		u.setState(unitStarting, m.now.MonoMS)
		for i, name := range rec.Workers {
			r := m.addRun(u, i, m.worker(name), runAdopted)
			r.adopted = true
			if !rec.Settled {
				r.lateStartUntilMS = m.startsExpireMS(rec.Term)
				if rec.SettlesMS > 0 {
					r.lateStartUntilMS = m.recordedExpiryMS(u, rec.SettlesMS)
				}
			}
			if i < len(rec.Incarnations) {
				r.incarnation = rec.Incarnations[i]
			}
		}
		if len(u.runs) < u.size() {
			m.stopUnit(u, "its record lacks workers")
		}
	}
}

// placeUnit records the placement of the unit. Its tasks start once the record is
// durable.
func (m *Model) placeUnit(u *unit, workers []*worker) {
	u.record.Term, u.record.Phase, u.record.Settled, u.record.Unreported, u.record.SettlesMS = m.term.number, reducer.PhasePlaced, false, false, 0
	u.record.Run++
	u.record.Workers, u.record.Incarnations, u.record.LateStarts = nil, nil, nil
	u.failed, u.termUnrecorded, u.stopReason, u.runningSinceMS, u.heldBackSinceMS = false, false, "", 0, 0
	u.missedReservation = false
	for i, w := range workers {
		u.record.Workers = append(u.record.Workers, w.ID)
		u.record.Incarnations = append(u.record.Incarnations, w.incarnation)
		m.addRun(u, i, w, runPlanned).incarnation = w.incarnation
	}
	u.setState(unitRecording, m.now.MonoMS)
	run := u.record.Run
	m.event("UnitPlaced", "Job", u.id.Job, "Unit", u.id.String(), "Run", run, "Workers", u.record.Workers, "WaitedMS", m.now.MonoMS-u.step.job.seenMS, "InGuarantee", u.record.InGuarantee)
	m.propose(reducer.UnitRecord(u.id, u.record), func(m *Model) { m.startUnit(u, run) })
}

// startUnit sends the starts of a unit whose placement has become durable, unless the
// unit was stopped meanwhile or the successor is to start it.
func (m *Model) startUnit(u *unit, run int) {
	if u.state != unitRecording || u.record.Run != run || m.shuttingDown {
		return
	}
	u.setState(unitStarting, m.now.MonoMS)
	for _, r := range u.runs {
		m.queueStart(r)
	}
}

// checkStarted marks the unit as running once its last task is present.
func (m *Model) checkStarted(u *unit) {
	if u == nil || u.state != unitStarting || len(u.runs) < u.size() {
		return
	}
	for _, r := range u.runs {
		if r.state != runPresent {
			return
		}
	}
	u.setState(unitRunning, m.now.MonoMS)
	u.runningSinceMS = m.now.MonoMS
	if !u.record.Begun {
		u.record.Begun, u.beginUnrecorded = true, true
	}
	if !u.record.Settled || u.record.Unreported {
		m.unsettled = append(m.unsettled, u)
	}
	for _, r := range u.runs {
		r.progress.SetStart(m.now.MonoMS)
		if u.record.Checkpoint == "" && !r.adopted {
			r.progress.AddReport(m.now.MonoMS, 0)
		}
	}
	m.requestSpeedReports(u)
	m.event("UnitStarted", "Job", u.id.Job, "Unit", u.id.String(), "Run", u.record.Run, "SinceAcceptedMS", m.now.WallMS-u.step.job.submission.AcceptedMS)
}

// size returns the number of tasks in the unit.
func (u *unit) size() int {
	if u.step.spec.Gang {
		return u.step.spec.Count
	}
	return 1
}

// stopUnit stops all tasks of the unit that may be present.
func (m *Model) stopUnit(u *unit, reason string) {
	switch u.state {
	case unitRecording, unitStarting, unitRunning:
	default:
		return
	}
	u.stopReason = reason
	lost := m.unitLoss(u)
	u.setState(unitStopping, m.now.MonoMS)
	m.event("UnitStopping", "Job", u.id.Job, "Unit", u.id.String(), "Run", u.record.Run, "Reason", reason, "LostCoreMS", int64(lost))
	for _, r := range append([]*run{}, u.runs...) {
		if r.state == runPlanned {
			m.removeRun(r)
			continue
		}
		m.stopRun(r)
	}
	m.finishStopping(u)
}

// stopRemaining stops the rest of the unit after one of its runs has gone, since a gang
// can't continue with some of its tasks.
func (m *Model) stopRemaining(u *unit, reason string) {
	if u == nil {
		return
	}
	m.stopUnit(u, reason)
	m.finishStopping(u)
	m.finishCancel(u.step.job)
}

// finishStopping decides how to continue once no task of a stopping unit is present.
func (m *Model) finishStopping(u *unit) {
	if len(u.runs) > 0 || u.state != unitStopping {
		return
	}
	if u.step.job.ended {
		u.setState(unitFailed, m.now.MonoMS)
		m.markEndsDurable(u.pendingEnds)
		u.pendingEnds = nil
		return
	}
	if u.failed && !u.step.spec.Perpetual {
		u.failed = false
		u.record.Failures++
		if u.record.Failures >= max(m.queue(u.step.job).Attempts, 1) && !u.step.job.cancelled {
			u.setState(unitFailed, m.now.MonoMS)
			m.failJob(u.step.job, "unit "+u.id.String()+" failed on "+strings.Join(u.failedOn, ", "))
			return
		}
	}
	if m.giveUpIfCrashing(u) {
		return
	}
	if u.lateStarts > 0 && !u.step.job.cancelled {
		m.awaitLateStarts(u)
		return
	}
	u.record.Phase, u.record.Workers, u.record.Incarnations, u.record.LateStarts = reducer.PhaseWaiting, nil, nil, nil
	u.setState(unitWaiting, m.now.MonoMS)
	m.recordUnit(u)
	m.event("UnitWaits", "Job", u.id.Job, "Unit", u.id.String(), "Run", u.record.Run, "Failures", u.record.Failures, "Crashes", len(u.record.Crashes), "Reason", u.stopReason, "Saved", u.record.Checkpoint != "")
	m.passNeeded = true
	m.finishCancel(u.step.job)
}

// awaitLateStarts records the end of a run whose starts may still be executed, together with
// these starts. A successor waits for them too, but does not count the end again: workers list
// an end until it is confirmed, which may take several terms.
func (m *Model) awaitLateStarts(u *unit) {
	first := !u.awaiting
	if first {
		u.awaiting = true
		m.event("UnitAwaitsStarts", "Job", u.id.Job, "Unit", u.id.String(), "Run", u.record.Run, "Starts", u.lateStarts, "Failures", u.record.Failures, "Crashes", len(u.record.Crashes), "Reason", u.stopReason)
	}
	if first || len(u.pendingEnds) > 0 {
		u.record.LateStarts, u.record.SettlesMS = m.lateStartsOf(u), 0
		m.dateWaits(u)
		m.recordUnit(u)
	}
	if first {
		m.finishCancel(u.step.job)
	}
}

// recordUnit proposes the unit's record, and marks the unit's ends as durable once the
// record is.
func (m *Model) recordUnit(u *unit) {
	ends := u.pendingEnds
	u.pendingEnds, u.beginUnrecorded = nil, false
	m.propose(reducer.UnitRecord(u.id, u.record), func(m *Model) { m.markEndsDurable(ends) })
}

// finishUnit marks the unit as done by the run with the given number. Tasks of other
// runs that may still be present are stopped.
func (m *Model) finishUnit(u *unit, number int) {
	if u.state == unitDone || u.step.job.ended {
		return
	}
	u.setState(unitDone, m.now.MonoMS)
	u.record.Phase, u.record.Workers, u.record.Incarnations, u.record.LateStarts = reducer.PhaseDone, nil, nil, nil
	u.record.Crashes, u.record.SettlesMS = nil, 0
	m.event("UnitDone", "Job", u.id.Job, "Unit", u.id.String(), "Run", u.record.Run)
	for _, r := range append([]*run{}, u.runs...) {
		switch {
		case r.state == runPlanned:
			m.removeRun(r)
		case r.ref.Run != number:
			m.stopRun(r)
		}
	}
	u.record.Settled = !m.mayStartLate(u)
	m.recordUnit(u)
	m.countFinishedUnit(u.step)
	m.finishCancel(u.step.job)
	m.passNeeded = true
}

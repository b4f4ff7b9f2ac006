package scheduler

import (
	"strings"

	"daisyhead/internal/workload/tabulator"
)

// unitState is where the holder stands with a unit.
type unitState int

// The states of a unit.
const (
	unitWaiting unitState = iota
	// unitRecording waits until its placement is durable.
	unitRecording
	// unitStarting waits until every task is known to be present.
	unitStarting
	unitRunning
	// unitStopping waits until no task is present.
	unitStopping
	unitDone
	unitFailed
)

// unit is what is placed together: one task or a gang.
type unit struct {
	id    tabulator.UnitID
	step  *step
	state unitState
	rec   tabulator.Unit
	// runs are the tasks that may be present on workers.
	runs []*run
	// ends are listed by workers and not durable yet.
	ends []endRef
	// failed is set once a task of this run has failed by its own fault.
	failed bool
	// failedOn are the workers on which tasks of the unit have failed.
	failedOn []string
	booking  *booking
	why      string
	// sinceMS is when the state was entered.
	sinceMS int64
}

func (u *unit) enter(s unitState, atMS int64) {
	if u.state == unitWaiting {
		u.step.waiting--
	}
	if s == unitWaiting {
		u.step.waiting++
	}
	u.state, u.sinceMS = s, atMS
}

// adoptUnit goes on from a unit's record.
func (m *Model) adoptUnit(j *job, id tabulator.UnitID, rec tabulator.Unit) {
	u := m.unit(id)
	if u == nil {
		return
	}
	u.rec = rec
	switch rec.Phase {
	case tabulator.PhaseDone:
		u.enter(unitDone, m.at.MonoMS)
		u.step.open--
		if u.step.open == 0 {
			u.step.occurrence.open--
		}
	case tabulator.PhasePlaced:
		u.enter(unitStarting, m.at.MonoMS)
		for i, name := range rec.Workers {
			m.addRun(u, i, m.worker(name), runAdopted).adopted = true
		}
	}
}

// placeUnit records where the unit goes; its tasks start once that is durable.
func (m *Model) placeUnit(u *unit, on []*worker) {
	u.rec.Term, u.rec.Phase = m.terms.number, tabulator.PhasePlaced
	u.rec.Run++
	u.rec.Workers = nil
	u.failed, u.why = false, ""
	for i, w := range on {
		u.rec.Workers = append(u.rec.Workers, w.ID)
		m.addRun(u, i, w, runIntended)
	}
	u.enter(unitRecording, m.at.MonoMS)
	run := u.rec.Run
	m.event("UnitPlaced", "Job", u.id.Job, "Unit", u.id.String(), "Run", run, "Workers", u.rec.Workers, "WaitedMS", m.at.MonoMS-u.step.job.seenMS)
	m.propose(tabulator.UnitRecord(u.id, u.rec), func(m *Model) { m.startUnit(u, run) })
}

func (m *Model) startUnit(u *unit, run int) {
	if u.state != unitRecording || u.rec.Run != run || m.leaving {
		return
	}
	u.enter(unitStarting, m.at.MonoMS)
	for _, r := range u.runs {
		m.sendStart(r)
	}
}

// checkStarted notes when the last task of the unit is present.
func (m *Model) checkStarted(u *unit) {
	if u == nil || u.state != unitStarting || len(u.runs) < u.size() {
		return
	}
	for _, r := range u.runs {
		if r.state != runPresent {
			return
		}
	}
	u.enter(unitRunning, m.at.MonoMS)
	for _, r := range u.runs {
		r.track.Begin(m.at.MonoMS)
		if u.rec.Checkpoint == "" && !r.adopted {
			r.track.Note(m.at.MonoMS, 0)
		}
	}
	m.event("UnitStarted", "Job", u.id.Job, "Unit", u.id.String(), "Run", u.rec.Run, "SinceAcceptedMS", m.at.WallMS-u.step.job.sub.AcceptedMS)
}

func (u *unit) size() int {
	if u.step.spec.Gang {
		return u.step.spec.Count
	}
	return 1
}

// stopUnit stops all tasks of the unit that may be present.
func (m *Model) stopUnit(u *unit, why string) {
	switch u.state {
	case unitRecording, unitStarting, unitRunning:
	default:
		return
	}
	u.why = why
	u.enter(unitStopping, m.at.MonoMS)
	m.event("UnitStopping", "Job", u.id.Job, "Unit", u.id.String(), "Run", u.rec.Run, "Reason", why)
	for _, r := range append([]*run{}, u.runs...) {
		if r.state == runIntended {
			m.dropRun(r)
			continue
		}
		m.stopRun(r)
	}
	m.settleUnit(u)
}

// runsChanged goes on after a run of the unit has gone: a gang does not run on
// in part.
func (m *Model) runsChanged(u *unit, why string) {
	if u == nil {
		return
	}
	m.stopUnit(u, why)
	m.settleUnit(u)
}

// settleUnit decides what follows once no task of the unit is present.
func (m *Model) settleUnit(u *unit) {
	if len(u.runs) > 0 || u.state != unitStopping {
		return
	}
	if u.step.job.over {
		u.enter(unitFailed, m.at.MonoMS)
		m.confirmEnds(u.ends)
		u.ends = nil
		return
	}
	if u.failed && !u.step.spec.Perpetual {
		u.rec.Failures++
		if u.rec.Failures >= max(m.queue(u.step.job).Attempts, 1) && !u.step.job.cancelled {
			u.enter(unitFailed, m.at.MonoMS)
			m.failJob(u.step.job, "unit "+u.id.String()+" failed on "+strings.Join(u.failedOn, ", "))
			return
		}
	}
	u.rec.Phase, u.rec.Workers = tabulator.PhaseWaiting, nil
	u.enter(unitWaiting, m.at.MonoMS)
	m.recordUnit(u)
	m.event("UnitWaits", "Job", u.id.Job, "Unit", u.id.String(), "Run", u.rec.Run, "Failures", u.rec.Failures, "Reason", u.why, "Saved", u.rec.Checkpoint != "")
	m.dirty = true
	m.finishCancel(u.step.job)
}

// recordUnit makes the unit's record durable and then confirms its ends.
func (m *Model) recordUnit(u *unit) {
	ends := u.ends
	u.ends = nil
	m.propose(tabulator.UnitRecord(u.id, u.rec), func(m *Model) { m.confirmEnds(ends) })
}

// finishUnit notes that the unit's work is done by a run. Tasks of another run
// that may still be present are stopped.
func (m *Model) finishUnit(u *unit, number int) {
	if u.state == unitDone || u.step.job.over {
		return
	}
	u.enter(unitDone, m.at.MonoMS)
	u.rec.Phase, u.rec.Workers = tabulator.PhaseDone, nil
	m.event("UnitDone", "Job", u.id.Job, "Unit", u.id.String(), "Run", u.rec.Run)
	for _, r := range append([]*run{}, u.runs...) {
		switch {
		case r.state == runIntended:
			m.dropRun(r)
		case r.ref.Run != number:
			m.stopRun(r)
		}
	}
	m.recordUnit(u)
	m.finishStepUnit(u.step)
	m.dirty = true
}

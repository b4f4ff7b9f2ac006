package scheduler

import (
	"cmp"
	"slices"

	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/tabulator"
)

func (m *Model) takeReport(w *worker, p WorkerReport) {
	reborn := w.bornMS != 0 && w.bornMS != p.BornMS
	if w.heard && reborn {
		m.rebirth(w)
	}
	if !w.heard || w.failures > 0 {
		m.event("WorkerHeard", "Worker", w.ID, "Running", len(p.Running), "Ended", len(p.Ended), "Failures", w.failures)
		m.dirty = true
	}
	w.heard, w.heardInTerm, w.failures = true, true, 0
	m.clearUnheard(w)
	w.bornMS, w.clockMS, w.clockAtMS = p.BornMS, p.ClockMS, m.at.MonoMS
	if reborn {
		m.barDoubted(w)
	}
	present := map[TaskRef]bool{}
	slices.SortFunc(p.Ended, func(a, b EndReport) int { return cmp.Compare(a.Number, b.Number) })
	for _, e := range p.Ended {
		e.Task = m.resolve(e.Task)
		present[e.Task] = true
		m.takeEnd(w, e)
	}
	for _, r := range p.Running {
		r.Task = m.resolve(r.Task)
		present[r.Task] = true
		m.takeRunning(w, r)
	}
	m.missRuns(w, present)
	m.judgeProgress(w)
	w.advance()
	w.retryMS = m.at.MonoMS + m.pauseAfter(w)
	m.hold(w)
}

const (
	// confirmPauseMS is how long a hold waits for ends to become durable: it
	// would be answered at once with the same ends.
	confirmPauseMS = 400
	// settlePauseMS is the pause between holds that don't wait.
	settlePauseMS = 100
)

// pauseAfter returns the pause before the next hold.
func (m *Model) pauseAfter(w *worker) int64 {
	switch {
	case len(w.ends) > 0:
		return confirmPauseMS
	case m.patience(w) == 0:
		return settlePauseMS
	}
	return 0
}

// resolve names the unit of a reported task: workers know tasks only, and all
// tasks of a gang belong to its one unit.
func (m *Model) resolve(ref TaskRef) TaskRef {
	if s, ok := m.stepOf(ref.Unit); ok && s.Gang {
		ref.Unit.Index = 0
	}
	return ref
}

// stepOf returns the step that a unit belongs to.
func (m *Model) stepOf(id tabulator.UnitID) (s describer.Step, ok bool) {
	var steps []describer.Step
	if j, live := m.jobs[id.Job]; live {
		steps = j.sub.Job.Steps
	} else if j, known := m.Table.Lookup(id.Job); known {
		steps = j.Job.Steps
	}
	if id.Step >= len(steps) {
		return s, false
	}
	return steps[id.Step], true
}

// takeRunning holds one running task against what was ordered.
func (m *Model) takeRunning(w *worker, p RunReport) {
	r := w.runs.get(p.Task)
	if r == nil {
		m.stopStray(w, p)
		return
	}
	if p.Checkpoint != "" && r.unit != nil && r.unit.state != unitDone {
		r.unit.rec.Checkpoint = p.Checkpoint
	}
	m.notePresent(r)
	m.checkStarted(r.unit)
	m.noteProgress(r, p)
}

// stopStray stops a run that nobody wants any more. It takes room until then.
func (m *Model) stopStray(w *worker, p RunReport) {
	r := &run{ref: p.Task, worker: w, state: runStopping}
	if s, ok := m.stepOf(p.Task.Unit); ok {
		r.need = s.Reserved()
	}
	w.runs.add(r)
	m.event("StrayRun", "Job", p.Task.Unit.Job, "Unit", p.Task.Unit.String(), "Run", p.Task.Run, "Worker", w.ID)
	m.sendStop(r)
}

// takeEnd notes one end, once.
func (m *Model) takeEnd(w *worker, e EndReport) {
	if _, seen := w.ends[e.Number]; seen || e.Number <= w.confirmed {
		return
	}
	w.ends[e.Number] = false
	ref := endRef{worker: w, bornMS: w.bornMS, number: e.Number}
	r := w.runs.get(e.Task)
	u := m.unit(e.Task.Unit)
	m.event("RunEnded", "Job", e.Task.Unit.Job, "Unit", e.Task.Unit.String(), "Member", e.Task.Member, "Run", e.Task.Run, "Worker", w.ID, "Kind", e.Kind)
	if r != nil {
		m.dropRun(r)
		m.judgeEnd(w, r, e)
	}
	switch {
	case u == nil || u.step.job.over:
		m.confirmAfter([]endRef{ref})
		m.jobRunGone(u)
	case e.Kind == EndDone && !u.step.spec.Perpetual:
		if u.state == unitDone {
			m.confirmAfter([]endRef{ref})
			return
		}
		u.ends = append(u.ends, ref)
		m.finishUnit(u, e.Task.Run)
	case r == nil || r.unit == nil || u.state == unitDone:
		m.confirmAfter([]endRef{ref})
	default:
		u.ends = append(u.ends, ref)
		m.endRun(u, e)
	}
}

// judgeEnd lets an end speak for or against its worker.
func (m *Model) judgeEnd(w *worker, r *run, e EndReport) {
	switch e.Kind {
	case EndDone:
		m.noteSuccess(w)
	case EndFailed:
		m.noteFailure(w, e.Task.Unit.Job)
		if r.unit != nil {
			r.unit.failedOn = append(r.unit.failedOn, w.ID)
		}
	}
}

// confirmAfter confirms ends once everything that was proposed before is durable.
func (m *Model) confirmAfter(ends []endRef) {
	ack := func(m *Model) { m.confirmEnds(ends) }
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

func (m *Model) endRun(u *unit, e EndReport) {
	if e.Checkpoint != "" {
		u.rec.Checkpoint = e.Checkpoint
	}
	if e.Kind == EndFailed {
		u.failed = true
	}
	m.runsChanged(u, "a task ended: "+string(e.Kind))
}

// jobRunGone goes on with a cancelled job after a run of it has gone.
func (m *Model) jobRunGone(u *unit) {
	if u != nil {
		m.settleUnit(u)
	}
}

// missRuns gives up runs that a later report does not show.
func (m *Model) missRuns(w *worker, present map[TaskRef]bool) {
	for _, r := range w.runs.snapshot() {
		ref := r.ref
		if present[ref] || r.busy {
			continue
		}
		settled := r.settledMS > 0 && r.settledMS < w.sentMS
		if r.state != runAdopted && !settled {
			continue
		}
		m.dropRun(r)
		if r.unit == nil {
			continue
		}
		m.event("RunGone", "Job", ref.Unit.Job, "Unit", ref.Unit.String(), "Run", ref.Run, "Worker", w.ID)
		m.runsChanged(r.unit, "worker "+w.ID+" does not run it")
	}
}

// confirmEnds lets the workers forget ends that are durable.
func (m *Model) confirmEnds(ends []endRef) {
	for _, e := range ends {
		if e.worker.bornMS != e.bornMS {
			continue
		}
		if _, ok := e.worker.ends[e.number]; ok {
			e.worker.ends[e.number] = true
			e.worker.advance()
			if len(e.worker.ends) == 0 {
				e.worker.hurry(m.at.MonoMS)
			}
		}
	}
}

// advance confirms ends up to the first that is not durable.
func (w *worker) advance() {
	numbers := make([]int64, 0, len(w.ends))
	for n := range w.ends {
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	for _, n := range numbers {
		if !w.ends[n] {
			return
		}
		w.confirmed = max(w.confirmed, n)
		delete(w.ends, n)
	}
}

package scheduler

import (
	"strings"

	"daisyhead/internal/workload/describer"
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
	why      string
	// sinceMS is when the state was entered.
	sinceMS int64
}

// runState is what is known of a task on its worker.
type runState int

// The states of a run.
const (
	// runIntended has not been sent to its worker.
	runIntended runState = iota
	// runAdopted may have been started by an earlier holder.
	runAdopted
	// runSent has been sent and may be present.
	runSent
	runPresent
	// runStopping has been told to stop.
	runStopping
	// runRefused was told to stop, and the worker has confirmed it.
	runRefused
)

// run is a task that occupies room on a worker.
type run struct {
	ref    TaskRef
	unit   *unit
	worker *worker
	need   describer.Resources
	state  runState
	// doubtful is set once a start got no answer: it may be carried out later,
	// even if another one was answered meanwhile.
	doubtful bool
	// busy is set while an order is in flight.
	busy bool
	// orderMS is when the last order was sent.
	orderMS int64
	// settledMS is when the worker last gave a definite answer: a report that
	// was asked for later shows the run if it is there.
	settledMS int64
	// startedMS is when the run was first known to be present.
	startedMS int64
	percent   int
	// percentMS is when percent last rose.
	percentMS int64
}

// endRef is an end on a worker that is to be confirmed.
type endRef struct {
	worker *worker
	bornMS int64
	number int64
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

// task returns the reference of a member's current run.
func (u *unit) task(member int) TaskRef {
	return TaskRef{Unit: u.id, Member: member, Run: u.rec.Run}
}

// memberIndex returns the task's index in its step.
func (u *unit) memberIndex(i int) int {
	if u.step.spec.Gang {
		return i
	}
	return u.id.Index
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
			m.addRun(u, i, m.worker(name), runAdopted)
		}
	}
}

func (m *Model) addRun(u *unit, i int, w *worker, s runState) {
	r := &run{ref: u.task(u.memberIndex(i)), unit: u, worker: w, need: u.step.spec.Reserved(), state: s, percentMS: m.at.MonoMS}
	u.runs = append(u.runs, r)
	w.runs.add(r)
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

func (m *Model) sendStart(r *run) {
	w, u := r.worker, r.unit
	if r.busy || !w.heard || !m.fresh() {
		return
	}
	r.state, r.busy, r.orderMS = runSent, true, m.at.MonoMS
	m.emit(StartCmd{
		Worker: w.ID, Address: w.Address, Task: r.ref, Spec: u.step.job.sub.Job.Spec,
		Checkpoint: u.rec.Checkpoint, Ticket: m.ticket(r), DeadlineMS: m.grant(w), Term: m.terms.number,
	})
}

func (m *Model) sendStop(r *run) {
	if r.busy || !r.worker.heard || r.worker.Address == "" {
		return
	}
	r.busy, r.orderMS = true, m.at.MonoMS
	m.emit(StopCmd{Worker: r.worker.ID, Address: r.worker.Address, Task: r.ref, Term: m.terms.number})
}

func (m *Model) findRun(worker string, ref TaskRef) *run {
	w, ok := m.workers[worker]
	if !ok {
		return nil
	}
	return w.runs.get(ref)
}

func (m *Model) finishStart(msg StartedMsg) {
	r := m.findRun(msg.Worker, msg.Task)
	if r == nil {
		return
	}
	r.busy = false
	switch msg.Result {
	case OrderDone, OrderOld:
		// An old run shows among the worker's ends, or has gone.
		m.notePresent(r)
		r.settledMS = m.at.MonoMS
		m.checkStarted(r.unit)
	case OrderFenced:
		m.fenced(msg.Worker)
	case OrderGone:
		m.loseWorker(r.worker, "another life of the worker answers")
	case OrderNoRoom, OrderUnhealthy, OrderNoPermit, OrderInvalid:
		r.worker.avoidMS = m.at.MonoMS + avoidMS
		m.event("StartRefused", "Job", msg.Task.Unit.Job, "Unit", msg.Task.Unit.String(), "Worker", msg.Worker, "Result", msg.Result)
		m.dropRun(r)
		m.runsChanged(r.unit, "a worker refused the start: "+string(msg.Result))
	case OrderUnknown, OrderLate:
		r.doubtful = r.doubtful || msg.Result == OrderUnknown
		m.event("StartUnanswered", "Job", msg.Task.Unit.Job, "Unit", msg.Task.Unit.String(), "Worker", msg.Worker, "Result", msg.Result, "Error", msg.Err)
	}
}

func (m *Model) finishStop(msg StoppedMsg) {
	r := m.findRun(msg.Worker, msg.Task)
	if r == nil {
		return
	}
	r.busy = false
	switch msg.Result {
	case OrderFenced:
		m.fenced(msg.Worker)
	case OrderGone:
		m.loseWorker(r.worker, "another life of the worker answers")
	case OrderUnknown:
		m.event("StopUnanswered", "Job", msg.Task.Unit.Job, "Unit", msg.Task.Unit.String(), "Worker", msg.Worker, "Error", msg.Err)
	default:
		r.state, r.settledMS = runRefused, m.at.MonoMS
		r.worker.hurry(m.at.MonoMS)
	}
}

// notePresent takes the first sign that a run is on its worker.
func (m *Model) notePresent(r *run) {
	if r.state != runSent && r.state != runAdopted {
		return
	}
	r.state = runPresent
	if r.startedMS == 0 {
		r.startedMS = m.at.MonoMS
	}
}

// fenced steps down: the worker has seen a newer term, so another instance
// decides, also when this one can't read the ledger.
func (m *Model) fenced(worker string) {
	m.event("OrderFenced", "Worker", worker, "Term", m.terms.number)
	m.stepDown("worker " + worker + " has seen a newer term")
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

func (m *Model) stopRun(r *run) {
	if r.state != runStopping && r.state != runRefused {
		r.state = runStopping
		m.sendStop(r)
	}
}

// dropRun gives the run's room back.
func (m *Model) dropRun(r *run) {
	r.worker.runs.drop(r)
	m.dirty = true
	if r.unit == nil {
		return
	}
	for i, o := range r.unit.runs {
		if o == r {
			r.unit.runs = append(r.unit.runs[:i], r.unit.runs[i+1:]...)
			return
		}
	}
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

// watchUnits repeats orders without an answer and gives up gangs whose tasks
// don't come together in time.
func (m *Model) watchUnits() {
	for _, w := range m.fleet {
		for _, r := range w.runs.snapshot() {
			m.watchRun(r)
		}
	}
}

func (m *Model) watchRun(r *run) {
	if r.busy || m.at.MonoMS-r.orderMS < retryOrderMS {
		return
	}
	switch r.state {
	case runStopping:
		m.sendStop(r)
	case runIntended, runSent:
		if r.unit.state != unitStarting {
			return
		}
		if m.at.MonoMS-r.unit.sinceMS > m.startPatienceMS(r.unit) {
			r.worker.avoidMS = m.at.MonoMS + avoidMS
			m.stopUnit(r.unit, "worker "+r.worker.ID+" did not confirm the start")
			return
		}
		m.sendStart(r)
	}
}

// startPatienceMS is how long a start is repeated. A gang is given up while its
// tasks still wait for each other.
func (m *Model) startPatienceMS(u *unit) int64 {
	return m.cfg.GangMS * 2 / 3
}

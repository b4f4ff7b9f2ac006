package scheduler

import (
	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/forecaster"
)

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
	// even if another one was answered meanwhile, until lateUntilMS.
	doubtful    bool
	lateUntilMS int64
	// busy is set while an order is in flight.
	busy bool
	// orderMS is when the last order was sent.
	orderMS int64
	// settledMS is when the worker last gave a definite answer: a report that
	// was asked for later shows the run if it is there.
	settledMS int64
	// startedMS is when the run was first known to be present.
	startedMS int64
	// adopted is set for a run that an earlier holder has started, at an unknown time.
	adopted bool
	track   forecaster.Track
}

// endRef is an end on a worker that is to be confirmed.
type endRef struct {
	worker *worker
	bornMS int64
	number int64
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

func (m *Model) addRun(u *unit, i int, w *worker, s runState) *run {
	r := &run{ref: u.task(u.memberIndex(i)), unit: u, worker: w, need: u.step.spec.Reserved(), state: s}
	u.runs = append(u.runs, r)
	w.runs.add(r)
	return r
}

func (m *Model) sendStart(r *run) {
	w, u := r.worker, r.unit
	if r.busy || !w.heard || w.notedUnheard || !m.fresh() {
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
		if msg.Result == OrderUnknown {
			r.doubtful, r.lateUntilMS = true, r.orderMS+lateOrderMS
		}
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

func (m *Model) stopRun(r *run) {
	if r.state != runStopping && r.state != runRefused {
		r.state = runStopping
		m.sendStop(r)
	}
}

// dropRun gives the run's room back.
func (m *Model) dropRun(r *run) {
	r.worker.runs.drop(r)
	r.worker.doubt(r, m.at.MonoMS)
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

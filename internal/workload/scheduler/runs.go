package scheduler

import (
	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/forecaster"
)

// runState is what is known of a task on its worker.
type runState int

// The states of a run.
const (
	// runPlanned has not been sent to its worker.
	runPlanned runState = iota
	// runAdopted may have been started by an earlier holder.
	runAdopted
	// runStartSent has been sent and may be present.
	runStartSent
	runPresent
	// runStopping has been told to stop.
	runStopping
	// runStopConfirmed was told to stop, and the worker has confirmed it.
	runStopConfirmed
)

// run is a task that occupies room on a worker.
type run struct {
	ref    TaskRef
	unit   *unit
	worker *worker
	need   describer.Resources
	state  runState
	// startUnanswered is set once a start got no answer: it may be carried out later,
	// even if another one was answered meanwhile, until lateUntilMS.
	startUnanswered  bool
	lateStartUntilMS int64
	// orderInFlight is set while an order is in flight.
	orderInFlight bool
	// orderSentMS is when the last order was sent.
	orderSentMS int64
	// lastAnswerMS is when the worker last gave a definite answer: a report that
	// was asked for later shows the run if it is there.
	lastAnswerMS int64
	// startedMS is when the run was first known to be present.
	startedMS int64
	// adopted is set for a run that an earlier holder has started, at an unknown time.
	adopted bool
	track   forecaster.Track
}

// endRef is an end on a worker that is to be confirmed.
type endRef struct {
	worker      *worker
	incarnation int64
	number      int64
}

// taskRef returns the reference of a member's current run.
func (u *unit) taskRef(member int) TaskRef {
	return TaskRef{Unit: u.id, Member: member, Run: u.record.Run}
}

// memberIndex returns the task's index in its step.
func (u *unit) memberIndex(i int) int {
	if u.step.spec.Gang {
		return i
	}
	return u.id.Index
}

func (m *Model) addRun(u *unit, i int, w *worker, s runState) *run {
	r := &run{ref: u.taskRef(u.memberIndex(i)), unit: u, worker: w, need: u.step.spec.Reserved(), state: s}
	u.runs = append(u.runs, r)
	w.runs.add(r)
	return r
}

func (m *Model) sendStart(r *run) {
	w, u := r.worker, r.unit
	if r.orderInFlight || !w.responded || w.recordedUnreached || !m.tableFresh() {
		return
	}
	r.state, r.orderInFlight, r.orderSentMS = runStartSent, true, m.now.MonoMS
	m.emit(StartCmd{
		Worker: w.ID, Address: w.Address, Task: r.ref, Spec: u.step.job.submission.Job.Spec,
		Checkpoint: u.record.Checkpoint, Ticket: m.ticket(r), DeadlineMS: m.grantLease(w), Term: m.term.number,
	})
}

func (m *Model) sendStop(r *run) {
	if r.orderInFlight || !r.worker.responded || r.worker.Address == "" {
		return
	}
	r.orderInFlight, r.orderSentMS = true, m.now.MonoMS
	m.emit(StopCmd{Worker: r.worker.ID, Address: r.worker.Address, Task: r.ref, Term: m.term.number})
}

func (m *Model) findRun(worker string, ref TaskRef) *run {
	w, ok := m.workers[worker]
	if !ok {
		return nil
	}
	return w.runs.get(ref)
}

func (m *Model) handleStarted(msg StartedMsg) {
	r := m.findRun(msg.Worker, msg.Task)
	if r == nil {
		return
	}
	r.orderInFlight = false
	switch msg.Result {
	case OrderDone, OrderOld:
		// An old run shows among the worker's ends, or has gone.
		m.markPresent(r)
		r.lastAnswerMS = m.now.MonoMS
		m.checkStarted(r.unit)
	case OrderFenced:
		m.handleFenced(msg.Worker)
	case OrderGone:
		m.loseWorker(r.worker, "another life of the worker answers")
	case OrderNoRoom, OrderUnhealthy, OrderNoPermit, OrderInvalid:
		r.worker.cooldownUntilMS = m.now.MonoMS + workerCooldownMS
		m.event("StartRefused", "Job", msg.Task.Unit.Job, "Unit", msg.Task.Unit.String(), "Worker", msg.Worker, "Result", msg.Result)
		m.dropRun(r)
		m.stopRemaining(r.unit, "a worker refused the start: "+string(msg.Result))
	case OrderUnknown, OrderLate:
		if msg.Result == OrderUnknown {
			r.startUnanswered, r.lateStartUntilMS = true, r.orderSentMS+maxOrderDelayMS
		}
		m.event("StartUnanswered", "Job", msg.Task.Unit.Job, "Unit", msg.Task.Unit.String(), "Worker", msg.Worker, "Result", msg.Result, "Error", msg.Err)
	}
}

func (m *Model) handleStopped(msg StoppedMsg) {
	r := m.findRun(msg.Worker, msg.Task)
	if r == nil {
		return
	}
	r.orderInFlight = false
	switch msg.Result {
	case OrderFenced:
		m.handleFenced(msg.Worker)
	case OrderGone:
		m.loseWorker(r.worker, "another life of the worker answers")
	case OrderUnknown:
		m.event("StopUnanswered", "Job", msg.Task.Unit.Job, "Unit", msg.Task.Unit.String(), "Worker", msg.Worker, "Error", msg.Err)
	default:
		r.state, r.lastAnswerMS = runStopConfirmed, m.now.MonoMS
		r.worker.expediteHold(m.now.MonoMS)
	}
}

// markPresent takes the first sign that a run is on its worker.
func (m *Model) markPresent(r *run) {
	if r.state != runStartSent && r.state != runAdopted {
		return
	}
	r.state = runPresent
	if r.startedMS == 0 {
		r.startedMS = m.now.MonoMS
	}
}

// handleFenced steps down: the worker has seen a newer term, so another instance
// decides, also when this one can't read the ledger.
func (m *Model) handleFenced(worker string) {
	m.event("OrderFenced", "Worker", worker, "Term", m.term.number)
	m.stepDown("worker " + worker + " has seen a newer term")
}

func (m *Model) stopRun(r *run) {
	if r.state != runStopping && r.state != runStopConfirmed {
		r.state = runStopping
		m.sendStop(r)
	}
}

// dropRun gives the run's room back.
func (m *Model) dropRun(r *run) {
	r.worker.runs.drop(r)
	r.worker.trackLateStart(r, m.now.MonoMS)
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

// retryOrders repeats orders without an answer and gives up gangs whose tasks
// don't come together in time.
func (m *Model) retryOrders() {
	for _, w := range m.fleet {
		for _, r := range w.runs.snapshot() {
			m.retryOrder(r)
		}
	}
}

func (m *Model) retryOrder(r *run) {
	if r.orderInFlight || m.now.MonoMS-r.orderSentMS < orderRetryMS {
		return
	}
	switch r.state {
	case runStopping:
		m.sendStop(r)
	case runPlanned, runStartSent:
		if r.unit.state != unitStarting {
			return
		}
		if m.now.MonoMS-r.unit.sinceMS > m.startTimeoutMS(r.unit) {
			r.worker.cooldownUntilMS = m.now.MonoMS + workerCooldownMS
			m.stopUnit(r.unit, "worker "+r.worker.ID+" did not confirm the start")
			return
		}
		m.sendStart(r)
	}
}

// startTimeoutMS is how long a start is repeated. A gang is given up while its
// tasks still wait for each other.
func (m *Model) startTimeoutMS(u *unit) int64 {
	return m.cfg.GangMS * 2 / 3
}

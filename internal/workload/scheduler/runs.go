package scheduler

import (
	"daisyhead/internal/workload/accountant"
	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/forecaster"
	"daisyhead/internal/workload/throttler"
)

// runState is what the holder knows about a task on its worker.
type runState int

// The states of a run.
const (
	// runPlanned has not been sent to its worker yet.
	runPlanned runState = iota
	// runAdopted may have been started by an earlier holder.
	runAdopted
	// runStartSent has been sent and may be present.
	runStartSent
	// runPresent is known to be present on its worker.
	runPresent
	// runStopping has to be stopped, and the worker has not confirmed the stop.
	runStopping
	// runStopConfirmed is a run whose stop the worker has confirmed. It is gone once a
	// later report does not show it.
	runStopConfirmed
)

// run is one execution of a task, which occupies capacity on a worker.
type run struct {
	ref    TaskRef
	unit   *unit
	worker *worker
	need   describer.Resources
	state  runState
	// workspace is whose limit the run counts towards, quota how much, and class in which class
	// it is counted.
	workspace string
	quota     describer.Resources
	class     accountant.Class
	// bars is set for a removed run that is on its worker's list again only to bar late starts.
	bars bool
	// incarnation is that of the worker when the run was placed, 0 if it is not known.
	incarnation int64
	// crashCounted is set once the loss of its worker was counted against the unit.
	crashCounted bool
	// startUnanswered is set once a start got no answer. Such a start may still be
	// executed until lateStartUntilMS, even if a repetition of it was answered.
	startUnanswered  bool
	lateStartUntilMS int64
	// reportedIn is the incarnation of the worker that has reported the run as running.
	reportedIn int64
	// barredIn is the incarnation of the worker that rejects starts of the run, because it
	// has confirmed a stop of the run or has ended it.
	barredIn int64
	// leaseOnly is set once a removed run's unit waits only until its lease has expired: the
	// starts were all executed or can't be any more.
	leaseOnly bool
	// blocked is the unit that waits until no start of the removed run can be executed.
	blocked *unit
	// orderInFlight is set while an order awaits its answer. orderQueued is set while one
	// waits to be sent, and queuedKind is then its kind.
	orderInFlight bool
	// startInFlight is set while that order is a start.
	startInFlight bool
	orderQueued   bool
	queuedKind    throttler.Kind
	// orderSentMS is when the last order was sent, and orderIncarnation the incarnation of
	// the worker at that time.
	orderSentMS      int64
	orderIncarnation int64
	// lastAnswerMS is when the worker last gave a definite answer to an order for the
	// run. If the run is present, a report that was requested later shows it.
	lastAnswerMS int64
	// startedMS is when the run was first known to be present.
	startedMS int64
	// adopted is set for a run that an earlier holder may have started at an unknown
	// time. Unlike the state runAdopted, it does not change.
	adopted bool
	// percent is the latest progress that the worker has reported.
	percent int
	// endsSoonSinceMS is since when the run has been expected to end soon, 0 if it is not.
	endsSoonSinceMS int64
	// progress estimates the run's remaining time from its reports.
	progress forecaster.Progress
}

// endRef identifies an end that one incarnation of a worker has reported.
type endRef struct {
	worker      *worker
	incarnation int64
	number      int64
}

// taskRef returns the reference to a member's current run.
func (u *unit) taskRef(member int) TaskRef {
	return TaskRef{Unit: u.id, Member: member, Run: u.record.Run}
}

// memberIndex returns the index in the step of the unit's i-th task.
func (u *unit) memberIndex(i int) int {
	if u.step.spec.Gang {
		return i
	}
	return u.id.Index
}

// addRun adds a run of the unit's i-th task, which occupies capacity from now on.
func (m *Model) addRun(u *unit, i int, w *worker, s runState) *run {
	r := &run{ref: u.taskRef(u.memberIndex(i)), unit: u, worker: w, need: u.step.spec.Reserved(), state: s, workspace: u.workspace(), quota: u.step.spec.Need}
	u.runs = append(u.runs, r)
	w.runs.add(r)
	m.account(r)
	return r
}

// mayStart reports whether a start may be sent now. It may not while no configuration is known, an order is in
// flight, its term is not recorded, the worker has not answered, owes an answer or may get no
// lease, the table is too old to show a recent cancellation, or the list too old to show a
// recent change of the capacity; retryOrders tries again.
func (m *Model) mayStart(r *run) bool {
	return m.configured() && !r.orderInFlight && !r.unit.termUnrecorded && r.worker.answered && !r.worker.owesAnswer() && !m.confirmationDelaysStarts(r.worker) && !r.worker.unreachedRecorded && m.tableFresh() && m.listFresh()
}

// hasRoomFor reports whether the run fits the worker's capacity beside the other runs that
// may be present there. The capacity may have shrunk since the run was placed.
func (w *worker) hasRoomFor(r *run) bool {
	used := r.need
	for _, o := range w.runs.list {
		if o != r && o.state != runPlanned {
			used = used.Add(o.need)
		}
	}
	return w.Room.Fits(used)
}

// sendStart orders a start and grants a lease with it.
func (m *Model) sendStart(r *run, orderID uint64) {
	w, u := r.worker, r.unit
	r.state, r.orderInFlight, r.startInFlight, r.orderSentMS = runStartSent, true, true, m.now.MonoMS
	m.account(r)
	m.emit(StartCmd{
		OrderID: orderID, Worker: w.ID, Address: w.Address, Task: r.ref, Spec: u.step.job.submission.Job.Spec,
		Checkpoint: u.record.Checkpoint, Ticket: m.ticket(r), DeadlineMS: m.grantLease(w), Term: m.term.number,
		SendByWallMS: m.now.WallMS + maxSendDelayMS,
	})
}

// mayStop reports whether a stop may be sent now. It may not while an order is in flight
// or the worker has not answered; retryOrders tries again.
func (m *Model) mayStop(r *run) bool {
	return !r.orderInFlight && r.worker.answered && r.worker.Address != ""
}

// sendStop orders a stop.
func (m *Model) sendStop(r *run, orderID uint64) {
	r.orderInFlight, r.orderSentMS, r.orderIncarnation = true, m.now.MonoMS, r.worker.incarnation
	m.emit(StopCmd{OrderID: orderID, Worker: r.worker.ID, Address: r.worker.Address, Task: r.ref, Term: m.term.number})
}

func (m *Model) findRun(worker string, ref TaskRef) *run {
	w, ok := m.workers[worker]
	if !ok {
		return nil
	}
	return w.runs.get(ref)
}

// handleStarted stops the unit if a worker refused the start, so that it is placed anew. The
// refused run is stopped too if an earlier attempt of its start may still be executed.
// A start that got no answer or came after the end of the lease is repeated by
// retryOrders.
func (m *Model) handleStarted(msg StartedMsg) {
	r := m.findRun(msg.Worker, msg.Task)
	if r == nil {
		return
	}
	r.orderInFlight, r.startInFlight = false, false
	r.worker.noteAnswer(msg.Result, m.now.MonoMS)
	switch msg.Result {
	case OrderDone, OrderRunEnded:
		// After OrderRunEnded, the run is among the worker's ends or has gone.
		m.markPresent(r)
		r.lastAnswerMS = m.now.MonoMS
		m.checkStarted(r.unit)
	case OrderFenced:
		m.handleFenced(msg.Worker)
	case OrderOtherIncarnation:
		m.loseReplacedWorker(r.worker)
	case OrderNoRoom, OrderUnhealthy, OrderNoPermit, OrderInvalid:
		r.worker.coolDown(m.now.MonoMS + workerCooldownMS)
		m.event("StartRefused", "Job", msg.Task.Unit.Job, "Unit", msg.Task.Unit.String(), "Worker", msg.Worker, "Result", msg.Result)
		if m.now.MonoMS >= r.lateStartUntilMS {
			m.removeRun(r)
		}
		m.stopRemaining(r.unit, "a worker refused the start: "+string(msg.Result))
	case OrderNotSent:
		if r.state == runStartSent && r.lateStartUntilMS == 0 {
			r.state = runPlanned
			m.account(r)
		}
		m.event("StartNotSent", "Job", msg.Task.Unit.Job, "Unit", msg.Task.Unit.String(), "Run", msg.Task.Run, "Worker", msg.Worker, "Error", msg.Err)
		m.noteUnanswered(r.worker, r.orderSentMS)
	case OrderUnknown, OrderLeaseExpired:
		if msg.Result == OrderUnknown {
			r.startUnanswered, r.lateStartUntilMS = true, max(r.lateStartUntilMS, r.orderSentMS+maxOrderDelayMS)
		}
		m.event("StartUnanswered", "Job", msg.Task.Unit.Job, "Unit", msg.Task.Unit.String(), "Run", msg.Task.Run, "Worker", msg.Worker, "Result", msg.Result, "SentMSAgo", m.now.MonoMS-r.orderSentMS, "HeardMSAgo", m.now.MonoMS-r.worker.heardMS, "Error", msg.Err)
		if msg.Result == OrderUnknown {
			m.noteUnanswered(r.worker, r.orderSentMS)
		}
	}
}

// handleStopped marks a stop as confirmed and requests a report that shows whether the
// run is gone. A stop that got no answer, or that an unhealthy worker refused, is repeated
// by retryOrders.
func (m *Model) handleStopped(msg StoppedMsg) {
	r := m.findRun(msg.Worker, msg.Task)
	if r == nil {
		return
	}
	r.orderInFlight = false
	r.worker.noteAnswer(msg.Result, m.now.MonoMS)
	switch msg.Result {
	case OrderFenced:
		m.handleFenced(msg.Worker)
	case OrderOtherIncarnation:
		m.loseReplacedWorker(r.worker)
	case OrderUnknown, OrderNotSent, OrderUnhealthy:
		m.event("StopUnanswered", "Job", msg.Task.Unit.Job, "Unit", msg.Task.Unit.String(), "Worker", msg.Worker, "Result", msg.Result, "Error", msg.Err)
		if msg.Result != OrderUnhealthy {
			m.noteUnanswered(r.worker, r.orderSentMS)
		}
	default:
		if r.orderIncarnation != r.worker.incarnation {
			// The worker has restarted since, and may have forgotten the stop.
			m.queueStop(r)
			return
		}
		r.state, r.lastAnswerMS, r.barredIn = runStopConfirmed, m.now.MonoMS, r.worker.incarnation
		r.worker.expediteHold(m.now.MonoMS)
	}
}

// markPresent marks a run as present on its worker at the first evidence of that.
func (m *Model) markPresent(r *run) {
	if r.state != runStartSent && r.state != runAdopted {
		return
	}
	r.state = runPresent
	m.account(r)
	if r.startedMS == 0 {
		r.startedMS = m.now.MonoMS
	}
}

// handleFenced steps down after a worker rejected an order with a newer term: another
// instance decides, even if this one can't read the ledger.
func (m *Model) handleFenced(worker string) {
	m.event("OrderFenced", "Worker", worker, "Term", m.term.number)
	m.stepDown("worker " + worker + " has seen a newer term")
}

func (m *Model) stopRun(r *run) {
	if r.state != runStopping && r.state != runStopConfirmed {
		r.state = runStopping
		m.account(r)
		m.queueStop(r)
	}
}

// removeRun removes the run from its worker and its unit, which frees its capacity.
func (m *Model) removeRun(r *run) {
	r.worker.runs.remove(r)
	m.trackLateStart(r)
	m.passNeeded = true
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

// retryOrders repeats unanswered orders, starts only once the worker has shown that it is
// alive, since each repetition prolongs the wait for the start. It stops units whose starts
// are not confirmed in time.
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
		m.queueStop(r)
	case runPlanned, runStartSent:
		if r.unit.state != unitStarting {
			return
		}
		if m.now.MonoMS-r.unit.stateSinceMS > m.startTimeoutMS(r.unit) {
			m.giveUpStart(r)
			return
		}
		if !r.worker.owesAnswer() {
			m.queueStart(r)
		}
	}
}

// giveUpStart stops a unit whose start was not confirmed in time. A worker to which the
// start was not even sent is not at fault.
func (m *Model) giveUpStart(r *run) {
	if r.state == runPlanned {
		m.stopUnit(r.unit, "the start was not sent to worker "+r.worker.ID+" in time")
		return
	}
	r.worker.coolDown(m.now.MonoMS + workerCooldownMS)
	m.stopUnit(r.unit, "worker "+r.worker.ID+" did not confirm the start")
}

// startTimeoutMS is how long a start is repeated. It is less than the time for which
// the tasks of a gang wait for each other, so that a gang is stopped while they do.
func (m *Model) startTimeoutMS(u *unit) int64 {
	return m.cfg.GangMS * 2 / 3
}

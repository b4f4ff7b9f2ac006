package scheduler

import (
	"cmp"
	"slices"

	"daisyhead/internal/workload/describer"
)

// worker is the holder's state for a worker. Each holder builds it anew in its own term.
type worker struct {
	describer.Worker
	// listed is set while the platform lists the worker.
	listed bool
	// drainDeadlineMS is when a draining worker may leave.
	drainDeadlineMS int64
	// unlistedMS is when the worker last disappeared from the list.
	unlistedMS int64
	// answered is set once this incarnation of the worker has answered a hold in this
	// term, answeredInTerm once any incarnation has.
	answered       bool
	answeredInTerm bool
	// unreachedSinceMS is the time since which no earlier holder can have granted a
	// lease.
	unreachedSinceMS int64
	// unreachedRecorded is set while the ledger may say that the worker was not reached
	// in this term.
	unreachedRecorded bool
	// unreachedRecordedMS is when the record that says so was last proposed.
	unreachedRecordedMS int64
	// unreachedClearing is set from the proposal to clear that record until the proposal
	// is durable.
	unreachedClearing bool
	// incarnation differs between two starts of the worker's process.
	incarnation int64
	// clockMS is a reading of the worker's clock. It was taken at clockAtMS, a
	// monotonic time, or earlier.
	clockMS   int64
	clockAtMS int64
	// heardMS is when the worker last answered an order or a hold.
	heardMS int64
	// leaseEndMS is when every lease that any holder granted has certainly expired.
	leaseEndMS int64

	// holdSequence numbers the holds. An answer to an earlier one is ignored.
	holdSequence uint64
	holdInFlight bool
	// holdQueued is set while a hold waits to be sent.
	holdQueued bool
	holdSentMS int64
	// holdWaits is set if the hold in flight may wait at the worker for an end.
	holdWaits bool
	// grantingHold is set if the latest hold extends the lease. lateGrantUntilMS is until when
	// a hold without an answer may be executed that extends it.
	grantingHold     bool
	lateGrantUntilMS int64
	// unansweredMS is when the latest order without an answer was sent, 0 if none was.
	unansweredMS int64
	// reportAsOfMS is when the hold was sent that the latest report answers.
	reportAsOfMS int64
	// nextHoldMS is the earliest time of the next hold.
	nextHoldMS int64
	// holdFailures counts the holds that have failed since the worker's last report.
	holdFailures int
	// cooldownUntilMS is until when the worker gets no new tasks after a refused or
	// unconfirmed start.
	cooldownUntilMS int64

	health workerHealth
	runs   runList
	// ends are the reported ends that the worker has not been told to forget.
	ends map[int64]*unconfirmedEnd
	// endsReportedMS is when an unconfirmed end was last logged.
	endsReportedMS int64
	// confirmedEnd is the number up to which all ends are durable. Holds tell it to the
	// worker.
	confirmedEnd int64
	// confirmingEnd is the confirmation that the hold in flight carries, confirmationAnswered
	// the highest one that was answered.
	confirmingEnd, confirmationAnswered int64
	// lateConfirmationUntilMS is until when an unanswered confirmation may be executed.
	lateConfirmationUntilMS int64
	// withheldConfirmations counts the latest holds in a row that went without a due
	// confirmation.
	withheldConfirmations int
	// withheldSinceMS is when the first of them was sent.
	withheldSinceMS int64
	// startsBarredUntilMS is until when a confirmation for an earlier incarnation may be
	// executed by the present one.
	startsBarredUntilMS int64
}

// worker returns the worker with the ID, and creates it if it is not known. A worker that
// the platform has not listed has no address.
func (m *Model) worker(id string) *worker {
	w, ok := m.workers[id]
	if !ok {
		w = &worker{Worker: describer.Worker{ID: id}, ends: map[int64]*unconfirmedEnd{}}
		w.unreachedSinceMS = m.unreachedSince(id)
		w.leaseEndMS = w.unreachedSinceMS + maxConfirmationAgeMS + withDrift(m.cfg.LeaseMS)
		m.workers[id] = w
		i, _ := slices.BinarySearchFunc(m.fleet, id, func(w *worker, id string) int { return cmp.Compare(w.ID, id) })
		m.fleet = slices.Insert(m.fleet, i, w)
	}
	return w
}

// coolDown gives the worker no new tasks until the given time.
func (w *worker) coolDown(untilMS int64) { w.cooldownUntilMS = max(w.cooldownUntilMS, untilMS) }

// removeWorker removes a worker that is neither listed nor has runs.
func (m *Model) removeWorker(w *worker) {
	m.proposeReached(w)
	m.speeds.Forget(w.ID)
	delete(m.workers, w.ID)
	m.fleet = slices.DeleteFunc(m.fleet, func(o *worker) bool { return o == w })
}

// withDrift returns the longest real time in which a worker's clock advances by ms.
func withDrift(ms int64) int64 { return ms + ms/clockDriftDivisor + leaseMarginMS }

// expediteHold ends the pause before the next hold.
func (w *worker) expediteHold(nowMS int64) { w.nextHoldMS = min(w.nextHoldMS, nowMS) }

// handleListed updates the workers from the platform's list. A worker that is missing
// from the list is only marked, since it may still run tasks.
func (m *Model) handleListed(msg ListedMsg) {
	if !m.term.active {
		return
	}
	listed := map[string]bool{}
	for _, spec := range msg.Workers {
		listed[spec.ID] = true
		w, known := m.workers[spec.ID]
		if !known {
			w = m.worker(spec.ID)
		}
		if !w.listed || w.Draining != spec.Draining {
			m.event("WorkerListed", "Worker", spec.ID, "Domain", spec.Domain, "Rack", spec.Rack, "Draining", spec.Draining)
			m.passNeeded = true
		}
		if spec.Draining && (!w.Draining || spec.RemainingMS != w.RemainingMS) {
			w.drainDeadlineMS = m.now.MonoMS + spec.RemainingMS
		}
		w.Worker, w.listed = spec, true
	}
	for _, w := range m.fleet {
		if w.listed && !listed[w.ID] {
			w.listed, w.unlistedMS = false, m.now.MonoMS
			m.event("WorkerUnlisted", "Worker", w.ID, "Runs", w.runs.len())
		}
	}
}

// handleListRead notes as of when the list is known.
func (m *Model) handleListRead(asOfMS int64) {
	if asOfMS-m.listAsOfMS > maxListAgeMS {
		m.listSinceMS = asOfMS
	}
	m.listAsOfMS = max(m.listAsOfMS, asOfMS)
	m.reaccountLateStarts()
}

// maxListingMS is how long after its start a worker is listed.
const maxListingMS = 1000

// notUpSince reports whether no process of the worker can have been up from the given time
// on: it would be listed, and the list has been read for long enough without a gap.
func (m *Model) notUpSince(w *worker, atMS int64) bool {
	missingSinceMS := max(w.unlistedMS, m.listSinceMS)
	return !w.listed && m.listAsOfMS >= atMS+maxListingMS && m.listAsOfMS >= missingSinceMS+relistGraceMS
}

// checkWorkers keeps a hold in flight for each worker, and removes a silent worker's runs
// once its lease has certainly expired. A worker that is no longer listed stays known while a
// unit waits for late starts there, since its leases bound that wait.
func (m *Model) checkWorkers() {
	m.proposeUnreachedWorkers()
	for _, w := range slices.Clone(m.fleet) {
		if w.mayRunTasks() && m.now.MonoMS > w.leaseEndMS {
			m.countCrash(w, false, nil)
			m.awaitLateLeases(w)
			m.removeAllRuns(w, "its lease expired without an answer")
		}
		if !m.listedRecently(w) && w.runs.len() == 0 && m.lateStartCounts[w.ID] == 0 && !w.holdInFlight && m.now.MonoMS >= w.lateConfirmationUntilMS {
			m.removeWorker(w)
			continue
		}
		m.moveWorkOffDraining(w)
		m.hold(w)
	}
}

// mayRunTasks reports whether tasks may be present on the worker. Runs whose start was not
// sent don't count: no lease was granted for them yet.
func (w *worker) mayRunTasks() bool {
	return slices.ContainsFunc(w.runs.list, func(r *run) bool { return r.state != runPlanned })
}

// relistGraceMS is how long a worker still counts as listed after it disappeared from
// the list: entries that expired during an outage of the platform return within 2 s.
const relistGraceMS = 2500

// listedRecently reports whether the worker is listed, or was so until relistGraceMS
// ago.
func (m *Model) listedRecently(w *worker) bool {
	return w.listed || w.unlistedMS > 0 && m.now.MonoMS-w.unlistedMS < relistGraceMS
}

// hold requests the worker's report. A hold that waits at the worker is sent at once: each
// worker has at most one, and it says nothing about the way to the worker. Any other hold
// is queued.
func (m *Model) hold(w *worker) {
	if w.holdInFlight || w.holdQueued || w.Address == "" || m.now.MonoMS < w.nextHoldMS {
		return
	}
	if w.answered && w.holdFailures == 0 && m.holdWaitMS(w) > 0 {
		m.sendHold(w, 0)
		return
	}
	m.queueHold(w)
}

// sendHold requests the worker's report, and extends its lease if it has runs. The lease
// is not extended while the term is unconfirmed or the ledger says that the worker was not
// reached: a successor that computes when the worker's last lease ends relies on both. After
// a failed hold no ends are confirmed: the worker may have restarted, and then it numbers its
// ends anew.
func (m *Model) sendHold(w *worker, orderID uint64) {
	w.holdInFlight, w.holdWaits, w.holdSentMS = true, false, m.now.MonoMS
	w.holdSequence++
	cmd := HoldCmd{OrderID: orderID, Worker: w.ID, Address: w.Address, Sequence: w.holdSequence, Term: m.term.number}
	if w.answered && w.holdFailures == 0 {
		cmd.WaitMS = m.holdWaitMS(w)
		m.addConfirmation(w, &cmd)
		w.holdWaits = cmd.WaitMS > 0
		if m.termConfirmed() && w.runs.len() > 0 && !w.unreachedRecorded {
			cmd.DeadlineMS = m.grantLease(w)
		}
	}
	w.confirmingEnd, w.grantingHold = cmd.ConfirmedEnd, cmd.DeadlineMS > 0
	m.emit(cmd)
}

// holdWaitMS is how long the worker may delay its report until a task ends: not at all
// while the report has to show whether a stopped task is gone or whether the worker is alive,
// and only briefly while a task has to stop, which may not be present, urgent work runs there,
// or the report may prove that a suspect does no harm.
func (m *Model) holdWaitMS(w *worker) int64 {
	if w.owesAnswer() {
		return 0
	}
	wait := int64(maxHoldWaitMS)
	for _, r := range w.runs.list {
		switch {
		case r.state == runStopConfirmed:
			return 0
		case r.state == runStopping:
			wait = min(wait, m.cfg.StopMS)
		case r.unit != nil && m.queue(r.unit.step.job).Priority == 0:
			wait = min(wait, urgentHoldWaitMS)
		}
		if m.awaitsSpeed(r) {
			wait = min(wait, speedReportMS)
		}
	}
	if w.onTrial() {
		wait = min(wait, provenAfterMS)
	}
	return m.lateStartWaitMS(w, wait)
}

// grantLease returns a deadline on the worker's clock that is one lease from now, and
// updates when the worker's leases have certainly expired.
func (m *Model) grantLease(w *worker) int64 {
	deadline := w.clockMS + m.now.MonoMS - w.clockAtMS + m.cfg.LeaseMS
	// If the worker has restarted, the deadline lies far ahead on its new clock, and the lease
	// takes its longest time from when the order is executed.
	w.leaseEndMS = max(w.leaseEndMS, w.clockAtMS+withDrift(deadline-w.clockMS), m.now.MonoMS+maxOrderWayMS+withDrift(m.cfg.LeaseMS))
	return deadline
}

func (m *Model) handleHeld(msg HeldMsg) {
	w, ok := m.workers[msg.Worker]
	if !ok || msg.Sequence != w.holdSequence {
		return
	}
	w.holdInFlight = false
	switch msg.Result {
	case OrderDone:
		m.handleReport(w, msg.Report)
	case OrderFenced:
		m.handleFenced(w.ID)
	case OrderOtherIncarnation:
		w.nextHoldMS = m.now.MonoMS + workerCooldownMS
		m.loseReplacedWorker(w)
	default:
		m.handleHoldFailure(w, msg.Err)
	}
}

// owesAnswer reports whether an order to the worker got no answer and nothing was heard of the
// worker since that order was sent. It gets no starts then: if it is lost, each one delays its
// unit for as long as the start could be executed late.
func (w *worker) owesAnswer() bool { return w.unansweredMS > 0 && w.heardMS <= w.unansweredMS }

// noteUnanswered notes an order without an answer and asks the worker for a report at once. A
// hold that waits at the worker would show only later whether it is alive.
func (m *Model) noteUnanswered(w *worker, sentMS int64) {
	w.unansweredMS = max(w.unansweredMS, sentMS)
	if !w.owesAnswer() || w.holdInFlight && !w.holdWaits || w.holdFailures > 0 {
		return
	}
	if w.holdInFlight {
		w.noteLateHold()
	}
	w.holdInFlight = false
	w.expediteHold(m.now.MonoMS)
	m.hold(w)
}

// noteLateHold notes until when the latest hold may be executed late.
func (w *worker) noteLateHold() {
	untilMS := w.holdSentMS + maxOrderDelayMS
	if w.confirmingEnd > 0 {
		w.lateConfirmationUntilMS = untilMS
	}
	if w.grantingHold {
		w.lateGrantUntilMS = untilMS
	}
}

// maxHoldPauseMS bounds the pause between two holds for a silent worker.
const maxHoldPauseMS = 1000

// handleHoldFailure doubles the pause before the next hold with each failure, up to
// maxHoldPauseMS.
func (m *Model) handleHoldFailure(w *worker, err string) {
	w.holdFailures++
	w.noteLateHold()
	w.nextHoldMS = m.now.MonoMS + min(int64(orderRetryMS)<<min(w.holdFailures, 4), maxHoldPauseMS)
	if w.holdFailures == 1 {
		m.event("WorkerSilent", "Worker", w.ID, "Runs", w.runs.len(), "Error", err)
	}
}

// loseReplacedWorker removes all runs of a worker after another worker answered at its
// address.
func (m *Model) loseReplacedWorker(w *worker) {
	m.countCrash(w, true, nil)
	m.resolveCrashes(w.ID, 0)
	// The worker that now has the address rejects orders for the former one.
	for _, r := range w.runs.list {
		r.startInFlight, r.lateStartUntilMS = false, 0
	}
	w.lateConfirmationUntilMS = 0
	m.removeAllRuns(w, "another incarnation of the worker answered")
	m.releaseLateStarts(func(r *run) bool { return r.worker.ID == w.ID })
}

// removeAllRuns removes all runs of a worker and stops their units.
func (m *Model) removeAllRuns(w *worker, reason string) {
	m.removeRuns(w, reason, func(*run) bool { return false }, func(*run) bool { return true })
}

// removeRunsBeforeRestart removes the runs of an earlier incarnation of the worker. Runs
// that were ordered since its last report, or whose orders got no answer, may be
// present in the new incarnation and are stopped there first, unless they can still be
// started there.
func (m *Model) removeRunsBeforeRestart(w *worker, p WorkerReport) {
	listed := map[TaskRef]bool{}
	for _, r := range p.Running {
		listed[m.resolveUnit(r.Task)] = true
	}
	for _, e := range p.Ended {
		listed[m.resolveUnit(e.Task)] = true
	}
	kept := func(r *run) bool { return r.outlivesRestart(m.now.MonoMS) }
	for _, r := range w.runs.list {
		listed[r.ref] = listed[r.ref] || kept(r)
	}
	m.countCrash(w, true, listed)
	m.removeRuns(w, "it has restarted", kept, func(r *run) bool { return !r.startUnanswered && !r.orderInFlight && r.orderSentMS < w.clockAtMS })
}

// outlivesRestart reports whether the run is still being started although its worker has
// restarted: nothing tells that it was present before, and a repetition of its start, or a late
// execution, starts the same run. No start is repeated while a confirmation for an earlier
// incarnation may make the worker forget the end of the run.
func (r *run) outlivesRestart(nowMS int64) bool {
	return nowMS >= r.worker.lateConfirmationUntilMS && r.state == runStartSent && (r.startUnanswered || r.orderInFlight) && r.unit != nil && r.unit.state == unitStarting
}

// removeRuns removes the worker's runs for which gone returns true, and stops the units of
// all its runs but those for which kept returns true. The other runs are stopped even if their
// unit is done: what an earlier incarnation of the worker answered about them no longer counts,
// so no report would end them.
func (m *Model) removeRuns(w *worker, reason string, kept, gone func(*run) bool) {
	if w.runs.len() > 0 {
		m.event("WorkerLost", "Worker", w.ID, "Runs", w.runs.len(), "Reason", reason)
	}
	w.answered, w.confirmedEnd, w.confirmationAnswered, w.ends = false, 0, 0, map[int64]*unconfirmedEnd{}
	runs := slices.DeleteFunc(w.runs.snapshot(), kept)
	for _, r := range runs {
		if gone(r) {
			m.removeRun(r)
			continue
		}
		r.state, r.lastAnswerMS = runStopping, 0
		m.account(r)
		m.queueStop(r)
	}
	for _, r := range runs {
		if r.unit != nil {
			m.stopRemaining(r.unit, "worker "+w.ID+" was lost: "+reason)
		}
	}
}

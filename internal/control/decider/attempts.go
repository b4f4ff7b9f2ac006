package decider

import (
	"fmt"

	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/ledger/reducer"
	"daisyhead/internal/platform/runner"
)

// activeAttempt tracks an active attempt from when this process, as holder, first saw it.
type activeAttempt struct {
	attempt int
	sinceMS int64
	// stopSentMS and startSentMS are the times, by worker, of the last stop or start
	// request. An entry is removed when its request fails.
	stopSentMS  map[string]int64
	startSentMS map[string]int64
}

// reconcileIntervalMS is the interval at which all attempts are reconciled even if
// nothing has changed. Worker replies and new records trigger it immediately.
const reconcileIntervalMS = 500

// resendTimeoutMS is how long a start or stop request may stay unanswered before it is
// sent again.
const resendTimeoutMS = 1500

// attemptSummary aggregates the task statuses that the workers of an attempt report.
type attemptSummary struct {
	// These count workers. Tasks on an unreachable worker may still run under a lease;
	// those on a lost worker can't be running any more. Tasks that endedOtherwise were
	// stopped, or their lease or reservation expired.
	total, reserved, running, finished, failed, endedOtherwise, lost, unreachable int

	// mayHaveStarted is set when a worker reports that it started a task, or is lost or
	// unreachable.
	mayHaveStarted bool
	// notCheckpointed counts workers whose tasks started but did not end with a checkpoint.
	notCheckpointed int
	// worker and reason describe a worker whose tasks failed, ended otherwise or were lost.
	worker     string
	reason     string
	progressMS int64
	runMS      int64
}

// reconcileAll reconciles the active attempts of all unfinished jobs.
func (m *Model) reconcileAll() {
	if !m.mayDecide() {
		return
	}
	m.lastReconcileMS = m.now.MonoMS
	m.expireReservations()
	for _, j := range m.state.UnfinishedJobs() {
		m.reconcile(j)
	}
	m.pruneAttempts()
}

// pruneAttempts removes the entries of jobs and attempts that have ended.
func (m *Model) pruneAttempts() {
	for id := range m.lastTriedAttempt {
		if j, ok := m.state.Jobs[id]; !ok || j.Status.Terminal() {
			delete(m.lastTriedAttempt, id)
		}
	}
	for id, s := range m.activeAttempts {
		if !m.isActive(runner.Reference{Job: id, Attempt: s.attempt}) {
			delete(m.activeAttempts, id)
		}
	}
}

// reconcileWorker acts on a worker's updated task statuses.
func (m *Model) reconcileWorker(w *worker) {
	if !m.mayDecide() {
		return
	}
	for _, ref := range sortedReferences(w.statuses) {
		if j, ok := m.state.Jobs[ref.Job]; ok {
			m.reconcile(j)
		}
		m.stopOrphan(w, ref)
	}
}

// stopOrphan stops tasks of attempts that have ended or were never committed.
func (m *Model) stopOrphan(w *worker, ref runner.Reference) {
	if w.statuses[ref].State.Final() || m.isActive(ref) {
		return
	}
	if p := m.pendingGangs[ref.Job]; p != nil && p.start.Attempt == ref.Attempt {
		return
	}
	m.sendStop(w, ref, false)
}

// reconcile compares a job's active attempt with the statuses its workers report and
// takes the next step.
func (m *Model) reconcile(j *reducer.Job) {
	a := j.ActiveAttempt()
	if a == nil || !m.mayDecide() {
		return
	}
	if s, ok := m.activeAttempts[j.ID]; !ok || s.attempt != a.Number {
		m.activeAttempts[j.ID] = activeAttempt{attempt: a.Number, sinceMS: m.now.MonoMS, stopSentMS: map[string]int64{}, startSentMS: map[string]int64{}}
	}
	t := m.summarizeAttempt(j, a)
	switch j.Status {
	case reducer.JobStarting:
		m.advanceStart(j, a, t)
	case reducer.JobRunning:
		m.advanceRun(j, a, t)
	case reducer.JobStopping:
		m.advanceStop(j, a, t)
	}
}

// summarizeAttempt combines the statuses of the attempt from all its workers.
func (m *Model) summarizeAttempt(j *reducer.Job, a *reducer.Attempt) attemptSummary {
	t := attemptSummary{total: len(a.Placements), progressMS: 1 << 62}
	ref := runner.Reference{Job: j.ID, Attempt: a.Number}
	for _, p := range a.Placements {
		m.addPlacement(&t, p, ref)
	}
	return t
}

// addPlacement adds one worker to the summary. A worker that does not report the
// attempt, or was restarted since its start, has lost it; the tasks then count as started,
// since they may have run. What a restarted worker reports only tells of late requests.
func (m *Model) addPlacement(t *attemptSummary, p encoder.Placement, ref runner.Reference) {
	w := m.workers[p.Worker]
	if w == nil || !w.heard || (!m.isResponsive(w) && m.now.MonoMS > w.maxLeaseEndMS+m.cfg.MarginMS) {
		m.addUnreachable(t, w, p)
		return
	}
	status, ok := w.statuses[ref]
	restarted := w.bootID != p.Boot
	if !ok || restarted {
		t.lost++
		t.mayHaveStarted = true
		t.worker, t.reason = p.Worker, "worker "+p.Worker+" has lost its record of the tasks"
		if restarted {
			t.reason = "worker " + p.Worker + " was restarted"
		}
		return
	}
	t.addStatus(p.Worker, status)
}

// addUnreachable adds a worker from which this holder has no recent reply. Its tasks are
// lost once every lease that any holder can have granted has expired.
func (m *Model) addUnreachable(t *attemptSummary, w *worker, p encoder.Placement) {
	t.mayHaveStarted = true
	if w != nil && m.now.MonoMS <= w.maxLeaseEndMS+m.cfg.MarginMS {
		t.unreachable++
		return
	}
	t.lost++
	t.worker, t.reason = p.Worker, "worker "+p.Worker+" is silent and its leases have run out"
}

// addStatus adds the status that a worker reports.
func (t *attemptSummary) addStatus(worker string, s runner.Status) {
	t.mayHaveStarted = t.mayHaveStarted || s.Started
	if s.Started && !s.Checkpointed {
		t.notCheckpointed++
	}
	t.progressMS = min(t.progressMS, s.ProgressMS)
	t.runMS = max(t.runMS, s.RanMS)
	switch s.State {
	case runner.TaskReserved:
		t.reserved++
	case runner.TaskRunning:
		t.running++
	case runner.TaskFinished:
		t.finished++
	case runner.TaskFailed:
		t.failed++
		t.explain(worker, "a task failed on worker "+worker+": "+s.Reason)
	default:
		t.endedOtherwise++
		if t.failed == 0 {
			t.explain(worker, fmt.Sprintf("tasks on worker %s %s: %s", worker, s.State, s.Reason))
		}
	}
}

// explain sets the worker and the reason unless they tell of lost tasks, which decide the
// attempt's result.
func (t *attemptSummary) explain(worker, reason string) {
	if t.lost == 0 {
		t.worker, t.reason = worker, reason
	}
}

// advanceStart sends start requests and records when the whole gang is running. It
// stops the attempt if a worker fails or the start window has passed.
func (m *Model) advanceStart(j *reducer.Job, a *reducer.Attempt, t attemptSummary) {
	waited := m.now.MonoMS - m.activeAttempts[j.ID].sinceMS
	switch {
	case t.failed+t.endedOtherwise+t.lost > 0:
		m.requestStop(j, a, encoder.StopPartial, t.reason)
	case t.running+t.finished == t.total:
		m.propose("running/"+j.ID, encoder.Entry{AttemptRunning: &encoder.AttemptRunning{ID: j.ID, Attempt: a.Number}})
	case waited > m.cfg.StartWindowMS:
		m.requestStop(j, a, encoder.StopPartial, "not every worker confirmed its start in time")
	case t.reserved > 0:
		m.sendStarts(j, a)
	}
}

// sendStarts sends a start request to each worker whose tasks are still reserved,
// unless one was sent within resendTimeoutMS. It stops the attempt instead if a worker's
// failure domain has gone out of service.
func (m *Model) sendStarts(j *reducer.Job, a *reducer.Attempt) {
	ref := runner.Reference{Job: j.ID, Attempt: a.Number}
	if domain := m.outOfServiceDomain(a); domain != "" {
		m.requestStop(j, a, encoder.StopPartial, "domain "+domain+" was taken out before the start")
		return
	}
	for _, p := range a.Placements {
		w := m.workers[p.Worker]
		if w == nil || w.statuses[ref].State != runner.TaskReserved {
			continue
		}
		sent, ok := m.activeAttempts[j.ID].startSentMS[w.name]
		if ok && m.now.MonoMS-sent < resendTimeoutMS {
			continue
		}
		m.activeAttempts[j.ID].startSentMS[w.name] = m.now.MonoMS
		m.emit(StartCmd{Worker: w.name, Address: w.address, ValidMS: m.stateAsOfMS + m.cfg.MaxStateAgeMS, Request: m.startRequest(w, p, ref)})
	}
}

// startRequest returns a start request with the initial lease, and records when that
// lease can end at the latest.
func (m *Model) startRequest(w *worker, p encoder.Placement, ref runner.Reference) runner.StartRequest {
	clock := w.clockAt(m.now.MonoMS)
	w.maxLeaseEndMS = max(w.maxLeaseEndMS, m.now.MonoMS+m.cfg.StartLeaseMS)
	return runner.StartRequest{
		Term: m.state.Term, Boot: p.Boot, Job: ref.Job, Attempt: ref.Attempt,
		NotAfter: clock + m.cfg.MessageLifeMS, LeaseUntil: clock + m.cfg.StartLeaseMS,
	}
}

// outOfServiceDomain returns the first failure domain of the attempt's workers that is out
// of service, or an empty string.
func (m *Model) outOfServiceDomain(a *reducer.Attempt) string {
	f := m.state.Fleet()
	for _, p := range a.Placements {
		if i := f.Index(p.Worker); i >= 0 && !m.state.DomainInService(f.Nodes[i].Domain) {
			return f.Nodes[i].Domain
		}
	}
	return ""
}

// advanceRun ends a finished attempt and stops one that no longer runs on all its workers.
func (m *Model) advanceRun(j *reducer.Job, a *reducer.Attempt, t attemptSummary) {
	switch {
	case t.finished == t.total:
		m.endAttempt(j, a, t)
	case t.failed+t.endedOtherwise+t.lost > 0:
		m.requestStop(j, a, encoder.StopPartial, t.reason)
	}
}

// requestStop proposes to stop the attempt. Stop requests are sent once the record has
// been applied.
func (m *Model) requestStop(j *reducer.Job, a *reducer.Attempt, cause encoder.StopCause, reason string) {
	m.propose(fmt.Sprintf("stop/%s/%d", j.ID, a.Number), encoder.Entry{
		StopRequested: &encoder.StopRequested{ID: j.ID, Attempt: a.Number, Cause: cause, Reason: reason},
	})
}

// advanceStop stops the tasks that are still running, and ends the attempt once none
// are. Urgent stops and cancelled jobs take no checkpoint.
func (m *Model) advanceStop(j *reducer.Job, a *reducer.Attempt, t attemptSummary) {
	if t.reserved+t.running == 0 && t.unreachable == 0 {
		m.endAttempt(j, a, t)
		return
	}
	ref := runner.Reference{Job: j.ID, Attempt: a.Number}
	checkpoint := j.Spec.Checkpointable && a.StopCause != encoder.StopUrgent && !j.Cancelled
	for _, p := range a.Placements {
		w := m.workers[p.Worker]
		if w == nil || !w.heard {
			continue
		}
		if status, ok := w.statuses[ref]; ok && !status.State.Final() {
			m.sendStopIfDue(w, ref, checkpoint)
		}
	}
}

// sendStopIfDue sends a stop request unless one was sent within resendTimeoutMS.
func (m *Model) sendStopIfDue(w *worker, ref runner.Reference, checkpoint bool) {
	sent, ok := m.activeAttempts[ref.Job].stopSentMS[w.name]
	if ok && m.now.MonoMS-sent < resendTimeoutMS {
		return
	}
	m.activeAttempts[ref.Job].stopSentMS[w.name] = m.now.MonoMS
	m.sendStop(w, ref, checkpoint)
}

func (m *Model) sendStop(w *worker, ref runner.Reference, checkpoint bool) {
	m.emit(StopCmd{Worker: w.name, Address: w.address, Request: runner.StopRequest{
		Term: m.state.Term, Job: ref.Job, Attempt: ref.Attempt, Checkpoint: checkpoint,
	}})
}

// endAttempt proposes the result of the attempt. Progress counts only if no worker's
// tasks were lost, and the worker is named only if it failed or was lost.
func (m *Model) endAttempt(j *reducer.Job, a *reducer.Attempt, t attemptSummary) {
	ended := &encoder.AttemptEnded{ID: j.ID, Attempt: a.Number, Result: t.result(), Worker: t.worker, Reason: t.reason, RunMS: t.runMS}
	if ended.Reason == "" {
		ended.Reason = a.StopReason
	}
	if j.Spec.Checkpointable && t.lost == 0 {
		ended.ProgressMS = t.progressMS
		ended.Checkpointed = t.notCheckpointed == 0
	}
	if ended.Result != encoder.ResultFailed && ended.Result != encoder.ResultLost {
		ended.Worker = ""
	}
	m.propose(fmt.Sprintf("end/%s/%d", j.ID, a.Number), encoder.Entry{AttemptEnded: ended})
}

// result returns the result of an attempt of which nothing runs any more.
func (t attemptSummary) result() encoder.Result {
	switch {
	case t.finished == t.total:
		return encoder.ResultFinished
	case t.lost > 0:
		return encoder.ResultLost
	case t.failed > 0:
		return encoder.ResultFailed
	case !t.mayHaveStarted:
		return encoder.ResultNotRun
	}
	return encoder.ResultStopped
}

// finishWorkerReply handles the reply to a start or stop request, or its error. After an
// error the request may be sent again at once.
func (m *Model) finishWorkerReply(name, kind, job string, attempt int, r runner.Reply, errText string) {
	w, ok := m.workers[name]
	if !ok {
		return
	}
	if s, seen := m.activeAttempts[job]; seen && s.attempt == attempt && errText != "" {
		delete(s.startSentMS, name)
		delete(s.stopSentMS, name)
	}
	if errText != "" {
		w.lastError = kind + ": " + errText
		return
	}
	m.storeStatus(w, r)
	if j, known := m.state.Jobs[job]; known {
		m.reconcile(j)
	}
}

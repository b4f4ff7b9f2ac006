package decider

import (
	"fmt"

	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/ledger/reducer"
	"daisyhead/internal/platform/runner"
)

// seenAttempt is when this process, as holder, first saw an attempt active.
type seenAttempt struct {
	attempt int
	sinceMS int64
	// starting and stopSent tell when the last start or stop went to a worker.
	stopSent map[string]int64
	starting map[string]int64
}

// reconcileMS is the interval at which all attempts are looked at; news of a
// worker or of the ledger are acted on at once.
const reconcileMS = 500

// resendMS is how long a start or a stop may stay unanswered before it is sent again.
const resendMS = 1500

// tally sums up what the workers of an attempt say.
type tally struct {
	total, reserved, running, finished, failed, ended, lost, unheard int

	anyStarted bool
	// unsaved counts workers whose tasks ran and did not end in a checkpoint.
	unsaved    int
	worker     string
	reason     string
	progressMS int64
	ranMS      int64
}

func (m *Model) reconcileAll() {
	if !m.mayDecide() {
		return
	}
	m.lastReconcileMS = m.at.MonoMS
	m.expirePending()
	for _, j := range m.state.LiveJobs() {
		m.reconcile(j)
	}
	m.forgetSeen()
}

func (m *Model) forgetSeen() {
	for id := range m.tried {
		if j, ok := m.state.Jobs[id]; !ok || j.Status.Final() {
			delete(m.tried, id)
		}
	}
	for id, s := range m.seen {
		if !m.isActive(runner.Reference{Job: id, Attempt: s.attempt}) {
			delete(m.seen, id)
		}
	}
}

// reconcileWorker acts on a worker's new table.
func (m *Model) reconcileWorker(w *worker) {
	if !m.mayDecide() {
		return
	}
	for _, ref := range sortedReferences(w.table) {
		if j, ok := m.state.Jobs[ref.Job]; ok {
			m.reconcile(j)
		}
		m.stopOrphan(w, ref)
	}
}

// stopOrphan stops tasks of attempts that ended or never were.
func (m *Model) stopOrphan(w *worker, ref runner.Reference) {
	if w.table[ref].State.Final() || m.isActive(ref) {
		return
	}
	if p := m.pending[ref.Job]; p != nil && p.start.Attempt == ref.Attempt {
		return
	}
	m.sendStop(w, ref, false)
}

// reconcile compares an active attempt with what its workers say and takes the
// next step.
func (m *Model) reconcile(j *reducer.Job) {
	a := j.Active()
	if a == nil || !m.mayDecide() {
		return
	}
	if s, ok := m.seen[j.ID]; !ok || s.attempt != a.Number {
		m.seen[j.ID] = seenAttempt{attempt: a.Number, sinceMS: m.at.MonoMS, stopSent: map[string]int64{}, starting: map[string]int64{}}
	}
	t := m.count(j, a)
	switch j.Status {
	case reducer.JobStarting:
		m.advanceStart(j, a, t)
	case reducer.JobRunning:
		m.watchRun(j, a, t)
	case reducer.JobStopping:
		m.advanceStop(j, a, t)
	}
}

func (m *Model) count(j *reducer.Job, a *reducer.Attempt) tally {
	t := tally{total: len(a.Placements), progressMS: 1 << 62}
	ref := runner.Reference{Job: j.ID, Attempt: a.Number}
	for _, p := range a.Placements {
		m.countPlacement(&t, p, ref)
	}
	return t
}

func (m *Model) countPlacement(t *tally, p encoder.Placement, ref runner.Reference) {
	w := m.workers[p.Worker]
	if w == nil || !w.heard || (!m.answers(w) && m.at.MonoMS > w.leaseEndMS+m.cfg.MarginMS) {
		m.countUnheard(t, w, p)
		return
	}
	status, ok := w.table[ref]
	if !ok {
		t.lost++
		t.anyStarted = true
		t.worker, t.reason = p.Worker, "worker "+p.Worker+" has lost its record of the tasks"
		if w.boot != p.Boot {
			t.reason = "worker " + p.Worker + " was restarted"
		}
		return
	}
	t.add(p.Worker, status)
}

// countUnheard counts a worker that has not answered this holder. Its tasks are
// lost once every lease that anyone can have granted has run out.
func (m *Model) countUnheard(t *tally, w *worker, p encoder.Placement) {
	t.anyStarted = true
	if w != nil && m.at.MonoMS <= w.leaseEndMS+m.cfg.MarginMS {
		t.unheard++
		return
	}
	t.lost++
	t.worker, t.reason = p.Worker, "worker "+p.Worker+" is silent and its leases have run out"
}

func (t *tally) add(worker string, s runner.Status) {
	t.anyStarted = t.anyStarted || s.Started
	if s.Started && !s.Checkpointed {
		t.unsaved++
	}
	t.progressMS = min(t.progressMS, s.ProgressMS)
	t.ranMS = max(t.ranMS, s.RanMS)
	switch s.State {
	case runner.TaskReserved:
		t.reserved++
	case runner.TaskRunning:
		t.running++
	case runner.TaskFinished:
		t.finished++
	case runner.TaskFailed:
		t.failed++
		t.worker, t.reason = worker, "a task failed on worker "+worker+": "+s.Reason
	default:
		t.ended++
		if t.failed == 0 {
			t.worker, t.reason = worker, fmt.Sprintf("tasks on worker %s %s: %s", worker, s.State, s.Reason)
		}
	}
}

// advanceStart sends the starts and records when the whole gang runs.
func (m *Model) advanceStart(j *reducer.Job, a *reducer.Attempt, t tally) {
	waited := m.at.MonoMS - m.seen[j.ID].sinceMS
	switch {
	case t.failed+t.ended+t.lost > 0:
		m.requestStop(j, a, encoder.StopPartial, t.reason)
	case t.running+t.finished == t.total:
		m.propose("running/"+j.ID, encoder.Entry{AttemptRunning: &encoder.AttemptRunning{ID: j.ID, Attempt: a.Number}})
	case waited > m.cfg.StartWindowMS:
		m.requestStop(j, a, encoder.StopPartial, "not every worker confirmed its start in time")
	case t.reserved > 0:
		m.sendStarts(j, a)
	}
}

func (m *Model) sendStarts(j *reducer.Job, a *reducer.Attempt) {
	ref := runner.Reference{Job: j.ID, Attempt: a.Number}
	if domain := m.closedDomain(a); domain != "" {
		m.requestStop(j, a, encoder.StopPartial, "domain "+domain+" was taken out before the start")
		return
	}
	for _, p := range a.Placements {
		w := m.workers[p.Worker]
		if w == nil || w.table[ref].State != runner.TaskReserved {
			continue
		}
		sent, ok := m.seen[j.ID].starting[w.name]
		if ok && m.at.MonoMS-sent < resendMS {
			continue
		}
		m.seen[j.ID].starting[w.name] = m.at.MonoMS
		m.emit(StartCmd{Worker: w.name, Address: w.address, ValidMS: m.freshMS + m.cfg.FreshMS, Request: m.startRequest(w, p, ref)})
	}
}

func (m *Model) startRequest(w *worker, p encoder.Placement, ref runner.Reference) runner.StartRequest {
	clock := w.clockAt(m.at.MonoMS)
	w.leaseEndMS = max(w.leaseEndMS, m.at.MonoMS+m.cfg.StartLeaseMS)
	return runner.StartRequest{
		Term: m.state.Term, Boot: p.Boot, Job: ref.Job, Attempt: ref.Attempt,
		NotAfter: clock + m.cfg.MessageLifeMS, LeaseUntil: clock + m.cfg.StartLeaseMS,
	}
}

func (m *Model) closedDomain(a *reducer.Attempt) string {
	f := m.state.Fleet()
	for _, p := range a.Placements {
		if i := f.Index(p.Worker); i >= 0 && !m.state.DomainOpen(f.Nodes[i].Domain) {
			return f.Nodes[i].Domain
		}
	}
	return ""
}

// watchRun ends a finished attempt and stops one that no longer runs whole.
func (m *Model) watchRun(j *reducer.Job, a *reducer.Attempt, t tally) {
	switch {
	case t.finished == t.total:
		m.endAttempt(j, a, t)
	case t.failed+t.ended+t.lost > 0:
		m.requestStop(j, a, encoder.StopPartial, t.reason)
	}
}

func (m *Model) requestStop(j *reducer.Job, a *reducer.Attempt, cause encoder.StopCause, reason string) {
	m.propose(fmt.Sprintf("stop/%s/%d", j.ID, a.Number), encoder.Entry{
		StopRequested: &encoder.StopRequested{ID: j.ID, Attempt: a.Number, Cause: cause, Reason: reason},
	})
}

// advanceStop stops what still runs and ends the attempt when nothing does.
func (m *Model) advanceStop(j *reducer.Job, a *reducer.Attempt, t tally) {
	if t.reserved+t.running == 0 && t.unheard == 0 {
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
		if status, ok := w.table[ref]; ok && !status.State.Final() {
			m.sendStopOnce(w, ref, checkpoint)
		}
	}
}

func (m *Model) sendStopOnce(w *worker, ref runner.Reference, checkpoint bool) {
	sent, ok := m.seen[ref.Job].stopSent[w.name]
	if ok && m.at.MonoMS-sent < resendMS {
		return
	}
	m.seen[ref.Job].stopSent[w.name] = m.at.MonoMS
	m.sendStop(w, ref, checkpoint)
}

func (m *Model) sendStop(w *worker, ref runner.Reference, checkpoint bool) {
	m.emit(StopCmd{Worker: w.name, Address: w.address, Request: runner.StopRequest{
		Term: m.state.Term, Job: ref.Job, Attempt: ref.Attempt, Checkpoint: checkpoint,
	}})
}

func (m *Model) endAttempt(j *reducer.Job, a *reducer.Attempt, t tally) {
	ended := &encoder.AttemptEnded{ID: j.ID, Attempt: a.Number, Result: t.result(), Worker: t.worker, Reason: t.reason, RunMS: t.ranMS}
	if ended.Reason == "" {
		ended.Reason = a.StopReason
	}
	if j.Spec.Checkpointable && t.lost == 0 {
		ended.ProgressMS = t.progressMS
		ended.Checkpointed = t.unsaved == 0
	}
	if ended.Result != encoder.ResultFailed && ended.Result != encoder.ResultLost {
		ended.Worker = ""
	}
	m.propose(fmt.Sprintf("end/%s/%d", j.ID, a.Number), encoder.Entry{AttemptEnded: ended})
}

func (t tally) result() encoder.Result {
	switch {
	case t.finished == t.total:
		return encoder.ResultFinished
	case t.lost > 0:
		return encoder.ResultLost
	case t.failed > 0:
		return encoder.ResultFailed
	case !t.anyStarted:
		return encoder.ResultNotRun
	}
	return encoder.ResultStopped
}

// finishWorkerReply takes the answer to a start or a stop.
func (m *Model) finishWorkerReply(name, kind, job string, attempt int, r runner.Reply, fault string) {
	w, ok := m.workers[name]
	if !ok {
		return
	}
	if s, seen := m.seen[job]; seen && s.attempt == attempt && fault != "" {
		delete(s.starting, name)
		delete(s.stopSent, name)
	}
	if fault != "" {
		w.lastError = kind + ": " + fault
		return
	}
	m.takeStatus(w, r)
	if j, known := m.state.Jobs[job]; known {
		m.reconcile(j)
	}
}

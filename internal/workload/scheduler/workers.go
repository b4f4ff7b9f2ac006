package scheduler

import (
	"cmp"
	"slices"

	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/tabulator"
)

// worker is what the holder knows of one worker in its own term.
type worker struct {
	describer.Worker
	// listed is set while the platform lists the worker.
	listed bool
	// unlistedMS is when the entry was last removed.
	unlistedMS int64
	// heard is set once the worker has answered in this term.
	heard  bool
	bornMS int64
	// clockMS was the worker's clock at clockAtMS, monotonic time, or earlier.
	clockMS   int64
	clockAtMS int64
	// leaseEndMS is when every lease that anyone granted has surely run out.
	leaseEndMS int64

	sequence uint64
	inFlight bool
	sentMS   int64
	retryMS  int64
	failures int
	avoidMS  int64

	trust trust
	runs  runList
	// ends tells for each end that is not confirmed yet whether it is durable.
	ends      map[int64]bool
	confirmed int64
}

// worker returns the worker of a name; one that isn't listed has no address.
func (m *Model) worker(id string) *worker {
	w, ok := m.workers[id]
	if !ok {
		w = &worker{Worker: describer.Worker{ID: id}, ends: map[int64]bool{}}
		w.leaseEndMS = m.at.MonoMS + blindMS + withDrift(m.cfg.LeaseMS)
		m.workers[id] = w
		i, _ := slices.BinarySearchFunc(m.fleet, id, func(w *worker, id string) int { return cmp.Compare(w.ID, id) })
		m.fleet = slices.Insert(m.fleet, i, w)
	}
	return w
}

func (m *Model) forgetWorker(w *worker) {
	delete(m.workers, w.ID)
	m.fleet = slices.DeleteFunc(m.fleet, func(o *worker) bool { return o == w })
}

// withDrift returns the longest real time in which a worker's clock counts ms.
func withDrift(ms int64) int64 { return ms + ms/driftDivisor + leaseMarginMS }

// hurry lets the next hold go out at once.
func (w *worker) hurry(nowMS int64) { w.retryMS = min(w.retryMS, nowMS) }

func (m *Model) listWorkers(msg ListedMsg) {
	if !m.terms.active {
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
			m.dirty = true
		}
		w.Worker, w.listed = spec, true
	}
	for _, w := range m.fleet {
		if w.listed && !listed[w.ID] {
			w.listed, w.unlistedMS = false, m.at.MonoMS
			m.event("WorkerUnlisted", "Worker", w.ID, "Runs", w.runs.len())
		}
	}
}

// watchWorkers keeps a hold in flight with each worker and gives up what a
// silent worker ran once its lease is surely over.
func (m *Model) watchWorkers() {
	for _, w := range slices.Clone(m.fleet) {
		if w.runs.len() > 0 && m.at.MonoMS > w.leaseEndMS {
			m.loseWorker(w, "its lease ran out unanswered")
		}
		if !m.present(w) && w.runs.len() == 0 && !w.inFlight {
			m.forgetWorker(w)
			continue
		}
		m.hold(w)
	}
}

// relistMS is how long a worker that answers may be missing from the list: entries
// that ran out while the platform was away are back within two seconds.
const relistMS = 2500

// present reports whether the worker is listed, or was so until just now.
func (m *Model) present(w *worker) bool {
	return w.listed || w.unlistedMS > 0 && m.at.MonoMS-w.unlistedMS < relistMS
}

// hold asks the worker for its report and extends its lease.
func (m *Model) hold(w *worker) {
	if w.inFlight || w.Address == "" || m.at.MonoMS < w.retryMS {
		return
	}
	w.inFlight, w.sentMS = true, m.at.MonoMS
	w.sequence++
	cmd := HoldCmd{Worker: w.ID, Address: w.Address, Sequence: w.sequence, Term: m.terms.number, ConfirmedEnd: w.confirmed}
	if w.heard && w.failures == 0 {
		cmd.WaitMS = m.patience(w)
		if m.sure() && w.runs.len() > 0 {
			cmd.DeadlineMS = m.grant(w)
		}
	}
	m.emit(cmd)
}

// patience is how long the report may wait for an end: not at all while the
// worker owes a definite answer.
func (m *Model) patience(w *worker) int64 {
	for _, r := range w.runs.list {
		if r.state == runRefused {
			return 0
		}
	}
	return holdWaitMS
}

// grant returns a deadline on the worker's clock, one lease from now, and notes
// when it has surely passed.
func (m *Model) grant(w *worker) int64 {
	deadline := w.clockMS + m.at.MonoMS - w.clockAtMS + m.cfg.LeaseMS
	w.leaseEndMS = max(w.leaseEndMS, w.clockAtMS+withDrift(deadline-w.clockMS))
	return deadline
}

func (m *Model) finishHold(msg HeldMsg) {
	w, ok := m.workers[msg.Worker]
	if !ok || msg.Sequence != w.sequence {
		return
	}
	w.inFlight = false
	switch msg.Result {
	case OrderDone:
		m.takeReport(w, msg.Report)
	case OrderFenced:
		m.fenced(w.ID)
	case OrderGone:
		w.retryMS = m.at.MonoMS + avoidMS
		m.loseWorker(w, "another life of the worker answers")
	default:
		m.missWorker(w, msg.Err)
	}
}

// maxHoldPauseMS bounds the pause between holds to a silent worker.
const maxHoldPauseMS = 1000

func (m *Model) missWorker(w *worker, err string) {
	w.failures++
	w.retryMS = m.at.MonoMS + min(int64(retryOrderMS)<<min(w.failures, 4), maxHoldPauseMS)
	if w.failures == 1 {
		m.event("WorkerSilent", "Worker", w.ID, "Runs", w.runs.len(), "Error", err)
	}
}

func (m *Model) takeReport(w *worker, p WorkerReport) {
	if w.heard && w.bornMS != p.BornMS {
		m.rebirth(w)
	}
	if !w.heard || w.failures > 0 {
		m.event("WorkerHeard", "Worker", w.ID, "Running", len(p.Running), "Ended", len(p.Ended), "Failures", w.failures)
		m.dirty = true
	}
	w.heard, w.failures = true, 0
	w.bornMS, w.clockMS, w.clockAtMS = p.BornMS, p.ClockMS, m.at.MonoMS
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
	if p.Percent > r.percent {
		r.percent, r.percentMS = p.Percent, m.at.MonoMS
	}
	if p.Checkpoint != "" && r.unit != nil && r.unit.state != unitDone {
		r.unit.rec.Checkpoint = p.Checkpoint
	}
	m.notePresent(r)
	m.checkStarted(r.unit)
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

// loseWorker gives up all that a worker ran.
func (m *Model) loseWorker(w *worker, reason string) {
	m.loseRuns(w, reason, func(*run) bool { return true })
}

// rebirth gives up what an earlier life of the worker ran. What was ordered
// since its last report, or without an answer, may run in the new life, so it is
// stopped there first.
func (m *Model) rebirth(w *worker) {
	m.loseRuns(w, "it was started anew", func(r *run) bool { return !r.doubtful && !r.busy && r.orderMS < w.clockAtMS })
}

func (m *Model) loseRuns(w *worker, reason string, lost func(*run) bool) {
	if w.runs.len() > 0 {
		m.event("WorkerLost", "Worker", w.ID, "Runs", w.runs.len(), "Reason", reason)
	}
	w.heard, w.confirmed, w.ends = false, 0, map[int64]bool{}
	runs := w.runs.snapshot()
	for _, r := range runs {
		if lost(r) {
			m.dropRun(r)
			continue
		}
		r.settledMS = 0
		if r.state == runRefused {
			r.state = runStopping
		}
	}
	for _, r := range runs {
		if r.unit != nil {
			m.runsChanged(r.unit, "worker "+w.ID+" was lost: "+reason)
		}
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

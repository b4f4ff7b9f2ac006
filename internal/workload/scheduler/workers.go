package scheduler

import (
	"cmp"
	"slices"

	"daisyhead/internal/workload/describer"
)

// worker is what the holder knows of one worker in its own term.
type worker struct {
	describer.Worker
	// listed is set while the platform lists the worker.
	listed bool
	// leavesMS is when a draining worker may be gone.
	leavesMS int64
	// unlistedMS is when the entry was last removed.
	unlistedMS int64
	// heard is set once this life of the worker has answered in this term,
	// heardInTerm once any has.
	heard       bool
	heardInTerm bool
	// unreachedMS is since when no earlier holder can have granted a lease.
	unreachedMS int64
	// notedUnheard is set while the ledger says that the worker was not reached in
	// this term, clearing while that is being taken back.
	notedUnheard bool
	notedMS      int64
	clearing     bool
	bornMS       int64
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
	// doubted were given up here while a start of theirs could still arrive.
	doubted []*run
	// ends tells for each end that is not confirmed yet whether it is durable.
	ends      map[int64]bool
	confirmed int64
}

// worker returns the worker of a name; one that isn't listed has no address.
func (m *Model) worker(id string) *worker {
	w, ok := m.workers[id]
	if !ok {
		w = &worker{Worker: describer.Worker{ID: id}, ends: map[int64]bool{}}
		w.unreachedMS = m.unreachedSince(id)
		w.leaseEndMS = w.unreachedMS + blindMS + withDrift(m.cfg.LeaseMS)
		m.workers[id] = w
		i, _ := slices.BinarySearchFunc(m.fleet, id, func(w *worker, id string) int { return cmp.Compare(w.ID, id) })
		m.fleet = slices.Insert(m.fleet, i, w)
	}
	return w
}

func (m *Model) forgetWorker(w *worker) {
	m.clearUnheard(w)
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
		if spec.Draining && (!w.Draining || spec.RemainingMS != w.RemainingMS) {
			w.leavesMS = m.at.MonoMS + spec.RemainingMS
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
	m.noteUnheard()
	for _, w := range slices.Clone(m.fleet) {
		if w.runs.len() > 0 && m.at.MonoMS > w.leaseEndMS {
			m.loseWorker(w, "its lease ran out unanswered")
		}
		if !m.present(w) && w.runs.len() == 0 && !w.inFlight {
			m.forgetWorker(w)
			continue
		}
		m.clearLeaving(w)
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
		if m.sure() && w.runs.len() > 0 && !w.notedUnheard {
			cmd.DeadlineMS = m.grant(w)
		}
	}
	m.emit(cmd)
}

// patience is how long the report may wait for an end: not at all while the
// worker owes a definite answer, and not for long while it runs urgent work.
func (m *Model) patience(w *worker) int64 {
	wait := int64(holdWaitMS)
	for _, r := range w.runs.list {
		switch {
		case r.state == runRefused:
			return 0
		case r.unit != nil && m.queue(r.unit.step.job).Priority == 0:
			wait = watchWaitMS
		}
	}
	return wait
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

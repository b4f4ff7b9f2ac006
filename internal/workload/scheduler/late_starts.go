package scheduler

import "slices"

// maxOrderDelayMS is how long after it was sent an unanswered order may still be
// executed: the platform's longest delay is 12 s, plus the order's own timeout.
const maxOrderDelayMS = 13000

// trackLateStart remembers a removed run if a start of it may still reach the worker.
func (w *worker) trackLateStart(r *run, nowMS int64) {
	w.lateStarts = slices.DeleteFunc(w.lateStarts, func(o *run) bool { return nowMS >= o.lateStartUntilMS })
	if nowMS < r.lateStartUntilMS {
		w.lateStarts = append(w.lateStarts, r)
	}
}

// unansweredStarts counts the runs whose starts got no answer and may still be executed.
func (w *worker) unansweredStarts(nowMS int64) (n int) {
	for _, r := range slices.Concat(w.lateStarts, w.runs.list) {
		if nowMS < r.lateStartUntilMS {
			n++
		}
	}
	return n
}

// stopLateStarts orders a restarted worker to reject the runs whose starts may still
// reach it. The stops that the previous incarnation confirmed are lost with it.
func (m *Model) stopLateStarts(w *worker) {
	lateStarts := w.lateStarts
	w.lateStarts = nil
	for _, r := range lateStarts {
		if m.now.MonoMS >= r.lateStartUntilMS || w.runs.get(r.ref) != nil {
			continue
		}
		r.unit, r.orderInFlight, r.orderQueued, r.lastAnswerMS, r.state = nil, false, false, 0, runStopping
		w.runs.add(r)
		m.event("RunBarred", "Job", r.ref.Unit.Job, "Unit", r.ref.Unit.String(), "Run", r.ref.Run, "Worker", w.ID)
		m.queueStop(r)
	}
}

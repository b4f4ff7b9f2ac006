package scheduler

import "slices"

// drainMarginMS is kept of a leaving worker's time: what the list tells is a read
// old, and an end has to be reported before the worker goes.
const drainMarginMS = 600

// moveWorkOffDraining moves work off a worker that leaves before the work is done: with its
// checkpoint, if it keeps one, and otherwise at once, since all of it would be lost.
func (m *Model) moveWorkOffDraining(w *worker) {
	if !w.Draining || w.runs.len() == 0 {
		return
	}
	for _, r := range slices.Clone(w.runs.list) {
		u := r.unit
		if u == nil || u.state != unitRunning && u.state != unitStarting {
			continue
		}
		if m.now.MonoMS+m.remainingMS(u)+drainMarginMS > w.drainDeadlineMS {
			m.stopUnit(u, "worker "+w.ID+" leaves before the work is done")
		}
	}
}

package scheduler

import "slices"

// leaveMarginMS is kept of a leaving worker's time: what the list tells is a read
// old, and an end has to be reported before the worker goes.
const leaveMarginMS = 600

// clearLeaving moves work off a worker that leaves before the work is done: with its
// checkpoint, if it keeps one, and otherwise at once, since all of it would be lost.
func (m *Model) clearLeaving(w *worker) {
	if !w.Draining || w.runs.len() == 0 {
		return
	}
	for _, r := range slices.Clone(w.runs.list) {
		u := r.unit
		if u == nil || u.state != unitRunning && u.state != unitStarting {
			continue
		}
		if m.at.MonoMS+m.remainingMS(u)+leaveMarginMS > w.leavesMS {
			m.stopUnit(u, "worker "+w.ID+" leaves before the work is done")
		}
	}
}

package scheduler

import "slices"

// drainMarginMS is subtracted from a draining worker's remaining time: the list of
// workers is as old as its last read, and an end has to be reported before the worker
// leaves.
const drainMarginMS = 600

// moveWorkOffDraining stops the units that can't end before a draining worker leaves,
// so that they are placed elsewhere. A unit with checkpoints continues from the latest
// one; any other is stopped as early as possible, since its work is lost in any case.
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

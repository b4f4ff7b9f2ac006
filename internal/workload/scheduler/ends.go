package scheduler

import (
	"maps"
	"slices"
)

// endsReportMS is the wait from which on an unconfirmed end is logged, and the least time
// between two log entries about one worker.
const endsReportMS = 2000

// The causes why an end is not confirmed yet.
const (
	// causeNotDurable means that its record is not known to be stored.
	causeNotDurable = "NotDurable"
	// causeLateStart means that a start that this holder sent may still be executed.
	causeLateStart = "LateStart"
	// causeEarlierTerm means that a start that an earlier holder sent may still be executed.
	causeEarlierTerm = "EarlierTerm"
)

// newEnd returns an end that was listed for the first time.
func (m *Model) newEnd(e EndReport) *unconfirmedEnd {
	return &unconfirmedEnd{task: e.Task, listedMS: m.now.MonoMS}
}

// noteConfirmed reports for how long an end was listed until its confirmation.
func (m *Model) noteConfirmed(e *unconfirmedEnd) {
	m.emit(EndConfirmedCmd{WaitMS: m.now.MonoMS - e.listedMS})
}

// UnconfirmedEnds counts the ends that wait for their confirmation.
func (m *Model) UnconfirmedEnds() (n int) {
	for _, w := range m.fleet {
		n += len(w.ends)
	}
	return n
}

// reportUnconfirmedEnds logs for each worker the end that has kept all later ones from being
// confirmed for endsReportMS.
func (m *Model) reportUnconfirmedEnds() {
	for _, w := range m.fleet {
		if len(w.ends) == 0 || m.now.MonoMS-w.endsReportedMS < endsReportMS {
			continue
		}
		number := slices.Min(slices.Collect(maps.Keys(w.ends)))
		e := w.ends[number]
		waitedMS := m.now.MonoMS - e.listedMS
		if waitedMS < endsReportMS || m.confirmable(e) {
			continue
		}
		w.endsReportedMS = m.now.MonoMS
		m.event("EndsUnconfirmed", "Worker", w.ID, "FirstEnd", number, "Behind", len(w.ends)-1, "ForMS", waitedMS, "Cause", m.unconfirmedCause(e),
			"Job", e.task.Unit.Job, "Unit", e.task.Unit.String(), "Run", e.task.Run, "LeftMS", m.endLeftMS(e))
	}
}

// unconfirmedCause returns why the end can't be confirmed yet.
func (m *Model) unconfirmedCause(e *unconfirmedEnd) string {
	switch {
	case !e.durable:
		return causeNotDurable
	case m.now.MonoMS < e.notBeforeMS:
		return causeEarlierTerm
	}
	for _, r := range m.startsBefore(e) {
		if r.startUnanswered || r.startInFlight {
			return causeLateStart
		}
	}
	return causeEarlierTerm
}

// endLeftMS returns for how much longer starts may be executed for which the end waits.
func (m *Model) endLeftMS(e *unconfirmedEnd) int64 {
	leftMS := max(e.notBeforeMS-m.now.MonoMS, 0)
	for _, r := range m.startsBefore(e) {
		leftMS = max(leftMS, r.lateStartUntilMS-m.now.MonoMS)
	}
	return leftMS
}

// startsBefore returns the runs of the end's unit whose starts may still be executed, and the
// removed ones that may still be present.
func (m *Model) startsBefore(e *unconfirmedEnd) (runs []*run) {
	if e.unit == nil {
		return nil
	}
	for _, r := range e.unit.runs {
		if r.startInFlight || m.now.MonoMS < r.lateStartUntilMS {
			runs = append(runs, r)
		}
	}
	for _, r := range m.lateStarts {
		if r.blocked == e.unit {
			runs = append(runs, r)
		}
	}
	return runs
}

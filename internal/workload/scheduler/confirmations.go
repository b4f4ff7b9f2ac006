package scheduler

import "slices"

// A hold confirms ends by their numbers, and each incarnation of a worker numbers its ends
// anew. If the worker has restarted since its latest report, a confirmation makes it forget
// ends that the holder has not seen. A new incarnation can have such ends only if a start
// was executed there.

const (
	// freshReportMS is how old the report before a confirmation may be while an unanswered
	// start may be executed at any time: a tick.
	freshReportMS = 50
	// maxWithheldMS is for how long a due confirmation is withheld because of new starts. From
	// then on the worker's starts wait, so that ends are confirmed on busy workers too.
	maxWithheldMS = 800
	// withheldPauseMS is the pause after the second hold without a due confirmation. It doubles
	// with each one, at most maxWithheldShift times.
	withheldPauseMS  = 20
	maxWithheldShift = 2
)

// confirmationDue reports whether the worker has to be told to forget further ends.
func (w *worker) confirmationDue() bool { return w.confirmedEnd > w.confirmationAnswered }

// mayConfirm reports whether the worker may be told to forget ends by the numbers of the
// incarnation that it last reported: no start can have been executed unseen since that report.
func (m *Model) mayConfirm(w *worker) bool {
	if w.reportAsOfMS <= w.unansweredMS {
		return false
	}
	if slices.ContainsFunc(w.runs.list, (*run).mayHaveStartedUnseen) {
		return false
	}
	return m.now.MonoMS-w.clockAtMS <= freshReportMS || m.unansweredStarts(w) == 0 && !slices.ContainsFunc(w.runs.list, func(r *run) bool { return r.startInFlight })
}

// mayHaveStartedUnseen reports whether the run may have been started since the latest report
// of its worker.
func (r *run) mayHaveStartedUnseen() bool {
	if r.startInFlight {
		// After the longest way of an answered order, the start is a late one.
		return r.worker.reportAsOfMS <= r.orderSentMS+maxOrderWayMS
	}
	return !r.reported() && r.lastAnswerMS >= r.worker.reportAsOfMS
}

// reported reports whether the worker's present incarnation has reported the run as running.
// An answer to the start does not tell which incarnation has executed it.
func (r *run) reported() bool { return r.reportedIn != 0 && r.reportedIn == r.worker.incarnation }

// addConfirmation lets the hold confirm ends if that is due and allowed. Otherwise the worker
// has to answer at once, so that a later hold can.
func (m *Model) addConfirmation(w *worker, cmd *HoldCmd) {
	switch {
	case !w.confirmationDue():
		w.withheldConfirmations = 0
	case m.mayConfirm(w):
		w.withheldConfirmations = 0
		cmd.ConfirmedEnd = w.confirmedEnd
	default:
		if w.withheldConfirmations == 0 {
			w.withheldSinceMS = m.now.MonoMS
		}
		w.withheldConfirmations++
		cmd.WaitMS = 0
	}
}

// confirmationDelayMS is the pause before the next hold while a confirmation is due.
func (m *Model) confirmationDelayMS(w *worker) int64 {
	if w.withheldConfirmations <= 1 || m.mayConfirm(w) {
		return 0
	}
	return withheldPauseMS << min(w.withheldConfirmations-2, maxWithheldShift)
}

// confirmationDelaysStarts reports whether starts to the worker have to wait: until a due
// confirmation is on its way, or after a restart until a confirmation by the numbers of an
// earlier incarnation can't be executed any more.
func (m *Model) confirmationDelaysStarts(w *worker) bool {
	return m.now.MonoMS < w.startsBarredUntilMS || w.withheldConfirmations > 0 && w.confirmationDue() && m.now.MonoMS-w.withheldSinceMS >= maxWithheldMS
}

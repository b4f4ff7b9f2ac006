package scheduler

import "daisyhead/internal/workload/reducer"

// unreachedIntervalMS is the time from the start of a term until the holder first
// records the workers with tasks that it has not reached, and the interval at which it
// repeats the records: two holds.
const unreachedIntervalMS = 1000

// unreachedSince returns the time since which no holder can have granted the worker a
// lease: a holder that did not reach the worker granted none. Only a record of the
// preceding term shows this; after an older one, a later holder may have granted a lease.
func (m *Model) unreachedSince(worker string) int64 {
	u, ok := m.Table.Unreached[worker]
	if !ok || u.LastTerm+1 != m.term.number {
		return m.now.MonoMS
	}
	return min(m.termBegunSince(u.FirstTerm), m.unreachedReadMS[worker]-u.AgeMS)
}

// proposeUnreachedWorkers proposes a record for each worker with tasks that this holder
// has not reached in its term. It repeats the records, so that they tell a successor that
// has just started how long the worker has not been reached.
func (m *Model) proposeUnreachedWorkers() {
	if m.now.MonoMS-m.term.takenOverMS < unreachedIntervalMS {
		return
	}
	for _, w := range m.fleet {
		if !w.answeredInTerm && (w.runs.len() > 0 || m.lateStartCounts[w.ID] > 0) && m.now.MonoMS-w.unreachedRecordedMS >= unreachedIntervalMS {
			m.proposeUnreached(w)
		}
	}
}

// proposeUnreached proposes the record for one worker. It continues the record of the
// preceding term, so that the time adds up over several holders.
func (m *Model) proposeUnreached(w *worker) {
	u := reducer.Unreached{FirstTerm: m.term.number, LastTerm: m.term.number, AgeMS: m.now.MonoMS - w.unreachedSinceMS}
	before, ok := m.Table.Unreached[w.ID]
	if ok && before.LastTerm+1 >= m.term.number {
		u.FirstTerm = before.FirstTerm
	}
	if !w.unreachedRecorded {
		m.event("WorkerUnheard", "Worker", w.ID, "Runs", w.runs.len(), "FirstTerm", u.FirstTerm, "LastTerm", u.LastTerm, "AgeMS", u.AgeMS)
	}
	w.unreachedRecorded, w.unreachedRecordedMS = true, m.now.MonoMS
	m.propose(reducer.UnreachedRecord(w.ID, u))
}

// proposeReached proposes to clear the record that the worker was not reached. The worker
// is granted leases again once that is durable.
func (m *Model) proposeReached(w *worker) {
	if !w.unreachedRecorded || w.unreachedClearing {
		return
	}
	w.unreachedClearing = true
	m.propose(reducer.UnreachedTombstone(w.ID), func(*Model) { w.unreachedRecorded, w.unreachedClearing = false, false })
}

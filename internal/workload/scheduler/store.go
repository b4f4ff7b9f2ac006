package scheduler

import (
	"slices"

	"daisyhead/internal/workload/tabulator"
)

// store records what a caller wants together with what is decided about it, so
// that a job needs one append and not two to be accepted and placed.
func (m *Model) store(msg StoreMsg) {
	if !m.deciding() {
		m.emit(StoredCmd{Ticket: msg.Ticket, Result: StoreNotHolder})
		return
	}
	if _, ok := tabulator.DecodeSubmission(msg.Record); !ok && tabulator.IsSubmission(msg.Record) {
		m.event("RecordUnreadable", "Key", msg.Record.Key)
		m.emit(StoredCmd{Ticket: msg.Ticket, Result: StoreInvalid})
		return
	}
	if m.alreadyStored(msg.Record) {
		m.emit(StoredCmd{Ticket: msg.Ticket, Result: StoreDone})
		return
	}
	m.pendingStores[msg.Ticket] = true
	m.propose(msg.Record, func(m *Model) {
		delete(m.pendingStores, msg.Ticket)
		m.emit(StoredCmd{Ticket: msg.Ticket, Result: StoreDone})
	})
	m.applyPending(msg.Record)
}

// alreadyStored reports whether the record would change nothing.
func (m *Model) alreadyStored(r tabulator.Record) bool {
	id, _ := tabulator.JobOf(r)
	j, known := m.Table.Lookup(id)
	return known && (tabulator.IsSubmission(r) || j.Cancelled)
}

// applyPending goes on with a job before its record is read back.
func (m *Model) applyPending(r tabulator.Record) {
	id, _ := tabulator.JobOf(r)
	s, ok := tabulator.DecodeSubmission(r)
	switch {
	case !ok && m.jobs[id] != nil:
		// The cancellation holds once it is durable.
		m.proposer.queuedAcks = append(m.proposer.queuedAcks, func(m *Model) { m.cancelStored(id) })
	case ok && m.jobs[id] == nil:
		m.addJob(s, nil)
	}
}

func (m *Model) cancelStored(id string) {
	if j := m.jobs[id]; j != nil && !j.cancelled && !j.ended {
		m.cancelJob(j)
	}
}

// answerPendingStores answers callers whose records may or may not become durable.
func (m *Model) answerPendingStores() {
	tickets := make([]uint64, 0, len(m.pendingStores))
	for t := range m.pendingStores {
		tickets = append(tickets, t)
	}
	slices.Sort(tickets)
	for _, t := range tickets {
		m.emit(StoredCmd{Ticket: t, Result: StoreUnknown})
	}
	m.pendingStores = map[uint64]bool{}
}

package scheduler

import (
	"slices"

	"daisyhead/internal/workload/reducer"
)

// store proposes a caller's record. It also updates the job at once, so that the same
// append can contain the placement: accepting and placing a job takes one append
// instead of two.
func (m *Model) store(msg StoreMsg) {
	if !m.deciding() {
		m.emit(StoredCmd{RequestID: msg.RequestID, Result: StoreNotHolder})
		return
	}
	sub, isSubmission := reducer.DecodeSubmission(msg.Record)
	if !isSubmission && reducer.IsSubmission(msg.Record) {
		m.event("RecordUnreadable", "Key", msg.Record.Key)
		m.emit(StoredCmd{RequestID: msg.RequestID, Result: StoreInvalid})
		return
	}
	if m.alreadyStored(msg.Record) {
		m.emit(StoredCmd{RequestID: msg.RequestID, Result: StoreDone})
		return
	}
	if !m.proposed(msg.Record) {
		switch {
		case m.appendsFail():
			m.emit(StoredCmd{RequestID: msg.RequestID, Result: StoreCannotAppend})
			return
		case m.appendOverdue():
			m.heldStores = append(m.heldStores, msg)
			return
		}
		if isSubmission {
			if r, refuse := m.refuses(sub); refuse {
				m.emit(StoredCmd{RequestID: msg.RequestID, Result: StoreRefused, Reason: r.reason, RetryAfterMS: r.retryAfterMS})
				return
			}
		}
	}
	m.pendingStores[msg.RequestID] = true
	m.propose(msg.Record, func(m *Model) {
		delete(m.pendingStores, msg.RequestID)
		m.emit(StoredCmd{RequestID: msg.RequestID, Result: StoreDone})
	})
	m.applyPending(msg.Record)
}

// alreadyStored reports whether the table already reflects the record.
func (m *Model) alreadyStored(r reducer.Record) bool {
	id, _ := reducer.CallerRecordJobID(r)
	j, known := m.Table.Lookup(id)
	return known && (reducer.IsSubmission(r) || j.Cancelled)
}

// applyPending applies a proposed record to the live jobs before it is read back from
// the ledger. A cancellation waits until the record is durable.
func (m *Model) applyPending(r reducer.Record) {
	id, _ := reducer.CallerRecordJobID(r)
	s, ok := reducer.DecodeSubmission(r)
	switch {
	case !ok && m.jobs[id] != nil:
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

// answerPendingStores answers StoreUnknown to callers whose records may or may not
// become durable, and StoreNotHolder to those whose records were not proposed.
func (m *Model) answerPendingStores() {
	m.refuseHeldStores()
	requestIDs := make([]uint64, 0, len(m.pendingStores))
	for id := range m.pendingStores {
		requestIDs = append(requestIDs, id)
	}
	slices.Sort(requestIDs)
	for _, id := range requestIDs {
		m.emit(StoredCmd{RequestID: id, Result: StoreUnknown})
	}
	m.pendingStores = map[uint64]bool{}
}

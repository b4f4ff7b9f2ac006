package scheduler

import "daisyhead/internal/workload/reducer"

// proposer appends the holder's records to the ledger in order. Only one append is in
// flight; records that are proposed meanwhile go into the next one.
type proposer struct {
	// sequence numbers the appends of the term. A repeated append keeps its number, so
	// that the ledger stores it only once.
	sequence uint64
	// confirmedMS is when the latest successful append was first sent.
	confirmedMS int64

	// queued are the records for the next appends. queuedAcks are called once all of
	// them are durable.
	queued     []reducer.Record
	queuedAcks []func(*Model)

	// sent are the records of the append in flight. sentAcks are called once they are
	// durable.
	sent     []reducer.Record
	sentAcks []func(*Model)
	sentMS   int64
	// sentAsOfMS is sentMS, brought forward by what the clock has not counted since.
	sentAsOfMS int64
	// retryMS is when an unanswered append is sent again.
	retryMS int64
	// refused is set while the latest append failed at once.
	refused bool
}

// maxBatchBytes keeps an append well below the platform's size limit for a call.
const maxBatchBytes = 512 << 10

// propose queues a record for the ledger. The acks are called once the record is durable.
func (m *Model) propose(r reducer.Record, acks ...func(*Model)) {
	m.proposer.queued = append(m.proposer.queued, r)
	m.proposer.queuedAcks = append(m.proposer.queuedAcks, acks...)
}

// flush sends the queued records. It repeats an unanswered append under the same
// sequence number.
func (m *Model) flush() {
	p := &m.proposer
	if !m.term.active {
		return
	}
	if len(p.sent) > 0 {
		if p.retryMS > 0 && m.now.MonoMS >= p.retryMS {
			p.retryMS = 0
			m.emit(AppendCmd{Term: m.term.number, Sequence: p.sequence, Records: p.sent})
		}
		return
	}
	if len(p.queued) == 0 {
		return
	}
	n := batchLength(p.queued)
	p.sent, p.queued = p.queued[:n:n], p.queued[n:]
	if len(p.queued) == 0 {
		// Acks are not tied to single records: all wait for the end of the queue.
		p.sentAcks, p.queuedAcks = p.queuedAcks, nil
	}
	p.sentMS, p.sentAsOfMS, p.retryMS = m.now.MonoMS, m.now.MonoMS, 0
	m.emit(AppendCmd{Term: m.term.number, Sequence: p.sequence, Records: p.sent})
}

// batchLength returns how many of the records fit into one append, at least one.
func batchLength(records []reducer.Record) int {
	size := 0
	for i, r := range records {
		if size += len(r.Key) + len(r.Value); size > maxBatchBytes && i > 0 {
			return i
		}
	}
	return len(records)
}

// handleAppended handles the result of the append in flight. The result of any other
// append is out of date and ignored.
func (m *Model) handleAppended(msg AppendedMsg) {
	p := &m.proposer
	if !m.term.active || msg.Term != m.term.number || msg.Sequence != p.sequence || len(p.sent) == 0 {
		return
	}
	switch msg.Result {
	case AppendFenced:
		m.stepDown("the ledger rejected an append of this term")
	case AppendUnknown:
		p.retryMS, p.refused = m.now.MonoMS+orderRetryMS, msg.Refused
		m.event("AppendUnanswered", "Term", msg.Term, "Sequence", msg.Sequence, "Error", msg.Err)
	case AppendDone:
		acks := p.sentAcks
		p.confirmedMS, p.refused = p.sentAsOfMS, false
		p.sequence++
		if m.tableFresh() {
			m.term.yieldCount = 0
		}
		p.sent, p.sentAcks = nil, nil
		for _, ack := range acks {
			if m.term.active {
				ack(m)
			}
		}
		if m.term.active {
			m.settleHeldStores()
		}
	}
}

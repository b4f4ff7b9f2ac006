package scheduler

import "daisyhead/internal/workload/tabulator"

// proposer keeps the holder's records in order: one append is in flight, and
// what is decided meanwhile goes with the next one.
type proposer struct {
	sequence uint64
	// confirmedMS is when the latest append that succeeded was first sent.
	confirmedMS int64

	queued     []tabulator.Record
	queuedAcks []func(*Model)

	sent     []tabulator.Record
	sentAcks []func(*Model)
	sentMS   int64
	// retryMS is when an append without an answer is sent again.
	retryMS int64
}

// maxBatchBytes keeps an append well below the platform's limit on one call.
const maxBatchBytes = 512 << 10

// propose records a decision; ack runs once it is durable.
func (m *Model) propose(r tabulator.Record, acks ...func(*Model)) {
	m.proposer.queued = append(m.proposer.queued, r)
	m.proposer.queuedAcks = append(m.proposer.queuedAcks, acks...)
}

// flush sends what is queued, or repeats an append without an answer under the
// same sequence number.
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
		// Acknowledgements wait for the whole queue, so none runs early.
		p.sentAcks, p.queuedAcks = p.queuedAcks, nil
	}
	p.sentMS, p.retryMS = m.now.MonoMS, 0
	m.emit(AppendCmd{Term: m.term.number, Sequence: p.sequence, Records: p.sent})
}

func batchLength(records []tabulator.Record) int {
	size := 0
	for i, r := range records {
		if size += len(r.Key) + len(r.Value); size > maxBatchBytes && i > 0 {
			return i
		}
	}
	return len(records)
}

func (m *Model) handleAppended(msg AppendedMsg) {
	p := &m.proposer
	if !m.term.active || msg.Term != m.term.number || msg.Sequence != p.sequence || len(p.sent) == 0 {
		return
	}
	switch msg.Result {
	case AppendFenced:
		m.stepDown("the ledger refused an append")
	case AppendUnknown:
		p.retryMS = m.now.MonoMS + orderRetryMS
		m.event("AppendUnanswered", "Term", msg.Term, "Sequence", msg.Sequence, "Error", msg.Err)
	case AppendDone:
		acks := p.sentAcks
		p.confirmedMS = p.sentMS
		p.sequence++
		m.term.yieldCount = 0
		p.sent, p.sentAcks = nil, nil
		for _, ack := range acks {
			if m.term.active {
				ack(m)
			}
		}
	}
}

package scheduler

import "daisyhead/internal/workload/reducer"

// The ledger may become slow for all instances. Its partition handles one append at a time, so
// requests to take over, claims and repeated appends would queue there before the holder's own.
// The latency of reads tells a slow ledger from an unreachable one.

const (
	// SlowLatencyMS is the latency of reads from which on the ledger counts as slow: 25 times
	// the usual one, and above what a busy platform or a busy instance adds. From half of it on
	// it stays slow.
	SlowLatencyMS = 100
	// slowSilenceFactor times the latency is added to the silence after which the term is
	// claimed: the time of two appends and a read, with one read interval.
	slowSilenceFactor = 4
	// slowStaggerFactor times the latency is added to the difference between the claim delays
	// of successive ranks: a claim is seen after an append and a read.
	slowStaggerFactor = 2
	// maxSlowLatencyMS limits the latency that prolongs these times.
	maxSlowLatencyMS = 500
	// maxLatencyAgeMS is the age from which on an estimate tells nothing any more.
	maxLatencyAgeMS = 2500
	// slowOfferAfterMS is for how long reads must be answered late until the holder asks another
	// instance, which the ledger may serve faster, to take over. It doubles with each
	// recent change of the holder, at most maxYieldShift times: the holder may be slow by itself,
	// under a load that its successor has then.
	slowOfferAfterMS = 250
	// storeHoldMS is the age of an append in flight from which on callers' records are not
	// queued behind it: 25 times the usual time of an append. They can then be refused as not
	// written.
	storeHoldMS = 100
)

// ledgerLatency is what this process knows of the latency of its reads of the ledger.
type ledgerLatency struct {
	// estimateMS is the latest estimate, as of updatedMS.
	estimateMS, updatedMS int64
	// slowReadMS is when a read was last answered late for certain, slowReadsMS since when all
	// have been, 0 if the last one was not.
	slowReadMS, slowReadsMS int64
	// slow tells whether the ledger counts as slow by the estimate.
	slow bool
	// slowUntilMS is when a slow estimate was last known.
	slowUntilMS int64
	// unansweredMS is when a read that does not wait last got no answer in time.
	unansweredMS int64
}

// handleLatency remembers the latency of a read.
func (m *Model) handleLatency(msg LedgerLatencyMsg) {
	l := &m.latency
	if msg.Unanswered {
		l.unansweredMS = m.now.MonoMS
		return
	}
	l.estimateMS, l.updatedMS = msg.EstimateMS, m.now.MonoMS
	switch {
	case msg.LatencyMS < SlowLatencyMS:
		l.slowReadsMS = 0
	case msg.Exact:
		l.slowReadMS = m.now.MonoMS
		if l.slowReadsMS == 0 {
			l.slowReadsMS = m.now.MonoMS
		}
	}
	if slow := msg.EstimateMS >= SlowLatencyMS || l.slow && msg.EstimateMS >= SlowLatencyMS/2; slow != l.slow {
		l.slow = slow
		name := "LedgerFast"
		if slow {
			name = "LedgerSlow"
		}
		m.event(name, "LatencyMS", msg.EstimateMS)
	}
	if l.slow {
		l.slowUntilMS = m.now.MonoMS
	}
}

// slowLatency returns the latency of reads while the ledger is slow, otherwise 0.
func (m *Model) slowLatency() int64 {
	if l := m.latency; l.slow && m.now.MonoMS-l.updatedMS <= maxLatencyAgeMS {
		return min(l.estimateMS, maxSlowLatencyMS)
	}
	return 0
}

// recentlySlow reports whether the ledger is slow for this instance or was so within
// recentOutageMS.
func (m *Model) recentlySlow() bool {
	return m.slowLatency() > 0 || m.latency.slowUntilMS > 0 && m.now.MonoMS-m.latency.slowUntilMS < recentOutageMS
}

// appendIsSlow reports whether the append in flight may only be slow: a read was answered late
// since it was sent, and not so long ago that the next answer is overdue.
func (m *Model) appendIsSlow() bool {
	l := &m.latency
	return l.slowReadMS > m.proposer.sentMS && m.now.MonoMS-l.slowReadMS < yieldAfterMS+slowSilenceFactor*min(l.estimateMS, maxSlowLatencyMS)
}

// offerTermIfSlow asks the powerful instances in turn to take over while the ledger is slow for
// this holder. Those for which it is slow too decline.
func (m *Model) offerTermIfSlow() {
	after := int64(slowOfferAfterMS) << min(max(m.recentTerms()-1, 0), maxYieldShift)
	l := &m.latency
	slow := l.slowReadsMS > 0 && m.now.MonoMS-l.slowReadMS <= maxLatencyAgeMS
	if !slow || m.now.MonoMS-max(l.slowReadsMS, m.term.takenOverMS) < after || m.now.MonoMS-m.term.lastYieldMS < offerIntervalMS {
		return
	}
	if powerful := powerfulOf(m.successors()); len(powerful) > 0 {
		m.offerTerm(powerful, "LatencyMS", m.latency.estimateMS)
	}
}

// appendOverdue reports whether the append in flight has taken unusually long or was refused.
func (m *Model) appendOverdue() bool {
	p := &m.proposer
	return len(p.sent) > 0 && (p.refused || m.now.MonoMS-p.sentMS >= storeHoldMS+slowSilenceFactor*m.slowLatency())
}

// appendsFail reports whether this holder is known not to be able to append: the ledger refuses
// its appends, or neither answers them nor any read.
func (m *Model) appendsFail() bool {
	p := &m.proposer
	switch ageMS := m.now.MonoMS - p.sentMS; {
	case len(p.sent) == 0:
		return false
	case p.refused:
		return ageMS >= refusedYieldAfterMS
	default:
		return max(m.term.ledgerFailedMS, m.latency.unansweredMS) > max(p.sentMS, m.latency.updatedMS)
	}
}

// refuseHeldStores answers the callers' records that were held back: another instance will
// decide.
func (m *Model) refuseHeldStores() {
	for _, msg := range m.heldStores {
		m.emit(StoredCmd{RequestID: msg.RequestID, Result: StoreNotHolder})
	}
	m.heldStores = nil
}

// proposed reports whether a submission of the same job is on its way to the ledger. A refusal of
// another call for the job would not be true then.
func (m *Model) proposed(r reducer.Record) bool {
	id, _ := reducer.CallerRecordJobID(r)
	return reducer.IsSubmission(r) && m.jobs[id] != nil
}

// settleHeldStores proposes the callers' records that were held back, or refuses them if this
// holder can't append.
func (m *Model) settleHeldStores() {
	if len(m.heldStores) == 0 || m.appendOverdue() && !m.appendsFail() {
		return
	}
	held := m.heldStores
	m.heldStores = nil
	for _, msg := range held {
		m.store(msg)
	}
}

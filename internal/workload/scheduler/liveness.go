package scheduler

import "daisyhead/internal/workload/reducer"

// A holder that writes nothing may have ended, or the ledger may be slow. Instances that
// stay ready to take over ask it directly once it has been silent for a while. One that
// does not answer either is replaced without waiting for holderTimeoutMS.

const (
	// suspectAfterMS is the silence after which the holder is asked whether it is alive:
	// more than a renewal interval, a read interval and an append take together.
	suspectAfterMS = 600
	// askAliveIntervalMS is the pause before the holder is asked again.
	askAliveIntervalMS = 300
)

// liveness is what this process knows of the holder from asking it directly.
type liveness struct {
	// askedTerm is the term whose holder is being asked, 0 if none is. askedMS is when a
	// holder was last asked.
	askedTerm uint64
	askedMS   int64
	// silentTerm is the term whose holder did not answer, since silentSinceMS.
	silentTerm    uint64
	silentSinceMS int64
}

// askSilentHolder asks the holder whether it is alive if it has written nothing for a
// while. Only the first-ranked instances do so, and only while they can read the ledger.
func (m *Model) askSilentHolder() {
	t, l := m.Table.Term, &m.liveness
	if !m.loaded || m.shuttingDown || m.holdsTerm() || t.Number == 0 || t.Released || l.askedTerm != 0 {
		return
	}
	silent := m.now.MonoMS - m.term.silentSinceMS
	suspectAfter := suspectAfterMS + slowStaggerFactor*m.slowLatency()
	if silent < suspectAfter || m.now.MonoMS-l.askedMS < askAliveIntervalMS || m.now.MonoMS-m.tableAsOfMS > suspectAfter || m.LowRank() {
		return
	}
	l.askedTerm, l.askedMS = t.Number, m.now.MonoMS
	m.emit(AskAliveCmd{Term: t.Number, Holder: t.Holder, Address: m.Table.Instances[reducer.InstanceOf(t.Holder)].Address})
}

// handleAskedAlive remembers a holder that did not answer.
func (m *Model) handleAskedAlive(msg AskedAliveMsg) {
	l := &m.liveness
	l.askedTerm = 0
	switch {
	case msg.Alive:
		l.silentTerm = 0
	case l.silentTerm != msg.Term:
		l.silentTerm, l.silentSinceMS = msg.Term, m.now.MonoMS
		m.event("HolderUnreachable", "Term", msg.Term, "Error", msg.Err)
	}
}

// holderIsLost reports whether the holder has neither written anything for a while nor
// answered.
func (m *Model) holderIsLost() bool {
	return m.liveness.silentTerm == m.Table.Term.Number && m.now.MonoMS-m.term.silentSinceMS >= suspectAfterMS+slowStaggerFactor*m.slowLatency()
}

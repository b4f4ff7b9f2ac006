package scheduler

import (
	"cmp"
	"slices"

	"daisyhead/internal/workload/tabulator"
)

// termState is what the model knows of who decides.
type termState struct {
	// active is set while this process holds the term and has taken over.
	active bool
	// number is the term that this process holds.
	number uint64
	// silentSinceMS is when the holder last gave a sign, or when the ledger
	// became readable again.
	silentSinceMS int64
	claiming      bool
	// nextClaimMS is when the next claim may be sent.
	nextClaimMS int64
	// takenOverMS is when the term was taken over.
	takenOverMS int64
	// yieldRequestedTerm is the term whose holder has asked this instance to take over.
	yieldRequestedTerm uint64
	// lastYieldMS is when the holder last asked another instance to take over, and
	// yields how many it has asked since its last append.
	lastYieldMS int64
	yieldCount  int

	renewedMS int64
	renewals  uint64
}

// claimTermIfDue claims the term when its holder has fallen silent.
func (m *Model) claimTermIfDue() {
	if !m.loaded || m.shuttingDown || m.holdsTerm() || m.term.claiming {
		return
	}
	if m.now.MonoMS-m.tableAsOfMS > holderTimeoutMS/2 || m.now.MonoMS < m.term.nextClaimMS {
		return
	}
	reason, due := m.claimReason()
	if !due {
		return
	}
	m.claim(reason)
}

func (m *Model) claimReason() (reason string, due bool) {
	t := m.Table.Term
	silent := m.now.MonoMS - m.term.silentSinceMS
	delay := m.claimRank() * claimStaggerMS
	switch {
	case t.Number == 0:
		return "no term yet", silent >= delay
	case t.Number == m.term.yieldRequestedTerm:
		return "asked by " + t.Holder, true
	case t.Released:
		return "released by " + t.Holder, silent >= delay
	case instanceOf(t.Holder) == m.cfg.Instance:
		// Instances that saw the term begin know for how long a worker has been out
		// of reach; a new process has to count from its start.
		return "held by an earlier process of this instance", len(m.Table.Unheard) == 0 || silent >= reclaimDelayMS
	}
	return "silence of " + t.Holder, silent >= holderTimeoutMS+delay
}

// claimRank is this instance's place among those that may claim. An instance that is
// not recorded yet comes last.
func (m *Model) claimRank() int64 {
	names := m.termCandidates()
	for i, n := range names {
		if n.Name == m.cfg.Instance {
			return int64(min(i, maxClaimRank))
		}
	}
	return int64(min(len(names), maxClaimRank))
}

// standbyRanks is how many instances stay ready to decide next.
const standbyRanks = 5

// Rear reports whether several instances would decide before this one.
func (m *Model) Rear() bool { return m.claimRank() >= standbyRanks }

// termCandidates lists the instances but the holder: the most powerful
// first, and those that were started last, which are the surest to be there.
func (m *Model) termCandidates() []tabulator.Instance {
	names := make([]tabulator.Instance, 0, len(m.Table.Instances))
	for _, i := range m.Table.Instances {
		if i.Name != instanceOf(m.Table.Term.Holder) {
			names = append(names, i)
		}
	}
	slices.SortFunc(names, func(a, b tabulator.Instance) int {
		return cmp.Or(cmp.Compare(b.Power, a.Power), cmp.Compare(m.Table.Started[b.Name], m.Table.Started[a.Name]), cmp.Compare(a.Name, b.Name))
	})
	return names
}

// maxClaimRank bounds the delay of the last instance that may claim.
const maxClaimRank = 8

func (m *Model) claim(reason string) {
	m.term.claiming = true
	t := tabulator.Term{Number: m.Table.Term.Number + 1, Holder: m.cfg.Holder}
	m.event("TermClaimSent", "Term", t.Number, "Reason", reason, "Offset", m.Table.Next)
	m.emit(ClaimCmd{At: m.Table.Next, Term: t})
}

// handleClaimed reads on: only the fold tells who holds the term.
func (m *Model) handleClaimed(msg ClaimedMsg) {
	pause := int64(claimRetryMS)
	if msg.Moved {
		pause = claimConflictRetryMS
	}
	m.term.claiming, m.term.nextClaimMS = false, m.now.MonoMS+pause
	if msg.Err != "" {
		m.event("TermClaimFailed", "Error", msg.Err)
	}
	m.emit(ReadCmd{})
}

func (m *Model) holdsTerm() bool { return m.Table.Term.Holder == m.cfg.Holder }

// HolderAddress returns where the holder's peers reach it, or "" if nobody
// decides.
func (m *Model) HolderAddress() string {
	if m.Table.Term.Released {
		return ""
	}
	return m.Table.Instances[instanceOf(m.Table.Term.Holder)].Address
}

// syncTerm takes over when this process has become the holder, and steps down
// when another has.
func (m *Model) syncTerm() {
	m.noteTermSeen()
	switch {
	case m.holdsTerm() && !m.term.active && !m.shuttingDown && m.term.number < m.Table.Term.Number:
		m.takeOver()
	case !m.holdsTerm() && m.term.active:
		m.stepDown("term " + m.Table.Term.Holder + " was recorded")
	}
}

func (m *Model) takeOver() {
	m.term.active, m.term.number = true, m.Table.Term.Number
	m.term.takenOverMS, m.term.renewedMS, m.term.renewals, m.term.yieldCount = m.now.MonoMS, m.now.MonoMS, 0, 0
	m.proposer = proposer{sequence: 1}
	m.workers, m.fleet, m.jobs, m.liveJobs, m.reservations, m.ended = map[string]*worker{}, nil, map[string]*job{}, nil, nil, nil
	m.pendingOutcomes = map[string]*pendingOutcome{}
	m.event("TermTaken", "Term", m.term.number, "Offset", m.Table.Next, "Jobs", len(m.Table.Jobs))
	m.emit(FollowWorkersCmd{On: true})
	m.syncJobs()
	m.endWitnessedJobs()
	m.dirty = true
}

func (m *Model) stepDown(reason string) {
	m.term.active = false
	m.workers, m.fleet, m.jobs, m.liveJobs, m.reservations = map[string]*worker{}, nil, map[string]*job{}, nil, nil
	m.pendingOutcomes = map[string]*pendingOutcome{}
	m.proposer = proposer{}
	m.answerPendingStores()
	m.event("TermLost", "Term", m.term.number, "Reason", reason)
	m.emit(FollowWorkersCmd{On: false})
	m.emit(ReadCmd{})
}

func (m *Model) renewTerm() {
	if m.now.MonoMS-m.term.renewedMS < renewIntervalMS {
		return
	}
	m.term.renewedMS = m.now.MonoMS
	m.term.renewals++
	m.propose(tabulator.TermRecord(tabulator.Term{Number: m.term.number, Holder: m.cfg.Holder, Renewals: m.term.renewals}))
}

// requestTakeover asks the other instances in turn to take over while this one can't write
// to the ledger. If none of them can read it either, nothing changes.
func (m *Model) requestTakeover() {
	p := &m.proposer
	if len(p.sent) == 0 || m.now.MonoMS-p.sentMS < yieldAfterMS || m.now.MonoMS-m.term.lastYieldMS < yieldIntervalMS {
		return
	}
	others := m.termCandidates()
	if len(others) == 0 {
		return
	}
	to := others[m.term.yieldCount%len(others)]
	m.term.yieldCount++
	m.term.lastYieldMS = m.now.MonoMS
	m.event("TermYielded", "Term", m.term.number, "To", to.Name, "AppendSentAgoMS", m.now.MonoMS-p.sentMS)
	m.emit(YieldCmd{Term: m.term.number, To: to.Name, Address: to.Address})
}

// releaseTerm hands the term over once all earlier decisions are recorded; nothing new
// is decided. The successor is named in the same record, so that no instance has
// to claim the term.
func (m *Model) releaseTerm() {
	if m.shuttingDown {
		return
	}
	m.shuttingDown = true
	if !m.term.active {
		return
	}
	next := tabulator.Term{Number: m.term.number, Holder: m.cfg.Holder, Released: true}
	if c := m.termCandidates(); len(c) > 0 && c[0].Holder != "" {
		next = tabulator.Term{Number: m.term.number + 1, Holder: c[0].Holder}
	}
	m.propose(tabulator.TermRecord(next), func(m *Model) { m.stepDown("handed over") })
	m.event("TermHandedOver", "Term", m.term.number, "To", next.Holder)
}

// tableFresh reports whether the ledger has been read recently enough to start
// tasks: a cancellation may have been recorded since.
func (m *Model) tableFresh() bool { return m.now.MonoMS-m.tableAsOfMS <= maxTableAgeMS }

// termConfirmed reports whether the ledger has confirmed the term recently enough to
// extend leases.
func (m *Model) termConfirmed() bool {
	return m.now.MonoMS-max(m.tableAsOfMS, m.proposer.confirmedMS) <= maxConfirmationAgeMS
}

func instanceOf(holder string) string {
	for i := len(holder) - 1; i >= 0; i-- {
		if holder[i] == '/' {
			return holder[:i]
		}
	}
	return holder
}

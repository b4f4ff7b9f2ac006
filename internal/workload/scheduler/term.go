package scheduler

import (
	"cmp"
	"slices"

	"daisyhead/internal/workload/reducer"
)

// termState is what the model knows about the current term and its holder. This process
// becomes the holder when it reads a record that names it, which is either its own claim
// or a predecessor's handover. It stops being the holder when it reads a record that
// names another process, when its own handover is durable, or when the ledger or a worker
// rejects its term as outdated.
type termState struct {
	// active is set while this process holds the term and has taken over.
	active bool
	// number is the term that this process holds or last held.
	number uint64
	// silentSinceMS is when this process last read a record of the holder, loaded the
	// table, or failed to read the ledger. While the ledger can't be read, the holder
	// does not count as silent.
	silentSinceMS int64
	// claiming is set while a claim awaits its result.
	claiming bool
	// nextClaimMS is the earliest time of the next claim.
	nextClaimMS int64
	// takenOverMS is when this process took over the term.
	takenOverMS int64
	// yieldRequestedTerm is the latest term whose holder has asked this instance to
	// take over.
	yieldRequestedTerm uint64
	// lastYieldMS is when this holder last asked another instance to take over.
	// yieldCount counts such requests since the last successful append.
	lastYieldMS int64
	yieldCount  int

	// renewedMS is when this holder last proposed a renewal, or took over. renewals
	// counts its renewals in the term.
	renewedMS int64
	renewals  uint64
}

// claimTermIfDue claims the next term if there is a reason to and the table is recent
// enough to rely on: in an older one, the reason may be out of date.
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

// claimReason returns why this instance may claim the next term, and whether the time
// to wait before that claim is over.
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
		// This process knows only from its own start on how long a worker has not been
		// reached. If there is such a worker, instances that saw the term begin and know
		// more claim first.
		return "held by an earlier process of this instance", len(m.Table.Unreached) == 0 || silent >= reclaimDelayMS
	}
	return "silence of " + t.Holder, silent >= holderTimeoutMS+delay
}

// claimRank is this instance's position among the candidates for the term. An instance
// that is not recorded in the ledger yet comes last.
func (m *Model) claimRank() int64 {
	candidates := m.termCandidates()
	for i, n := range candidates {
		if n.Name == m.cfg.Instance {
			return int64(min(i, maxClaimRank))
		}
	}
	return int64(min(len(candidates), maxClaimRank))
}

// standbyRanks is the number of first-ranked candidates that stay ready to take over.
const standbyRanks = 5

// LowRank reports whether this instance ranks behind all standby candidates.
func (m *Model) LowRank() bool { return m.claimRank() >= standbyRanks }

// termCandidates lists all instances but the holder: the most powerful first, and among
// equals the most recently started first, since it is the most likely to be alive.
func (m *Model) termCandidates() []reducer.Instance {
	candidates := make([]reducer.Instance, 0, len(m.Table.Instances))
	for _, i := range m.Table.Instances {
		if i.Name != instanceOf(m.Table.Term.Holder) {
			candidates = append(candidates, i)
		}
	}
	slices.SortFunc(candidates, func(a, b reducer.Instance) int {
		return cmp.Or(cmp.Compare(b.Power, a.Power), cmp.Compare(m.Table.InstanceOffsets[b.Name], m.Table.InstanceOffsets[a.Name]), cmp.Compare(a.Name, b.Name))
	})
	return candidates
}

// maxClaimRank bounds the claim delay of the last candidates.
const maxClaimRank = 8

// claim requests a claim of the next term at the end of the ledger as the table has it.
func (m *Model) claim(reason string) {
	m.term.claiming = true
	t := reducer.Term{Number: m.Table.Term.Number + 1, Holder: m.cfg.Holder}
	m.event("TermClaimSent", "Term", t.Number, "Reason", reason, "Offset", m.Table.Next)
	m.emit(ClaimCmd{At: m.Table.Next, Term: t})
}

// handleClaimed requests a ledger read after a claim: only the ledger's records tell
// who holds the term.
func (m *Model) handleClaimed(msg ClaimedMsg) {
	pause := int64(claimRetryMS)
	if msg.Conflict {
		pause = claimConflictRetryMS
	}
	m.term.claiming, m.term.nextClaimMS = false, m.now.MonoMS+pause
	if msg.Err != "" {
		m.event("TermClaimFailed", "Error", msg.Err)
	}
	m.emit(ReadCmd{})
}

func (m *Model) holdsTerm() bool { return m.Table.Term.Holder == m.cfg.Holder }

// HolderAddress returns the address at which other instances reach the holder, or "" if
// the term was released.
func (m *Model) HolderAddress() string {
	if m.Table.Term.Released {
		return ""
	}
	return m.Table.Instances[instanceOf(m.Table.Term.Holder)].Address
}

// syncTerm takes over if this process has become the holder, and steps down if another
// one has.
func (m *Model) syncTerm() {
	m.rememberTerm()
	switch {
	case m.holdsTerm() && !m.term.active && !m.shuttingDown && m.term.number < m.Table.Term.Number:
		m.takeOver()
	case !m.holdsTerm() && m.term.active:
		m.stepDown("the ledger names " + m.Table.Term.Holder + " as the holder")
	}
}

// takeOver rebuilds the holder's state from the table and from the outcomes that earlier
// holders have reported to this instance.
func (m *Model) takeOver() {
	m.term.active, m.term.number = true, m.Table.Term.Number
	m.term.takenOverMS, m.term.renewedMS, m.term.renewals, m.term.yieldCount = m.now.MonoMS, m.now.MonoMS, 0, 0
	m.proposer = proposer{sequence: 1}
	m.workers, m.fleet, m.jobs, m.liveJobs, m.reservations, m.endedJobs = map[string]*worker{}, nil, map[string]*job{}, nil, nil, nil
	m.pendingOutcomes = map[string]*pendingOutcome{}
	m.event("TermTaken", "Term", m.term.number, "Offset", m.Table.Next, "Jobs", len(m.Table.Jobs))
	m.emit(PollWorkersCmd{On: true})
	m.syncJobs()
	m.endWitnessedJobs()
	m.passNeeded = true
}

// stepDown clears the holder's state. Callers whose records are not durable yet are told
// that the records may or may not become durable.
func (m *Model) stepDown(reason string) {
	m.term.active = false
	m.workers, m.fleet, m.jobs, m.liveJobs, m.reservations = map[string]*worker{}, nil, map[string]*job{}, nil, nil
	m.pendingOutcomes = map[string]*pendingOutcome{}
	m.proposer = proposer{}
	m.answerPendingStores()
	m.event("TermLost", "Term", m.term.number, "Reason", reason)
	m.emit(PollWorkersCmd{On: false})
	m.emit(ReadCmd{})
}

// renewTerm proposes a record that shows the other instances that the holder is alive.
func (m *Model) renewTerm() {
	if m.now.MonoMS-m.term.renewedMS < renewIntervalMS {
		return
	}
	m.term.renewedMS = m.now.MonoMS
	m.term.renewals++
	m.propose(reducer.TermRecord(reducer.Term{Number: m.term.number, Holder: m.cfg.Holder, Renewals: m.term.renewals}))
}

// yieldTermIfDue asks the other instances in turn to take over while this one can't
// append to the ledger. If they can't reach the ledger either, nothing changes.
func (m *Model) yieldTermIfDue() {
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

// releaseTerm hands the term over once all earlier decisions are durable, and stops
// making new ones. The same record names the successor, so that no instance has to claim
// the term.
func (m *Model) releaseTerm() {
	if m.shuttingDown {
		return
	}
	m.shuttingDown = true
	if !m.term.active {
		return
	}
	next := reducer.Term{Number: m.term.number, Holder: m.cfg.Holder, Released: true}
	if c := m.termCandidates(); len(c) > 0 && c[0].Holder != "" {
		next = reducer.Term{Number: m.term.number + 1, Holder: c[0].Holder}
	}
	m.propose(reducer.TermRecord(next), func(m *Model) { m.stepDown("handed over") })
	m.event("TermHandedOver", "Term", m.term.number, "To", next.Holder)
}

// tableFresh reports whether the table is recent enough to start tasks. With an older
// table, a cancellation may have been recorded since.
func (m *Model) tableFresh() bool { return m.now.MonoMS-m.tableAsOfMS <= maxTableAgeMS }

// termConfirmed reports whether the ledger has confirmed the term recently enough to
// extend leases.
func (m *Model) termConfirmed() bool {
	return m.now.MonoMS-max(m.tableAsOfMS, m.proposer.confirmedMS) <= maxConfirmationAgeMS
}

// instanceOf returns the instance's name from a holder of the form NAME/SUFFIX.
func instanceOf(holder string) string {
	for i := len(holder) - 1; i >= 0; i-- {
		if holder[i] == '/' {
			return holder[:i]
		}
	}
	return holder
}

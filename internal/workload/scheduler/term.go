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
	// ledgerFailedMS is when this process last failed to read the ledger.
	ledgerFailedMS int64
	// endedTerm is the latest term whose holder's process is known to have ended, and
	// endedSinceMS is when this process learned that.
	endedTerm    uint64
	endedSinceMS int64
	// claiming is set while a claim awaits its result.
	claiming bool
	// nextClaimMS is the earliest time of the next claim.
	nextClaimMS int64
	// takenOverMS is when this process took over the term.
	takenOverMS int64
	// probingTerm is the term whose holder has asked this instance to take over, while a
	// probe of the ledger is in flight. provenTerm is the latest such term after which
	// the probe was fast enough.
	probingTerm, provenTerm uint64
	// holderSeen is the holder of the latest term that this process has seen.
	holderSeen string
	// handover is the term that this holder claims for its successor while it shuts
	// down. handoverSentMS is when the claim was last sent, 0 while none is in flight.
	handover       *reducer.Term
	handoverSentMS int64
	// lastYieldMS is when this holder last asked another instance to take over.
	// yieldCount counts such requests since the last successful append with a recent table.
	lastYieldMS int64
	yieldCount  int
	// staleSinceMS is since when the holder's table has been too old to start tasks, 0 if it
	// is not.
	staleSinceMS int64
	// offers counts the requests to more powerful instances to take over.
	offers int

	// renewedMS is when this holder last proposed a renewal, or took over. renewals
	// counts its renewals in the term.
	renewedMS int64
	renewals  uint64
}

// claimTermIfDue claims the next term if there is a reason to and the table is recent
// enough to rely on: in an older one, the reason may be out of date. A process that has
// stepped down claims again like any other, also if the ledger still names it.
func (m *Model) claimTermIfDue() {
	if !m.loaded || m.shuttingDown || m.term.active || m.term.claiming {
		return
	}
	if m.now.MonoMS-m.tableAsOfMS > holderTimeoutMS/2+slowStaggerFactor*m.slowLatency() || m.now.MonoMS < m.term.nextClaimMS {
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
	delay := m.claimDelayMS()
	slow := slowSilenceFactor * m.slowLatency()
	switch {
	case t.Number == 0:
		return "no term yet", silent >= firstClaimDelayMS+delay
	case t.Number == m.term.provenTerm:
		return "asked by " + t.Holder, silent >= sharedOutageSilenceMS || m.term.ledgerFailedMS == 0 || m.now.MonoMS-m.term.ledgerFailedMS > recentOutageMS
	case t.Released:
		return "released by " + t.Holder, silent >= delay
	case reducer.InstanceOf(t.Holder) == m.cfg.Instance && len(m.Table.Unreached) > 0:
		// This process knows only from its own start on how long a worker has not been
		// reached. Instances that saw the term begin and know more claim first.
		return "held by an earlier process of this instance", silent >= reclaimDelayMS+slow
	case m.holderIsLost():
		return t.Holder + " is silent and does not answer", m.now.MonoMS-m.liveness.silentSinceMS >= m.endedDelayMS()
	case m.term.endedTerm == t.Number:
		return "the process of " + t.Holder + " has ended", m.now.MonoMS-m.term.endedSinceMS >= m.endedDelayMS()
	}
	return "silence of " + t.Holder, silent >= holderTimeoutMS+slow+m.termPenaltyMS()+delay
}

// recentTerms counts the terms that have begun recently, as far as this process knows.
func (m *Model) recentTerms() (n int) {
	for number, at := range m.termFirstSeenMS {
		if number > 0 && m.now.MonoMS-at < recentTermMS {
			n++
		}
	}
	return n
}

// termPenaltyMS prolongs the silence after which the term is claimed when the holder has
// changed often: each new holder first has to ask all workers, which may be what keeps it
// from renewing the term in time.
func (m *Model) termPenaltyMS() int64 {
	return int64(min(max(m.recentTerms()-quietTerms, 0)*termPenaltyMS, maxTermPenaltyMS))
}

// noteEndedHolder remembers since when the process that holds the term is known to have
// ended. Nobody has to wait for its silence then.
func (m *Model) noteEndedHolder() {
	if m.term.endedTerm != m.Table.Term.Number && m.Table.HolderProcessEnded() {
		m.term.endedTerm, m.term.endedSinceMS = m.Table.Term.Number, m.now.MonoMS
		m.event("HolderEnded", "Term", m.Table.Term.Number, "Holder", m.Table.Term.Holder)
	}
}

// claimDelayMS is how long this instance lets those with lower ranks claim first.
func (m *Model) claimDelayMS() int64 {
	rank := m.claimRank()
	return int64(min(rank, lowRank))*(claimStaggerMS+slowStaggerFactor*m.slowLatency()) + int64(max(rank-lowRank, 0)*lowRankStaggerMS)
}

// endedDelayMS is the same once the holder is known to have ended. When all processes were
// restarted, each one learns it at its own time, when it has loaded the ledger; among
// powerful instances, which of them is first matters little.
func (m *Model) endedDelayMS() int64 {
	if rank := m.claimRank(); rank < len(powerfulOf(m.termCandidates())) {
		return int64(rank) * (lowRankStaggerMS + m.slowLatency())
	}
	return m.claimDelayMS()
}

// claimRank is this instance's position among the candidates for the term. An instance
// that is not recorded in the ledger yet comes last.
func (m *Model) claimRank() int {
	candidates := m.termCandidates()
	for i, n := range candidates {
		if n.Name == m.cfg.Instance {
			return i
		}
	}
	return len(candidates)
}

// standbyRanks is the number of first-ranked candidates that stay ready to take over.
const standbyRanks = 5

// LowRank reports whether this instance ranks behind all standby candidates.
func (m *Model) LowRank() bool { return m.claimRank() >= standbyRanks }

// termCandidates lists all instances but the holder's, unless the holder's process has
// ended: the most powerful first, and among equals the most recently started first, since
// it is the most likely to be alive.
func (m *Model) termCandidates() []reducer.Instance {
	candidates := make([]reducer.Instance, 0, len(m.Table.Instances))
	for _, i := range m.Table.Instances {
		if i.Name != reducer.InstanceOf(m.Table.Term.Holder) || m.term.endedTerm == m.Table.Term.Number {
			candidates = append(candidates, i)
		}
	}
	slices.SortFunc(candidates, func(a, b reducer.Instance) int {
		return cmp.Or(cmp.Compare(b.Power, a.Power), cmp.Compare(m.Table.InstanceOffsets[b.Name], m.Table.InstanceOffsets[a.Name]), cmp.Compare(a.Name, b.Name))
	})
	return candidates
}

// lowRank is the rank from which on the claims of successive ranks follow more closely.
const lowRank = 8

// claim requests a claim of the next term.
func (m *Model) claim(reason string) {
	m.term.claiming = true
	t := reducer.Term{Number: m.Table.Term.Number + 1, Holder: m.cfg.Holder, Recent: m.recentTermAges()}
	m.event("TermClaimSent", "Term", t.Number, "Reason", reason, "Offset", m.Table.Next, "Rank", m.claimRank(), "RecentTerms", m.recentTerms())
	m.emit(ClaimCmd{Term: t, SendByWallMS: m.now.WallMS + maxSendDelayMS})
}

// handleClaimed requests a ledger read after a claim: only the ledger's records tell
// who holds the term.
func (m *Model) handleClaimed(msg ClaimedMsg) {
	m.term.claiming, m.term.nextClaimMS = false, m.now.MonoMS+claimRetryMS+slowSilenceFactor*m.slowLatency()
	if msg.Err != "" {
		m.event("TermClaimFailed", "Error", msg.Err)
	}
	if m.term.handover != nil {
		m.handleHandedOver(msg)
		return
	}
	m.emit(ReadCmd{})
}

// probeIfAsked measures an append after the holder has asked this instance to take over,
// unless the request is out of date. The holder may only be as slow as every instance
// would be.
func (m *Model) probeIfAsked(msg YieldMsg) {
	if msg.Term != m.Table.Term.Number || msg.Term == m.term.probingTerm || m.holdsTerm() || m.shuttingDown {
		return
	}
	if m.recentlySlow() {
		m.event("YieldDeclined", "Term", msg.Term, "LatencyMS", m.latency.estimateMS, "Error", "the ledger is or was slow for this instance too")
		return
	}
	m.term.probingTerm = msg.Term
	m.emit(ProbeCmd(msg))
}

// handleProbed claims the term if an append was fast enough.
func (m *Model) handleProbed(msg ProbedMsg) {
	m.term.probingTerm = 0
	if msg.Err != "" || msg.TookMS > maxProbeMS {
		m.event("YieldDeclined", "Term", msg.Term, "AppendTookMS", msg.TookMS, "Error", msg.Err)
		return
	}
	m.term.provenTerm = max(m.term.provenTerm, msg.Term)
	m.claimTermIfDue()
}

func (m *Model) holdsTerm() bool { return m.Table.Term.Holder == m.cfg.Holder }

// HolderAddress returns the address at which other instances reach the holder, or "" if
// the term was released.
func (m *Model) HolderAddress() string {
	if m.Table.Term.Released {
		return ""
	}
	return m.Table.Instances[reducer.InstanceOf(m.Table.Term.Holder)].Address
}

// syncTerm takes over if this process has become the holder, and steps down if another
// one has. It takes over only once the table contains every record before the one that
// names the holder. A loaded table may lack some of them, since its records are read one
// page after the other.
func (m *Model) syncTerm() {
	m.rememberTerm()
	m.noteEndedHolder()
	complete := m.Table.TermOffset < m.Table.Next
	switch {
	case m.holdsTerm() && complete && !m.term.active && !m.shuttingDown && m.term.number < m.Table.Term.Number:
		m.takeOver()
	case !m.holdsTerm() && m.term.active:
		m.stepDown("the ledger names " + m.Table.Term.Holder + " as the holder")
	}
}

// takeOver rebuilds the holder's state from the table.
func (m *Model) takeOver() {
	m.term.active, m.term.number = true, m.Table.Term.Number
	m.term.takenOverMS, m.term.renewedMS, m.term.renewals, m.term.yieldCount, m.term.staleSinceMS = m.now.MonoMS, m.now.MonoMS, 0, 0, 0
	m.proposer = proposer{sequence: 1}
	m.workers, m.fleet, m.jobs, m.liveJobs, m.reservations, m.endedJobs = map[string]*worker{}, nil, map[string]*job{}, nil, nil, nil
	m.unconfirmedCrashes, m.lateStarts, m.unsettled, m.backfills = nil, nil, nil, nil
	clear(m.lateStartCounts)
	m.resetAccounts()
	m.pendingOutcomes = map[string]*pendingOutcome{}
	m.event("TermTaken", "Term", m.term.number, "Offset", m.Table.Next, "Jobs", len(m.Table.Jobs))
	m.emit(PollWorkersCmd{On: true})
	m.listAsOfMS = neverMS
	m.speeds.Restore(m.Table.Speeds.Levels)
	m.speedsRecordedMS, m.speedsRecordedKnown = m.now.MonoMS, m.speeds.KnownCount()
	m.syncJobs()
	m.applyClosings()
	m.passNeeded = true
}

// stepDown clears the holder's state. Callers whose records are not durable yet are told
// that the records may or may not become durable.
func (m *Model) stepDown(reason string) {
	m.term.active = false
	m.closeTerm()
	m.workers, m.fleet, m.jobs, m.liveJobs, m.reservations = map[string]*worker{}, nil, map[string]*job{}, nil, nil
	m.unconfirmedCrashes, m.lateStarts, m.unsettled, m.backfills = nil, nil, nil, nil
	clear(m.lateStartCounts)
	m.resetAccounts()
	m.pendingOutcomes = map[string]*pendingOutcome{}
	m.proposer = proposer{}
	m.orders.Clear()
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
	m.recordSettledUnits()
	m.propose(reducer.TermRecord(reducer.Term{Number: m.term.number, Holder: m.cfg.Holder, Renewals: m.term.renewals, Recent: m.recentTermAges()}))
}

// yieldTermIfDue asks the other instances in turn to take over while this one can't
// append to the ledger, or has a table that is too old to start anything. An instance that
// can't read the ledger or append to it either, or not faster, declines.
func (m *Model) yieldTermIfDue() {
	p := &m.proposer
	recent := m.recentTerms()
	yieldAfter, interval := m.yieldTimes(recent)
	appendsFail := len(p.sent) > 0 && m.now.MonoMS-p.sentMS >= yieldAfter && (p.refused || !m.appendIsSlow())
	staleForMS := m.tableStaleForMS()
	if !appendsFail && staleForMS < yieldAfter || m.now.MonoMS-m.term.lastYieldMS < interval {
		return
	}
	others := m.successors()
	if powerful := powerfulOf(others); m.term.yieldCount < powerfulRounds*len(powerful) {
		others = powerful
	}
	if len(others) == 0 {
		return
	}
	to := others[m.term.yieldCount%len(others)]
	m.term.yieldCount++
	m.term.lastYieldMS = m.now.MonoMS
	m.event("TermYielded", "Term", m.term.number, "To", to.Name, "AppendSentAgoMS", m.now.MonoMS-p.sentMS, "TableAgeMS", m.now.MonoMS-m.tableAsOfMS, "RecentTerms", recent, "OrdersInFlight", m.orders.InFlight())
	m.emit(YieldCmd{Term: m.term.number, To: to.Name, Address: to.Address})
}

// powerfulRounds is how often a holder that can't append asks each powerful instance
// before it asks the others too: in an outage for all instances, whichever is asked first
// after its end would otherwise take over.
const powerfulRounds = 2

// successors lists the candidates for the term that have not just lost it.
func (m *Model) successors() []reducer.Instance {
	return slices.DeleteFunc(m.termCandidates(), func(i reducer.Instance) bool {
		lostMS, lost := m.lostTermMS[i.Name]
		return lost && m.now.MonoMS-lostMS < recentTermMS
	})
}

// powerfulOf returns those of the candidates, the most powerful first, that have at least
// half of the power of the first one.
func powerfulOf(candidates []reducer.Instance) []reducer.Instance {
	for n, i := range candidates {
		if 2*i.Power < candidates[0].Power {
			return candidates[:n]
		}
	}
	return candidates
}

// offerTermIfWeak asks the powerful instances in turn to take over from a holder with less
// than half of their power. Such a one may get the term while they are out of reach.
func (m *Model) offerTermIfWeak() {
	if m.now.MonoMS-m.term.takenOverMS < offerIntervalMS || m.now.MonoMS-m.term.lastYieldMS < offerIntervalMS {
		return
	}
	powerful := powerfulOf(m.successors())
	if len(powerful) == 0 || 2*m.cfg.Power >= powerful[0].Power {
		return
	}
	m.offerTerm(powerful)
}

// offerTerm asks the next of the given instances to take over.
func (m *Model) offerTerm(powerful []reducer.Instance, reason ...any) {
	to := powerful[m.term.offers%len(powerful)]
	m.term.offers++
	m.term.lastYieldMS = m.now.MonoMS
	m.event("TermOffered", append([]any{"Term", m.term.number, "To", to.Name, "Power", m.cfg.Power, "ItsPower", to.Power}, reason...)...)
	m.emit(YieldCmd{Term: m.term.number, To: to.Name, Address: to.Address})
}

// yieldTimes returns the time without a successful append after which this holder first
// asks another instance to take over, and the pause before it asks the next one. If
// appends fail at once, the platform may serve other instances; otherwise the ledger may
// only be slow, for every holder.
func (m *Model) yieldTimes(recentTerms int) (after, interval int64) {
	if m.proposer.refused {
		if m.term.yieldCount < fastYields {
			return refusedYieldAfterMS, refusedYieldIntervalMS
		}
		return refusedYieldAfterMS, yieldIntervalMS
	}
	return yieldAfterMS << min(max(recentTerms-1, 0), maxYieldShift), yieldIntervalMS
}

// releaseTerm hands the term over once all earlier decisions are durable, and stops
// making new ones. The same record names the successor, so that no instance has to claim
// the term.
func (m *Model) releaseTerm() {
	if m.shuttingDown {
		return
	}
	m.shuttingDown = true
	m.refuseHeldStores()
	if !m.term.active {
		return
	}
	m.orders.Clear()
	m.recordSettledUnits()
	c := m.termCandidates()
	if len(c) == 0 || c[0].Holder == "" {
		m.event("TermReleased", "Term", m.term.number)
		m.propose(reducer.TermRecord(reducer.Term{Number: m.term.number, Holder: m.cfg.Holder, Released: true, Recent: m.recentTermAges()}), func(m *Model) { m.stepDown("released") })
		return
	}
	m.term.handover = &reducer.Term{Number: m.term.number + 1, Holder: c[0].Holder, Recent: m.recentTermAges()}
	m.event("TermHandedOver", "Term", m.term.number, "To", c[0].Holder)
	m.onceDurable(func(m *Model) { m.claimForSuccessor() })
}

// claimForSuccessor claims the next term in the name of the successor. Like any claim, it
// is the only record of its term's beginning, whoever else claims that term meanwhile.
func (m *Model) claimForSuccessor() {
	m.term.handoverSentMS = m.now.MonoMS
	m.emit(ClaimCmd{Term: *m.term.handover, SendByWallMS: m.now.WallMS + maxSendDelayMS})
}

// handleHandedOver ends the term once the successor's claim is stored.
func (m *Model) handleHandedOver(msg ClaimedMsg) {
	if msg.Err != "" || !m.term.active {
		return
	}
	m.stepDown("handed over")
}

// retryHandover repeats the claim for the successor while it has no answer. A claim is
// stored only once.
func (m *Model) retryHandover() {
	if m.term.handoverSentMS > 0 && m.term.active && m.now.MonoMS-m.term.handoverSentMS >= claimRetryMS {
		m.claimForSuccessor()
	}
}

// tableFresh reports whether the table is recent enough to start tasks. With an older
// table, a cancellation may have been recorded since.
func (m *Model) tableFresh() bool { return m.now.MonoMS-m.tableAsOfMS <= maxTableAgeMS }

// listFresh reports whether the list of workers is recent enough to start tasks. With an
// older list, workers may have shrunk since.
func (m *Model) listFresh() bool { return m.now.MonoMS-m.listAsOfMS <= maxListAgeMS }

// tableStaleForMS returns for how long the table has been found too old to start tasks. It
// counts from the first tick after that, since a jump of the clock ages the table at once.
func (m *Model) tableStaleForMS() int64 {
	switch {
	case m.tableFresh():
		m.term.staleSinceMS = 0
		return 0
	case m.term.staleSinceMS == 0:
		m.term.staleSinceMS = m.now.MonoMS
	}
	return m.now.MonoMS - m.term.staleSinceMS
}

// termConfirmed reports whether the ledger has confirmed the term recently enough to
// extend leases.
func (m *Model) termConfirmed() bool {
	return m.now.MonoMS-max(m.tableAsOfMS, m.proposer.confirmedMS) <= maxConfirmationAgeMS
}

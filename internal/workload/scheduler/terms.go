package scheduler

import (
	"cmp"
	"slices"

	"daisyhead/internal/workload/tabulator"
)

// terms is what the model knows of who decides.
type terms struct {
	// active is set while this process holds the term and has taken over.
	active bool
	// number is the term that this process holds.
	number uint64
	// silentSinceMS is when the holder last gave a sign, or when the ledger
	// became readable again.
	silentSinceMS int64
	claiming      bool
	// claimAgainMS is when the next claim may be sent.
	claimAgainMS int64
	// takenMS is when the term was taken over.
	takenMS int64
	// yielded is the term whose holder has asked this instance to take over.
	yielded uint64
	// yieldMS is when the holder last asked another instance to take over, and
	// yields how many it has asked since its last append.
	yieldMS int64
	yields  int

	renewedMS int64
	renewals  uint64
}

// watchTerm claims the term when its holder has fallen silent.
func (m *Model) watchTerm() {
	if !m.loaded || m.leaving || m.holds() || m.terms.claiming {
		return
	}
	if m.at.MonoMS-m.freshMS > silenceMS/2 || m.at.MonoMS < m.terms.claimAgainMS {
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
	silent := m.at.MonoMS - m.terms.silentSinceMS
	delay := m.rank() * rankDelayMS
	switch {
	case t.Number == 0:
		return "no term yet", silent >= delay
	case t.Number == m.terms.yielded:
		return "asked by " + t.Holder, true
	case t.Released:
		return "released by " + t.Holder, silent >= delay
	case instanceOf(t.Holder) == m.cfg.Instance:
		// Instances that saw the term begin know for how long a worker has been out
		// of reach; a new process has to count from its start.
		return "held by an earlier process of this instance", len(m.Table.Unheard) == 0 || silent >= rejoinMS
	}
	return "silence of " + t.Holder, silent >= silenceMS+delay
}

// rank is this instance's place among those that may claim. An instance that is
// not recorded yet comes last.
func (m *Model) rank() int64 {
	names := m.candidatesForTerm()
	for i, n := range names {
		if n.Name == m.cfg.Instance {
			return int64(min(i, maxRank))
		}
	}
	return int64(min(len(names), maxRank))
}

// frontRanks is how many instances stay ready to decide next.
const frontRanks = 5

// Rear reports whether several instances would decide before this one.
func (m *Model) Rear() bool { return m.rank() >= frontRanks }

// candidatesForTerm lists the instances but the holder: the most powerful
// first, and those that were started last, which are the surest to be there.
func (m *Model) candidatesForTerm() []tabulator.Instance {
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

// maxRank bounds the delay of the last instance that may claim.
const maxRank = 8

func (m *Model) claim(reason string) {
	m.terms.claiming = true
	t := tabulator.Term{Number: m.Table.Term.Number + 1, Holder: m.cfg.Holder}
	m.event("TermClaimSent", "Term", t.Number, "Reason", reason, "Offset", m.Table.Next)
	m.emit(ClaimCmd{At: m.Table.Next, Term: t})
}

// finishClaim reads on: only the fold tells who holds the term.
func (m *Model) finishClaim(msg ClaimedMsg) {
	pause := int64(claimPauseMS)
	if msg.Moved {
		pause = movedPauseMS
	}
	m.terms.claiming, m.terms.claimAgainMS = false, m.at.MonoMS+pause
	if msg.Err != "" {
		m.event("TermClaimFailed", "Error", msg.Err)
	}
	m.emit(ReadCmd{})
}

func (m *Model) holds() bool { return m.Table.Term.Holder == m.cfg.Holder }

// HolderAddress returns where the holder's peers reach it, or "" if nobody
// decides.
func (m *Model) HolderAddress() string {
	if m.Table.Term.Released {
		return ""
	}
	return m.Table.Instances[instanceOf(m.Table.Term.Holder)].Address
}

// followTerm takes over when this process has become the holder, and steps down
// when another has.
func (m *Model) followTerm() {
	m.noteTerm()
	switch {
	case m.holds() && !m.terms.active && !m.leaving && m.terms.number < m.Table.Term.Number:
		m.takeOver()
	case !m.holds() && m.terms.active:
		m.stepDown("term " + m.Table.Term.Holder + " was recorded")
	}
}

func (m *Model) takeOver() {
	m.terms.active, m.terms.number = true, m.Table.Term.Number
	m.terms.takenMS, m.terms.renewedMS, m.terms.renewals, m.terms.yields = m.at.MonoMS, m.at.MonoMS, 0, 0
	m.proposer = proposer{sequence: 1}
	m.workers, m.fleet, m.jobs, m.order, m.bookings, m.ended = map[string]*worker{}, nil, map[string]*job{}, nil, nil, nil
	m.unsettled = map[string]*outcome{}
	m.event("TermTaken", "Term", m.terms.number, "Offset", m.Table.Next, "Jobs", len(m.Table.Jobs))
	m.emit(FollowWorkersCmd{On: true})
	m.syncJobs()
	m.endWitnessed()
	m.dirty = true
}

func (m *Model) stepDown(reason string) {
	m.terms.active = false
	m.workers, m.fleet, m.jobs, m.order, m.bookings = map[string]*worker{}, nil, map[string]*job{}, nil, nil
	m.unsettled = map[string]*outcome{}
	m.proposer = proposer{}
	m.abandonStoring()
	m.event("TermLost", "Term", m.terms.number, "Reason", reason)
	m.emit(FollowWorkersCmd{On: false})
	m.emit(ReadCmd{})
}

func (m *Model) renewTerm() {
	if m.at.MonoMS-m.terms.renewedMS < renewMS {
		return
	}
	m.terms.renewedMS = m.at.MonoMS
	m.terms.renewals++
	m.propose(tabulator.TermRecord(tabulator.Term{Number: m.terms.number, Holder: m.cfg.Holder, Renewals: m.terms.renewals}))
}

// yield asks the other instances in turn to take over while this one can't write
// to the ledger. If none of them can read it either, nothing changes.
func (m *Model) yield() {
	p := &m.proposer
	if len(p.sent) == 0 || m.at.MonoMS-p.sentMS < yieldAfterMS || m.at.MonoMS-m.terms.yieldMS < yieldPauseMS {
		return
	}
	others := m.candidatesForTerm()
	if len(others) == 0 {
		return
	}
	to := others[m.terms.yields%len(others)]
	m.terms.yields++
	m.terms.yieldMS = m.at.MonoMS
	m.event("TermYielded", "Term", m.terms.number, "To", to.Name, "AppendSentAgoMS", m.at.MonoMS-p.sentMS)
	m.emit(YieldCmd{Term: m.terms.number, To: to.Name, Address: to.Address})
}

// leave hands the term over once all earlier decisions are recorded; nothing new
// is decided. The successor is named in the same record, so that no instance has
// to claim the term.
func (m *Model) leave() {
	if m.leaving {
		return
	}
	m.leaving = true
	if !m.terms.active {
		return
	}
	next := tabulator.Term{Number: m.terms.number, Holder: m.cfg.Holder, Released: true}
	if c := m.candidatesForTerm(); len(c) > 0 && c[0].Holder != "" {
		next = tabulator.Term{Number: m.terms.number + 1, Holder: c[0].Holder}
	}
	m.propose(tabulator.TermRecord(next), func(m *Model) { m.stepDown("handed over") })
	m.event("TermHandedOver", "Term", m.terms.number, "To", next.Holder)
}

// fresh reports whether the ledger has been read recently enough to start
// tasks: a cancellation may have been recorded since.
func (m *Model) fresh() bool { return m.at.MonoMS-m.freshMS <= startFreshMS }

// sure reports whether the ledger has confirmed the term recently enough to
// extend leases.
func (m *Model) sure() bool {
	return m.at.MonoMS-max(m.freshMS, m.proposer.confirmedMS) <= blindMS
}

func instanceOf(holder string) string {
	for i := len(holder) - 1; i >= 0; i-- {
		if holder[i] == '/' {
			return holder[:i]
		}
	}
	return holder
}

package decider

import (
	"fmt"
	"slices"

	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/ledger/reducer"
)

// claimStaggerMS is the delay between the claims of instances, by rank, so that they
// don't all claim the term at once.
const claimStaggerMS = 400

func configKey(offset uint64) string { return fmt.Sprintf("config/%d", offset) }

// handleTermChange resets the state that belongs to a term when the term has changed.
func (m *Model) handleTermChange() {
	if m.handledTerm == m.state.Term {
		return
	}
	if m.handledHolder != "" && m.handledHolder != m.state.Holder {
		m.formerHolders[reducer.InstanceName(m.handledHolder)] = m.now.MonoMS
	}
	m.handledTerm, m.handledHolder = m.state.Term, m.state.Holder
	m.lastHolderRecordMS = m.now.MonoMS
	m.pendingGangs, m.preemptionHolds = map[string]*pendingGang{}, nil
	m.activeAttempts = map[string]activeAttempt{}
	if !m.isHolder() {
		return
	}
	m.holderSinceMS = m.now.MonoMS
	m.plannedThisTerm = false
	for _, w := range m.workers {
		w.resetForTerm(m.now.MonoMS + m.cfg.LostAfterMS)
	}
}

// claimTerm claims the next term when the holder is lost. The rank of the instances
// only avoids needless claims: if several claim a term, the first record wins.
func (m *Model) claimTerm() {
	if m.isHolder() || m.shuttingDown || !m.stateIsFresh() {
		return
	}
	reason, lost := m.holderLost()
	if !lost {
		return
	}
	rank := int64(m.claimRank())
	if m.now.MonoMS-m.lastHolderRecordMS < rank*claimStaggerMS {
		return
	}
	key := fmt.Sprintf("term/%d", m.state.Term+1)
	if m.proposalsInFlight[key] {
		return
	}
	m.proposalsInFlight[key] = true
	claim := &encoder.TermClaimed{Term: m.state.Term + 1, Holder: m.cfg.Writer, Reason: reason}
	m.emit(ProposeCmd{Keys: []string{key}, Entries: []encoder.Entry{{At: m.now.WallMS, TermClaimed: claim}}})
}

// silentPeerExpiryMS is how long the holder keeps renewing its term in the ledger because an
// instance is silent. It is also how long an instance that is no member stays in peers
// after its last heartbeat.
const silentPeerExpiryMS = 10 * 60 * 1000

// renewTerm renews the term in the ledger while there may be an instance that reads
// the ledger but receives no heartbeats from the holder. Without renewals, two such
// instances would keep taking the term from each other.
func (m *Model) renewTerm() {
	if !m.mayDecide() || m.now.MonoMS-m.lastTermRenewalMS < m.cfg.HolderTimeoutMS/2 || !m.mayHaveUnreachableInstance() {
		return
	}
	m.lastTermRenewalMS = m.now.MonoMS
	m.propose("renew", encoder.Entry{TermRenewed: &encoder.TermRenewed{}})
}

// prunePeers removes instances that have been silent for silentPeerExpiryMS, unless they
// are still members.
func (m *Model) prunePeers() {
	for name, p := range m.peers {
		if m.now.MonoMS-p.lastHeardMS > silentPeerExpiryMS && !m.state.IsMember(name) {
			delete(m.peers, name)
		}
	}
}

// mayHaveUnreachableInstance reports whether an instance that may be running is silent to
// this holder: such an instance may not receive the holder's heartbeats either. It also
// removes former holders that are heard again or lost their term too long ago.
func (m *Model) mayHaveUnreachableInstance() bool {
	for name, p := range m.peers {
		if silent := m.now.MonoMS - p.lastHeardMS; silent > m.cfg.HolderTimeoutMS/2 && silent < silentPeerExpiryMS && !p.Drained {
			return true
		}
		if m.now.MonoMS-p.lastHeardMS <= m.cfg.HolderTimeoutMS/2 {
			delete(m.formerHolders, name)
		}
	}
	for name, since := range m.formerHolders {
		if m.now.MonoMS-since > silentPeerExpiryMS || name == m.cfg.Name {
			delete(m.formerHolders, name)
		}
	}
	return len(m.formerHolders) > 0
}

// holderLost reports whether the term's holder is gone, and the reason to record.
func (m *Model) holderLost() (reason string, lost bool) {
	holder := m.state.Holder
	if holder == "" {
		return "no holder yet", true
	}
	p, ok := m.peers[reducer.InstanceName(holder)]
	switch {
	case ok && p.Writer == holder && p.Leaving:
		return holder + " is leaving", true
	case ok && p.Writer != holder:
		return holder + " was replaced by " + p.Writer, true
	case reducer.InstanceName(holder) == m.cfg.Name:
		return holder + " was an earlier process of this instance", true
	}
	lastHeardMS := m.lastHolderRecordMS
	if ok {
		lastHeardMS = max(lastHeardMS, p.lastHeardMS)
	}
	if silent := m.now.MonoMS - lastHeardMS; silent > m.cfg.HolderTimeoutMS {
		return fmt.Sprintf("%s is silent for %d ms", holder, silent), true
	}
	return "", false
}

// claimRank returns the number of ready instances that precede this one by name. Those
// claim a lost term first.
func (m *Model) claimRank() int {
	rank := 0
	for name, p := range m.peers {
		if name < m.cfg.Name && p.Ready && !p.Leaving && m.now.MonoMS-p.lastHeardMS <= m.cfg.HolderTimeoutMS {
			rank++
		}
	}
	return rank
}

// proposeMembers proposes the set of instances that share the minions' limits, if it has
// changed. A leaving instance remains a member until it is drained.
func (m *Model) proposeMembers() {
	if !m.mayDecide() {
		return
	}
	want := []string{m.cfg.Name}
	for name, p := range m.peers {
		silent := m.now.MonoMS - p.lastHeardMS
		stays := m.state.IsMember(name) && silent <= m.cfg.MemberTimeoutMS
		joins := p.Ready && silent <= m.cfg.HolderTimeoutMS
		if name != m.cfg.Name && !p.Drained && (stays || (joins && !p.Leaving)) {
			want = append(want, name)
		}
	}
	// After a change of holder, members that have sent no heartbeat yet are kept for
	// MemberTimeoutMS.
	for _, name := range m.state.Members {
		if _, heard := m.peers[name]; !heard && m.now.MonoMS-m.holderSinceMS <= m.cfg.MemberTimeoutMS {
			want = append(want, name)
		}
	}
	slices.Sort(want)
	want = slices.Compact(want)
	if slices.Equal(want, m.state.Members) {
		return
	}
	m.propose(fmt.Sprintf("epoch/%d", m.state.Epoch+1), encoder.Entry{
		MembersChanged: &encoder.MembersChanged{Epoch: m.state.Epoch + 1, Members: want},
	})
}

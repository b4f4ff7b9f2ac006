package decider

import (
	"fmt"
	"slices"

	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/ledger/reducer"
)

// claimStaggerMS separates the claims of instances that notice the same loss.
const claimStaggerMS = 400

func configKey(offset uint64) string { return fmt.Sprintf("config/%d", offset) }

// followTerm resets what belongs to a term when this process gains or loses it.
func (m *Model) followTerm() {
	if m.termSeen == m.state.Term {
		return
	}
	if m.holderName != "" && m.holderName != m.state.Holder {
		m.suspects[reducer.InstanceName(m.holderName)] = m.at.MonoMS
	}
	m.termSeen, m.holderName = m.state.Term, m.state.Holder
	m.holderSeenMS = m.at.MonoMS
	m.pending, m.clearing = map[string]*pending{}, nil
	m.seen = map[string]seenAttempt{}
	if !m.holds() {
		return
	}
	m.holderSince = m.at.MonoMS
	m.planned = false
	for _, w := range m.workers {
		w.resetForTerm(m.at.MonoMS + m.cfg.LostAfterMS)
	}
}

// claimTerm takes the term over when its holder is gone. Which instance does
// so is a matter of speed only: the fold lets one claim win.
func (m *Model) claimTerm() {
	if m.holds() || m.leaving || !m.fresh() {
		return
	}
	reason, gone := m.holderGone()
	if !gone {
		return
	}
	rank := int64(m.candidateRank())
	if m.at.MonoMS-m.holderSeenMS < rank*claimStaggerMS {
		return
	}
	key := fmt.Sprintf("term/%d", m.state.Term+1)
	if m.proposed[key] {
		return
	}
	m.proposed[key] = true
	claim := &encoder.TermClaimed{Term: m.state.Term + 1, Holder: m.cfg.Writer, Reason: reason}
	m.emit(ProposeCmd{Keys: []string{key}, Entries: []encoder.Entry{{At: m.at.WallMS, TermClaimed: claim}}})
}

// suspectMS is how long after an instance fell silent the holder still shows
// in the ledger that it lives.
const suspectMS = 10 * 60 * 1000

// renewTerm shows in the ledger that the holder lives, as long as there may be
// an instance that can read the ledger but doesn't hear the holder. Without it,
// two such instances would take the term from each other again and again.
func (m *Model) renewTerm() {
	if !m.mayDecide() || m.at.MonoMS-m.lastRenewMS < m.cfg.HolderTimeoutMS/2 || !m.hasSuspects() {
		return
	}
	m.lastRenewMS = m.at.MonoMS
	m.propose("renew", encoder.Entry{TermRenewed: &encoder.TermRenewed{}})
}

// forgetPeers drops instances that have been silent for long, unless they are
// members still.
func (m *Model) forgetPeers() {
	for name, p := range m.peers {
		if m.at.MonoMS-p.heardMS > suspectMS && !m.state.IsMember(name) {
			delete(m.peers, name)
		}
	}
}

func (m *Model) hasSuspects() bool {
	for name, p := range m.peers {
		if silent := m.at.MonoMS - p.heardMS; silent > m.cfg.HolderTimeoutMS/2 && silent < suspectMS && !p.Drained {
			return true
		}
		if m.at.MonoMS-p.heardMS <= m.cfg.HolderTimeoutMS/2 {
			delete(m.suspects, name)
		}
	}
	for name, since := range m.suspects {
		if m.at.MonoMS-since > suspectMS || name == m.cfg.Name {
			delete(m.suspects, name)
		}
	}
	return len(m.suspects) > 0
}

func (m *Model) holderGone() (reason string, gone bool) {
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
	heard := m.holderSeenMS
	if ok {
		heard = max(heard, p.heardMS)
	}
	if silent := m.at.MonoMS - heard; silent > m.cfg.HolderTimeoutMS {
		return fmt.Sprintf("%s is silent for %d ms", holder, silent), true
	}
	return "", false
}

// candidateRank is this instance's place among those that could claim.
func (m *Model) candidateRank() int {
	rank := 0
	for name, p := range m.peers {
		if name < m.cfg.Name && p.Ready && !p.Leaving && m.at.MonoMS-p.heardMS <= m.cfg.HolderTimeoutMS {
			rank++
		}
	}
	return rank
}

// changeMembers proposes the set of instances that share the minions' limits.
// A leaving instance keeps its share until it is drained.
func (m *Model) changeMembers() {
	if !m.mayDecide() {
		return
	}
	want := []string{m.cfg.Name}
	for name, p := range m.peers {
		silent := m.at.MonoMS - p.heardMS
		stays := m.state.IsMember(name) && silent <= m.cfg.MemberTimeoutMS
		joins := p.Ready && silent <= m.cfg.HolderTimeoutMS
		if name != m.cfg.Name && !p.Drained && (stays || (joins && !p.Leaving)) {
			want = append(want, name)
		}
	}
	// After a change of holder, members that were not heard yet get their time.
	for _, name := range m.state.Members {
		if _, heard := m.peers[name]; !heard && m.at.MonoMS-m.holderSince <= m.cfg.MemberTimeoutMS {
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

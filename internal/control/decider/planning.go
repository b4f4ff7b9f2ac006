package decider

import (
	"daisyhead/internal/control/planner"
	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/ledger/reducer"
)

// idlePlanIntervalMS is the interval between planning passes when nothing has changed.
const idlePlanIntervalMS = 2000

// holderSettleMS is how long a new holder collects worker replies before its first
// planning pass.
const holderSettleMS = 300

// planIfDue runs a planning pass if one is due.
func (m *Model) planIfDue() {
	since := m.now.MonoMS - m.lastPlanMS
	if !m.mayDecide() || m.now.MonoMS-m.holderSinceMS < holderSettleMS {
		return
	}
	if m.plannedThisTerm && (since < m.cfg.PlanMS || (!m.planNeeded && since < idlePlanIntervalMS)) {
		return
	}
	decision := planner.Plan(m.planInput())
	m.preemptionHolds = decision.Holds
	m.plannedThisTerm, m.planNeeded, m.lastPlanMS, m.plannedRevision = true, false, m.now.MonoMS, m.state.Revision
	m.planCount++
	m.applyDecision(decision)
}

// planInput returns the input of a planning pass. Impossible jobs are refused only after
// the state's revision has changed.
func (m *Model) planInput() planner.Input {
	in := planner.Input{
		State: m.state, NowMS: m.now.WallMS, Ready: make(map[string]bool, len(m.workers)),
		Pending:          make(map[string]planner.Assignment, len(m.pendingGangs)),
		RefuseImpossible: m.plannedRevision != m.state.Revision,
	}
	for name, w := range m.workers {
		in.Ready[name] = m.isResponsive(w) && m.now.MonoMS >= w.avoidUntilMS
	}
	in.Holds = m.preemptionHolds
	for id, p := range m.pendingGangs {
		in.Pending[id] = planner.Assignment{Claim: p.start.Claim, Placements: p.start.Placements}
	}
	return in
}

// applyDecision proposes the refusals, stops and wait reasons, and reserves the workers
// of the gangs to start.
func (m *Model) applyDecision(d planner.Decision) {
	for _, r := range d.Refusals {
		m.propose("refuse/"+r.Job, encoder.Entry{JobRefused: &encoder.JobRefused{ID: r.Job, Reason: r.Reason}})
	}
	for _, s := range d.Stops {
		if j := m.state.Jobs[s.Job]; j != nil && j.ActiveAttempt() != nil {
			m.requestStop(j, j.ActiveAttempt(), s.Cause, s.Reason)
		}
	}
	for _, w := range d.WaitReasons {
		m.propose("note/"+w.Job, encoder.Entry{JobNoted: &encoder.JobNoted{ID: w.Job, Reason: w.Reason}})
	}
	for _, s := range d.Starts {
		if j := m.state.Jobs[s.Job]; j.Status == reducer.JobWaiting && !m.proposalsInFlight["refuse/"+s.Job] {
			m.reserveGang(s)
		}
	}
}

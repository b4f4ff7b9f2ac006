package decider

import (
	"daisyhead/internal/control/planner"
	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/ledger/reducer"
)

// idlePlanMS is the interval of decision passes when nothing has changed.
const idlePlanMS = 2000

// settleMS is how long a new holder listens to the workers before it decides.
const settleMS = 300

// plan makes a decision pass when one is due.
func (m *Model) plan() {
	since := m.at.MonoMS - m.lastPlanMS
	if !m.mayDecide() || m.at.MonoMS-m.holderSince < settleMS {
		return
	}
	if m.planned && (since < m.cfg.PlanMS || (!m.dirty && since < idlePlanMS)) {
		return
	}
	decision := planner.Plan(m.planInput())
	m.clearing = decision.Holds
	m.planned, m.dirty, m.lastPlanMS, m.plannedRev = true, false, m.at.MonoMS, m.state.Revision
	m.plans++
	m.carryOut(decision)
}

func (m *Model) planInput() planner.Input {
	in := planner.Input{
		State: m.state, NowMS: m.at.WallMS, Ready: make(map[string]bool, len(m.workers)),
		Pending: make(map[string]planner.Pending, len(m.pending)),
		Recheck: m.plannedRev != m.state.Revision,
	}
	for name, w := range m.workers {
		in.Ready[name] = m.answers(w) && m.at.MonoMS >= w.avoidMS
	}
	in.Holds = m.clearing
	for id, p := range m.pending {
		in.Pending[id] = planner.Pending{Claim: p.start.Claim, Placements: p.start.Placements}
	}
	return in
}

func (m *Model) carryOut(d planner.Decision) {
	for _, r := range d.Refusals {
		m.propose("refuse/"+r.Job, encoder.Entry{JobRefused: &encoder.JobRefused{ID: r.Job, Reason: r.Reason}})
	}
	for _, s := range d.Stops {
		if j := m.state.Jobs[s.Job]; j != nil && j.Active() != nil {
			m.requestStop(j, j.Active(), s.Cause, s.Reason)
		}
	}
	for _, n := range d.Notes {
		m.propose("note/"+n.Job, encoder.Entry{JobNoted: &encoder.JobNoted{ID: n.Job, Reason: n.Reason}})
	}
	for _, s := range d.Starts {
		if j := m.state.Jobs[s.Job]; j.Status == reducer.JobWaiting && !m.proposed["refuse/"+s.Job] {
			m.reserve(s)
		}
	}
}

package scheduler

import (
	"slices"

	"daisyhead/internal/workload/packer"
)

// relaxation is how much a placement may deviate from what the scheduler prefers; 0 is not
// at all.
type relaxation int

const (
	_ relaxation = iota
	// relaxPreferences ignores racks, the headroom for urgent work, and the unit's own
	// failures.
	relaxPreferences
	// relaxQuarantine also uses workers in quarantine.
	relaxQuarantine
	relaxations
)

// String returns the name of the relaxation in the log.
func (r relaxation) String() string {
	return [...]string{"None", "Preferences", "Quarantine"}[r]
}

// relaxAfterMS is how long a unit waits although it could be placed with the relaxation.
// All are less than the 3 s in which the platform requires that work starts which fits,
// with time for a pass and a start.
var relaxAfterMS = [relaxations]int64{relaxPreferences: 2000, relaxQuarantine: 2200}

const (
	// relaxIntervalMS is the pause between two looks at a step, relaxesPerPass how many
	// steps a pass looks at.
	relaxIntervalMS = 200
	relaxesPerPass  = 20
)

// maxGapMS is the longest interruption of a period: other units may take the place for as
// long as they fail.
const maxGapMS = 3 * relaxIntervalMS

// period is a time in which something was observed again and again.
type period struct{ sinceMS, lastMS int64 }

// extend extends the period to the current time, or begins a new one.
func (p *period) extend(nowMS int64) {
	if p.sinceMS == 0 || nowMS-p.lastMS > maxGapMS {
		p.sinceMS = nowMS
	}
	p.lastMS = nowMS
}

// urgentPauseMS is the time without a new urgent job after which the headroom may be used
// although the accelerators are not idle. Like relaxAfterMS, it is less than 3 s.
const urgentPauseMS = 2600

const (
	// retryPenalty is the placement cost, in core-milliseconds, of a worker on which the
	// unit itself has failed. It exceeds the one for failures of others.
	retryPenalty = 2 * failurePenalty
	// quarantinePenalty is that of a worker in quarantine.
	quarantinePenalty = 2 * retryPenalty
	// keptPenalty is that of a worker with capacity that is kept for a gang.
	keptPenalty = 2 * quarantinePenalty
)

// mayRelax reports whether units of the shape may be placed against their preferences.
// In a busy service that would take capacity from others: a gang that is spread over
// racks holds its workers for longer. Perpetual tasks must run in any case.
func (p *plan) mayRelax(s requestShape) bool {
	return s.perpetual || p.mostlyIdle(s.service)
}

// relaxDue reports whether this pass is to look for a place of the step's units without
// their preferences.
func (m *Model) relaxDue(p *plan, s *step, shape requestShape) bool {
	if !p.mayRelax(shape) {
		return false
	}
	return s.relaxTriedMS == m.now.MonoMS || p.relaxBudget > 0 && m.now.MonoMS-s.relaxTriedMS >= relaxIntervalMS
}

// placeRelaxed returns places for a unit that fits only with a relaxation, once it has
// waited long enough for that.
func (m *Model) placeRelaxed(p *plan, c candidate, u *unit, shape requestShape) (places []int, ok bool) {
	s := c.step
	if !m.relaxDue(p, s, shape) {
		return nil, false
	}
	shape.request.SameRack = false
	fits := false
	for level := relaxPreferences; level < relaxations; level++ {
		shape.relaxation = level
		if !fits && p.canHold(shape) {
			p.relaxBudget--
			s.relaxTriedMS = m.now.MonoMS
			places, ok, fits = m.tryRelaxed(p, c, u, shape)
		}
		if fits {
			s.relaxable[level].extend(m.now.MonoMS)
			if !ok {
				// The permits come before the next pass.
				s.relaxTriedMS = m.now.MonoMS - relaxIntervalMS
			}
		}
		// The time since the unit's last end keeps one that fails at once from being
		// started again and again.
		waitedMS := m.now.MonoMS - max(s.relaxable[level].sinceMS, u.stateSinceMS)
		if ok && waitedMS >= relaxAfterMS[level] && m.headroomSpared(p, shape) && m.backfillsSpared(p, c, places) {
			m.event("UnitRelaxed", "Job", u.id.Job, "Unit", u.id.String(), "Relaxation", level.String(), "WaitedMS", waitedMS)
			return places, true
		}
	}
	return nil, false
}

// headroomSpared reports whether the shape may take capacity that urgent work could need:
// while that keeps coming, only if there are accelerators enough.
func (m *Model) headroomSpared(p *plan, s requestShape) bool {
	return s.urgent || s.perpetual || m.now.MonoMS-m.urgentSeenMS >= urgentPauseMS || p.acceleratorsIdle(s.service)
}

// tryRelaxed returns places for a unit with a relaxation. Fits is set as well if only
// permits are missing, which are requested. Unless the unit is perpetual, it has to leave
// as much capacity free as it takes, so that it doesn't use up the headroom.
func (m *Model) tryRelaxed(p *plan, c candidate, u *unit, shape requestShape) (places []int, ok, fits bool) {
	nodes := m.relaxedNodes(p, c, u, shape.relaxation)
	needed := shape.request
	if !shape.perpetual {
		needed.Count *= 2
	}
	if _, fits = packer.Place(m.closeRefused(p, c, nodes), needed); fits {
		apart := m.isolate(p, nodes, u, shape.urgent)
		places, ok = packer.Place(m.restrictToPermitted(p, c, apart, shape.request), shape.request)
	}
	if !fits && shape.appliesToAllSteps(u.step.spec, c.queue.Advised) {
		p.unplaceable[shape] = true
	}
	return places, ok, fits
}

// relaxedNodes returns the nodes as the step sees them with the relaxation. The workers on
// which the unit has failed, those with work that has to stop for it, those in quarantine
// and those with capacity that is kept for a gang are its last choice.
func (m *Model) relaxedNodes(p *plan, c candidate, u *unit, level relaxation) []packer.Node {
	nodes := slices.Clone(p.nodes)
	for _, id := range u.failedOn {
		if i, ok := p.index[m.workers[id]]; ok {
			nodes[i].Cost += retryPenalty
		}
	}
	for i := range m.keptFrom(p, c.step, c.queue) {
		nodes[i].Cost += keptPenalty
	}
	if level >= relaxQuarantine {
		for _, i := range p.quarantined {
			nodes[i].Closed = false
			nodes[i].Cost += quarantinePenalty
		}
	}
	if !servesUsers(c.step.spec) {
		return m.restrictNodes(p, nodes, c.step, c.queue)
	}
	relaxed := m.restrictNodes(p, nodes, c.step, c.queue)
	for i, w := range p.workers {
		if yielding := m.yieldingUnits(c.step, w); len(yielding) > 0 && w.Service == c.queue.Service {
			relaxed[i].Closed = nodes[i].Closed
			for _, y := range yielding {
				relaxed[i].Cost += m.unitLoss(y)
			}
		}
	}
	return relaxed
}

// yieldingUnits returns the units on the worker that use idle processor time and would
// disturb the step, or nil if some of them must not be stopped.
func (m *Model) yieldingUnits(s *step, w *worker) (units []*unit) {
	for _, r := range w.runs.list {
		if r.unit == nil || !interferes(s.spec, r.unit.step.spec) {
			continue
		}
		if r.unit.step.spec.MaxUnavailable > 0 {
			return nil
		}
		units = append(units, r.unit)
	}
	return units
}

// stopDisturbing stops the units that would disturb the step's tasks on its workers.
func (m *Model) stopDisturbing(s *step, workers []*worker) {
	if !servesUsers(s.spec) {
		return
	}
	for _, w := range workers {
		for _, u := range m.yieldingUnits(s, w) {
			m.stopUnit(u, "tasks of job "+s.job.id+" serve users on worker "+w.ID)
		}
	}
}

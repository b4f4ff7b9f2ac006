package scheduler

import (
	"math"
	"slices"

	"daisyhead/internal/workload/calibrator"
	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/packer"
	"daisyhead/internal/workload/ranker"
)

const (
	// slowMargin is what is taken off the slowness that the stretch of an urgent queue
	// allows, in the natural logarithm: for the start and for the error of the estimate.
	slowMargin = 0.1
	// maxFasterWaitMS is the longest wait of an urgent unit for workers that are not slow
	// while slow ones are free. It is short compared with the time within which claims start.
	maxFasterWaitMS = 400
	// maxAvoidSlowMS bounds that wait if capacity is being freed for the unit: a stop and its
	// report take less.
	maxAvoidSlowMS = 1000
	// slackForSlow is how many times its remaining critical path a job has to have left so
	// that it may use slow workers: they take 1.6 times as long as ordinary ones, and the
	// estimates are rough.
	slackForSlow = 1.9
	// lateFactor times the objective is the time until which a job is of use.
	lateFactor = 3
)

// fasterWait is the time for which a waiting unit has kept off free slow workers.
type fasterWait struct {
	run     int
	sinceMS int64
}

// speedUnknown reports whether the worker may be slower or faster than its level tells.
func (m *Model) speedUnknown(w *worker) bool { return m.speeds.Spread() > 0 && !m.speeds.Known(w.ID) }

// maxSlowness returns the level above which a task of an urgent queue ends late although it
// starts at once.
func maxSlowness(q describer.Queue) int {
	return max(int(math.Floor((math.Log(max(q.Stretch, 1))-slowMargin)/calibrator.LevelWidth)), 1)
}

// speedFor returns which workers the step prefers among those of equal cost. Urgent work and
// work with little slack prefer fast ones. Other tasks leave those to them, and so do gangs if
// the workers are known to differ.
func (m *Model) speedFor(s *step, q describer.Queue) packer.Speed {
	uneven := m.speeds.Spread() > 0
	switch {
	case q.Priority == 0, s.spec.Gang && !uneven:
		return packer.FastFirst
	case uneven && !m.mayBeSlow(s, q):
		return packer.FastFirst
	}
	return packer.SlowFirst
}

// mayBeSlow reports whether the step's job is worth as much if it runs on slow workers: it has
// enough time left to its objective, or, if it can't meet that any more, to the end of its use.
func (m *Model) mayBeSlow(s *step, q describer.Queue) bool {
	j := s.job
	objectiveMS := int64(q.Stretch*float64(ranker.CriticalPathMS(j.submission.Job.Steps))) + q.ObjectiveMS
	remainingMS := remainingPathMS(s.occurrence)
	leftMS := max(j.submission.AcceptedMS, s.occurrence.dueMS) + objectiveMS - m.now.WallMS
	if leftMS < remainingMS {
		leftMS += (lateFactor - 1) * objectiveMS
	}
	return leftMS < remainingMS || float64(leftMS) >= slackForSlow*float64(remainingMS)
}

// remainingPathMS returns the critical path through the steps that are not done.
func remainingPathMS(o *occurrence) int64 {
	steps := make([]describer.Step, len(o.steps))
	for i, s := range o.steps {
		steps[i] = s.spec
		if s.unfinishedUnits == 0 {
			steps[i].EstimateMS = 0
		}
	}
	return ranker.CriticalPathMS(steps)
}

// placeOnFaster looks for places of an urgent unit on workers that are not slow. A place on a
// slow worker is the last resort: a small preemption elsewhere or a short wait is better. Done
// is set if the unit must not be placed in any other way in this pass.
func (m *Model) placeOnFaster(p *plan, open []packer.Node, c candidate, u *unit, shape requestShape) (places []int, ok, done bool) {
	limit := maxSlowness(c.queue)
	if !shape.urgent || !slices.ContainsFunc(open, func(n packer.Node) bool { return n.Slowness > limit && !n.Closed }) {
		return nil, false, false
	}
	faster := shape
	faster.request.MaxSlowness = limit
	// What is expected to end soon may not: then the slow workers are used.
	faster.certain = shape.certain || u.missedReservation
	if p.canHold(faster) {
		if places, ok = m.placeIn(p, c, m.isolate(p, open, u, true), faster); ok {
			return places, true, true
		}
	}
	_, slowFits := m.placeIn(p, c, m.isolate(p, open, u, true), shape)
	if slowFits {
		m.noteAvoidsSlow(c, u)
		if m.now.MonoMS-u.faster.sinceMS > m.maxAvoidMS() {
			return nil, false, false
		}
	}
	if u.reservation != nil {
		if slices.ContainsFunc(u.reservation.workers, func(w *worker) bool { return m.speeds.CautiousLevel(w.ID) > limit }) {
			return nil, false, false
		}
		p.reserve(u.reservation)
		return nil, false, true
	}
	if m.startsApart(p, u, true) {
		return nil, false, false
	}
	faster.smallLoss = slowFits
	if p.canHold(faster) {
		reserved, possible := m.preemptAndReserve(p, m.restrictToPermitted(p, c, open, faster.request), c, u, faster)
		if reserved {
			return nil, false, true
		}
		if !possible && faster.appliesToAllUnits(u, c.queue.Advised) {
			p.unplaceable[faster] = true
		}
	}
	return nil, false, slowFits && m.waitsForFaster(c, u)
}

// noteAvoidsSlow notes that the unit keeps off slow workers on which it could start.
func (m *Model) noteAvoidsSlow(c candidate, u *unit) {
	if u.faster.sinceMS == 0 || u.faster.run != u.record.Run {
		u.faster = fasterWait{run: u.record.Run, sinceMS: m.now.MonoMS}
		m.event("UnitAvoidsSlow", "Job", u.id.Job, "Unit", u.id.String(), "MaxLevel", maxSlowness(c.queue), "ForMS", m.maxAvoidMS())
	}
}

// maxAvoidMS is the longest time for which a unit keeps off free slow workers, also while
// capacity is being freed for it elsewhere. Claims have to begin within ReclaimMS.
func (m *Model) maxAvoidMS() int64 {
	if m.cfg.ReclaimMS > 0 {
		return min(maxAvoidSlowMS, m.cfg.ReclaimMS/2)
	}
	return maxAvoidSlowMS
}

// waitsForFaster reports whether the unit still waits for workers that are not slow. It does
// so briefly, and only while it can still end in time on them.
func (m *Model) waitsForFaster(c candidate, u *unit) bool {
	s := c.step
	j := s.job
	objectiveMS := int64(c.queue.Stretch*float64(ranker.CriticalPathMS(j.submission.Job.Steps))) + c.queue.ObjectiveMS
	latestStartMS := max(j.submission.AcceptedMS, s.occurrence.dueMS) + objectiveMS - remainingPathMS(s.occurrence)
	return m.now.WallMS < latestStartMS && m.now.MonoMS-u.faster.sinceMS < maxFasterWaitMS
}

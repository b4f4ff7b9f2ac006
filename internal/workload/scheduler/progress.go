package scheduler

import "daisyhead/internal/workload/ranker"

const (
	// slowFactor is how many times slower than before a run has to become before its
	// worker is considered slow. Slow workers of the platform take at least four times
	// as long.
	slowFactor = 3
	// minExpectedStallMS is the least time for which a stall is expected to continue:
	// such faults of the platform last several seconds. A stall that has already lasted
	// longer is expected to continue for as long again.
	minExpectedStallMS = 4000
	// moveOverheadMS is the time that moving a unit takes besides its work: a stop, a
	// ledger record and a start.
	moveOverheadMS = 600
	// urgentHoldWaitMS is the longest wait of a hold while the worker runs urgent work,
	// so that a stall is noticed before the objective of the work has passed.
	urgentHoldWaitMS = 700
)

// addProgress adds a report to the progress of its run once the whole unit is running.
func (m *Model) addProgress(r *run, p RunReport) {
	if r.unit == nil || r.unit.state != unitRunning || r.unit.step.spec.Perpetual {
		return
	}
	r.progress.AddReport(m.now.MonoMS, p.Percent)
	m.sampleGang(r.unit, false)
}

// checkProgress moves units off a worker on which they have stalled or slowed down. A
// member of a gang that has done its work and waits for the others does not count as
// stalled.
func (m *Model) checkProgress(w *worker) {
	for _, r := range w.runs.snapshot() {
		u := r.unit
		if u == nil || u.state != unitRunning || u.step.spec.Perpetual {
			continue
		}
		estimate := u.step.spec.EstimateMS
		stalled := r.progress.Stalled(estimate)
		if !stalled && !r.progress.Slow(slowFactor) {
			continue
		}
		if !m.quarantinedForSlowness(w) && !m.quarantineSlowWorker(w, r, stalled) {
			return
		}
		if m.worthMoving(u, r, stalled) {
			m.stopUnit(u, "it has stalled or slowed down on worker "+w.ID)
		}
	}
}

// quarantineSlowWorker keeps new tasks off the worker for a while. It returns false if
// too many workers are quarantined already: the cause is then likely to be in the
// reports or in the work itself.
func (m *Model) quarantineSlowWorker(w *worker, r *run, stalled bool) bool {
	if m.quarantinedCount() >= len(m.fleet)/maxQuarantinedDivisor {
		return false
	}
	w.health.slowQuarantineUntilMS = m.now.MonoMS + quarantineMS
	m.event("WorkerSluggish", "Worker", w.ID, "Job", r.ref.Unit.Job, "Unit", r.ref.Unit.String(), "Percent", r.progress.Percent(),
		"Stalled", stalled, "TotalMS", r.progress.TotalMS(r.unit.step.spec.EstimateMS), "EstimateMS", r.unit.step.spec.EstimateMS, "ForMS", quarantineMS)
	return true
}

func (m *Model) quarantinedForSlowness(w *worker) bool {
	return m.now.MonoMS < w.health.slowQuarantineUntilMS
}

// worthMoving reports whether the job's callers benefit if the unit starts again
// elsewhere. A unit that loses no work moves as soon as that lets it end earlier; any
// other only if the job then earns more credit.
func (m *Model) worthMoving(u *unit, r *run, stalled bool) bool {
	estimate := u.step.spec.EstimateMS
	repeatedMS := m.unsavedWorkMS(u)
	fullSpeedMS := r.progress.FullSpeedTotalMS(estimate)
	stayMS := r.progress.RemainingMS(m.now.MonoMS, estimate)
	if stalled {
		stayMS = fullSpeedMS - r.progress.DoneWorkMS(estimate) + max(minExpectedStallMS, r.progress.SinceProgressMS())
	}
	movedMS := fullSpeedMS - r.progress.DoneWorkMS(estimate) + repeatedMS + moveOverheadMS
	if repeatedMS == 0 {
		return movedMS < stayMS
	}
	return m.creditIfEndsIn(u.step.job, movedMS) > m.creditIfEndsIn(u.step.job, stayMS)
}

// creditIfEndsIn returns the credit of a job that ends after ms.
func (m *Model) creditIfEndsIn(j *job, ms int64) int {
	q := m.queue(j)
	return ranker.Credit(ranker.Input{
		Steps: j.submission.Job.Steps, Stretch: q.Stretch, ObjectiveMS: q.ObjectiveMS, AcceptedMS: j.submission.AcceptedMS, NowMS: m.now.WallMS + ms,
	})
}

// unsavedWorkMS is the work of the unit that a new start has to repeat.
func (m *Model) unsavedWorkMS(u *unit) (ms int64) {
	if u.step.spec.Checkpoints {
		return 0
	}
	for _, r := range u.runs {
		ms = max(ms, r.progress.DoneWorkMS(u.step.spec.EstimateMS))
	}
	return ms
}

// remainingMS is the expected remaining time of the unit, which is that of its slowest
// member.
func (m *Model) remainingMS(u *unit) (ms int64) {
	for _, r := range u.runs {
		ms = max(ms, r.progress.RemainingMS(m.now.MonoMS, u.step.spec.EstimateMS))
	}
	return ms
}

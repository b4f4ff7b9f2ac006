package scheduler

import "daisyhead/internal/workload/ranker"

const (
	// slowFactor is how much slower than before work has to be before its worker is
	// to blame: the platform's slow workers take four times as long or longer.
	slowFactor = 3
	// minExpectedStallMS is for how long work that stands still is expected to go on doing so,
	// at least: the platform's troubles of this kind last some seconds. What has stood
	// still for longer is expected to do so for as long again.
	minExpectedStallMS = 4000
	// moveOverheadMS is what a move takes beside the work: a stop, a record and a start.
	moveOverheadMS = 600
	// urgentHoldWaitMS is the longest wait of a hold while the worker runs urgent work, so
	// that a standstill shows before its objective has passed.
	urgentHoldWaitMS = 700
)

// noteProgress takes how far a run has come since its unit began to work.
func (m *Model) noteProgress(r *run, p RunReport) {
	if r.unit == nil || r.unit.state != unitRunning || r.unit.step.spec.Perpetual {
		return
	}
	r.track.Note(m.now.MonoMS, p.Percent)
}

// checkProgress moves work off a worker on which it stands still or has become slow. A
// member of a gang that waits for the others has done its own work and does not count.
func (m *Model) checkProgress(w *worker) {
	for _, r := range w.runs.snapshot() {
		u := r.unit
		if u == nil || u.state != unitRunning || u.step.spec.Perpetual {
			continue
		}
		estimate := u.step.spec.EstimateMS
		stalled := r.track.Stalled(estimate)
		if !stalled && !r.track.Slow(slowFactor) {
			continue
		}
		if !m.quarantinedForSlowness(w) && !m.quarantineSlowWorker(w, r, stalled) {
			return
		}
		if m.worthMoving(u, r, stalled) {
			m.stopUnit(u, "it makes no progress on worker "+w.ID)
		}
	}
}

// quarantineSlowWorker keeps new work off the worker for a while, unless too many others
// are suspect already: then the reports are to blame, or the work itself.
func (m *Model) quarantineSlowWorker(w *worker, r *run, stalled bool) bool {
	if m.quarantinedCount() >= len(m.fleet)/maxQuarantinedDivisor {
		return false
	}
	w.health.slowQuarantineUntilMS = m.now.MonoMS + quarantineMS
	m.event("WorkerSluggish", "Worker", w.ID, "Job", r.ref.Unit.Job, "Unit", r.ref.Unit.String(), "Percent", r.track.Percent(),
		"Stalled", stalled, "TotalMS", r.track.TotalMS(r.unit.step.spec.EstimateMS), "EstimateMS", r.unit.step.spec.EstimateMS, "ForMS", quarantineMS)
	return true
}

func (m *Model) quarantinedForSlowness(w *worker) bool {
	return m.now.MonoMS < w.health.slowQuarantineUntilMS
}

// worthMoving reports whether callers get more of the job if the unit starts anew
// elsewhere. What has a checkpoint moves as soon as that is faster.
func (m *Model) worthMoving(u *unit, r *run, stalled bool) bool {
	estimate := u.step.spec.EstimateMS
	lost := m.unsavedWorkMS(u)
	sound := r.track.SoundMS(estimate)
	here := r.track.RemainingMS(m.now.MonoMS, estimate)
	if stalled {
		here = sound - r.track.DoneMS(estimate) + max(minExpectedStallMS, r.track.StillMS())
	}
	there := sound - r.track.DoneMS(estimate) + lost + moveOverheadMS
	if lost == 0 {
		return there < here
	}
	return m.creditIfEndsIn(u.step.job, there) > m.creditIfEndsIn(u.step.job, here)
}

// creditIfEndsIn ranks what callers get of a job that ends after the given time.
func (m *Model) creditIfEndsIn(j *job, ms int64) int {
	q := m.queue(j)
	return ranker.Credit(ranker.Input{
		Steps: j.submission.Job.Steps, Stretch: q.Stretch, ObjectiveMS: q.ObjectiveMS, AcceptedMS: j.submission.AcceptedMS, NowMS: m.now.WallMS + ms,
	})
}

// unsavedWorkMS is how much work of the unit a new start repeats.
func (m *Model) unsavedWorkMS(u *unit) (ms int64) {
	if u.step.spec.Checkpoints {
		return 0
	}
	for _, r := range u.runs {
		ms = max(ms, r.track.DoneMS(u.step.spec.EstimateMS))
	}
	return ms
}

// remainingMS is how much longer the unit is expected to work: as long as its
// slowest member.
func (m *Model) remainingMS(u *unit) (ms int64) {
	for _, r := range u.runs {
		ms = max(ms, r.track.RemainingMS(m.now.MonoMS, u.step.spec.EstimateMS))
	}
	return ms
}

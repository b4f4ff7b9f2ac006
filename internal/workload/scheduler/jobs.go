package scheduler

import (
	"cmp"
	"slices"

	"daisyhead/internal/workload/calibrator"
	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/reducer"
)

// job is a live job with the holder's state for it.
type job struct {
	id         string
	submission reducer.Submission
	// seenMS is when this process first saw the job.
	seenMS      int64
	cancelled   bool
	ended       bool
	occurrences []*occurrence
	// waitReason is the latest reason why a unit had to wait.
	waitReason string
	// limitLoggedMS is when a wait for the limit of the workspace was last logged.
	limitLoggedMS int64
}

// occurrence is one execution of a job's steps; a scheduled job has several.
type occurrence struct {
	number int
	// dueMS is the wall-clock time at which the occurrence may start, 0 for
	// immediately.
	dueMS int64
	steps []*step
	// unfinishedSteps counts the steps that are not done.
	unfinishedSteps int
	// place is the occurrence's place in the last pass, the zero value if capacity was not short.
	place queuePlace
	// delayed is set once it was counted as delayed, aged once it had waited for so long that
	// it went before others.
	delayed, aged bool
}

// step is a step of the job in one occurrence, divided into units.
type step struct {
	job        *job
	occurrence *occurrence
	index      int
	spec       describer.Step
	units      []*unit
	// unfinishedUnits counts the units that are not done, waitingUnits those without a
	// placement.
	unfinishedUnits int
	waitingUnits    int
	// idleSinceMS is when the step was first seen ready without a running task, 0 if it
	// is not.
	idleSinceMS int64
	// relaxable is, for each relaxation, the time in which the next unit could be placed
	// with it.
	relaxable [relaxations]period
	// relaxTriedMS is when that was last looked at.
	relaxTriedMS int64
	// permits is nil until the step first needs a permit.
	permits *stepPermits
	// durations are how long the step's tasks took on their workers.
	durations []calibrator.Sample
	// memberTimesMS are how long the members of the step's gang take, by their progress.
	memberTimesMS []int64
}

// queue returns the current configuration of the job's queue, or that at the job's
// acceptance if the queue no longer exists.
func (m *Model) queue(j *job) describer.Queue {
	if q, ok := m.Config.Queue(j.submission.Queue.Name); ok {
		return q
	}
	return j.submission.Queue
}

// syncJobs creates the live jobs from the table.
func (m *Model) syncJobs() {
	ids := make([]string, 0, len(m.Table.Jobs))
	for id := range m.Table.Jobs {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b string) int {
		x, y := m.Table.Jobs[a], m.Table.Jobs[b]
		return cmp.Or(cmp.Compare(x.AcceptedMS, y.AcceptedMS), cmp.Compare(a, b))
	})
	for _, id := range ids {
		m.syncJob(id)
	}
}

// syncJob updates a job from what callers have recorded: its submission or
// cancellation.
func (m *Model) syncJob(id string) {
	t, ok := m.Table.Lookup(id)
	if !ok {
		return
	}
	if t.Outcome != nil {
		if m.jobs[id] == nil {
			m.retain(id)
			if m.shares.Add(id, t.Submission.Job.Workspace, t.Submission.AcceptedMS) {
				m.adoptLeft(t)
			}
		}
		return
	}
	j, ok := m.jobs[id]
	if !ok {
		j = m.addJob(t.Submission, t.Units)
	}
	if t.Cancelled && !j.cancelled {
		m.cancelJob(j)
	}
}

// retain keeps an ended job for queries until its retention time is over.
func (m *Model) retain(id string) {
	m.endedJobs = append(m.endedJobs, endedJob{id: id, removeMS: m.now.MonoMS + m.cfg.RetainMS})
}

// addJob creates a live job with the units that are recorded for it. It ends the job if
// all of them are done: an earlier holder may not have got to record the outcome.
func (m *Model) addJob(sub reducer.Submission, units map[reducer.UnitID]reducer.Unit) *job {
	j := &job{id: sub.Job.ID, submission: sub, seenMS: m.now.MonoMS}
	for k := range sub.Job.Schedule.Occurrences() {
		o := &occurrence{number: k, dueMS: sub.Job.Schedule.DueMS(k), unfinishedSteps: len(sub.Job.Steps)}
		for i, s := range sub.Job.Steps {
			o.steps = append(o.steps, newStep(j, o, i, s))
		}
		j.occurrences = append(j.occurrences, o)
	}
	if m.queue(j).Priority == 0 {
		m.urgentSeenMS = m.now.MonoMS
	}
	m.jobs[j.id] = j
	m.shares.Add(j.id, sub.Job.Workspace, sub.AcceptedMS)
	m.liveJobs = append(m.liveJobs, j)
	m.noteWork(j)
	for _, id := range sortedUnits(units) {
		m.adoptUnit(j, id, units[id])
	}
	m.passNeeded = true
	m.event("JobSeen", "Job", j.id, "Queue", j.submission.Queue.Name, "Workspace", j.submission.Job.Workspace, "Units", len(units), "AgeMS", m.now.WallMS-sub.AcceptedMS)
	m.endIfComplete(j)
	return j
}

// sortedUnits returns the IDs in a fixed order, since that of a map is random.
func sortedUnits(units map[reducer.UnitID]reducer.Unit) []reducer.UnitID {
	ids := make([]reducer.UnitID, 0, len(units))
	for id := range units {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b reducer.UnitID) int {
		return cmp.Or(cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
	})
	return ids
}

// newStep returns a step whose units all wait. A gang is one unit.
func newStep(j *job, o *occurrence, index int, spec describer.Step) *step {
	s := &step{job: j, occurrence: o, index: index, spec: spec, unfinishedUnits: spec.Count}
	if spec.Gang {
		s.unfinishedUnits = 1
	}
	s.waitingUnits = s.unfinishedUnits
	s.units = make([]*unit, s.unfinishedUnits)
	for i := range s.units {
		s.units[i] = &unit{step: s, id: reducer.UnitID{Job: j.id, Occurrence: o.number, Step: index, Index: i}}
	}
	return s
}

// unit returns the unit of a live job, or nil if there is none.
func (m *Model) unit(id reducer.UnitID) *unit {
	j, ok := m.jobs[id.Job]
	if !ok || id.Occurrence >= len(j.occurrences) || id.Step >= len(j.submission.Job.Steps) {
		return nil
	}
	s := j.occurrences[id.Occurrence].steps[id.Step]
	if id.Index >= len(s.units) {
		return nil
	}
	return s.units[id.Index]
}

// ready reports whether the occurrence is due and all preceding steps are done.
func (s *step) ready(wallMS int64) bool {
	if s.occurrence.dueMS > wallMS {
		return false
	}
	for _, a := range s.spec.After {
		if s.occurrence.steps[a].unfinishedUnits > 0 {
			return false
		}
	}
	return true
}

// firstWaiting returns the first unit that waits for a place, nil if none does.
func (s *step) firstWaiting() *unit {
	if i := slices.IndexFunc(s.units, func(u *unit) bool { return u.state == unitWaiting && u.lateStarts == 0 }); i >= 0 {
		return s.units[i]
	}
	return nil
}

// countFinishedUnit counts a finished unit of the step, and ends the job with its last
// one.
func (m *Model) countFinishedUnit(s *step) {
	s.unfinishedUnits--
	if s.unfinishedUnits > 0 {
		return
	}
	m.speeds.Add(s.durations)
	m.learnEstimate(s)
	s.durations, s.memberTimesMS = nil, nil
	s.occurrence.unfinishedSteps--
	m.endIfComplete(s.job)
}

// endIfComplete ends a job whose occurrences are all done.
func (m *Model) endIfComplete(j *job) {
	for _, o := range j.occurrences {
		if o.unfinishedSteps > 0 {
			return
		}
	}
	m.endJob(j, reducer.StateCompleted, "")
}

// cancelJob stops the job's tasks. The job ends once none of them may be running.
func (m *Model) cancelJob(j *job) {
	j.cancelled = true
	m.event("JobCancelled", "Job", j.id)
	m.stopJob(j, "the job was cancelled")
	m.finishCancel(j)
}

// finishCancel ends a cancelled job once none of its tasks may be running.
func (m *Model) finishCancel(j *job) {
	if !j.cancelled || j.ended {
		return
	}
	for u := range j.units {
		if len(u.runs) > 0 {
			return
		}
	}
	m.endJob(j, reducer.StateCancelled, "")
}

// failJob records the failure and stops the job's remaining tasks.
func (m *Model) failJob(j *job, reason string) {
	if j.ended || j.cancelled {
		return
	}
	m.endJob(j, reducer.StateFailed, reason)
	m.stopJob(j, "the job has failed")
}

func (m *Model) stopJob(j *job, reason string) {
	for u := range j.units {
		m.stopUnit(u, reason)
	}
}

// units iterates over all units of the job.
func (j *job) units(yield func(*unit) bool) {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, u := range s.units {
				if !yield(u) {
					return
				}
			}
		}
	}
}

// endJob records the job's outcome and closes the job. A job with an outcome is never
// started again, so its remaining runs only have to be stopped.
func (m *Model) endJob(j *job, state reducer.State, reason string) {
	if j.ended {
		return
	}
	m.event("JobEnded", "Job", j.id, "State", state, "Reason", reason, "TookMS", m.now.WallMS-j.submission.AcceptedMS)
	outcome := reducer.Outcome{State: state, Reason: reason, AtMS: m.now.WallMS, Term: m.term.number, Left: m.leftOf(j)}
	record := reducer.OutcomeRecord(j.id, outcome)
	outcome.Settled = m.jobSettled(j)
	m.propose(reducer.OutcomeRecord(j.id, outcome), func(m *Model) { delete(m.pendingOutcomes, j.id) })
	if state == reducer.StateCompleted {
		m.pendingOutcomes[j.id] = &pendingOutcome{record: record, sinceMS: m.now.MonoMS}
	}
	m.closeJob(j)
}

// closeJob removes the unit records and confirms the ends of a job that has an outcome.
func (m *Model) closeJob(j *job) {
	j.ended = true
	var ends []endRef
	for u := range j.units {
		ends = append(ends, u.pendingEnds...)
		u.pendingEnds = nil
		if u.record.Phase != "" {
			m.propose(reducer.UnitTombstone(u.id))
		}
	}
	m.markEndsOnceDurable(ends)
	m.liveJobs = slices.DeleteFunc(m.liveJobs, func(o *job) bool { return o == j })
	m.retain(j.id)
	m.passNeeded = true
}

// removeEndedJobs removes ended jobs whose retention time is over.
func (m *Model) removeEndedJobs() {
	for len(m.endedJobs) > 0 && m.now.MonoMS >= m.endedJobs[0].removeMS {
		for _, r := range reducer.JobTombstones(m.endedJobs[0].id) {
			m.propose(r)
		}
		m.shares.Remove(m.endedJobs[0].id)
		delete(m.jobs, m.endedJobs[0].id)
		m.endedJobs = m.endedJobs[1:]
	}
}

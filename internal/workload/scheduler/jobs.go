package scheduler

import (
	"cmp"
	"slices"

	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/tabulator"
)

// job is a live job as the holder works on it.
type job struct {
	id         string
	submission tabulator.Submission
	// seenMS is when this process first saw the job.
	seenMS      int64
	cancelled   bool
	ended       bool
	occurrences []*occurrence
	// waitReason is the latest reason for which a unit had to wait.
	waitReason string
}

// occurrence is one run of a job's steps.
type occurrence struct {
	number int
	// dueMS is a time of day, 0 for at once.
	dueMS     int64
	steps     []*step
	openSteps int
}

// step is one stage of an occurrence.
type step struct {
	job        *job
	occurrence *occurrence
	index      int
	spec       describer.Step
	units      []*unit
	// openUnits counts units that are not done, waiting those that have no place.
	openUnits    int
	waitingUnits int
	// permits is nil until a permit is needed.
	permits *stepPermits
}

// queue returns the job's queue as it is configured now, or as it was when the
// job was accepted.
func (m *Model) queue(j *job) describer.Queue {
	if q, ok := m.Config.Queue(j.submission.Queue.Name); ok {
		return q
	}
	return j.submission.Queue
}

// syncJobs builds the live jobs from the table.
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

// syncJob follows what callers have recorded of one job.
func (m *Model) syncJob(id string) {
	t, ok := m.Table.Lookup(id)
	if !ok {
		return
	}
	if t.Outcome != nil {
		if m.jobs[id] == nil {
			m.retain(id)
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

func (m *Model) retain(id string) {
	m.ended = append(m.ended, endedJob{id: id, forgetMS: m.now.MonoMS + m.cfg.RetainMS})
}

func (m *Model) addJob(sub tabulator.Submission, units map[tabulator.UnitID]tabulator.Unit) *job {
	j := &job{id: sub.Job.ID, submission: sub, seenMS: m.now.MonoMS}
	for k := range sub.Job.Schedule.Occurrences() {
		o := &occurrence{number: k, dueMS: sub.Job.Schedule.DueMS(k), openSteps: len(sub.Job.Steps)}
		for i, s := range sub.Job.Steps {
			o.steps = append(o.steps, newStep(j, o, i, s))
		}
		j.occurrences = append(j.occurrences, o)
	}
	m.jobs[j.id] = j
	m.liveJobs = append(m.liveJobs, j)
	for _, id := range sortedUnits(units) {
		m.adoptUnit(j, id, units[id])
	}
	m.dirty = true
	m.event("JobSeen", "Job", j.id, "Queue", j.submission.Queue.Name, "Workspace", j.submission.Job.Workspace, "Units", len(units), "AgeMS", m.now.WallMS-sub.AcceptedMS)
	return j
}

func sortedUnits(units map[tabulator.UnitID]tabulator.Unit) []tabulator.UnitID {
	ids := make([]tabulator.UnitID, 0, len(units))
	for id := range units {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b tabulator.UnitID) int {
		return cmp.Or(cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
	})
	return ids
}

func newStep(j *job, o *occurrence, index int, spec describer.Step) *step {
	s := &step{job: j, occurrence: o, index: index, spec: spec, openUnits: spec.Count}
	if spec.Gang {
		s.openUnits = 1
	}
	s.waitingUnits = s.openUnits
	s.units = make([]*unit, s.openUnits)
	for i := range s.units {
		s.units[i] = &unit{step: s, id: tabulator.UnitID{Job: j.id, Occurrence: o.number, Step: index, Index: i}}
	}
	return s
}

// unit returns a unit of a live job.
func (m *Model) unit(id tabulator.UnitID) *unit {
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

// ready reports whether the step's turn has come.
func (s *step) ready(wallMS int64) bool {
	if s.occurrence.dueMS > wallMS {
		return false
	}
	for _, a := range s.spec.After {
		if s.occurrence.steps[a].openUnits > 0 {
			return false
		}
	}
	return true
}

// countFinishedUnit counts a finished unit and completes the job with the last one.
func (m *Model) countFinishedUnit(s *step) {
	s.openUnits--
	if s.openUnits > 0 {
		return
	}
	s.occurrence.openSteps--
	for _, o := range s.job.occurrences {
		if o.openSteps > 0 {
			return
		}
	}
	m.endJob(s.job, tabulator.StateCompleted, "")
}

func (m *Model) cancelJob(j *job) {
	j.cancelled = true
	m.event("JobCancelled", "Job", j.id)
	m.stopJob(j, "the job was cancelled")
	m.finishCancel(j)
}

// finishCancel ends a cancelled job once nothing of it runs.
func (m *Model) finishCancel(j *job) {
	if !j.cancelled || j.ended {
		return
	}
	for u := range j.units {
		if len(u.runs) > 0 {
			return
		}
	}
	m.endJob(j, tabulator.StateCancelled, "")
}

func (m *Model) failJob(j *job, reason string) {
	if j.ended || j.cancelled {
		return
	}
	m.endJob(j, tabulator.StateFailed, reason)
	m.stopJob(j, "the job has failed")
}

func (m *Model) stopJob(j *job, why string) {
	for u := range j.units {
		m.stopUnit(u, why)
	}
}

// units visits all units of the job.
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

// endJob records the outcome and forgets the units. A job with an outcome is
// never started again, so runs that are left over are only stopped.
func (m *Model) endJob(j *job, state tabulator.State, reason string) {
	if j.ended {
		return
	}
	m.event("JobEnded", "Job", j.id, "State", state, "Reason", reason, "TookMS", m.now.WallMS-j.submission.AcceptedMS)
	record := tabulator.OutcomeRecord(j.id, tabulator.Outcome{State: state, Reason: reason, AtMS: m.now.WallMS})
	m.propose(record, func(m *Model) { delete(m.pendingOutcomes, j.id) })
	if state == tabulator.StateCompleted {
		m.pendingOutcomes[j.id] = &pendingOutcome{record: record, sinceMS: m.now.MonoMS, witnesses: map[string]bool{}}
	}
	m.closeJob(j)
}

// closeJob forgets the units of a job that has an outcome.
func (m *Model) closeJob(j *job) {
	j.ended = true
	var ends []endRef
	for u := range j.units {
		ends = append(ends, u.pendingEnds...)
		u.pendingEnds = nil
		if u.record.Phase != "" {
			m.propose(tabulator.DropUnit(u.id))
		}
	}
	m.confirmWhenDurable(ends)
	m.liveJobs = slices.DeleteFunc(m.liveJobs, func(o *job) bool { return o == j })
	m.retain(j.id)
	m.dirty = true
}

// forgetJobs drops ended jobs that callers may no longer ask for.
func (m *Model) forgetJobs() {
	for len(m.ended) > 0 && m.now.MonoMS >= m.ended[0].forgetMS {
		for _, r := range tabulator.DropJob(m.ended[0].id) {
			m.propose(r)
		}
		delete(m.jobs, m.ended[0].id)
		m.ended = m.ended[1:]
	}
}

package reducer

import (
	"fmt"
	"slices"
	"strings"

	"daisyhead/internal/entry/specifier"
	"daisyhead/internal/ledger/encoder"
)

// JobStatus is a job's position in its life cycle.
type JobStatus string

// The statuses of a job. The last five are final.
const (
	JobWaiting   JobStatus = "Waiting"
	JobStarting  JobStatus = "Starting"
	JobRunning   JobStatus = "Running"
	JobStopping  JobStatus = "Stopping"
	JobFinished  JobStatus = "Finished"
	JobRefused   JobStatus = "Refused"
	JobCancelled JobStatus = "Cancelled"
	JobFailed    JobStatus = "Failed"
	JobUnknown   JobStatus = "Unknown"
)

// Job is a job with its status, its attempts and its history.
type Job struct {
	ID   string
	Spec specifier.Job
	// By is the caller that submitted the job.
	By          string
	Status      JobStatus
	Outcome     encoder.Outcome
	SubmittedMS int64
	EndedMS     int64
	Reason      string
	// WaitingFor is the latest reason why the job is waiting.
	WaitingFor string
	Cancelled  bool
	// Started is set when an attempt is committed. It is cleared when it is proved
	// that no attempt started a task.
	Started bool
	// Resumable is set if the latest attempt that ran was stopped with a
	// checkpoint that saved progress.
	Resumable bool
	// ProgressMS is the run time that is saved in a checkpoint.
	ProgressMS int64
	// RanMS is the total run time of all ended attempts.
	RanMS    int64
	Attempts []Attempt
	// AttemptCount counts the committed attempts.
	AttemptCount int
	// LastAttempt is the number of the latest committed attempt. It can be higher
	// than AttemptCount, because the numbers of attempts whose reservations were
	// released are not reused.
	LastAttempt int
	// Failures counts attempts that ended because a task failed.
	Failures int
	// FailedOn names the workers on which those attempts failed.
	FailedOn []string `cbor:",omitempty"`
	Events   []Event
	// EventsLost counts the events that were dropped to keep MaxJobEvents.
	EventsLost int
	// WaitSinceMS is when the job was submitted or last requeued.
	WaitSinceMS int64
}

// Attempt is one attempt to run all tasks of a job's gang.
type Attempt struct {
	Number int
	// Term is the term in which the start was decided.
	Term uint64
	// Claim names the guarantee that the attempt uses. It is empty when the
	// attempt borrows idle capacity.
	Claim      string
	Placements []encoder.Placement
	// Reason explains the placement.
	Reason      string
	CommittedMS int64
	RunningMS   int64
	StopMS      int64
	StopCause   encoder.StopCause
	StopReason  string
	EndedMS     int64
	Result      encoder.Result
	EndReason   string
}

// Event is an entry in a job's history.
type Event struct {
	AtMS   int64
	Offset uint64
	Kind   string
	Text   string
}

// Terminal reports whether a job with this status has ended.
func (st JobStatus) Terminal() bool {
	switch st {
	case JobFinished, JobRefused, JobCancelled, JobFailed, JobUnknown:
		return true
	}
	return false
}

// UnfinishedJobs returns the jobs that have not ended, sorted by ID.
func (s *State) UnfinishedJobs() []*Job {
	unfinished := make([]*Job, 0, len(s.Jobs)-len(s.Ended))
	for _, j := range s.Jobs {
		if !j.Status.Terminal() {
			unfinished = append(unfinished, j)
		}
	}
	slices.SortFunc(unfinished, func(a, b *Job) int { return strings.Compare(a.ID, b.ID) })
	return unfinished
}

// ActiveAttempt returns the attempt that is starting, running or stopping, or nil.
func (j *Job) ActiveAttempt() *Attempt {
	switch j.Status {
	case JobStarting, JobRunning, JobStopping:
		return &j.Attempts[len(j.Attempts)-1]
	}
	return nil
}

// Restartable reports whether the job may be stopped at any time and started
// again. A non-idempotent job may not, even if it supports checkpoints, because
// it may not have written one yet.
func (j *Job) Restartable() bool { return !j.Spec.NonIdempotent }

// addEvent adds an entry to the job's history.
func (j *Job) addEvent(offset uint64, e encoder.Entry, kind, format string, args ...any) {
	j.Events = append(j.Events, Event{AtMS: e.At, Offset: offset, Kind: kind, Text: fmt.Sprintf(format, args...)})
	if len(j.Events) <= MaxJobEvents {
		return
	}
	// Keep the submission and drop the oldest event after it.
	j.Events = slices.Delete(j.Events, 1, 2)
	j.EventsLost++
}

// submitJob adds a job to those that wait. A job that can never run is added too, but
// ends at once.
func (s *State) submitJob(offset uint64, e encoder.Entry) Result {
	c := e.JobSubmitted
	spec := c.Job.Normalize()
	if old, ok := s.Jobs[c.ID]; ok {
		if old.Spec != spec {
			return refuse(RefusedConflict, "key %q was used for another job of this workspace", spec.Key)
		}
		return Result{OK: true, Repeat: true}
	}
	if err := spec.Validate(); err != nil {
		return refuse(RefusedInvalid, "%s", err.Error())
	}
	w, ok := s.Workspaces[spec.Workspace]
	if !ok || w.Spec.Retired {
		return refuse(RefusedNotFound, "no workspace %q takes jobs", spec.Workspace)
	}
	j := &Job{ID: c.ID, Spec: spec, By: c.By, SubmittedMS: e.At, WaitSinceMS: e.At, Status: JobWaiting, Outcome: encoder.OutcomeNotRun}
	s.Jobs[c.ID] = j
	j.addEvent(offset, e, "Submitted", "submitted by %s to workspace %s: %s", c.By, spec.Workspace, describeGang(spec))
	s.audit(offset, e, AuditEntry{Actor: c.By, Action: "SubmitJob", Object: "Job/" + c.ID, After: describeGang(spec), Result: "Accepted"})
	if reason := s.unschedulableReason(spec); reason != "" {
		s.finishJob(offset, e, j, JobRefused, encoder.OutcomeNotRun, reason)
	}
	return accepted
}

func describeGang(j specifier.Job) string {
	text := fmt.Sprintf("%d x (%d processors, %d MB, %d accelerators) within %s", j.Tasks, j.Processors, j.MemoryMB, j.Accelerators, j.Within)
	if j.Urgent {
		text += ", urgent"
	}
	if j.NonIdempotent {
		text += ", not idempotent"
	}
	if j.Checkpointable {
		text += ", can checkpoint"
	}
	return text
}

// cancelJob ends a waiting job, or stops the active attempt of a started one.
func (s *State) cancelJob(offset uint64, e encoder.Entry) Result {
	c := e.CancelRequested
	j, ok := s.Jobs[c.ID]
	if !ok {
		return refuse(RefusedNotFound, "no job %q", c.ID)
	}
	if j.Cancelled {
		return Result{OK: true, Repeat: true}
	}
	if j.Status.Terminal() {
		return refuse(RefusedWrongState, "job %s is already %s", c.ID, j.Status)
	}
	j.Cancelled = true
	s.audit(offset, e, AuditEntry{Actor: c.By, Action: "CancelJob", Object: "Job/" + c.ID, Before: string(j.Status), Result: "Accepted"})
	j.addEvent(offset, e, "CancelRequested", "cancellation asked by %s%s", c.By, reasonSuffix(c.Reason))
	if j.Status == JobWaiting {
		outcome := encoder.OutcomeNotRun
		if j.Started {
			outcome = encoder.OutcomeRan
		}
		s.finishJob(offset, e, j, JobCancelled, outcome, "cancelled while waiting")
		return accepted
	}
	s.stopAttempt(offset, e, j, encoder.StopCancel, "cancelled by "+c.By)
	return accepted
}

// reasonSuffix formats an optional reason for the end of a sentence.
func reasonSuffix(reason string) string {
	if reason == "" {
		return ""
	}
	return ": " + reason
}

// refuseJob ends a waiting job that can never run. A job that was started before
// ends as failed.
func (s *State) refuseJob(offset uint64, e encoder.Entry) Result {
	c := e.JobRefused
	j, ok := s.Jobs[c.ID]
	if !ok || j.Status != JobWaiting {
		return refuse(RefusedWrongState, "job %q is not waiting", c.ID)
	}
	if j.Started {
		s.finishJob(offset, e, j, JobFailed, encoder.OutcomeRan, c.Reason)
		return accepted
	}
	s.finishJob(offset, e, j, JobRefused, encoder.OutcomeNotRun, c.Reason)
	return accepted
}

func (s *State) recordWaitReason(offset uint64, e encoder.Entry) Result {
	c := e.JobNoted
	j, ok := s.Jobs[c.ID]
	if !ok || j.Status != JobWaiting {
		return refuse(RefusedWrongState, "job %q is not waiting", c.ID)
	}
	j.WaitingFor = c.Reason
	j.addEvent(offset, e, "Waiting", "waits: %s", c.Reason)
	return accepted
}

// recordRollback records that an attempt was abandoned before its commit and
// that its reservations were released.
func (s *State) recordRollback(offset uint64, e encoder.Entry) Result {
	c := e.AttemptUnwound
	j, ok := s.Jobs[c.ID]
	if !ok || j.Status != JobWaiting {
		return refuse(RefusedWrongState, "job %q is not waiting", c.ID)
	}
	j.addEvent(offset, e, "Unwound", "reservations given back, nothing was started: %s", c.Reason)
	return accepted
}

// commitAttempt records the decision to start an attempt, unless the job would
// run twice without being idempotent or a worker's domain takes no new work.
func (s *State) commitAttempt(offset uint64, e encoder.Entry) Result {
	c := e.AttemptCommitted
	j, ok := s.Jobs[c.ID]
	if !ok || j.Status != JobWaiting {
		return refuse(RefusedWrongState, "job %q is not waiting", c.ID)
	}
	if c.Attempt <= j.LastAttempt {
		return refuse(RefusedConflict, "attempt %d does not follow %d", c.Attempt, j.LastAttempt)
	}
	if j.Spec.NonIdempotent && j.Started && !j.Resumable {
		return refuse(RefusedWrongState, "job %s is not idempotent and was started before", c.ID)
	}
	if domain := s.outOfServiceDomain(c.Placements); domain != "" {
		return refuse(RefusedWrongState, "domain %s takes no new work", domain)
	}
	j.AttemptCount++
	j.LastAttempt = c.Attempt
	j.Started, j.Outcome = true, encoder.OutcomeUnknown
	j.Status, j.WaitingFor = JobStarting, ""
	j.Attempts = append(j.Attempts, Attempt{
		Number: c.Attempt, Term: e.Term, Claim: c.Claim, Placements: c.Placements,
		Reason: c.Reason, CommittedMS: e.At,
	})
	if len(j.Attempts) > MaxJobAttempts {
		j.Attempts = slices.Delete(j.Attempts, 0, 1)
	}
	j.addEvent(offset, e, "Committed", "attempt %d: all %d tasks reserved, start decided in term %d on %s (%s)",
		c.Attempt, j.Spec.Tasks, e.Term, describePlacements(c.Placements), c.Reason)
	return accepted
}

// describePlacements lists the first eight placements and counts the others.
func describePlacements(ps []encoder.Placement) string {
	text := ""
	for i, p := range ps {
		if i > 0 {
			text += ", "
		}
		if i == 8 {
			return text + fmt.Sprintf("and %d more workers", len(ps)-i)
		}
		text += fmt.Sprintf("%s x%d", p.Worker, p.Tasks)
	}
	return text
}

// outOfServiceDomain returns the first domain among the placements that takes no new
// work, or "". For a worker that isn't configured, it returns a phrase with the
// worker's name.
func (s *State) outOfServiceDomain(ps []encoder.Placement) string {
	domains := s.workerDomains()
	for _, p := range ps {
		domain, ok := domains[p.Worker]
		if !ok {
			return "of unknown worker " + p.Worker
		}
		if !s.DomainInService(domain) {
			return domain
		}
	}
	return ""
}

// workerDomains returns the failure domain of each worker.
func (s *State) workerDomains() map[string]string {
	domains := map[string]string{}
	for _, g := range s.WorkerGroups {
		for _, w := range g.Spec.Workers {
			domains[w.Name] = g.Spec.Domain
		}
	}
	return domains
}

// activeAttempt returns the job and its active attempt, or a refusal if the job has no
// active attempt with the given number.
func (s *State) activeAttempt(id string, attempt int) (*Job, *Attempt, Result) {
	j, ok := s.Jobs[id]
	if !ok {
		return nil, nil, refuse(RefusedNotFound, "no job %q", id)
	}
	a := j.ActiveAttempt()
	if a == nil || a.Number != attempt {
		return nil, nil, refuse(RefusedWrongState, "attempt %d of job %s is not active", attempt, id)
	}
	return j, a, accepted
}

func (s *State) markAttemptRunning(offset uint64, e encoder.Entry) Result {
	c := e.AttemptRunning
	j, a, res := s.activeAttempt(c.ID, c.Attempt)
	if a == nil {
		return res
	}
	if j.Status != JobStarting {
		return refuse(RefusedWrongState, "job %s is %s", c.ID, j.Status)
	}
	j.Status, j.Outcome = JobRunning, encoder.OutcomeRan
	a.RunningMS = e.At
	j.addEvent(offset, e, "Running", "attempt %d: every worker confirmed its start", c.Attempt)
	return accepted
}

// requestStop applies the decision to stop an attempt. It has no effect if the
// attempt is already stopping.
func (s *State) requestStop(offset uint64, e encoder.Entry) Result {
	c := e.StopRequested
	j, a, res := s.activeAttempt(c.ID, c.Attempt)
	if a == nil {
		return res
	}
	if j.Status == JobStopping {
		return Result{OK: true, Repeat: true}
	}
	s.stopAttempt(offset, e, j, c.Cause, c.Reason)
	return accepted
}

// stopAttempt marks the job's active attempt as stopping. The first cause is kept.
func (s *State) stopAttempt(offset uint64, e encoder.Entry, j *Job, cause encoder.StopCause, reason string) {
	a := j.ActiveAttempt()
	j.Status = JobStopping
	if a.StopMS == 0 {
		a.StopMS, a.StopCause, a.StopReason = e.At, cause, reason
	}
	j.addEvent(offset, e, "Stopping", "attempt %d is asked to stop (%s): %s", a.Number, cause, reason)
}

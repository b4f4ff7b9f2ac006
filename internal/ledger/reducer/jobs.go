package reducer

import (
	"fmt"
	"slices"
	"strings"

	"daisyhead/internal/entry/specifier"
	"daisyhead/internal/ledger/encoder"
)

// JobStatus is a job's place in its life.
type JobStatus string

// The states of a job. The last five are final.
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

// Job is a job with its history.
type Job struct {
	ID          string
	Spec        specifier.Job
	By          string
	Status      JobStatus
	Outcome     encoder.Outcome
	SubmittedMS int64
	EndedMS     int64
	Reason      string
	// WaitingFor is the latest reason for waiting.
	WaitingFor string
	Cancelled  bool
	// Started is set once any attempt was committed and not proved unstarted.
	Started bool
	// Resumable is set while the latest attempt that ran ended in a checkpoint.
	Resumable  bool
	ProgressMS int64
	// RanMS is the run time of all ended attempts.
	RanMS    int64
	Attempts []Attempt
	// AttemptCount counts the committed attempts.
	AttemptCount int
	// LastAttempt is the number of the latest one. Numbers of attempts whose
	// reservations were given back are not used again.
	LastAttempt int
	// Failures counts attempts that ended because a task failed.
	Failures    int
	FailedOn    []string `cbor:",omitempty"`
	Events      []Event
	EventsLost  int
	WaitSinceMS int64
}

// Attempt is one placement of a job's gang.
type Attempt struct {
	Number      int
	Term        uint64
	Claim       string
	Placements  []encoder.Placement
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

// Event is one line of a job's history.
type Event struct {
	AtMS   int64
	Offset uint64
	Kind   string
	Text   string
}

// Final reports whether the status never changes again.
func (st JobStatus) Final() bool {
	switch st {
	case JobFinished, JobRefused, JobCancelled, JobFailed, JobUnknown:
		return true
	}
	return false
}

// LiveJobs returns the jobs that have not ended, by ID.
func (s *State) LiveJobs() []*Job {
	live := make([]*Job, 0, len(s.Jobs)-len(s.Ended))
	for _, j := range s.Jobs {
		if !j.Status.Final() {
			live = append(live, j)
		}
	}
	slices.SortFunc(live, func(a, b *Job) int { return strings.Compare(a.ID, b.ID) })
	return live
}

// Active returns the attempt that holds workers, or nil.
func (j *Job) Active() *Attempt {
	switch j.Status {
	case JobStarting, JobRunning, JobStopping:
		return &j.Attempts[len(j.Attempts)-1]
	}
	return nil
}

// Repeatable reports whether the job may be stopped at any moment and started
// again. A job that may run only once is not, even if it can checkpoint: it may
// not have done so yet.
func (j *Job) Repeatable() bool { return !j.Spec.NonIdempotent }

func (j *Job) event(offset uint64, e encoder.Entry, kind, format string, args ...any) {
	j.Events = append(j.Events, Event{AtMS: e.At, Offset: offset, Kind: kind, Text: fmt.Sprintf(format, args...)})
	if len(j.Events) <= MaxJobEvents {
		return
	}
	// The submission stays; the oldest event after it goes.
	j.Events = slices.Delete(j.Events, 1, 2)
	j.EventsLost++
}

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
	j.event(offset, e, "Submitted", "submitted by %s to workspace %s: %s", c.By, spec.Workspace, describeGang(spec))
	s.audit(offset, e, AuditEntry{Actor: c.By, Action: "SubmitJob", Object: "Job/" + c.ID, After: describeGang(spec), Result: "Accepted"})
	if reason := s.neverFits(spec); reason != "" {
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

func (s *State) cancelJob(offset uint64, e encoder.Entry) Result {
	c := e.CancelRequested
	j, ok := s.Jobs[c.ID]
	if !ok {
		return refuse(RefusedNotFound, "no job %q", c.ID)
	}
	if j.Cancelled {
		return Result{OK: true, Repeat: true}
	}
	if j.Status.Final() {
		return refuse(RefusedState, "job %s is already %s", c.ID, j.Status)
	}
	j.Cancelled = true
	s.audit(offset, e, AuditEntry{Actor: c.By, Action: "CancelJob", Object: "Job/" + c.ID, Before: string(j.Status), Result: "Accepted"})
	j.event(offset, e, "CancelRequested", "cancellation asked by %s%s", c.By, withReason(c.Reason))
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

func withReason(reason string) string {
	if reason == "" {
		return ""
	}
	return ": " + reason
}

func (s *State) refuseJob(offset uint64, e encoder.Entry) Result {
	c := e.JobRefused
	j, ok := s.Jobs[c.ID]
	if !ok || j.Status != JobWaiting {
		return refuse(RefusedState, "job %q is not waiting", c.ID)
	}
	if j.Started {
		s.finishJob(offset, e, j, JobFailed, encoder.OutcomeRan, c.Reason)
		return accepted
	}
	s.finishJob(offset, e, j, JobRefused, encoder.OutcomeNotRun, c.Reason)
	return accepted
}

func (s *State) noteJob(offset uint64, e encoder.Entry) Result {
	c := e.JobNoted
	j, ok := s.Jobs[c.ID]
	if !ok || j.Status != JobWaiting {
		return refuse(RefusedState, "job %q is not waiting", c.ID)
	}
	j.WaitingFor = c.Reason
	j.event(offset, e, "Waiting", "waits: %s", c.Reason)
	return accepted
}

func (s *State) unwindAttempt(offset uint64, e encoder.Entry) Result {
	c := e.AttemptUnwound
	j, ok := s.Jobs[c.ID]
	if !ok || j.Status != JobWaiting {
		return refuse(RefusedState, "job %q is not waiting", c.ID)
	}
	j.event(offset, e, "Unwound", "reservations given back, nothing was started: %s", c.Reason)
	return accepted
}

func (s *State) commitAttempt(offset uint64, e encoder.Entry) Result {
	c := e.AttemptCommitted
	j, ok := s.Jobs[c.ID]
	if !ok || j.Status != JobWaiting {
		return refuse(RefusedState, "job %q is not waiting", c.ID)
	}
	if c.Attempt <= j.LastAttempt {
		return refuse(RefusedConflict, "attempt %d does not follow %d", c.Attempt, j.LastAttempt)
	}
	if j.Spec.NonIdempotent && j.Started && !j.Resumable {
		return refuse(RefusedState, "job %s is not idempotent and was started before", c.ID)
	}
	if domain := s.closedDomain(c.Placements); domain != "" {
		return refuse(RefusedState, "domain %s takes no new work", domain)
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
	j.event(offset, e, "Committed", "attempt %d: all %d tasks reserved, start decided in term %d on %s (%s)",
		c.Attempt, j.Spec.Tasks, e.Term, describePlacements(c.Placements), c.Reason)
	return accepted
}

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

// closedDomain returns the first domain among the placements that is out.
func (s *State) closedDomain(ps []encoder.Placement) string {
	domains := s.workerDomains()
	for _, p := range ps {
		domain, ok := domains[p.Worker]
		if !ok {
			return "of unknown worker " + p.Worker
		}
		if !s.DomainOpen(domain) {
			return domain
		}
	}
	return ""
}

func (s *State) workerDomains() map[string]string {
	domains := map[string]string{}
	for _, g := range s.WorkerGroups {
		for _, w := range g.Spec.Workers {
			domains[w.Name] = g.Spec.Domain
		}
	}
	return domains
}

// activeAttempt returns the job whose active attempt has the given number.
func (s *State) activeAttempt(id string, attempt int) (*Job, *Attempt, Result) {
	j, ok := s.Jobs[id]
	if !ok {
		return nil, nil, refuse(RefusedNotFound, "no job %q", id)
	}
	a := j.Active()
	if a == nil || a.Number != attempt {
		return nil, nil, refuse(RefusedState, "attempt %d of job %s is not active", attempt, id)
	}
	return j, a, accepted
}

func (s *State) runAttempt(offset uint64, e encoder.Entry) Result {
	c := e.AttemptRunning
	j, a, res := s.activeAttempt(c.ID, c.Attempt)
	if a == nil {
		return res
	}
	if j.Status != JobStarting {
		return refuse(RefusedState, "job %s is %s", c.ID, j.Status)
	}
	j.Status, j.Outcome = JobRunning, encoder.OutcomeRan
	a.RunningMS = e.At
	j.event(offset, e, "Running", "attempt %d: every worker confirmed its start", c.Attempt)
	return accepted
}

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

func (s *State) stopAttempt(offset uint64, e encoder.Entry, j *Job, cause encoder.StopCause, reason string) {
	a := j.Active()
	j.Status = JobStopping
	if a.StopMS == 0 {
		a.StopMS, a.StopCause, a.StopReason = e.At, cause, reason
	}
	j.event(offset, e, "Stopping", "attempt %d is asked to stop (%s): %s", a.Number, cause, reason)
}

package reducer

import (
	"fmt"

	"daisyhead/internal/ledger/encoder"
)

// endAttempt records the result of the active attempt, updates the health of its
// workers, and ends the job or queues it again.
func (s *State) endAttempt(offset uint64, e encoder.Entry) Result {
	c := e.AttemptEnded
	j, a, res := s.activeAttempt(c.ID, c.Attempt)
	if a == nil {
		return res
	}
	a.EndedMS, a.Result, a.EndReason = e.At, c.Result, c.Reason
	j.RanMS += c.RunMS
	j.ProgressMS = max(j.ProgressMS, c.ProgressMS)
	if c.Result != encoder.ResultNotRun {
		j.Resumable = c.Checkpointed && c.Result == encoder.ResultStopped && c.ProgressMS > 0
	}
	j.addEvent(offset, e, "Ended", "attempt %d ended %s%s", a.Number, c.Result, reasonSuffix(c.Reason))
	s.updateWorkerHealth(offset, e, j, a)
	s.finishOrRequeue(offset, e, j, a)
	return accepted
}

// finishOrRequeue ends the job or queues it again, depending on the attempt's
// result and on whether the job may run more than once.
func (s *State) finishOrRequeue(offset uint64, e encoder.Entry, j *Job, a *Attempt) {
	if a.Result == encoder.ResultFinished {
		s.finishJob(offset, e, j, JobFinished, encoder.OutcomeRan, "all tasks finished")
		return
	}
	if a.Result == encoder.ResultNotRun {
		j.Started = len(j.Attempts) > 1 && j.Started && j.ranBefore(a.Number)
		j.Outcome = encoder.OutcomeNotRun
		if j.Started {
			j.Outcome = encoder.OutcomeRan
		}
	}
	if a.Result == encoder.ResultFailed {
		j.Failures++
		j.FailedOn = append(j.FailedOn, e.AttemptEnded.Worker)
	}
	switch {
	case j.Cancelled:
		s.finishCancelledJob(offset, e, j, a)
	case a.Result == encoder.ResultNotRun:
		s.requeue(offset, e, j)
	case a.Result == encoder.ResultLost && j.Spec.NonIdempotent:
		s.finishJob(offset, e, j, JobUnknown, encoder.OutcomeUnknown, "a worker was lost while the job, which is not idempotent, may have run: "+a.EndReason)
	case j.Spec.NonIdempotent && !j.Resumable:
		s.finishJob(offset, e, j, JobFailed, encoder.OutcomeRan, "it is not idempotent and may not start again: "+a.EndReason)
	case a.Result == encoder.ResultFailed && j.Failures >= j.Spec.MaxAttempts:
		s.removeJobFailures(j)
		s.finishJob(offset, e, j, JobFailed, encoder.OutcomeRan, fmt.Sprintf("failed %d times, last: %s", j.Failures, a.EndReason))
	default:
		s.requeue(offset, e, j)
	}
}

// finishCancelledJob ends a cancelled job whose attempt has ended. The outcome is
// unknown if a worker was lost before it confirmed the stop.
func (s *State) finishCancelledJob(offset uint64, e encoder.Entry, j *Job, a *Attempt) {
	switch {
	case a.Result == encoder.ResultLost:
		s.finishJob(offset, e, j, JobUnknown, encoder.OutcomeUnknown, "cancelled, but a worker was lost before it confirmed the stop: "+a.EndReason)
	case j.Started:
		s.finishJob(offset, e, j, JobCancelled, encoder.OutcomeRan, "cancelled after it had started")
	default:
		s.finishJob(offset, e, j, JobCancelled, encoder.OutcomeNotRun, "cancelled before anything was started")
	}
}

// ranBefore reports whether an attempt before the given number may have run.
func (j *Job) ranBefore(number int) bool {
	for _, a := range j.Attempts {
		if a.Number < number && a.Result != encoder.ResultNotRun {
			return true
		}
	}
	return false
}

// requeue makes the job wait for its next attempt.
func (s *State) requeue(offset uint64, e encoder.Entry, j *Job) {
	j.Status, j.WaitSinceMS = JobWaiting, e.At
	j.addEvent(offset, e, "Requeued", "waits for a new start, keeps %d ms of work", j.ProgressMS)
}

// finishJob gives the job its final status.
func (s *State) finishJob(offset uint64, e encoder.Entry, j *Job, status JobStatus, outcome encoder.Outcome, reason string) {
	j.Status, j.Outcome, j.Reason, j.EndedMS, j.WaitingFor = status, outcome, reason, e.At, ""
	j.addEvent(offset, e, string(status), "%s: %s", status, reason)
	s.Ended = append(s.Ended, j.ID)
	s.audit(offset, e, AuditEntry{Actor: "daisyhead", Action: "EndJob", Object: "Job/" + j.ID, After: string(status), Result: reason})
}

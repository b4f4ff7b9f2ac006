package reducer

import (
	"slices"

	"daisyhead/internal/ledger/encoder"
)

// observeWorker records that a worker stopped responding or responds again.
func (s *State) observeWorker(offset uint64, e encoder.Entry) Result {
	c := e.WorkerObserved
	h := s.Workers[c.Worker]
	if h.Silent == c.Silent {
		return Result{OK: true, Repeat: true}
	}
	h.Silent, h.SilentReason, h.SinceMS = c.Silent, c.Reason, e.At
	s.Workers[c.Worker] = h
	action := "WorkerBack"
	if c.Silent {
		action = "WorkerSilent"
	}
	s.audit(offset, e, AuditEntry{Actor: s.Holder, Action: action, Object: "Worker/" + c.Worker, Result: c.Reason})
	return accepted
}

// updateWorkerHealth updates the failure counts of an attempt's workers. To tell
// faulty workers from faulty jobs, a worker is quarantined only after several
// different jobs failed on it in a row. A job's failures on all workers are counted
// separately, in Job.Failures.
func (s *State) updateWorkerHealth(offset uint64, e encoder.Entry, j *Job, a *Attempt) {
	switch a.Result {
	case encoder.ResultFinished:
		s.clearFailures(a.Placements)
	case encoder.ResultFailed:
		s.recordFailure(offset, e, j.ID)
	}
}

// clearFailures forgets the failed jobs of the workers and ends their probation.
func (s *State) clearFailures(ps []encoder.Placement) {
	for _, p := range ps {
		h, ok := s.Workers[p.Worker]
		if !ok {
			continue
		}
		h.FailedJobs, h.Probation = nil, false
		s.Workers[p.Worker] = h
	}
}

// recordFailure adds the job to the failed jobs of its worker, and quarantines the
// worker if there are enough of them or if it is on probation.
func (s *State) recordFailure(offset uint64, e encoder.Entry, job string) {
	name := e.AttemptEnded.Worker
	if name == "" {
		return
	}
	h := s.Workers[name]
	if slices.Contains(h.FailedJobs, job) {
		return
	}
	h.FailedJobs, h.FailedMS = append(h.FailedJobs, job), e.At
	if (len(h.FailedJobs) >= QuarantineThreshold || h.Probation) && s.quarantineAllowed(e.At) {
		h.QuarantinedMS, h.UntilMS = e.At, e.At+QuarantineDurationMS
		h.Probation, h.FailedJobs = true, nil
		s.audit(offset, e, AuditEntry{Actor: s.Holder, Action: "Quarantine", Object: "Worker/" + name, Result: "different jobs failed there in a row"})
	}
	s.Workers[name] = h
}

// removeJobFailures removes a permanently failed job from the failed jobs of all
// workers that it ran on: the fault is the job's, not the workers'.
func (s *State) removeJobFailures(j *Job) {
	for _, name := range j.FailedOn {
		h, ok := s.Workers[name]
		if !ok {
			continue
		}
		h.FailedJobs = slices.DeleteFunc(slices.Clone(h.FailedJobs), func(id string) bool { return id == j.ID })
		s.Workers[name] = h
	}
}

// quarantineAllowed reports whether fewer workers are quarantined than
// QuarantineDivisor allows.
func (s *State) quarantineAllowed(at int64) bool {
	quarantined, total := 0, 0
	for _, h := range s.Workers {
		if h.UntilMS > at {
			quarantined++
		}
	}
	for _, g := range s.WorkerGroups {
		total += len(g.Spec.Workers)
	}
	return quarantined < max(1, total/QuarantineDivisor)
}

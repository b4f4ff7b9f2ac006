package reducer

import (
	"slices"

	"daisyhead/internal/ledger/encoder"
)

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

// judgeWorkers keeps bad workers apart from bad jobs: a worker is quarantined
// when several different jobs failed there in a row, a job fails for good by
// its own count.
func (s *State) judgeWorkers(offset uint64, e encoder.Entry, j *Job, a *Attempt) {
	switch a.Result {
	case encoder.ResultFinished:
		s.clearWorkers(a.Placements)
	case encoder.ResultFailed:
		s.blameWorker(offset, e, j.ID)
	}
}

func (s *State) clearWorkers(ps []encoder.Placement) {
	for _, p := range ps {
		h, ok := s.Workers[p.Worker]
		if !ok {
			continue
		}
		h.FailedJobs, h.Probation = nil, false
		s.Workers[p.Worker] = h
	}
}

func (s *State) blameWorker(offset uint64, e encoder.Entry, job string) {
	name := e.AttemptEnded.Worker
	if name == "" {
		return
	}
	h := s.Workers[name]
	if slices.Contains(h.FailedJobs, job) {
		return
	}
	h.FailedJobs, h.FailedMS = append(h.FailedJobs, job), e.At
	if (len(h.FailedJobs) >= QuarantineAfter || h.Probation) && s.mayQuarantine(e.At) {
		h.QuarantinedMS, h.UntilMS = e.At, e.At+QuarantineMS
		h.Probation, h.FailedJobs = true, nil
		s.audit(offset, e, AuditEntry{Actor: s.Holder, Action: "Quarantine", Object: "Worker/" + name, Result: "different jobs failed there in a row"})
	}
	s.Workers[name] = h
}

// acquitWorkers takes a job that failed for good, on one worker after the
// other, off their records: the fault was the job's.
func (s *State) acquitWorkers(j *Job) {
	for _, name := range j.FailedOn {
		h, ok := s.Workers[name]
		if !ok {
			continue
		}
		h.FailedJobs = slices.DeleteFunc(slices.Clone(h.FailedJobs), func(id string) bool { return id == j.ID })
		s.Workers[name] = h
	}
}

func (s *State) mayQuarantine(at int64) bool {
	quarantined, total := 0, 0
	for _, h := range s.Workers {
		if h.UntilMS > at {
			quarantined++
		}
	}
	for _, g := range s.WorkerGroups {
		total += len(g.Spec.Workers)
	}
	return quarantined < max(1, total/QuarantineShare)
}

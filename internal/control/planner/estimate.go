package planner

import "daisyhead/internal/ledger/reducer"

// EstimateMS returns the expected remaining run time of a waiting job: the
// declared run time less the checkpointed progress, and at least a tenth of it.
func EstimateMS(j *reducer.Job) int64 {
	run := j.Spec.RunTime.Milliseconds()
	if run <= 0 {
		run = DefaultRunMS
	}
	return max(run-j.ProgressMS, run/10)
}

// RemainingMS returns the expected remaining run time of an attempt. An attempt
// that has outlived its estimate is expected to run half as long again.
func RemainingMS(j *reducer.Job, a *reducer.Attempt, now int64) int64 {
	ran := max(now-a.CommittedMS, 0)
	return max(EstimateMS(j)-ran, ran/2)
}

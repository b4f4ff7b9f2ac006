package planner

import "daisyhead/internal/ledger/reducer"

// EstimateMS returns the run time that is expected to remain for a waiting job.
func EstimateMS(j *reducer.Job) int64 {
	run := j.Spec.RunTime.Milliseconds()
	if run <= 0 {
		run = DefaultRunMS
	}
	return max(run-j.ProgressMS, run/10)
}

// RemainingMS returns the run time that is expected to remain for an attempt.
// One that has outlived its estimate is expected to go on for half as long again.
func RemainingMS(j *reducer.Job, a *reducer.Attempt, now int64) int64 {
	ran := max(now-a.CommittedMS, 0)
	return max(EstimateMS(j)-ran, ran/2)
}

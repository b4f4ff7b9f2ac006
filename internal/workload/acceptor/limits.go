package acceptor

import (
	"fmt"

	"daisyhead/internal/workload/accountant"
	"daisyhead/internal/workload/describer"
)

// overLimit returns why the job can never run within the limit of its workspace, or "" if it can.
func (a *Acceptor) overLimit(cfg *describer.Configuration, j describer.Job) (reason string) {
	w, _ := cfg.Workspace(j.Workspace)
	limit := accountant.Limit{Maximum: w.Maximum, Tolerance: a.LimitTolerance}
	step, short, never := limit.Impossible(j)
	if !never {
		return ""
	}
	return fmt.Sprintf("step %d needs more %s at a time than the limit of the workspace: %d, the limit is %d",
		step, short.Name, short.Of(accountant.UnitNeed(j.Steps[step])), short.Of(w.Maximum))
}

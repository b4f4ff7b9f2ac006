package scheduler

import (
	"cmp"
	"slices"

	"daisyhead/internal/workload/accountant"
	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/reducer"
)

// The records of a job's units are removed with its outcome, while its runs may still be being
// stopped. The outcome lists them, so that a successor counts them towards the workspace's limit.

// leftRuns is what may be present on a worker of a job whose outcome is recorded.
type leftRuns struct {
	worker    string
	workspace string
	amount    describer.Resources
	// untilMS is when its lease has certainly expired.
	untilMS int64
}

// leftMemoryMS is how long after an outcome, by the wall clock, runs that it lists may be present:
// the longest delay of an order, and the longest time without the ledger and leases, several times.
const leftMemoryMS = 60_000

// leftOf lists for the outcome of a job where its runs may be present or be started late.
func (m *Model) leftOf(j *job) (left []reducer.LeftRuns) {
	byWorker := map[string]*reducer.LeftRuns{}
	add := func(r *run) {
		counts := r.class != accountant.None && r.class != accountant.Planned && r.class != accountant.Barred
		// The tasks of a gang end together.
		ended := r.class == accountant.Present && r.unit != nil && r.unit.state == unitDone && r.unit.record.Run == r.ref.Run
		if r.ref.Unit.Job != j.id || !counts || ended {
			return
		}
		l := byWorker[r.worker.ID]
		if l == nil {
			l = &reducer.LeftRuns{Worker: r.worker.ID}
			byWorker[r.worker.ID] = l
		}
		l.Need = l.Need.Add(r.quota)
		l.Late = l.Late || m.now.MonoMS < r.lateStartUntilMS || r.startInFlight
	}
	for u := range j.units {
		for _, r := range u.runs {
			add(r)
		}
	}
	for _, r := range m.lateStarts {
		add(r)
	}
	for _, l := range byWorker {
		left = append(left, *l)
	}
	slices.SortFunc(left, func(a, b reducer.LeftRuns) int { return cmp.Compare(a.Worker, b.Worker) })
	return left
}

// adoptLeft counts the runs that may be left of a job that ended under an earlier holder.
func (m *Model) adoptLeft(t *reducer.Job) {
	if t.Outcome == nil || m.now.WallMS-t.Outcome.AtMS > leftMemoryMS {
		return
	}
	for _, l := range t.Outcome.Left {
		w := m.worker(l.Worker)
		r := &leftRuns{worker: l.Worker, workspace: t.Submission.Job.Workspace, amount: l.Need, untilMS: w.leaseEndMS}
		if l.Late {
			r.untilMS = max(r.untilMS, m.startsExpireMS(t.Outcome.Term)+withDrift(m.cfg.LeaseMS))
		}
		if m.now.MonoMS >= r.untilMS {
			continue
		}
		m.accounts.Move(r.workspace, accountant.None, accountant.Unrecorded, r.amount)
		m.left = append(m.left, r)
	}
}

// releaseLeft forgets the runs that may be left on workers that have answered in the term, whose
// reports show them, whose leases have expired, or that are not up.
func (m *Model) releaseLeft() {
	m.left = slices.DeleteFunc(m.left, func(r *leftRuns) bool {
		w := m.workers[r.worker]
		if m.now.MonoMS < r.untilMS && !m.down(r.worker) && !(w != nil && w.answeredInTerm) {
			return false
		}
		m.accounts.Move(r.workspace, accountant.Unrecorded, accountant.None, r.amount)
		m.passNeeded = true
		return true
	})
}

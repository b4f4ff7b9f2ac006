package scheduler

import (
	"fmt"
	"slices"

	"daisyhead/internal/workload/accountant"
	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/throttler"
)

// RunBooking is a run as the holder books it on a worker.
type RunBooking struct {
	Task TaskRef
	// AgeMS is the time since an order for the run was last sent, the run was first known
	// to be present, or its unit changed its state.
	AgeMS int64
}

// BookedRunsForTest returns the runs that occupy capacity on each worker according to the
// holder.
func (m *Model) BookedRunsForTest() map[string][]RunBooking {
	booked := map[string][]RunBooking{}
	for _, w := range m.fleet {
		for _, r := range w.runs.list {
			booked[w.ID] = append(booked[w.ID], RunBooking{Task: r.ref, AgeMS: m.runAgeMS(r)})
		}
	}
	return booked
}

func (m *Model) runAgeMS(r *run) int64 {
	since := max(r.orderSentMS, r.startedMS, m.term.takenOverMS)
	if r.unit != nil {
		since = max(since, r.unit.stateSinceMS)
	}
	return m.now.MonoMS - since
}

// ClosedWorkersForTest returns the listed workers that get no new tasks, with the reason.
// Workers in quarantine are left out if their number is within the limit.
func (m *Model) ClosedWorkersForTest() (closed []string) {
	quarantined := m.quarantinedCount()
	for _, w := range m.fleet {
		inQuarantine := m.quarantinedForFailures(w) || m.quarantinedForSlowness(w)
		if !w.listed || w.Draining || m.Config.Closed[w.Domain] || m.schedulable(w) || inQuarantine && quarantined <= len(m.fleet)/maxQuarantinedDivisor {
			continue
		}
		closed = append(closed, fmt.Sprintf("%s: answered %t, unreached %t, clearing %t, hold in flight %t, queued %t, failures %d, next hold in %d ms, last report %d ms ago, cooldown for %d ms",
			w.ID, w.answered, w.unreachedRecorded, w.unreachedClearing, w.holdInFlight, w.holdQueued, w.holdFailures, w.nextHoldMS-m.now.MonoMS, m.now.MonoMS-w.clockAtMS, w.cooldownUntilMS-m.now.MonoMS))
	}
	return closed
}

// InvariantViolationsForTest returns what contradicts itself in the holder's state: wrong
// counts, and units and jobs that nothing drives on. They hold at any time.
func (m *Model) InvariantViolationsForTest() (violations []string) {
	report := func(format string, args ...any) { violations = append(violations, fmt.Sprintf(format, args...)) }
	for id := range m.Table.Jobs {
		if t, ok := m.Table.Lookup(id); ok && t.Outcome == nil && m.jobs[id] == nil {
			report("job %s is accepted and has not ended, but is not live", id)
		}
	}
	for id, j := range m.jobs {
		if live := slices.Contains(m.liveJobs, j); live == j.ended {
			report("job %s: ended is %t, listed as live %t", id, j.ended, live)
		}
		if !j.ended {
			m.checkLiveJob(j, report)
		}
	}
	for _, w := range m.fleet {
		m.checkWorkerRuns(w, report)
		if w.holdQueued && m.orders.QueueOf(m.now.MonoMS, throttler.KindQuery).Orders+m.orders.QueueOf(m.now.MonoMS, throttler.KindRenewal).Orders == 0 {
			report("worker %s: a hold counts as queued, but no queue has any", w.ID)
		}
	}
	m.checkAccounts(report)
	return violations
}

// checkAccounts checks that the accounts of the workspaces are the sums of their runs.
func (m *Model) checkAccounts(report func(string, ...any)) {
	var want accountant.Accounts
	workspaces := map[string]bool{}
	add := func(workspace string, c accountant.Class, amount describer.Resources) {
		workspaces[workspace] = true
		want.Move(workspace, accountant.None, c, amount)
	}
	for _, w := range m.fleet {
		for _, r := range w.runs.list {
			if r.class != runClass(r) {
				report("worker %s: run %s in state %d counts as %s", w.ID, r.ref.Unit, r.state, r.class)
			}
			add(r.workspace, r.class, r.quota)
		}
	}
	for _, r := range m.lateStarts {
		if r.class != accountant.Late && r.class != accountant.Barred {
			report("late start of %s counts as %s", r.ref.Unit, r.class)
		}
		add(r.workspace, r.class, r.quota)
	}
	for _, l := range m.left {
		add(l.workspace, accountant.Unrecorded, l.amount)
	}
	for _, w := range m.Config.Workspaces {
		workspaces[w.Name] = true
	}
	for w := range workspaces {
		if got := m.accounts.Of(w); got != want.Of(w) {
			report("workspace %s: the accounts have %v, the runs add up to %v", w, got, want.Of(w))
		}
	}
}

// checkLiveJob checks the counts of a job that has not ended, and that it can still end.
func (m *Model) checkLiveJob(j *job, report func(string, ...any)) {
	unfinishedSteps, runs := 0, 0
	for _, o := range j.occurrences {
		unfinished := 0
		for _, s := range o.steps {
			waitingUnits, unfinishedUnits := 0, 0
			for _, u := range s.units {
				runs += len(u.runs)
				if u.state == unitWaiting {
					waitingUnits++
				}
				if u.state != unitDone {
					unfinishedUnits++
				}
				m.checkUnit(u, report)
			}
			if waitingUnits != s.waitingUnits || unfinishedUnits != s.unfinishedUnits {
				report("job %s step %d: %d units wait and %d are unfinished, counted as %d and %d", j.id, s.index, waitingUnits, unfinishedUnits, s.waitingUnits, s.unfinishedUnits)
			}
			if unfinishedUnits > 0 {
				unfinished++
			}
		}
		if unfinished != o.unfinishedSteps {
			report("job %s: %d steps are unfinished, counted as %d", j.id, unfinished, o.unfinishedSteps)
		}
		unfinishedSteps += unfinished
	}
	if unfinishedSteps == 0 {
		report("job %s: all steps are done, but it has not ended", j.id)
	}
	if j.cancelled && runs == 0 {
		report("job %s: it is cancelled and has no runs, but it has not ended", j.id)
	}
}

// checkUnit checks that the state of a unit fits its runs, so that something drives it on.
func (m *Model) checkUnit(u *unit, report func(string, ...any)) {
	states := map[runState]int{}
	for _, r := range u.runs {
		states[r.state]++
		if r.worker.runs.get(r.ref) != r {
			report("unit %s: run %d is not booked on worker %s", u.id, r.ref.Run, r.worker.ID)
		}
	}
	total := len(u.runs)
	ok := true
	switch u.state {
	case unitWaiting:
		ok = total == 0
	case unitRecording:
		ok = total == u.size() && states[runPlanned] == total && len(m.proposer.queued)+len(m.proposer.sent) > 0
	case unitStarting:
		ok = total == u.size() && states[runPresent] < total && states[runStopping]+states[runStopConfirmed] == 0
	case unitRunning:
		ok = total == u.size() && states[runPresent] == total
	case unitStopping:
		ok = total > 0 && states[runStopping]+states[runStopConfirmed] == total
	case unitDone:
		ok = states[runPlanned] == 0
	case unitFailed:
		ok = false
	}
	if !ok {
		report("unit %s: in state %d with runs by state %v", u.id, u.state, states)
	}
}

// checkWorkerRuns checks that each run on a worker belongs to its unit, or is being
// stopped.
func (m *Model) checkWorkerRuns(w *worker, report func(string, ...any)) {
	for _, r := range w.runs.list {
		switch {
		case r.worker != w:
			report("worker %s: run %s of worker %s", w.ID, r.ref.Unit, r.worker.ID)
		case r.unit == nil && r.state != runStopping && r.state != runStopConfirmed:
			report("worker %s: run %s without a unit is in state %d", w.ID, r.ref.Unit, r.state)
		case r.unit != nil && !slices.Contains(r.unit.runs, r):
			report("worker %s: run %s is unknown to its unit", w.ID, r.ref.Unit)
		}
	}
}

// EstimateFactorForTest returns the correction of the estimates of a queue's callers.
func (m *Model) EstimateFactorForTest(queue string) float64 {
	return m.sequencing.estimates.Factor(queue)
}

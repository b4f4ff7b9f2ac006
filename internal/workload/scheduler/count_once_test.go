package scheduler_test

import (
	"fmt"
	"testing"

	"daisyhead/internal/workload/reducer"
	"daisyhead/internal/workload/scheduler"
)

// holdUpFirstStarts leaves the first start of run 1 of each task without an answer and executes
// it late. Its repetition is answered. Tasks are named JOB/MEMBER.
func (sim *simulation) holdUpFirstStarts(delayMS int64, tasks ...string) {
	sent := map[string]bool{}
	sim.lateOrder = func(_ string, c scheduler.Command) (int64, bool) {
		start, isStart := c.(scheduler.StartCmd)
		if !isStart || start.Task.Run != 1 {
			return 0, false
		}
		for _, t := range tasks {
			if t == fmt.Sprintf("%s/%d", start.Task.Unit.Job, start.Task.Member) && !sent[t] {
				sent[t] = true
				return delayMS, true
			}
		}
		return 0, false
	}
}

// recordOf returns the record of the job's first unit.
func (sim *simulation) recordOf(t *testing.T, job string) reducer.Unit {
	t.Helper()
	table := reducer.New()
	for i, r := range sim.ledger.records {
		if err := table.Apply(uint64(i), r); err != nil {
			t.Fatal(err)
		}
	}
	j, ok := table.Lookup(job)
	if !ok {
		t.Fatalf("job %s is not recorded", job)
	}
	return j.Units[reducer.UnitID{Job: job}]
}

// expectCountedOnce changes the holder several times after the unit's first run has failed, and
// checks that the failure counts once and the job completes.
func (sim *simulation) expectCountedOnce(t *testing.T, job string, changes int) {
	t.Helper()
	for sim.checker.jobs[job].lastEndMS == 0 && sim.nowMS < 15000 {
		sim.run(sim.nowMS + 10)
	}
	sim.checker.jobs[job].fails = false
	sim.run(sim.nowMS + 500)
	for range changes {
		if got := sim.recordOf(t, job); got.Failures > 1 {
			t.Errorf("at %d ms: %d failures are counted after one failed run", sim.nowMS, got.Failures)
		}
		h := sim.holder()
		h.send(scheduler.ShutdownMsg{})
		sim.run(sim.nowMS + 200)
		h.kill()
		h.start()
		sim.run(sim.nowMS + 2500)
	}
	sim.run(sim.nowMS + 60000)
	sim.checkJobStates(t, map[string]reducer.State{job: reducer.StateCompleted})
	sim.expectConsistentHolder(t)
}

// TestFailureCountsOnceAcrossHolders guards against a job that is shown as failed after fewer
// failed runs than it has attempts.
//
// A task fails while its unanswered start may still be executed, and its worker lists the end
// under each of the next holders, since an earlier end there can't be confirmed yet.
func TestFailureCountsOnceAcrossHolders(t *testing.T) {
	sim := newSimulation(t, 1, 3)
	sim.addWorkers(1, 1)
	sim.traceJob(*tracedJob)
	sim.startAll()
	sim.run(3000)
	sim.holdUpFirstStarts(11000, jobA+"/0", jobB+"/0")
	sim.submit("render", "b", jobB, independentTasks(1, 1, 1500))
	sim.run(5500)
	sim.submit("render", "a", jobA, independentTasks(1, 1, 1500))
	sim.checker.jobs[jobA].fails = true
	sim.expectCountedOnce(t, jobA, 3)
}

// TestGangFailureCountsOnceAcrossHolders guards against the same fault where a gang waits for
// the unanswered start of one member.
func TestGangFailureCountsOnceAcrossHolders(t *testing.T) {
	sim := newSimulation(t, 1, 3)
	sim.addWorkers(1, 3)
	sim.traceJob(*tracedJob)
	sim.startAll()
	sim.run(3000)
	sim.holdUpFirstStarts(11000, jobA+"/0", jobB+"/0", jobB+"/1", jobB+"/2")
	sim.submit("render", "b", jobB, independentTasks(3, 6, 1500))
	sim.run(5500)
	sim.submit("render", "a", jobA, gangStep(3, 6, 1500))
	sim.checker.jobs[jobA].fails = true
	sim.expectCountedOnce(t, jobA, 3)
}

// TestCrashCountsOnceAcrossHolders guards against a job that is given up for crashes which
// were counted again by each holder.
//
// A worker crashes under a member of a gang whose unanswered start may still be executed. The
// ends of the rest are recorded with the crash, and stay listed.
func TestCrashCountsOnceAcrossHolders(t *testing.T) {
	sim := newSimulation(t, 1, 3)
	sim.addWorkers(1, 3)
	sim.traceJob(*tracedJob)
	sim.startAll()
	sim.run(3000)
	sim.holdUpFirstStarts(11000, jobA+"/0", jobB+"/0", jobB+"/1", jobB+"/2")
	sim.submit("render", "b", jobB, independentTasks(3, 6, 1500))
	sim.run(5500)
	sim.submit("render", "a", jobA, gangStep(3, 6, 5000))
	sim.run(8000)
	for _, f := range sim.workers {
		if runs := f.sortedRuns(); len(runs) == 1 && runs[0].ref.Member == 0 {
			f.crash(100)
		}
	}
	sim.run(sim.nowMS + 500)
	for range 3 {
		h := sim.holder()
		h.send(scheduler.ShutdownMsg{})
		sim.run(sim.nowMS + 200)
		h.kill()
		h.start()
		sim.run(sim.nowMS + 2000)
		if got := sim.recordOf(t, jobA).Crashes; len(got) != 1 {
			t.Errorf("at %d ms: %d crashes are counted after one: %+v", sim.nowMS, len(got), got)
		}
	}
	sim.run(sim.nowMS + 60000)
	sim.checkJobStates(t, map[string]reducer.State{jobA: reducer.StateCompleted})
	sim.expectNoViolations(t)
}

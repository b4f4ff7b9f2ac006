package scheduler_test

import (
	"testing"

	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/scheduler"
)

// TestTasksOutliveLongListOfEnds guards against tasks that run again because their ends don't
// fit into a report.
//
// A worker returns at most 500 ends at a time. The first is not confirmed for as long as a
// start of its task may be executed late, and none after it.
func TestTasksOutliveLongListOfEnds(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 1, 3)
	sim.addWorkers(1, 1)
	sim.traceJob(*tracedJob)
	sim.startAll()
	sim.run(3000)
	f := sim.workers[sim.workerIDs[0]]
	f.maxListedEnds = 500
	held := false
	sim.lateOrder = func(_ string, c scheduler.Command) (delayMS int64, late bool) {
		start, isStart := c.(scheduler.StartCmd)
		if held || !isStart || start.Task.Unit.Job != jobB {
			return 0, false
		}
		held = true
		return maxOrderDelayMS, true
	}
	sim.submit("render", "b", jobB, independentTasks(1, 0, 200))
	step := independentTasks(5000, 0, 100)
	step.Need = describer.Resources{CPU: 500, MemoryMB: 64}
	sim.submit("render", "a", jobA, step)
	gone := 0
	sim.trace = func(_ string, e scheduler.EventCmd) {
		if e.Name == "RunGone" {
			gone++
		}
	}
	sim.run(40000)
	if gone > 0 {
		t.Errorf("%d runs were taken for lost, want 0", gone)
	}
	if n := len(sim.checker.violations); n > 0 {
		t.Errorf("%d invariants are violated, the first: %s", n, sim.checker.violations[0])
	}
}

package scheduler_test

import (
	"testing"

	"daisyhead/internal/workload/reducer"
)

// TestJobThatHasNotBegunIsPending guards against an accepted job that is missing from the
// pending count and shown as running while it waits for its unanswered start.
//
// Another job runs although a first start of it may still be executed; it must not be pending.
func TestJobThatHasNotBegunIsPending(t *testing.T) {
	sim := newSmallFleet(t)
	sim.traceJob(*tracedJob)
	sim.holdUpFirstStarts(11000, jobB+"/0")
	sim.submit("render", "b", jobB, independentTasks(1, 8, lateStartWorkMS))
	sim.run(5500)
	h := sim.holdUpStarts(jobA, 0, everyStart, 17000)
	sim.submit("render", "a", jobA, independentTasks(1, 8, 2000))
	sim.run(10000)
	h.max = h.sent
	if n := len(sim.checker.jobs[jobA].startTimesMS); n > 0 {
		t.Fatalf("the task has started %d times", n)
	}
	for _, i := range sim.instances {
		if got := i.model.Table.PendingByQueue["render"]; got != 1 {
			t.Errorf("instance %s counts %d pending jobs, want 1", i.name, got)
		}
	}
	sim.checkJobStates(t, map[string]reducer.State{jobA: reducer.StateQueued, jobB: reducer.StateRunning})
	sim.run(60000)
	sim.checkJobStates(t, map[string]reducer.State{jobA: reducer.StateCompleted, jobB: reducer.StateCompleted})
}

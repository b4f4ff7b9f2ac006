package scheduler_test

import "testing"

// TestUnitOutlivesUnhealthyBar guards against a task that waits for as long as a worker
// refuses orders.
//
// A start gets no answer and the worker restarts. It answers holds, which show for longer than
// any order takes that the task is not there, but it refuses the order to reject the start.
func TestUnitOutlivesUnhealthyBar(t *testing.T) {
	sim := newSmallFleet(t)
	sim.traceJob(*tracedJob)
	h := sim.holdUpStarts(jobA, 0, 1000, 9002)
	sim.submit("render", "a", jobA, independentTasks(1, 8, 2000))
	sim.run(7500)
	h.expectStopConfirmed(t)
	h.max = h.sent
	sim.after(400, func() { h.worker.refuses = true })
	h.worker.restartAt(8000)
	sim.run(40000)
	if !sim.checker.stepDone(jobA, 0) {
		t.Errorf("at %d ms: the task has not run", sim.nowMS)
	}
	sim.expectNoViolations(t)
}

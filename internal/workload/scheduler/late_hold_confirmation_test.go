package scheduler_test

import "testing"

// runUntilLate runs until the worker executes an order or a hold late.
func (sim *simulation) runUntilLate(f *fakeWorker, withinMS int64) bool {
	for executed, endMS := f.lateExecuted, sim.nowMS+withinMS; sim.nowMS < endMS; sim.run(sim.nowMS + 1) {
		if f.lateExecuted > executed {
			return true
		}
	}
	return false
}

// TestLateHoldForgetsEndOfNextLife guards against a start after a task's end was confirmed.
//
// A hold that confirms ends gets no answer, and the worker restarts, which numbers its ends
// anew. The hold is executed late, while the worker is cut off and lists ends that the holder
// has not seen.
func TestLateHoldForgetsEndOfNextLife(t *testing.T) {
	cases := 0
	for seed := range uint64(20) {
		sim := newSimulation(t, seed, 3)
		sim.addWorkers(1, 1)
		sim.traceJob(*tracedJob)
		sim.startAll()
		sim.run(3000)
		f := sim.workers[sim.workerIDs[0]]
		sim.submit("batch", "b", jobB, independentTasks(4, 1, 200))
		sim.run(5000)
		sim.leaveHoldUnanswered(f)
		sim.run(sim.nowMS + 3000)
		sim.submit("render", "a", jobA, independentTasks(1, 1, 1000))
		sim.run(sim.nowMS + 500)
		if f.lateExecuted > 0 {
			continue
		}
		f.unreachable = true
		late := sim.runUntilLate(f, 5000)
		ended := sim.checker.stepDone(jobA, 0)
		f.unreachable = false
		sim.run(sim.nowMS + 20000)
		if late && ended {
			cases++
		}
		sim.expectNoViolations(t)
		if t.Failed() {
			return
		}
	}
	if cases == 0 {
		t.Error("no seed produces the case under test")
	}
}

package scheduler_test

import (
	"testing"

	"daisyhead/internal/workload/reducer"
	"daisyhead/internal/workload/scheduler"
)

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

// TestLateHoldForgetsEndOfRepeatedStart guards against the same with a task whose start got no
// answer, as the worker restarted, and is repeated in the next life: if the holder repeats it
// while the hold may be executed, the worker is cut off until then.
func TestLateHoldForgetsEndOfRepeatedStart(t *testing.T) {
	cases := 0
	for offsetMS := int64(0); offsetMS < 5000; offsetMS += 100 {
		sim := newSimulation(t, 1, 3)
		sim.addWorkers(1, 1)
		sim.traceJob(*tracedJob)
		sim.startAll()
		sim.run(3000)
		f := sim.workers[sim.workerIDs[0]]
		held, lost, pending := false, false, false
		sim.lateOrder = func(_ string, c scheduler.Command) (delayMS int64, late bool) {
			switch c := c.(type) {
			case scheduler.HoldCmd:
				if c.ConfirmedEnd > 0 && !held {
					held = true
					return 9000, true
				}
			case scheduler.StartCmd:
				if c.Task.Unit.Job == jobA && !lost {
					lost = true
					f.crash(200)
					sim.after(201, func() { pending = len(sim.lateResults) == 0 })
				}
			}
			return 0, false
		}
		sim.submit("batch", "b", jobB, independentTasks(4, 1, 200))
		sim.run(6500 + offsetMS)
		sim.submit("render", "a", jobA, independentTasks(1, 1, 1000))
		for len(sim.checker.jobs[jobA].startTimesMS) == 0 && sim.nowMS < 15000 {
			sim.run(sim.nowMS + 1)
		}
		for len(sim.lateResults) == 0 && sim.nowMS < 20000 {
			f.unreachable = true
			sim.run(sim.nowMS + 1)
		}
		if held && lost && pending {
			cases++
		}
		f.unreachable = false
		sim.run(sim.nowMS + 30000)
		sim.checkJobStates(t, map[string]reducer.State{jobA: reducer.StateCompleted})
		if t.Failed() {
			return
		}
	}
	if cases == 0 {
		t.Error("no offset produces the case under test")
	}
}

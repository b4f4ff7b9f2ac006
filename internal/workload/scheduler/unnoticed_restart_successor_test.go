package scheduler_test

import (
	"testing"

	"daisyhead/internal/workload/scheduler"
)

// TestLateRenewalAfterUnnoticedRestartUnderSuccessor does the same as
// TestLateRenewalAfterUnnoticedRestart with a holder that is lost before the hold is executed,
// and after it has recorded that no start of the task is unanswered.
func TestLateRenewalAfterUnnoticedRestartUnderSuccessor(t *testing.T) {
	const restartMS = 120
	sim := newSmallFleet(t)
	sim.traceJob(*tracedJob)
	sim.run(15000)
	sim.submit("render", "b", jobB, independentTasks(1, 1, 60000))
	sim.run(16000)
	f := sim.workerRunning(t, jobB)
	for _, o := range sim.workers {
		if o != f {
			o.drain()
		}
	}
	sim.run(17000)
	heldUp := false
	sim.lateOrder = func(worker string, c scheduler.Command) (delayMS int64, late bool) {
		hold, isHold := c.(scheduler.HoldCmd)
		if heldUp || !isHold || worker != f.id || hold.DeadlineMS == 0 {
			return 0, false
		}
		heldUp = true
		sim.after(10, func() { f.crash(100) })
		return 6050, true
	}
	for !heldUp {
		sim.run(sim.nowMS + 1)
	}
	sim.run(sim.nowMS + restartMS)
	sim.submit("render", "a", jobA, independentTasks(1, 4, 60000))
	for len(f.runs) == 0 && sim.nowMS < 25000 {
		sim.run(sim.nowMS + 1)
	}
	if len(f.runs) == 0 {
		t.Fatal("the task was not started in the next life")
	}
	sim.run(sim.nowMS + 300)
	f.unreachable = true
	for _, o := range sim.workers {
		o.spec.Draining = false
	}
	h := sim.holder()
	h.kill()
	h.start()
	sim.run(sim.nowMS + 30000)
	f.unreachable = false
	sim.run(sim.nowMS + 5000)
	if len(sim.lateResults) == 0 {
		t.Error("no hold was executed late")
	}
	sim.expectNoViolations(t)
}

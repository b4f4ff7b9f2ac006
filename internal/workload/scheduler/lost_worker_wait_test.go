package scheduler_test

import (
	"testing"

	"daisyhead/internal/workload/scheduler"
)

// TestPerpetualTaskOutlivesLossDuringStart guards against a task that lasts and stays away for
// longer than the platform allows after its worker was lost for good while it was started.
func TestPerpetualTaskOutlivesLossDuringStart(t *testing.T) {
	// From 6 s after its last run, it may be away for 3 s; the loss itself counts as a
	// disruption for 4 s.
	const maxAwayMS = 13000
	sim := newSmallFleet(t)
	sim.traceJob(*tracedJob)
	var lost *fakeWorker
	lostMS := int64(0)
	sim.lateOrder = func(worker string, c scheduler.Command) (delayMS int64, late bool) {
		if _, isStart := c.(scheduler.StartCmd); isStart && lost == nil {
			lost, lostMS = sim.workers[worker], sim.nowMS
			lost.crash(600000)
			sim.after(3000, func() { lost.unlisted = true })
		}
		return 0, false
	}
	step := independentTasks(1, 8, 600000)
	step.Perpetual = true
	sim.submit("render", "a", jobA, step)
	sim.run(4000)
	if lost == nil {
		t.Fatal("the task was not started")
	}
	for len(sim.checker.jobs[jobA].startTimesMS) == 0 && sim.nowMS < 60000 {
		sim.run(sim.nowMS + 10)
	}
	if awayMS := sim.nowMS - lostMS; awayMS > maxAwayMS {
		t.Errorf("the task was started again %d ms after the loss of its worker, want at most %d ms", awayMS, maxAwayMS)
	}
}

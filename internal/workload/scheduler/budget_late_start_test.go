package scheduler_test

import (
	"testing"

	"daisyhead/internal/workload/scheduler"
)

// TestFailedTaskStartsAgainAfterRestart guards against a start after the last attempt of a task
// has failed and that end was confirmed.
//
// The first start of the last attempt gets no answer, but its repetition does. The late start
// reaches the worker after a restart.
func TestFailedTaskStartsAgainAfterRestart(t *testing.T) {
	sim := newSmallFleet(t)
	sim.traceJob(*tracedJob)
	const attempts = 3
	var f *fakeWorker
	executeAtMS := int64(0)
	sim.lateOrder = func(worker string, c scheduler.Command) (delayMS int64, late bool) {
		start, isStart := c.(scheduler.StartCmd)
		if !isStart || f != nil || start.Task.Run != attempts {
			return 0, false
		}
		f, executeAtMS = sim.workers[worker], sim.nowMS+8000
		return 8000, true
	}
	sim.submit("render", "a", jobA, independentTasks(1, 8, 2000))
	sim.checker.jobs[jobA].fails = true
	for f == nil && sim.nowMS < 30000 {
		sim.run(sim.nowMS + 10)
	}
	if f == nil {
		t.Fatal("the last attempt was not started")
	}
	sim.run(executeAtMS - 500)
	confirmed := len(f.ends) == 0 && f.lastEndNumber > 0
	starts := len(sim.checker.jobs[jobA].startTimesMS)
	f.restartAt(executeAtMS - 2)
	sim.run(executeAtMS + 20000)
	got := len(sim.checker.jobs[jobA].startTimesMS)
	if starts != attempts {
		t.Fatalf("the task was started %d times before the late start, want %d", starts, attempts)
	}
	if confirmed && got > attempts {
		t.Errorf("the task was started %d times, and the end of the last of %d attempts was confirmed before", got, attempts)
	}
}

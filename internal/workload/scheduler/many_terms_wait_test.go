package scheduler_test

import "testing"

// TestLateStartsExpireDespiteKilledHolders guards against a task that waits anew with each term
// for a start that can't be executed any more.
func TestLateStartsExpireDespiteKilledHolders(t *testing.T) {
	// The last of the starts is sent before 6 s and executed before 19 s, and its lease ends
	// before 26 s.
	const maxStartMS = 30000
	sim := newSmallFleet(t)
	sim.traceJob(*tracedJob)
	h := sim.holdUpStarts(jobA, 0, 1000, 14900)
	sim.submit("render", "a", jobA, independentTasks(1, 8, lateStartWorkMS))
	sim.run(5000)
	h.max = h.sent
	h.worker.down = true
	for sim.nowMS < 60000 && len(sim.checker.jobs[jobA].startTimesMS) == 0 {
		if i := sim.holder(); i != nil {
			i.kill()
			sim.after(1000, i.start)
		}
		sim.run(sim.nowMS + 5000)
	}
	if starts := sim.checker.jobs[jobA].startTimesMS; len(starts) == 0 || starts[0] > maxStartMS {
		t.Errorf("the task was started at %v ms, want once before %d ms", starts, maxStartMS)
	}
}

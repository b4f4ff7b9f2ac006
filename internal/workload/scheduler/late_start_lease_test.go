package scheduler_test

import "testing"

// TestTaskRunsTwiceBehindLateCut guards against two runs of one task at a time.
//
// The first start of a task is late, and its repetition is answered. The worker is cut off
// seconds later and restarts there, so that the late start is executed once more, with a lease
// of its own. The holder's lease ends after the start's longest delay, but before that lease.
func TestTaskRunsTwiceBehindLateCut(t *testing.T) {
	sim := newSmallFleet(t)
	sim.traceJob(*tracedJob)
	h := sim.holdUpStarts(jobA, 0, 1, 14900)
	sim.submit("render", "a", jobA, independentTasks(1, 8, lateStartWorkMS))
	sim.run(11000)
	if len(h.worker.runs) != 1 {
		t.Fatalf("worker %s has %d runs, want the repeated start's", h.worker.id, len(h.worker.runs))
	}
	h.worker.unreachable = true
	h.worker.restartAt(14000)
	sim.after(14000, func() { h.worker.unreachable = false })
	h.expectOneRunAtATime(t)
}

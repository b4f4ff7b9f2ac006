package scheduler_test

import "testing"

// leaveHoldUnanswered leaves the holds of the next seconds unanswered, to be executed late, and
// then restarts the worker.
func (sim *simulation) leaveHoldUnanswered(f *fakeWorker) {
	sim.lateHoldRate = 1
	sim.run(sim.nowMS + 2100)
	sim.lateHoldRate = 0
	f.crash(100)
}

// TestLateHoldExtendsLeaseOfNextLife guards against two runs of a gang at a time.
//
// A hold with a lease gets no answer, and the worker restarts. The hold is executed late, when
// its deadline lies far ahead on the new clock, and the worker is cut off right after. A gang
// that was started there since runs on for a whole lease from then.
func TestLateHoldExtendsLeaseOfNextLife(t *testing.T) {
	cases := 0
	for seed := range uint64(60) {
		sim := newSimulation(t, seed, 3)
		sim.addWorkers(1, 5)
		sim.traceJob(*tracedJob)
		sim.startAll()
		sim.run(20000)
		sim.submit("render", "a", jobA, gangStep(2, 4, 60000))
		sim.run(22000)
		f := sim.workerRunning(t, jobA)
		sim.leaveHoldUnanswered(f)
		leaseEndMS := int64(0)
		for f.lateExecuted == 0 && sim.nowMS < 40000 {
			leaseEndMS = f.leaseEndMS
			sim.run(sim.nowMS + 1)
		}
		if len(f.runs) < 2 || f.leaseEndMS-leaseEndMS < 1000 {
			continue
		}
		cases++
		f.unreachable = true
		sim.run(sim.nowMS + 2*leaseMS)
		f.unreachable = false
		sim.run(sim.nowMS + 5000)
		sim.expectNoViolations(t)
		if t.Failed() {
			return
		}
	}
	if cases == 0 {
		t.Error("no seed produces the case under test")
	}
}

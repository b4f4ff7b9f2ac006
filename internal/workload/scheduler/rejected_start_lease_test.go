package scheduler_test

import "testing"

// TestRejectedLateStartExtendsLease guards against two runs of a gang at a time.
//
// A start that gets no answer is barred in its worker's next life. It is executed late: the
// worker rejects it but takes its deadline, which lies far ahead on the new clock, and is cut
// off right after. A gang that was started there since runs on for a whole lease from then.
func TestRejectedLateStartExtendsLease(t *testing.T) {
	cases := 0
	for seed := range uint64(100) {
		sim := newSimulation(t, seed, 3)
		sim.addWorkers(1, 5)
		sim.traceJob(*tracedJob)
		sim.startAll()
		sim.run(20000)
		sim.lateOrderRate = 1
		sim.submit("render", "a", jobB, independentTasks(1, 1, 60000))
		sim.run(20200)
		sim.lateOrderRate = 0
		sim.cancel(jobB)
		sim.run(22200)
		var f *fakeWorker
		for _, g := range sim.workers {
			if len(g.highestEndedRun) > 0 {
				f = g
			}
		}
		if f == nil || f.lateExecuted > 0 {
			continue
		}
		f.crash(100)
		for _, g := range sim.workers {
			g.spec.Draining, g.spec.RemainingMS = g != f, 60000
		}
		sim.run(25000)
		barred := len(f.highestEndedRun) > 0
		sim.submit("render", "a", jobA, gangStep(2, 4, 60000))
		leaseEndMS := int64(0)
		for f.lateExecuted == 0 && sim.nowMS < 40000 {
			leaseEndMS = f.leaseEndMS
			sim.run(sim.nowMS + 1)
		}
		if !barred || len(f.runs) < 2 || f.leaseEndMS-leaseEndMS < 1000 {
			continue
		}
		cases++
		f.unreachable = true
		for _, g := range sim.workers {
			g.spec.Draining = false
		}
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

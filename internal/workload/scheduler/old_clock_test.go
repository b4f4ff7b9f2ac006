package scheduler_test

import "testing"

// TestStartReachesNextLifeWithOldClock guards against two runs of a task at a time.
//
// A worker restarts while a start for it is under way, and is cut off right after the start was
// executed. The start's deadline lies far ahead on the new clock, so the lease takes its longest
// time from the execution.
func TestStartReachesNextLifeWithOldClock(t *testing.T) {
	sim := newSimulation(t, 1, 3)
	sim.addWorkers(1, 3)
	for _, f := range sim.workers {
		f.clockRate = 0.98
	}
	sim.traceJob(*tracedJob)
	sim.startAll()
	sim.run(20000)
	sim.orderCongestionMS, sim.maxLatencyMS = requestTimeoutMS, 290
	sim.submit("render", "a", jobA, independentTasks(1, 8, 60000))
	for sim.ordersInFlight == 0 {
		sim.run(sim.nowMS + 1)
	}
	sim.run(sim.nowMS + 10)
	for _, f := range sim.workers {
		f.crash(200)
	}
	for sim.ordersInFlight > 0 {
		sim.run(sim.nowMS + 1)
	}
	sim.orderCongestionMS = 0
	sim.workerRunning(t, jobA).unreachable = true
	sim.run(40000)
	sim.expectNoViolations(t)
}

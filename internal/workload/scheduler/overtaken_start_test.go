package scheduler_test

import "testing"

// TestStartOvertakenByEarlierReport guards against two runs of a gang at a time.
//
// A worker answers a hold and restarts at once. A start that was sent before the answer
// arrived reaches the next life, which runs the gang and answers. The holder must not take
// the gang for lost with the earlier life.
func TestStartOvertakenByEarlierReport(t *testing.T) {
	for offset := int64(0); offset < 2000; offset += 20 {
		sim := newSimulation(t, 1, 3)
		sim.orderLatencyMS = 100
		sim.addWorkers(1, 3)
		sim.traceJob(*tracedJob)
		sim.startAll()
		sim.run(20000 + offset)
		sim.submit("render", "a", jobA, gangStep(2, 4, 20000))
		for sim.ordersInFlight == 0 {
			sim.run(sim.nowMS + 1)
		}
		sim.run(sim.nowMS + 40)
		for _, f := range sim.workers {
			f.crash(20)
		}
		sim.run(40000)
		sim.expectNoViolations(t)
	}
}

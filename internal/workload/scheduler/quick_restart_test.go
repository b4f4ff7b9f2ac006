package scheduler_test

import "testing"

// TestConfirmationOutlivesQuickRestart guards against ends that a worker forgets although the
// holder has not seen them, so that their tasks run again.
//
// A worker whose ends were confirmed restarts between two holds. A task that was started
// there meanwhile has ended when the next hold arrives.
func TestConfirmationOutlivesQuickRestart(t *testing.T) {
	const jobC = "cccccccccccccccc"
	for submitMS := int64(4200); submitMS < 4800; submitMS += 20 {
		for crashMS := submitMS; crashMS < submitMS+400; crashMS += 20 {
			sim := newSimulation(t, 1, 3)
			sim.addWorkers(1, 1)
			sim.traceJob(*tracedJob)
			sim.startAll()
			sim.run(3000)
			sim.submit("batch", "b", jobB, independentTasks(4, 1, 200))
			sim.run(4000)
			sim.ledger.slowMS = 150
			sim.submit("urgent", "a", jobC, independentTasks(1, 1, 300))
			sim.after(submitMS-4000, func() { sim.submit("urgent", "a", jobA, independentTasks(1, 1, 50)) })
			sim.after(crashMS-4000, func() { sim.workers[sim.workerIDs[0]].crash(10) })
			sim.run(20000)
			sim.expectNoViolations(t)
		}
	}
}

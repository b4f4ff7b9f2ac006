package scheduler_test

import (
	"testing"

	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/scheduler"
)

// TestEndsAreConfirmedAfterHandover guards against ends that stay unconfirmed for seconds after
// a planned change of the holder, without any late order.
func TestEndsAreConfirmedAfterHandover(t *testing.T) {
	t.Parallel()
	const maxWaitMS = 5000
	sim := newSimulation(t, 1, 3)
	sim.addWorkers(2, 5)
	sim.traceJob(*tracedJob)
	sim.startAll()
	sim.run(3000)
	step := independentTasks(12000, 0, 300)
	step.Need = describer.Resources{CPU: 4000, MemoryMB: 1000}
	sim.submit("render", "a", jobA, step)
	sim.run(8000)
	sim.holder().send(scheduler.ShutdownMsg{})
	listedSinceMS := map[string]map[int64]int64{}
	late, all := 0, 0
	for sim.nowMS < 28000 {
		sim.run(sim.nowMS + 50)
		for _, id := range sim.workerIDs {
			f, since := sim.workers[id], map[int64]int64{}
			for _, e := range f.ends {
				if before, known := listedSinceMS[id][e.Number]; known {
					since[e.Number] = before
				} else {
					since[e.Number] = sim.nowMS
					all++
				}
				if sim.nowMS-since[e.Number] == maxWaitMS {
					late++
				}
			}
			listedSinceMS[id] = since
		}
	}
	if 5*late > all {
		t.Errorf("%d of %d ends were not confirmed within %d ms", late, all, maxWaitMS)
	}
	sim.expectNoViolations(t)
}

package scheduler_test

import (
	"fmt"
	"testing"

	"daisyhead/internal/workload/scheduler"
)

// TestEndsAreConfirmedDespiteSteadyStarts guards against ends that are never confirmed on a
// worker to which starts are sent all the time, since a confirmation has to wait for a report
// that is later than the latest start.
func TestEndsAreConfirmedDespiteSteadyStarts(t *testing.T) {
	for _, latencyMS := range []int64{2, 20, 60} {
		sim := newSimulation(t, 1, 3)
		sim.addWorkers(1, 1)
		sim.startAll()
		sim.run(3000)
		sim.orderLatencyMS = latencyMS
		f := sim.workers[sim.workerIDs[0]]
		for n := range 40 {
			sim.submit("batch", "b", fmt.Sprintf("bb%014x", n), independentTasks(32, 1, 150+int64(7*n)))
		}
		listedSinceMS := map[int64]int64{}
		longestMS := int64(0)
		for sim.nowMS < 40000 {
			sim.run(sim.nowMS + 5)
			for _, e := range f.ends {
				if listedSinceMS[e.Number] == 0 {
					listedSinceMS[e.Number] = sim.nowMS
				}
				longestMS = max(longestMS, sim.nowMS-listedSinceMS[e.Number])
			}
		}
		if longestMS > 1500 || len(listedSinceMS) < 500 {
			t.Errorf("with a latency of %d ms, one of %d ends was listed for %d ms", latencyMS, len(listedSinceMS), longestMS)
		}
		sim.expectNoViolations(t)
	}
}

// TestWithheldConfirmationDelaysNoStarts guards against starts that wait because a confirmation
// is withheld while another start to their worker gets no answer.
func TestWithheldConfirmationDelaysNoStarts(t *testing.T) {
	sim := newSimulation(t, 1, 3)
	sim.addWorkers(1, 1)
	sim.startAll()
	sim.run(3000)
	f := sim.workers[sim.workerIDs[0]]
	for n := range 40 {
		sim.submit("batch", "b", fmt.Sprintf("bb%014x", n), independentTasks(32, 1, 200+int64(7*n)))
	}
	sim.run(8000)
	lateSentMS := int64(0)
	sim.lateOrder = func(_ string, c scheduler.Command) (delayMS int64, late bool) {
		if _, isStart := c.(scheduler.StartCmd); isStart && lateSentMS == 0 {
			lateSentMS = sim.nowMS
			return maxOrderDelayMS, true
		}
		return 0, false
	}
	sim.run(10000)
	lastMS, longestMS := lateSentMS, int64(0)
	for _, startMS := range f.startTimesMS {
		if startMS > lateSentMS && startMS < lateSentMS+requestTimeoutMS {
			longestMS = max(longestMS, startMS-lastMS)
			lastMS = startMS
		}
	}
	longestMS = max(longestMS, lateSentMS+requestTimeoutMS-lastMS)
	if lateSentMS == 0 || longestMS > 250 {
		t.Errorf("after a late start at %d ms, nothing started on its worker for %d ms", lateSentMS, longestMS)
	}
}

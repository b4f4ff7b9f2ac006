package scheduler_test

import (
	"fmt"
	"testing"
)

// TestScheduleWithLateOrdersAndRestarts guards against runs that overlap, or start again after
// their end, because a start is executed late by a worker that has restarted under its ID.
func TestScheduleWithLateOrdersAndRestarts(t *testing.T) {
	for n := range *seedCount {
		seed := *firstSeed + n
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			runRandomScheduleWithLatency(t, seed, defaultOrderLatencyMS, (*simulation).delayOrdersAndRestartWorkers)
		})
	}
}

// delayOrdersAndRestartWorkers makes 3 of 10 orders late for 31 s. Every 0.7 s, it restarts a
// worker, or cuts one off that restarts behind the cut.
func (sim *simulation) delayOrdersAndRestartWorkers() {
	sim.lateOrderRate = 0.3
	for atMS := int64(500); atMS < 30000; atMS += 700 {
		sim.after(atMS, func() {
			f := sim.workers[sim.workerIDs[sim.rng.IntN(len(sim.workerIDs))]]
			switch sim.rng.IntN(3) {
			case 0:
				f.crash(300 + sim.rng.Int64N(1500))
			case 1:
				f.unreachable = true
				f.crash(300 + sim.rng.Int64N(1500))
				sim.after(1000+sim.rng.Int64N(15000), func() { f.unreachable = false })
			}
		})
	}
	sim.after(31000, func() { sim.lateOrderRate = 0 })
}

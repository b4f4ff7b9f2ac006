package scheduler_test

import (
	"testing"

	"daisyhead/internal/workload/scheduler"
)

// TestClockStepKeepsTerm guards against a holder that asks others to take over because its wall
// clock was set forward while an append was in flight.
func TestClockStepKeepsTerm(t *testing.T) {
	for atMS := int64(12000); atMS < 12300; atMS += 10 {
		sim := newSimulation(t, 1, 3)
		sim.addWorkers(1, 3)
		sim.startAll()
		sim.ledger.slowMS = 100
		sim.run(10000)
		yields := 0
		sim.trace = func(_ string, e scheduler.EventCmd) {
			if e.Name == "TermYielded" {
				yields++
			}
		}
		sim.run(atMS)
		h := sim.holder()
		h.wallOffsetMS = 3500
		sim.run(20000)
		if yields > 0 || sim.holder() != h {
			t.Errorf("clock step at %d ms: %d requests to take over, the holder is %s, want none and %s", atMS, yields, sim.holder().name, h.name)
		}
	}
}

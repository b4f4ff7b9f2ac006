package scheduler_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestScheduleWithLateOrdersAndRestarts guards against runs that overlap, or start again after
// their end, because a start is executed late by a worker that has restarted under its ID.
func TestScheduleWithLateOrdersAndRestarts(t *testing.T) {
	testLateSchedules(t, func(t *testing.T, sim *simulation) {
		sim.expectUsableFleet(t)
		sim.expectNoneOf(t, func(violation string) bool { return !exceedsCapacity(violation) && !followsCompletion(violation) })
	})
}

// TestCompletedJobsWithLateOrdersAndRestarts guards against jobs that run again after callers
// have seen them as completed.
func TestCompletedJobsWithLateOrdersAndRestarts(t *testing.T) {
	testLateSchedules(t, func(t *testing.T, sim *simulation) { sim.expectNoneOf(t, followsCompletion) })
}

// TestCapacityWithLateOrdersAndRestarts guards against workers that run more than fits, because
// they have restarted under their ID and execute a start late beside new work.
func TestCapacityWithLateOrdersAndRestarts(t *testing.T) {
	testLateSchedules(t, func(t *testing.T, sim *simulation) { sim.expectNoneOf(t, exceedsCapacity) })
}

// TestJobsOutliveLateOrdersAndRestarts guards against jobs that fail for restarts of workers.
func TestJobsOutliveLateOrdersAndRestarts(t *testing.T) {
	testLateSchedules(t, func(t *testing.T, sim *simulation) { sim.expectFinalStates(t) })
}

// testLateSchedules runs random schedules with late orders and restarts, and checks each.
func testLateSchedules(t *testing.T, check func(*testing.T, *simulation)) {
	for n := range *seedCount {
		seed := *firstSeed + n
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(t, seed, 3)
			sim.startRandomSchedule()
			sim.delayOrdersAndRestartWorkers()
			sim.run(randomScheduleMS)
			check(t, sim)
		})
	}
}

func exceedsCapacity(violation string) bool {
	return strings.Contains(violation, "the capacity of worker")
}

func followsCompletion(violation string) bool {
	return strings.Contains(violation, "although its job was shown as completed")
}

// expectNoneOf checks that there are no violations for which judged returns true.
func (sim *simulation) expectNoneOf(t *testing.T, judged func(violation string) bool) {
	t.Helper()
	var violations []string
	for _, v := range sim.checker.violations {
		if judged(v) {
			violations = append(violations, v)
		}
	}
	if diff := cmp.Diff([]string(nil), violations); diff != "" {
		t.Errorf("invariant violations:\n%s", diff)
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

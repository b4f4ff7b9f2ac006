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
	testLateSchedules(t, restartWorker, expectNoOverlaps)
}

// TestCompletedJobsWithLateOrdersAndRestarts guards against jobs that run again after callers
// have seen them as completed.
func TestCompletedJobsWithLateOrdersAndRestarts(t *testing.T) {
	testLateSchedules(t, restartWorker, expectNoRestartOfCompletedJobs)
}

// TestCapacityWithLateOrdersAndRestarts guards against workers that run more than fits, because
// they have restarted under their ID and execute a start late beside new work.
func TestCapacityWithLateOrdersAndRestarts(t *testing.T) {
	testLateSchedules(t, restartWorker, expectNoneExceedsCapacity)
}

// TestJobsOutliveLateOrdersAndRestarts guards against jobs that fail for restarts of workers.
func TestJobsOutliveLateOrdersAndRestarts(t *testing.T) {
	testLateSchedules(t, restartWorker, expectFinalStates)
}

// TestScheduleWithLateOrdersAndLostWorkers guards against runs that overlap, or start again
// after their end, because a start is executed late by a worker that the holder had forgotten.
func TestScheduleWithLateOrdersAndLostWorkers(t *testing.T) {
	testLateSchedules(t, loseWorker, expectNoOverlaps)
}

// TestCapacityWithLateOrdersAndLostWorkers guards against workers that run more than fits,
// because the holder had forgotten them and they execute a start late beside new work.
func TestCapacityWithLateOrdersAndLostWorkers(t *testing.T) {
	testLateSchedules(t, loseWorker, expectNoneExceedsCapacity)
}

// TestCompletedJobsWithLateOrdersAndLostWorkers guards against jobs that run again after callers
// have seen them as completed.
func TestCompletedJobsWithLateOrdersAndLostWorkers(t *testing.T) {
	testLateSchedules(t, loseWorker, expectNoRestartOfCompletedJobs)
}

// TestJobsOutliveLateOrdersAndLostWorkers guards against jobs that fail for losses of workers.
func TestJobsOutliveLateOrdersAndLostWorkers(t *testing.T) {
	testLateSchedules(t, loseWorker, expectFinalStates)
}

// testLateSchedules runs random schedules with late orders, calls disrupt with a random worker
// every 0.7 s, and checks each schedule.
func testLateSchedules(t *testing.T, disrupt func(*simulation, *fakeWorker), check func(*testing.T, *simulation)) {
	t.Helper()
	for n := range *seedCount {
		seed := *firstSeed + n
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(t, seed, 3)
			sim.startRandomSchedule()
			sim.delayOrders(disrupt)
			sim.run(randomScheduleMS)
			check(t, sim)
		})
	}
}

func expectNoOverlaps(t *testing.T, sim *simulation) {
	t.Helper()
	sim.expectUsableFleet(t)
	sim.expectNoneOf(t, func(violation string) bool { return !exceedsCapacity(violation) && !followsCompletion(violation) })
}

func expectNoneExceedsCapacity(t *testing.T, sim *simulation) {
	t.Helper()
	sim.expectNoneOf(t, exceedsCapacity)
}

func expectNoRestartOfCompletedJobs(t *testing.T, sim *simulation) {
	t.Helper()
	sim.expectNoneOf(t, followsCompletion)
}

func expectFinalStates(t *testing.T, sim *simulation) {
	t.Helper()
	sim.expectFinalStates(t)
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

// delayOrders makes 3 of 10 orders late for 31 s and calls disrupt every 0.7 s.
func (sim *simulation) delayOrders(disrupt func(*simulation, *fakeWorker)) {
	sim.lateOrderRate = 0.3
	for atMS := int64(500); atMS < 30000; atMS += 700 {
		sim.after(atMS, func() { disrupt(sim, sim.workers[sim.workerIDs[sim.rng.IntN(len(sim.workerIDs))]]) })
	}
	sim.after(31000, func() { sim.lateOrderRate = 0 })
}

// restartWorker restarts the worker, or cuts it off and restarts it behind the cut.
func restartWorker(sim *simulation, f *fakeWorker) {
	switch sim.rng.IntN(3) {
	case 0:
		f.crash(300 + sim.rng.Int64N(1500))
	case 1:
		f.unreachable = true
		f.crash(300 + sim.rng.Int64N(1500))
		sim.after(1000+sim.rng.Int64N(15000), func() { f.unreachable = false })
	}
}

// loseWorker kills the holder, or crashes the worker: for so long that it leaves the list and
// its leases expire, or shortly, after which a quarter returns under another ID.
func loseWorker(sim *simulation, f *fakeWorker) {
	switch sim.rng.IntN(6) {
	case 0:
		if h := sim.holder(); h != nil {
			h.kill()
			sim.after(500, h.start)
		}
	case 1:
		f.crash(listExpiryMS + sim.rng.Int64N(5000))
	case 2, 3:
		// A worker that is down returns as it was going to.
		if another := sim.rng.IntN(4) == 0; !f.down {
			f.returnsAsAnother = another
		}
		f.crash(sim.rng.Int64N(1500))
	}
}

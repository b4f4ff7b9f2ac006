package scheduler_test

import (
	"fmt"
	"slices"
	"testing"

	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/scheduler"
)

// memoryGang returns a gang of which each task takes more than half of a worker's memory and one
// of its eight accelerators.
func memoryGang(count int, sameRack bool, ms int64) describer.Step {
	s := gangStep(count, 1, ms)
	s.SameRack, s.Need.MemoryMB = sameRack, 70000
	return s
}

// newFullFleet returns a fleet of two racks of eight workers that small tasks keep full: whenever
// one ends, the next one takes its memory. Urgent jobs keep coming, so that the service does not
// count as idle because of its processors.
func newFullFleet(t *testing.T, untilMS, taskMS int64) *simulation {
	t.Helper()
	sim := newSimulation(t, 1, 3)
	sim.addWorkers(2, 8)
	sim.startAll()
	sim.run(3000)
	for n := range untilMS / 300 {
		sim.after(n*300, func() {
			small := independentTasks(16, 1, taskMS+taskMS/3*(n%4))
			small.Need.MemoryMB = 20000
			sim.submit("batch", "b", fmt.Sprintf("ba%014x", n), small)
		})
	}
	sim.submitUrgentTrickle(untilMS)
	sim.run(6000)
	return sim
}

// submitUrgentTrickle submits a tiny urgent job each second.
func (sim *simulation) submitUrgentTrickle(untilMS int64) {
	for n := range untilMS / 1000 {
		tiny := independentTasks(1, 0, 200)
		tiny.Need.MemoryMB = 100
		sim.after(n*1000, func() { sim.submit("urgent", "a", fmt.Sprintf("ca%014x", n), tiny) })
	}
}

// backfillEvents collects the events of backfills.
func (sim *simulation) backfillEvents() *[]scheduler.EventCmd {
	var events []scheduler.EventCmd
	sim.trace = func(_ string, e scheduler.EventCmd) {
		if e.Name == "BackfillReserved" || e.Name == "BackfillReleased" {
			events = append(events, e)
		}
	}
	return &events
}

// TestGangAmongSmallTasksOfLowerPriority guards against small tasks of a lower priority that take
// each gap as it becomes free, so that a gang finds its capacity free only by chance.
// Accelerators are idle all the time; only memory is scarce.
func TestGangAmongSmallTasksOfLowerPriority(t *testing.T) {
	for _, sameRack := range []bool{false, true} {
		t.Run(fmt.Sprintf("same rack %t", sameRack), func(t *testing.T) {
			sim := newFullFleet(t, 60000, 2000)
			events := sim.backfillEvents()
			sim.submit("render", "a", jobA, memoryGang(4, sameRack, 2000))
			sim.run(6000 + 6000)
			sim.expectStartedWithin(t, jobA, 6000)
			var names []string
			for _, e := range *events {
				names = append(names, fmt.Sprint(e.Name, eventField(e, "Reason")))
			}
			if want := []string{"BackfillReserved<nil>", "BackfillReleasedPlaced"}; !slices.Equal(names, want) {
				t.Errorf("events %v, want %v: the choice is kept until the gang has its place", names, want)
			}
			started := 0
			for n := range 20 {
				if sim.startDelayMS(fmt.Sprintf("ba%014x", n)) >= 0 {
					started++
				}
			}
			if started < 10 {
				t.Errorf("%d of 20 jobs of small tasks have started beside the gang, want at least half", started)
			}
			sim.expectNoViolations(t)
		})
	}
}

// TestTwoGangsForTheSameRack guards against two gangs that each hold a part of what both need.
func TestTwoGangsForTheSameRack(t *testing.T) {
	sim := newFullFleet(t, 60000, 2000)
	for _, id := range []string{jobA, jobB} {
		g := memoryGang(3, true, 2000)
		g.RequireLabel = "r0"
		sim.submit("render", "a", id, g)
	}
	sim.run(6000 + 15000)
	for _, id := range []string{jobA, jobB} {
		sim.expectStartedWithin(t, id, 15000)
	}
	sim.expectNoViolations(t)
}

// TestBackfillWorkerDrains guards against capacity that stays kept on a worker that leaves.
func TestBackfillWorkerDrains(t *testing.T) {
	sim := newFullFleet(t, 60000, 10000)
	events := sim.backfillEvents()
	sim.submit("render", "a", jobA, memoryGang(4, false, 2000))
	for len(*events) == 0 && sim.nowMS < 12000 {
		sim.run(sim.nowMS + 10)
	}
	if len(*events) == 0 {
		t.Fatal("nothing is kept for the gang")
	}
	left := sim.workers[eventField((*events)[0], "Workers").([]string)[0]]
	left.drain()
	sim.run(sim.nowMS + 15000)
	sim.expectStartedWithin(t, jobA, 15000)
	if len(*events) < 3 || eventField((*events)[1], "Reason") != "WorkerClosed" || slices.Contains(eventField((*events)[2], "Workers").([]string), left.id) {
		t.Errorf("events %v, want another choice without worker %s", *events, left.id)
	}
	sim.expectNoViolations(t)
}

// TestUrgentWorkUsesKeptCapacity guards against urgent work that waits because of a backfill.
func TestUrgentWorkUsesKeptCapacity(t *testing.T) {
	sim := newFullFleet(t, 60000, 2000)
	sim.submit("render", "a", jobA, memoryGang(4, true, 2000))
	sim.run(6500)
	sim.submit("urgent", "b", jobB, memoryGang(4, true, 1500))
	sim.run(6500 + startTargetMS)
	sim.expectStartedWithin(t, jobB, startTargetMS)
	sim.run(30000)
	sim.expectStartedWithin(t, jobA, 12000)
	sim.expectNoViolations(t)
}

// TestBackfillIsBounded guards against small tasks that starve because all of the fleet is kept for
// gangs, and against the choice of workers for each of many gangs in each pass.
func TestBackfillIsBounded(t *testing.T) {
	sim := newFullFleet(t, 30000, 2000)
	events := sim.backfillEvents()
	for n := range 24 {
		sim.submit("render", "a", fmt.Sprintf("aa%014x", n), memoryGang(1+n%8, n%2 == 0, 2000))
	}
	most := 0
	for sim.nowMS < 120000 {
		sim.run(sim.nowMS + 50)
		if h := sim.holder(); h != nil {
			stats := h.model.BackfillStats()
			most = max(most, stats.Tasks)
			if stats.Gangs > 2 {
				t.Fatalf("capacity is kept for %d gangs at a time", stats.Gangs)
			}
		}
	}
	if most == 0 || most > 7 {
		t.Errorf("capacity is kept for up to %d tasks, want 1 to 7: a quarter of the fleet's memory", most)
	}
	for id := range sim.checker.jobs {
		if state := sim.jobState(id); state != "Completed" {
			t.Errorf("job %s is %s, want Completed", id, state)
		}
	}
	if len(*events) > 24*2*4 {
		t.Errorf("%d events for 24 gangs", len(*events))
	}
	sim.expectNoViolations(t)
}

// TestNothingKeptWithCapacityForAll guards against a change of placements in a fleet that has room
// for all of its work.
func TestNothingKeptWithCapacityForAll(t *testing.T) {
	sim := newSimulation(t, 1, 3)
	sim.addWorkers(2, 4)
	sim.startAll()
	sim.run(3000)
	events := sim.backfillEvents()
	sim.submit("batch", "b", jobB, independentTasks(8, 1, 3000))
	sim.submit("render", "a", jobA, memoryGang(3, true, 2000))
	sim.run(10000)
	if len(*events) > 0 {
		t.Errorf("events %v, want none", *events)
	}
	sim.expectNoViolations(t)
}

// TestKeptCapacityIsExplained guards against small tasks that wait beside free capacity without a
// line in the log that names the gang for which it is kept. Tasks that end in time don't wait.
func TestKeptCapacityIsExplained(t *testing.T) {
	sim := newSimulation(t, 1, 3)
	sim.addWorkers(1, 6)
	sim.startAll()
	sim.run(3000)
	// Four of six workers are full for 20 s, and one is headroom.
	long := independentTasks(4, 8, 20000)
	long.Need.MemoryMB, long.MaxPerWorker = 100000, 1
	sim.submit("batch", "b", jobB, long)
	sim.run(5000)
	sim.submit("render", "a", jobA, memoryGang(2, true, 2000))
	sim.run(5500)
	reports := sim.waitReports()
	sim.submitUrgentTrickle(10000)
	small := independentTasks(1, 8, 12000)
	small.Need.MemoryMB = 65000
	sim.submit("batch", "b", "cccccccccccccccc", small)
	short := independentTasks(1, 1, 1000)
	short.Need.MemoryMB = 65000
	sim.submit("batch", "b", "dddddddddddddddd", short)
	sim.run(10500)
	explained := false
	for _, r := range *reports {
		explained = explained || r["Job"] == "cccccccccccccccc" && r["Reason"] == "Backfill" && slices.Equal(r["RoomKeptFor"].([]string), []string{jobA})
	}
	if !explained {
		t.Errorf("reports %v, want one that names job %s", *reports, jobA)
	}
	sim.expectStartedWithin(t, "dddddddddddddddd", 1000)
	sim.expectNoViolations(t)
}

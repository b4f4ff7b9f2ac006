package scheduler_test

import (
	"fmt"
	"testing"

	"daisyhead/internal/workload/scheduler"
)

// newMixedFleet returns a fleet with racks of 8 workers that have the given factors in turn.
func newMixedFleet(t *testing.T, racks int, factors ...float64) *simulation {
	t.Helper()
	sim := newSimulation(t, 1, 3)
	sim.addWorkers(racks, 8)
	for i, id := range sim.workerIDs {
		sim.workers[id].factor = factors[i%len(factors)]
	}
	sim.startAll()
	sim.run(3000)
	return sim
}

// submitEach submits jobs of one step at the interval.
func (sim *simulation) submitEach(intervalMS int64, jobs int, submit func(n int)) {
	for n := range jobs {
		sim.after(int64(n)*intervalMS, func() { submit(n) })
	}
}

// learnFromGangs runs bulk gangs of three for some seconds.
func (sim *simulation) learnFromGangs(seconds int64) {
	sim.submitEach(200, int(seconds)*4, func(n int) {
		sim.submit("render", "b", fmt.Sprintf("ba%014x", n), gangStep(3, 8, 2500))
	})
	sim.run(sim.nowMS + seconds*1000)
}

// TestUrgentGangsOnMixedRacks runs urgent gangs beside bulk gangs on racks of workers that
// differ by 2.7 times. A gang with a slow member ends late, however early it starts. In the
// first 12 s, the speeds have to be learned from the bulk gangs alone.
func TestUrgentGangsOnMixedRacks(t *testing.T) {
	sim := newMixedFleet(t, 4, 1, 0.6, 1.6, 1, 1)
	sim.learnFromGangs(12)
	sim.submitEach(400, 150, func(n int) {
		sim.submit("batch", "b", fmt.Sprintf("bb%014x", n), gangStep(2, 8, 2500))
	})
	sim.expectUrgentGangsInTime(t, 15)
	sim.expectNoViolations(t)
}

// TestBulkGangTakesSlowWorkers runs a bulk gang with slack on an idle fleet whose speeds are
// known. It has to leave the fast and the ordinary workers to urgent work.
func TestBulkGangTakesSlowWorkers(t *testing.T) {
	sim := newMixedFleet(t, 3, 1, 1.6, 0.6, 1.6)
	sim.learnFromGangs(12)
	sim.run(sim.nowMS + 40_000)
	sim.submit("render", "b", jobB, gangStep(3, 8, 2000))
	sim.run(sim.nowMS + 1000)
	for _, id := range sim.workerIDs {
		f := sim.workers[id]
		for _, r := range f.sortedRuns() {
			if r.ref.Unit.Job == jobB && f.factor < 1.6 {
				t.Errorf("a task of the bulk gang runs on a worker with factor %.1f", f.factor)
			}
		}
	}
	sim.workerRunning(t, jobB)
	sim.expectNoViolations(t)
}

// TestEqualWorkersAreNotDistinguished runs gangs on equal workers, of which one stalls now and
// then. Nothing may be recorded as faster or slower, and no urgent unit may keep off a worker:
// the placement would differ from that without speeds.
func TestEqualWorkersAreNotDistinguished(t *testing.T) {
	sim := newMixedFleet(t, 3, 1)
	sim.trace = func(_ string, e scheduler.EventCmd) {
		if e.Name == "SpeedsRecorded" || e.Name == "UnitAvoidsSlow" {
			t.Errorf("at %d ms: %s %v", sim.nowMS, e.Name, e.Fields)
		}
	}
	sim.after(6000, func() { sim.workerRunning(t, fmt.Sprintf("ba%014x", 12)).hang(1500) })
	sim.learnFromGangs(12)
	sim.expectUrgentGangsInTime(t, 5)
	sim.expectNoViolations(t)
}

// TestSlowWorkersAreALastResort leaves only slow workers free. Urgent work must use them after
// a short wait rather than wait for its objective to pass.
func TestSlowWorkersAreALastResort(t *testing.T) {
	sim := newMixedFleet(t, 2, 1, 1.6)
	sim.learnFromGangs(12)
	sim.run(sim.nowMS + 40_000)
	for n, id := range sim.workerIDs {
		if sim.workers[id].factor == 1 {
			sim.submit("urgent", "a", fmt.Sprintf("cc%014x", n), independentTasks(1, 8, 30_000))
		}
	}
	sim.run(sim.nowMS + 3000)
	sim.submit("urgent", "a", jobA, independentTasks(1, 8, 4000))
	sim.run(sim.nowMS + 1500)
	sim.expectStartedWithin(t, jobA, 1000)
	sim.expectNoViolations(t)
}

// TestTakeoverWithoutSpeeds kills the holder before it has recorded any speeds. The next one
// has to learn them anew, rather than to treat all workers as known.
func TestTakeoverWithoutSpeeds(t *testing.T) {
	sim := newMixedFleet(t, 4, 1, 0.6, 1.6, 1, 1)
	sim.holder().kill()
	sim.runUntilDecided(5000)
	recorded := 0
	sim.trace = func(_ string, e scheduler.EventCmd) {
		if e.Name == "SpeedsRecorded" {
			recorded++
		}
	}
	sim.learnFromGangs(12)
	if recorded == 0 {
		t.Error("the next holder has recorded no speeds after 12 s of gangs")
	}
	sim.expectUrgentGangsInTime(t, 10)
	sim.expectNoViolations(t)
}

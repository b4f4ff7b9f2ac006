package scheduler_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/reducer"
	"daisyhead/internal/workload/scheduler"
)

// largeFleet returns a holder with racks of 20 workers and jobs of 55 tasks on average,
// more than the fleet can run at a time.
// If limited is set, the workspaces have limits that are in use.
func largeFleet(b *testing.B, workers, jobs int, limited bool) (*scheduler.Model, scheduler.Instant) {
	b.Helper()
	sim := newSimulation(b, 1, 1)
	sim.addWorkers(workers/20, 20)
	if limited {
		for i := range sim.config.Workspaces {
			sim.config.Workspaces[i].Maximum = describer.Resources{CPU: 8000 * workers, MemoryMB: 32768 * workers, Accelerators: 3 * workers}
			sim.config.Workspaces[i].Weight = 2
		}
	}
	for n := range jobs {
		queue := []string{"urgent", "render", "batch"}[n%3]
		step := gangStep(1+n%8, 1<<(n%4), 8000)
		if queue == "batch" {
			step = independentTasks(150, 1, 8000)
		}
		sim.submit(queue, []string{"a", "b"}[n%2], fmt.Sprintf("%016x", n+1), step)
	}
	sim.startAll()
	sim.run(2500)
	h := sim.holder()
	if h == nil {
		b.Fatal("no instance holds the term")
	}
	return h.model, scheduler.Instant{MonoMS: sim.nowMS, WallMS: wallStartMS + sim.nowMS}
}

// BenchmarkPass measures a step of the control loop with a scheduling pass, in a full
// fleet with waiting jobs.
func BenchmarkPass(b *testing.B) {
	for _, size := range []struct{ workers, jobs int }{{100, 120}, {200, 240}, {360, 440}, {760, 900}, {1100, 1300}} {
		for _, limited := range []bool{false, true} {
			b.Run(fmt.Sprintf("workers=%d/jobs=%d/limited=%t", size.workers, size.jobs, limited), func(b *testing.B) { benchmarkPass(b, size.workers, size.jobs, limited) })
		}
	}
}

func benchmarkPass(b *testing.B, workers, jobs int, limited bool) {
	m, at := largeFleet(b, workers, jobs, limited)
	durations := make([]time.Duration, 0, b.N)
	for b.Loop() {
		at.MonoMS += 100
		at.WallMS += 100
		m.Update(at, scheduler.LedgerReadMsg{From: m.Table.Next, AsOfMS: at.MonoMS, CaughtUp: true})
		start := time.Now()
		m.Update(at, scheduler.TickMsg{})
		durations = append(durations, time.Since(start))
	}
	slices.Sort(durations)
	b.ReportMetric(float64(durations[len(durations)/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(durations[len(durations)*99/100].Microseconds()), "p99-µs")
}

// BenchmarkApply measures the cost of a task for an instance that doesn't hold the term:
// it applies a submission and the two records of the task's unit.
func BenchmarkApply(b *testing.B) {
	t := reducer.New()
	id := reducer.UnitID{Job: "0000000000000001"}
	records := []reducer.Record{
		reducer.SubmissionRecord(reducer.Submission{Job: describer.Job{ID: id.Job, Steps: []describer.Step{{Count: 1}}}}),
		reducer.UnitRecord(id, reducer.Unit{Phase: reducer.PhasePlaced, Run: 1, Workers: []string{"i-8e683fb4b6"}}),
		reducer.UnitRecord(id, reducer.Unit{Phase: reducer.PhaseDone, Run: 1}),
	}
	for b.Loop() {
		for i, r := range records {
			if err := t.Apply(uint64(i), r); err != nil {
				b.Fatal(err)
			}
		}
	}
}

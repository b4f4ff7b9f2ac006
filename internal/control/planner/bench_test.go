package planner_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"daisyhead/internal/control/planner"
	"daisyhead/internal/entry/specifier"
	"daisyhead/internal/ledger/reducer"
	"daisyhead/internal/ledger/serializer"
)

// newLoadedSimulator returns a simulator with the given number of workers, running
// jobs of 21 or 2 tasks each until the number of tasks is reached, and 40 waiting
// jobs. It also returns the number of running tasks.
func newLoadedSimulator(workers, tasks int) (*simulator, int) {
	s := sites[2]
	perDomain := workers / s.domains / s.workersPerRack
	s.racks, s.cpuRacks = max(perDomain/4, 1), perDomain-max(perDomain/4, 1)
	sim := newSimulator(workload{fleet: s.fleet()}, planner.Plan)
	running := 0
	for n := 0; running < tasks; n++ {
		j := specifier.Job{
			Key: fmt.Sprint("run", n), Name: "run", Workspace: fmt.Sprintf("ws%d", n%s.workspaces), Tasks: 21, Processors: 1, MemoryMB: 1024,
			Checkpointable: n%2 == 0, RunTime: specifier.Duration(3 * time.Hour),
		}
		if n%6 == 0 {
			j.Tasks, j.Accelerators, j.Within, j.Processors, j.MemoryMB = 2, 8, specifier.WithinRack, 32, 65536
		}
		running += j.Tasks
		sim.submit(jobArrival{actualRunMS: 1 << 40, spec: j.Normalize()})
		if n%50 == 49 {
			sim.step()
		}
	}
	sim.step()
	for n := range 40 {
		j := specifier.Job{
			Key: fmt.Sprint("wait", n), Name: "wait", Workspace: fmt.Sprintf("ws%d", n%s.workspaces), Tasks: 64, Processors: 64, MemoryMB: 131072, Accelerators: 8,
			Within: specifier.WithinRegion, RunTime: specifier.Duration(time.Hour),
		}
		sim.submit(jobArrival{actualRunMS: 1 << 40, spec: j.Normalize()})
	}
	return sim, running
}

// BenchmarkDecide measures one planning pass and the size of the state, at the
// required size (768 workers, 14000 tasks) and at twice its workers and tasks.
func BenchmarkDecide(b *testing.B) {
	for _, size := range []struct{ workers, tasks int }{{768, 14000}, {1536, 14000}, {768, 28000}, {1536, 28000}} {
		b.Run(fmt.Sprintf("workers=%d/tasks=%d", size.workers, size.tasks), func(b *testing.B) {
			sim, _ := newLoadedSimulator(size.workers, size.tasks)
			sim.nowMS += 60 * 1000
			var passes []float64
			b.ReportAllocs()
			for b.Loop() {
				start := time.Now()
				planner.Plan(planner.Input{State: sim.state, NowMS: sim.nowMS, Ready: sim.ready()})
				passes = append(passes, float64(time.Since(start).Microseconds())/1000)
			}
			b.ReportMetric(percentile(passes, 0.99), "p99ms")
			b.ReportMetric(percentile(passes, 0.5), "p50ms")
			b.ReportMetric(stateMB(sim.state), "stateMB")
		})
	}
}

// stateMB returns the heap size of a copy of the state, in MB.
func stateMB(s *reducer.State) float64 {
	data, err := serializer.Marshal(s)
	if err != nil {
		return 0
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	copied := reducer.New()
	if err := serializer.Unmarshal(data, copied); err != nil {
		return 0
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(copied)
	return (float64(after.HeapAlloc) - float64(before.HeapAlloc)) / (1 << 20)
}

package scheduler_test

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/scheduler"
	"daisyhead/internal/workload/tabulator"
)

func gangStep(count, accelerators int, ms int64) describer.Step {
	return describer.Step{Count: count, Need: describer.Resources{CPU: 1000, MemoryMB: 1000, Accelerators: accelerators}, EstimateMS: ms, Gang: true, SameRack: true}
}

func independentTasks(count, accelerators int, ms int64) describer.Step {
	s := gangStep(count, accelerators, ms)
	s.Gang, s.SameRack = false, false
	return s
}

// fault is a case of TestFaults: something that happens to a small fleet with
// two jobs.
type fault struct {
	name string
	// do is called 3 s after the start; two jobs are handed in then.
	inject func(sim *simulation)
	// want are the jobs' states at the end.
	want map[string]tabulator.State
}

const (
	jobA = "aaaaaaaaaaaaaaaa"
	jobB = "bbbbbbbbbbbbbbbb"
)

func bothCompleted() map[string]tabulator.State {
	return map[string]tabulator.State{jobA: tabulator.StateCompleted, jobB: tabulator.StateCompleted}
}

func faults() []fault {
	return []fault{
		{"none", func(*simulation) {}, bothCompleted()},
		{"holder killed before the start", func(sim *simulation) { sim.holder().kill() }, bothCompleted()},
		{"holder killed during the starts", func(sim *simulation) { sim.after(45, func() { sim.holder().kill() }) }, bothCompleted()},
		{"holder killed while tasks run", func(sim *simulation) { sim.after(1500, func() { sim.holder().kill() }) }, bothCompleted()},
		{"every instance killed between acceptance and start", func(sim *simulation) { sim.restartAll(1500) }, bothCompleted()},
		{"all power lost while tasks run", func(sim *simulation) { sim.after(1000, func() { sim.restartAll(4000) }) }, bothCompleted()},
		{"all power lost for longer than any lease", func(sim *simulation) { sim.after(1000, func() { sim.restartAll(9000) }) }, bothCompleted()},
		{"holder frozen for longer than any lease", func(sim *simulation) {
			sim.after(1000, func() {
				h := sim.holder()
				h.frozen = true
				sim.after(8000, h.thaw)
			})
		}, bothCompleted()},
		{"holder cut off from the ledger", func(sim *simulation) {
			sim.after(1000, func() {
				h := sim.holder()
				h.ledgerUnreachable = true
				sim.after(8000, func() { h.ledgerUnreachable = false })
			})
		}, bothCompleted()},
		{"ledger down for 4 s", func(sim *simulation) {
			sim.after(500, func() { sim.ledger.down = true })
			sim.after(4500, func() { sim.ledger.down = false })
		}, bothCompleted()},
		{"answers of appends lost", func(sim *simulation) { sim.lostAnswerRate = 0.4 }, bothCompleted()},
		{"orders carried out late", func(sim *simulation) {
			sim.lateOrderRate = 0.3
			sim.after(6000, func() { sim.lateOrderRate = 0 })
		}, bothCompleted()},
		{"a worker crashes and comes back", func(sim *simulation) {
			sim.after(1000, func() { sim.workers[sim.workerIDs[0]].crash(1500) })
		}, bothCompleted()},
		{"a worker is cut off and runs on", func(sim *simulation) {
			sim.after(1000, func() {
				f := sim.workers[sim.workerIDs[0]]
				f.unreachable = true
				sim.after(9000, func() { f.unreachable = false })
			})
		}, bothCompleted()},
		{"a worker is cut off and the holder killed", func(sim *simulation) {
			sim.after(1000, func() {
				f := sim.workers[sim.workerIDs[0]]
				f.unreachable = true
				sim.holder().kill()
				sim.after(12000, func() { f.unreachable = false })
			})
		}, bothCompleted()},
		{"a worker fails all that it starts", func(sim *simulation) { sim.workers[sim.workerIDs[0]].fails = true }, bothCompleted()},
		{"a job that always fails", func(sim *simulation) { sim.checker.jobs[jobA].fails = true },
			map[string]tabulator.State{jobA: tabulator.StateFailed, jobB: tabulator.StateCompleted}},
		{"cancelled before its start", func(sim *simulation) { sim.cancel(jobA) },
			map[string]tabulator.State{jobA: tabulator.StateCancelled, jobB: tabulator.StateCompleted}},
		{"cancelled while it runs, with the holder killed", func(sim *simulation) {
			sim.after(1000, func() {
				sim.cancel(jobA)
				sim.holder().kill()
			})
		}, map[string]tabulator.State{jobA: tabulator.StateCancelled, jobB: tabulator.StateCompleted}},
		{"cancelled while orders are carried out late", func(sim *simulation) {
			sim.lateOrderRate = 0.5
			sim.after(200, func() { sim.cancel(jobA) })
			sim.after(3000, func() { sim.lateOrderRate = 0 })
		}, map[string]tabulator.State{jobA: tabulator.StateCancelled, jobB: tabulator.StateCompleted}},
	}
}

func (sim *simulation) restartAll(forMS int64) {
	for _, i := range sim.instances {
		i.kill()
	}
	sim.after(forMS, sim.startAll)
}

// TestFaults causes one fault at a time on a fleet that a gang and a job of two
// steps run on.
func TestFaults(t *testing.T) {
	for _, f := range faults() {
		t.Run(f.name, func(t *testing.T) {
			sim := newSimulation(t, 1, 3)
			sim.addWorkers(2, 3)
			sim.traceJob(*traced)
			sim.startAll()
			sim.run(3000)
			if sim.holder() == nil {
				t.Fatal("nobody decides 3 s after the start")
			}
			sim.submit("urgent", "a", jobA, gangStep(3, 8, 4000))
			second := independentTasks(2, 2, 1500)
			second.After = []int{0}
			sim.submit("batch", "b", jobB, independentTasks(5, 1, 2000), second)
			f.inject(sim)
			sim.run(60000)
			got := map[string]tabulator.State{jobA: sim.jobState(jobA), jobB: sim.jobState(jobB)}
			if diff := cmp.Diff(f.want, got); diff != "" {
				t.Errorf("states (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff([]string(nil), sim.checker.violations); diff != "" {
				t.Errorf("broken promises:\n%s", diff)
			}
		})
	}
}

var (
	firstSeed = flag.Uint64("seed", 0, "first seed of TestSchedule")
	seeds     = flag.Uint64("seeds", 20, "number of seeds of TestSchedule")
	traced    = flag.String("traced", "", "job whose events are printed")
)

// handOverMS is the time in which a released term has to be taken: well within
// the pause that a caller makes between two tries.
const maxHandOverMS = 600

// TestHandOver lets the holder leave on purpose while tasks run and more jobs
// come.
func TestHandOver(t *testing.T) {
	sim := newSimulation(t, 1, 4)
	sim.addWorkers(2, 3)
	sim.startAll()
	sim.run(3000)
	sim.submit("urgent", "a", jobA, gangStep(3, 8, 4000))
	sim.run(4000)
	left := sim.holder()
	left.send(scheduler.LeaveMsg{})
	sim.submit("batch", "b", jobB, independentTasks(5, 1, 2000))
	sim.run(4000 + maxHandOverMS)
	if h := sim.holder(); h == nil || h == left {
		t.Fatalf("nobody has taken the released term after %d ms", maxHandOverMS)
	}
	sim.run(20000)
	got := map[string]tabulator.State{jobA: sim.jobState(jobA), jobB: sim.jobState(jobB)}
	if diff := cmp.Diff(bothCompleted(), got); diff != "" {
		t.Errorf("states (-want +got):\n%s", diff)
	}
	if sim.checker.starts != 8 {
		t.Errorf("%d starts, want 8: the hand-over started something again", sim.checker.starts)
	}
}

// TestEntriesOfLiveWorkersLapse empties the list of workers, as after an outage of
// the platform, while the workers answer. Urgent work must not wait for the list;
// once the entries are overdue the workers are not used any more.
func TestEntriesOfLiveWorkersLapse(t *testing.T) {
	sim := newSimulation(t, 1, 3)
	sim.addWorkers(2, 3)
	sim.startAll()
	sim.run(3000)
	for _, f := range sim.workers {
		f.unlisted = true
	}
	sim.run(4000)
	sim.submit("urgent", "a", jobA, gangStep(2, 8, 1000))
	sim.run(4500)
	if sim.checker.starts != 2 {
		t.Errorf("%d tasks started within 500 ms, want 2", sim.checker.starts)
	}
	sim.run(8000)
	sim.submit("urgent", "a", jobB, gangStep(2, 8, 1000))
	sim.run(9000)
	if sim.checker.starts != 2 {
		t.Errorf("%d tasks started, want 2: workers that are gone were used", sim.checker.starts)
	}
}

// TestChangesOfTheTermDoNotPutOffALostWorker loses a worker for good and changes the
// holder every 4 s. What ran there has to go on once the longest lease is surely over.
func TestChangesOfTheTermDoNotPutOffALostWorker(t *testing.T) {
	testLostWorker(t, func(sim *simulation, h *instance) {
		h.kill()
		sim.after(1000, h.start)
	})
}

// TestCutHoldersDoNotPutOffALostWorker is the same with holders that are cut off from
// the ledger for a while: their successors have seen the terms before.
func TestLostWorkerRestartsDespiteUnreachableHolders(t *testing.T) {
	testLostWorker(t, func(sim *simulation, h *instance) {
		h.ledgerUnreachable = true
		sim.after(3500, func() { h.ledgerUnreachable = false })
	})
}

func testLostWorker(t *testing.T, disrupt func(*simulation, *instance)) {
	t.Helper()
	sim := newSmallFleet(t)
	sim.traceJob(*traced)
	sim.submit("render", "a", jobA, gangStep(2, 8, 20000))
	sim.run(4000)
	var lost *fakeWorker
	for _, name := range sim.workerIDs {
		if len(sim.workers[name].runs) > 0 {
			lost = sim.workers[name]
		}
	}
	lost.unlisted = true
	lost.crash(600000)
	for n := range int64(8) {
		sim.after(n*4000, func() {
			if h := sim.holder(); h != nil {
				disrupt(sim, h)
			}
		})
	}
	// 4 s without word from the ledger, the lease, and a change of the holder.
	sim.run(4000 + 4000 + leaseMS + leaseMS/50 + 4000)
	if len(sim.checker.jobs[jobA].startTimesMS) < 4 {
		t.Error("the gang has not been started again")
	}
	sim.expectNoViolations(t)
}

// yieldMS is the time in which another instance has to decide once the holder can't
// write: less than the silence after which any instance would claim the term.
const maxYieldMS = 1200

// TestYield cuts the holder off from the ledger only.
func TestYield(t *testing.T) {
	sim := newSimulation(t, 1, 4)
	sim.addWorkers(2, 3)
	sim.startAll()
	sim.run(3000)
	cut := sim.holder()
	cut.ledgerUnreachable = true
	sim.run(3000 + maxYieldMS)
	taken := false
	for _, i := range sim.instances {
		taken = taken || i != cut && i.model.Deciding()
	}
	if !taken {
		t.Errorf("no other instance decides %d ms after the holder was cut off from the ledger", maxYieldMS)
	}
}

// TestSchedule puts random jobs and random faults together. More seeds are
// played by
//
//	go test ./internal/workload/scheduler -run TestSchedule -seed 100 -seeds 500
func TestSchedule(t *testing.T) {
	for n := range *seeds {
		seed := *firstSeed + n
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { runRandomSchedule(t, seed) })
	}
}

func runRandomSchedule(t *testing.T, seed uint64) {
	runRandomScheduleWithLatency(t, seed, defaultOrderLatencyMS)
}

func runRandomScheduleWithLatency(t *testing.T, seed uint64, orderLatencyMS int64) {
	sim := newSimulation(t, seed, 3)
	sim.orderLatencyMS = orderLatencyMS
	sim.addWorkers(3, 4)
	sim.traceJob(*traced)
	sim.startAll()
	sim.run(3000)
	for n := range 60 {
		at := sim.rng.Int64N(30000)
		id := fmt.Sprintf("%016x", n+1)
		sim.after(at, func() { sim.submitRandomJob(id) })
	}
	for range 8 {
		sim.after(sim.rng.Int64N(30000), sim.injectRandomFault)
	}
	sim.run(150000)
	for id, job := range sim.checker.jobs {
		want := tabulator.StateCompleted
		switch {
		case job.cancelledMS > 0:
			want = tabulator.StateCancelled
		case job.fails:
			want = tabulator.StateFailed
		}
		got := sim.jobState(id)
		// A cancellation may come after the end.
		if got != want && !(job.cancelledMS > 0 && (got == tabulator.StateCompleted || got == tabulator.StateFailed)) {
			t.Errorf("job %s is %s, want %s", id, got, want)
		}
	}
	if diff := cmp.Diff([]string(nil), sim.checker.violations); diff != "" {
		t.Errorf("broken promises:\n%s", diff)
	}
}

func (sim *simulation) submitRandomJob(id string) {
	queues := []string{"urgent", "render", "batch"}
	queue := queues[sim.rng.IntN(len(queues))]
	workspace := []string{"a", "b"}[sim.rng.IntN(2)]
	sizes := []int{1, 2, 4, 8}
	step := gangStep(1+sim.rng.IntN(4), sizes[sim.rng.IntN(4)], 500+sim.rng.Int64N(6000))
	step.Gang = sim.rng.IntN(2) == 0
	step.SameRack = step.Gang
	steps := []describer.Step{step}
	if sim.rng.IntN(4) == 0 {
		next := step
		next.After = []int{0}
		steps = append(steps, next)
	}
	sim.submit(queue, workspace, id, steps...)
	sim.checker.jobs[id].fails = sim.rng.IntN(20) == 0
	if sim.rng.IntN(8) == 0 {
		sim.after(sim.rng.Int64N(6000), func() { sim.cancel(id) })
	}
}

func (sim *simulation) injectRandomFault() {
	i := sim.instances[sim.rng.IntN(len(sim.instances))]
	f := sim.workers[sim.workerIDs[sim.rng.IntN(len(sim.workerIDs))]]
	span := 500 + sim.rng.Int64N(8000)
	switch sim.rng.IntN(9) {
	case 0:
		i.kill()
		sim.after(span, i.start)
	case 1:
		if h := sim.holder(); h != nil {
			h.kill()
			sim.after(span, h.start)
		}
	case 2:
		sim.restartAll(span)
	case 3:
		if h := sim.holder(); h != nil && !h.frozen {
			h.frozen = true
			sim.after(span, h.thaw)
		}
	case 4:
		i.ledgerUnreachable = true
		sim.after(span, func() { i.ledgerUnreachable = false })
	case 5:
		sim.ledger.down = true
		sim.after(span, func() { sim.ledger.down = false })
	case 6:
		sim.lostAnswerRate = 0.4
		sim.after(span, func() { sim.lostAnswerRate = 0 })
	case 7:
		sim.lateOrderRate = 0.3
		sim.after(span, func() { sim.lateOrderRate = 0 })
	case 8:
		if sim.rng.IntN(2) == 0 {
			f.crash(span)
			return
		}
		f.unreachable = true
		sim.after(span, func() { f.unreachable = false })
	}
}

// failedSeeds failed once. Traced: runs of a reborn worker that were taken for lost
// (347, 519, 920, 1563), a start that outlives a crash (2398), a start on a table from
// before a suspension (752), an order carried out late, for which no time bound holds
// (327). The others passed after the same changes and were not traced one by one. They
// were found on earlier forms of this schedule, which drew other faults from them.
var regressionSeeds = []uint64{122, 272, 327, 347, 519, 568, 750, 752, 920, 1127, 1136, 1255, 1563, 2398}

func TestScheduleRegressionSeeds(t *testing.T) {
	for _, seed := range regressionSeeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { runRandomSchedule(t, seed) })
	}
}

// TestScheduleWithinAMillisecond lets orders and their answers happen in the
// millisecond in which they were sent, where times do not tell which was first.
func TestScheduleWithinAMillisecond(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { runRandomScheduleWithLatency(t, seed, 0) })
	}
}

// traceJob prints the events about a job, and who decides.
func (sim *simulation) traceJob(id string) {
	if id == "" {
		return
	}
	sim.trace = func(instance string, e scheduler.EventCmd) {
		line := fmt.Sprint(e.Name, e.Fields)
		if strings.Contains(line, id) || strings.HasPrefix(line, "Term") || strings.HasPrefix(line, "WorkerLost") || strings.HasPrefix(line, "WorkerUnheard") {
			fmt.Println(sim.nowMS, instance, line)
		}
	}
}

// TestLateStartOutlivesCrash lets starts go unanswered until they are given up, and
// their worker crash once it has confirmed the stop and the task has a new place. What
// the next life of the worker carries out late must not run beside the new run.
func TestLateStartOutlivesCrash(t *testing.T) {
	cases := 0
	for seed := range uint64(10) {
		sim := newSimulation(t, seed, 3)
		sim.addWorkers(2, 3)
		sim.traceJob(*traced)
		sim.startAll()
		sim.run(3000)
		sim.lateOrderRate = 1
		sim.submit("render", "a", jobA, independentTasks(1, 8, 20000))
		sim.run(5100)
		sim.lateOrderRate = 0
		sim.run(6700)
		crashed := 0
		for _, f := range sim.workers {
			if len(f.highestEndedRun) > 0 {
				f.crash(100)
				crashed++
			}
		}
		if crashed != 1 || sim.checker.starts != 1 {
			// A start was carried out before its stop: another case.
			continue
		}
		cases++
		sim.run(40000)
		sim.expectNoViolations(t)
	}
	if cases < 5 {
		t.Errorf("%d of 10 seeds cause the case, want 5", cases)
	}
}

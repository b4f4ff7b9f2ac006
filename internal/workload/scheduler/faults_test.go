package scheduler_test

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/reducer"
	"daisyhead/internal/workload/scheduler"
)

// gangStep returns a step whose tasks run together, on one rack.
func gangStep(count, accelerators int, ms int64) describer.Step {
	return describer.Step{Count: count, Need: describer.Resources{CPU: 1000, MemoryMB: 1000, Accelerators: accelerators}, EstimateMS: ms, Gang: true, SameRack: true}
}

// independentTasks returns a step whose tasks are placed one by one.
func independentTasks(count, accelerators int, ms int64) describer.Step {
	s := gangStep(count, accelerators, ms)
	s.Gang, s.SameRack = false, false
	return s
}

// fault is a case of TestFaults: a fault in a small fleet with two jobs.
type fault struct {
	name string
	// inject is called 3 s after the start, right after two jobs were submitted.
	inject func(sim *simulation)
	// want holds the jobs' final states.
	want map[string]reducer.State
}

const (
	jobA = "aaaaaaaaaaaaaaaa"
	jobB = "bbbbbbbbbbbbbbbb"
)

func bothCompleted() map[string]reducer.State {
	return map[string]reducer.State{jobA: reducer.StateCompleted, jobB: reducer.StateCompleted}
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
		{"orders executed late", func(sim *simulation) {
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
			map[string]reducer.State{jobA: reducer.StateFailed, jobB: reducer.StateCompleted}},
		{"cancelled before its start", func(sim *simulation) { sim.cancel(jobA) },
			map[string]reducer.State{jobA: reducer.StateCancelled, jobB: reducer.StateCompleted}},
		{"cancelled while it runs, with the holder killed", func(sim *simulation) {
			sim.after(1000, func() {
				sim.cancel(jobA)
				sim.holder().kill()
			})
		}, map[string]reducer.State{jobA: reducer.StateCancelled, jobB: reducer.StateCompleted}},
		{"cancelled while orders are executed late", func(sim *simulation) {
			sim.lateOrderRate = 0.5
			sim.after(200, func() { sim.cancel(jobA) })
			sim.after(3000, func() { sim.lateOrderRate = 0 })
		}, map[string]reducer.State{jobA: reducer.StateCancelled, jobB: reducer.StateCompleted}},
	}
}

// restartAll kills all instances and starts them again after the given time.
func (sim *simulation) restartAll(forMS int64) {
	for _, i := range sim.instances {
		i.kill()
	}
	sim.after(forMS, sim.startAll)
}

// TestFaults injects one fault at a time into a fleet that runs a gang and a job of two
// steps. Both jobs must reach the wanted state without a violated invariant.
func TestFaults(t *testing.T) {
	for _, f := range faults() {
		t.Run(f.name, func(t *testing.T) {
			sim := newSimulation(t, 1, 3)
			sim.addWorkers(2, 3)
			sim.traceJob(*tracedJob)
			sim.startAll()
			sim.run(3000)
			if sim.holder() == nil {
				t.Fatal("no instance holds the term 3 s after the start")
			}
			sim.submit("urgent", "a", jobA, gangStep(3, 8, 4000))
			second := independentTasks(2, 2, 1500)
			second.After = []int{0}
			sim.submit("batch", "b", jobB, independentTasks(5, 1, 2000), second)
			f.inject(sim)
			sim.run(60000)
			got := map[string]reducer.State{jobA: sim.jobState(jobA), jobB: sim.jobState(jobB)}
			if diff := cmp.Diff(f.want, got); diff != "" {
				t.Errorf("states (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff([]string(nil), sim.checker.violations); diff != "" {
				t.Errorf("invariant violations:\n%s", diff)
			}
		})
	}
}

var (
	firstSeed = flag.Uint64("seed", 0, "first seed of TestSchedule")
	seedCount = flag.Uint64("seeds", 20, "number of seeds of TestSchedule")
	tracedJob = flag.String("traced", "", "ID of the job whose events are printed")
)

// maxHandOverMS is the time in which another instance must take over a released term:
// well below a caller's pause between two retries.
const maxHandOverMS = 600

// TestHandOver shuts the holder down gracefully while tasks run and another job is
// submitted. A successor must take over in time and must not start a running task again.
func TestHandOver(t *testing.T) {
	sim := newSimulation(t, 1, 4)
	sim.addWorkers(2, 3)
	sim.startAll()
	sim.run(3000)
	sim.submit("urgent", "a", jobA, gangStep(3, 8, 4000))
	sim.run(4000)
	oldHolder := sim.holder()
	oldHolder.send(scheduler.ShutdownMsg{})
	sim.submit("batch", "b", jobB, independentTasks(5, 1, 2000))
	sim.run(4000 + maxHandOverMS)
	if h := sim.holder(); h == nil || h == oldHolder {
		t.Fatalf("no instance has taken over the released term after %d ms", maxHandOverMS)
	}
	sim.run(20000)
	got := map[string]reducer.State{jobA: sim.jobState(jobA), jobB: sim.jobState(jobB)}
	if diff := cmp.Diff(bothCompleted(), got); diff != "" {
		t.Errorf("states (-want +got):\n%s", diff)
	}
	if sim.checker.starts != 8 {
		t.Errorf("%d starts, want 8: the hand-over caused tasks to be started again", sim.checker.starts)
	}
}

// TestUnlistedWorkersStayUsableForAWhile empties the list of workers while they still
// answer, as after an outage of the platform. Urgent jobs must still start on them at
// first; once they have been missing from the list for long, they must not be used any
// more.
func TestUnlistedWorkersStayUsableForAWhile(t *testing.T) {
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
		t.Errorf("%d tasks started, want 2: workers that had long left the list were used", sim.checker.starts)
	}
}

// TestLostTasksRestartDespiteKilledHolders loses a worker for good and kills the holder
// every 4 s. The worker's tasks must be started elsewhere once the last lease has
// certainly expired; holders that began to wait anew with each term would delay them.
func TestLostTasksRestartDespiteKilledHolders(t *testing.T) {
	testLostTasks(t, func(sim *simulation, h *instance) {
		h.kill()
		sim.after(1000, h.start)
	})
}

// TestLostTasksRestartDespiteUnreachableLedger is the same test with holders that
// can't reach the ledger for a while instead of being killed: their successors have seen
// the earlier terms.
func TestLostTasksRestartDespiteUnreachableLedger(t *testing.T) {
	testLostTasks(t, func(sim *simulation, h *instance) {
		h.ledgerUnreachable = true
		sim.after(3500, func() { h.ledgerUnreachable = false })
	})
}

// testLostTasks runs a gang, crashes one of its workers for good and calls disrupt with
// the current holder every 4 s. The gang must be started again in time.
func testLostTasks(t *testing.T, disrupt func(*simulation, *instance)) {
	t.Helper()
	sim := newSmallFleet(t)
	sim.traceJob(*tracedJob)
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
	// The longest time that a holder goes on without the ledger (4 s), the lease with its
	// clock drift, and one change of the holder.
	sim.run(4000 + 4000 + leaseMS + leaseMS/50 + 4000)
	if len(sim.checker.jobs[jobA].startTimesMS) < 4 {
		t.Error("the gang has not been restarted")
	}
	sim.expectNoViolations(t)
}

// maxYieldMS is the time in which another instance must take over from a holder that
// can't reach the ledger: less than the silence after which any instance claims the term.
const maxYieldMS = 1200

// TestYield cuts the holder off from the ledger but not from the other instances. It must
// ask one of them to take over.
func TestYield(t *testing.T) {
	sim := newSimulation(t, 1, 4)
	sim.addWorkers(2, 3)
	sim.startAll()
	sim.run(3000)
	oldHolder := sim.holder()
	oldHolder.ledgerUnreachable = true
	sim.run(3000 + maxYieldMS)
	takenOver := false
	for _, i := range sim.instances {
		takenOver = takenOver || i != oldHolder && i.model.Deciding()
	}
	if !takenOver {
		t.Errorf("no other instance has taken over %d ms after the holder lost its connection to the ledger", maxYieldMS)
	}
}

// TestSchedule combines random jobs with random faults. To run more seeds:
//
//	go test ./internal/workload/scheduler -run TestSchedule -seed 100 -seeds 500
func TestSchedule(t *testing.T) {
	for n := range *seedCount {
		seed := *firstSeed + n
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			runRandomSchedule(t, seed)
		})
	}
}

func runRandomSchedule(t *testing.T, seed uint64) {
	runRandomScheduleWithLatency(t, seed, defaultOrderLatencyMS)
}

// runRandomScheduleWithLatency submits 60 random jobs and injects 8 random faults within
// 30 s, and what the callers of this function add. Each job must reach its final state
// without a violated invariant.
func runRandomScheduleWithLatency(t *testing.T, seed uint64, orderLatencyMS int64, disturb ...func(*simulation)) {
	sim := newSimulation(t, seed, 3)
	sim.orderLatencyMS = orderLatencyMS
	sim.startRandomSchedule()
	for _, d := range disturb {
		d(sim)
	}
	sim.run(randomScheduleMS)
	sim.expectFinalStates(t)
	sim.expectUsableFleet(t)
	if diff := cmp.Diff([]string(nil), sim.checker.violations); diff != "" {
		t.Errorf("invariant violations:\n%s", diff)
	}
}

// startRandomSchedule starts a fleet and schedules random jobs and faults.
func (sim *simulation) startRandomSchedule() {
	sim.addWorkers(3, 4)
	sim.traceJob(*tracedJob)
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
}

// randomScheduleMS is when all jobs of a random schedule have ended.
const randomScheduleMS = 150000

// expectFinalStates checks that each job has reached its final state.
func (sim *simulation) expectFinalStates(t *testing.T) {
	t.Helper()
	for id, job := range sim.checker.jobs {
		want := reducer.StateCompleted
		switch {
		case job.cancelledMS > 0:
			want = reducer.StateCancelled
		case job.fails:
			want = reducer.StateFailed
		}
		got := sim.jobState(id)
		// A job may end before its cancellation takes effect.
		if got != want && !(job.cancelledMS > 0 && (got == reducer.StateCompleted || got == reducer.StateFailed)) {
			t.Errorf("job %s is %s, want %s", id, got, want)
		}
	}
}

// expectUsableFleet checks that the holder's state is consistent and that it uses all workers.
func (sim *simulation) expectUsableFleet(t *testing.T) {
	t.Helper()
	sim.expectConsistentHolder(t)
	sim.expectWholeFleetUsable(t, "ffffffffffffffff")
	sim.expectConsistentHolder(t)
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

// injectRandomFault injects a fault that lasts between 0.5 and 8.5 s.
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

// regressionSeeds are seeds that once failed. Known causes: runs of a restarted worker
// were taken for lost (347, 519, 920, 1563); a start was executed after a crash of its
// worker (2398); a task was started on a table read before a suspension (752); an order
// was executed late, for which no time bound holds (327); an end of a restarted worker was
// confirmed by the number of an earlier one (5342). The causes of the others are not known individually; they passed after the same fixes. The seeds were found with
// earlier versions of TestSchedule, which derived other faults from them.
var regressionSeeds = []uint64{122, 272, 327, 347, 519, 568, 750, 752, 920, 1127, 1136, 1255, 1563, 2398, 5342}

// TestScheduleRegressionSeeds runs TestSchedule with seeds that once failed.
func TestScheduleRegressionSeeds(t *testing.T) {
	for _, seed := range regressionSeeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			runRandomSchedule(t, seed)
		})
	}
}

// TestCompletedJobOutlivesTotalLoss completes a job in an outage of the ledger, so that
// callers are shown its end, and then loses all instances and the worker before the outage
// is over. The job must not be run again.
func TestCompletedJobOutlivesTotalLoss(t *testing.T) {
	sim := newSimulation(t, 1, 3)
	sim.addWorkers(1, 3)
	sim.startAll()
	sim.run(3000)
	sim.submit("render", "a", jobA, independentTasks(1, 8, 2000))
	sim.run(4000)
	sim.ledger.down = true
	sim.run(6500)
	worker := sim.workers[sim.workerIDs[0]]
	for _, id := range sim.workerIDs {
		if len(sim.workers[id].startTimesMS) > 0 {
			worker = sim.workers[id]
		}
	}
	worker.crash(500)
	sim.restartAll(500)
	sim.run(8000)
	sim.ledger.down = false
	sim.run(30_000)
	sim.expectNoViolations(t)
}

// TestScheduleWithinAMillisecond delivers orders and their answers in the millisecond in
// which they were sent, so that timestamps can't tell which came first.
func TestScheduleWithinAMillisecond(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			runRandomScheduleWithLatency(t, seed, 0)
		})
	}
}

// TestScheduleWithGuardedRoom guards against faults that only workers show which refuse what
// exceeds their capacity.
func TestScheduleWithGuardedRoom(t *testing.T) {
	for n := range *seedCount {
		seed := *firstSeed + n
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			runRandomScheduleWithLatency(t, seed, defaultOrderLatencyMS, func(sim *simulation) {
				for _, f := range sim.workers {
					f.guardsRoom = true
				}
			})
		})
	}
}

// traceJob prints the events of a job, of changes of the term and of lost workers.
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

// TestLateStartOutlivesCrash leaves a start unanswered until the holder gives it up, and
// crashes the worker after it has confirmed the stop, before it executes the start. The
// restarted worker no longer knows of the stop. If it executes the late start, that run must
// not run beside a new one.
func TestLateStartOutlivesCrash(t *testing.T) {
	cases := 0
	for seed := range uint64(10) {
		sim := newSimulation(t, seed, 3)
		sim.addWorkers(2, 3)
		sim.traceJob(*tracedJob)
		sim.startAll()
		sim.run(3500)
		sim.lateOrderRate = 1
		sim.submit("render", "a", jobA, independentTasks(1, 8, 20000))
		sim.run(5600)
		sim.lateOrderRate = 0
		sim.run(7200)
		crashed := 0
		for _, f := range sim.workers {
			if len(f.highestEndedRun) > 0 && len(f.startTimesMS) == 0 {
				f.crash(100)
				crashed++
			}
		}
		if crashed != 1 {
			// The start was executed before its stop, which is not the case under test.
			continue
		}
		cases++
		sim.run(60000)
		sim.expectNoViolations(t)
		if got := sim.jobState(jobA); got != reducer.StateCompleted {
			t.Errorf("seed %d: the job is %s", seed, got)
		}
	}
	if cases < 5 {
		t.Errorf("%d of 10 seeds produce the case under test, want at least 5", cases)
	}
}

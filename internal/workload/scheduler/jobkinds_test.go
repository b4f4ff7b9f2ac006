package scheduler_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/reducer"
	"daisyhead/internal/workload/scheduler"
)

// newSmallFleet returns a simulation with two racks of three workers, at a time when an
// instance holds the term.
func newSmallFleet(t *testing.T) *simulation {
	t.Helper()
	sim := newSimulation(t, 1, 3)
	sim.addWorkers(2, 3)
	sim.startAll()
	sim.run(3000)
	if sim.holder() == nil {
		t.Fatal("no instance holds the term 3 s after the start")
	}
	return sim
}

// checkJobStates compares the states of jobs with the wanted ones and reports violated
// invariants.
func (sim *simulation) checkJobStates(t *testing.T, want map[string]reducer.State) {
	t.Helper()
	got := map[string]reducer.State{}
	for id := range want {
		got[id] = sim.jobState(id)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("states (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]string(nil), sim.checker.violations); diff != "" {
		t.Errorf("invariant violations:\n%s", diff)
	}
}

// TestAdvisedQueueRunsOnPermittedWorkersOnly lets the external advice service permit a
// single worker. All tasks of a job in an advised queue must run there, and no start
// may be sent without a permit.
func TestAdvisedQueueRunsOnPermittedWorkersOnly(t *testing.T) {
	sim := newSmallFleet(t)
	sim.permittedWorkers = map[string]bool{"w1-1": true}
	sim.submit("advised", "a", jobA, independentTasks(3, 8, 2000))
	sim.run(20000)
	sim.checkJobStates(t, map[string]reducer.State{jobA: reducer.StateCompleted})
	if sim.checker.refusedStarts > 0 {
		t.Errorf("%d starts without a permit", sim.checker.refusedStarts)
	}
}

// maxEarlyStartMS is how long before its due time an occurrence may start.
const maxEarlyStartMS = 250

// TestScheduledJobStartsWhenDue runs a job with three occurrences and kills the holder
// before the last one.
func TestScheduledJobStartsWhenDue(t *testing.T) {
	sim := newSmallFleet(t)
	due := []int64{6000, 8000, 10000}
	sim.submitJob(describer.Job{
		ID: jobA, Queue: "render", Workspace: "a", Steps: []describer.Step{independentTasks(1, 1, 500)},
		Schedule: describer.Schedule{Count: 3, FirstMS: wallStartMS + due[0], IntervalMS: 2000},
	})
	sim.run(9000)
	if got := sim.jobState(jobA); got == reducer.StateCompleted {
		t.Error("the job is completed before its last occurrence")
	}
	sim.holder().kill()
	sim.run(20000)
	sim.checkJobStates(t, map[string]reducer.State{jobA: reducer.StateCompleted})
	starts := sim.checker.jobs[jobA].startTimesMS
	if len(starts) != len(due) {
		t.Fatalf("%d starts, want %d", len(starts), len(due))
	}
	for i, at := range starts {
		if at < due[i]-maxEarlyStartMS {
			t.Errorf("occurrence %d is due at %d ms and starts at %d", i, due[i], at)
		}
	}
}

// TestPerpetualTaskIsStartedAgain lets a task that should run until its job is cancelled
// end by itself and by failures. It must be restarted each time.
func TestPerpetualTaskIsStartedAgain(t *testing.T) {
	sim := newSmallFleet(t)
	step := independentTasks(1, 1, 2000)
	step.Perpetual = true
	sim.submit("render", "a", jobA, step)
	sim.run(12000)
	job := sim.checker.jobs[jobA]
	if len(job.startTimesMS) < 4 {
		t.Errorf("%d starts in 9 s of a task that ends after 2 s", len(job.startTimesMS))
	}
	job.fails = true
	sim.run(20000)
	if got := sim.jobState(jobA); got != reducer.StateRunning {
		t.Errorf("the job is %s after failures, want Running", got)
	}
	sim.cancel(jobA)
	sim.run(30000)
	sim.checkJobStates(t, map[string]reducer.State{jobA: reducer.StateCancelled})
}

// TestFillingTasksStayApartFromServingOnes submits tasks that serve users under a latency
// target and tasks that use idle processor time to an empty fleet. The two kinds must not
// share a worker.
func TestFillingTasksStayApartFromServingOnes(t *testing.T) {
	sim := newSmallFleet(t)
	serving := independentTasks(2, 1, 60000)
	serving.Perpetual, serving.LatencyTargetMS = true, 50
	filling := independentTasks(10, 0, 5000)
	filling.FillsIdle = true
	sim.submit("render", "a", jobA, serving)
	sim.submit("batch", "b", jobB, filling)
	sim.run(6000)
	for id, f := range sim.workers {
		kinds := map[bool]int{}
		for _, r := range f.sortedRuns() {
			kinds[sim.checker.step(r.ref).FillsIdle]++
		}
		if kinds[true] > 0 && kinds[false] > 0 {
			t.Errorf("worker %s runs %d filling and %d serving tasks", id, kinds[true], kinds[false])
		}
	}
	sim.run(30000)
	sim.checkJobStates(t, map[string]reducer.State{jobA: reducer.StateRunning, jobB: reducer.StateCompleted})
}

// TestTasksOfAStepSpread limits how many tasks of a step may run on one worker.
func TestTasksOfAStepSpread(t *testing.T) {
	sim := newSmallFleet(t)
	step := independentTasks(12, 1, 4000)
	step.MaxPerWorker = 2
	sim.submit("batch", "b", jobB, step)
	sim.run(5000)
	total := 0
	for id, f := range sim.workers {
		total += len(f.runs)
		if len(f.runs) > step.MaxPerWorker {
			t.Errorf("worker %s runs %d tasks of the step, the limit is %d", id, len(f.runs), step.MaxPerWorker)
		}
	}
	if total == 0 {
		t.Error("no task of the step runs")
	}
	sim.run(30000)
	sim.checkJobStates(t, map[string]reducer.State{jobB: reducer.StateCompleted})
}

// TestLabelledStepWaitsForItsWorkers requires a label that only the workers of one rack
// have. The step's tasks must wait for these workers.
func TestLabelledStepWaitsForItsWorkers(t *testing.T) {
	sim := newSmallFleet(t)
	step := independentTasks(4, 8, 2000)
	step.RequireLabel = "r1"
	sim.submit("render", "a", jobA, step)
	sim.run(3500)
	for id, f := range sim.workers {
		if f.spec.Rack != "r1" && len(f.runs) > 0 {
			t.Errorf("worker %s without the label runs a task", id)
		}
	}
	sim.run(20000)
	sim.checkJobStates(t, map[string]reducer.State{jobA: reducer.StateCompleted})
}

// TestUnreadableSubmissionIsRefused sends the holder a submission that it can't decode.
func TestUnreadableSubmissionIsRefused(t *testing.T) {
	sim := newSmallFleet(t)
	h := sim.holder()
	at := scheduler.Instant{MonoMS: sim.nowMS - h.startMS, WallMS: wallStartMS + sim.nowMS}
	var got []scheduler.StoreResult
	for _, c := range h.model.Update(at, scheduler.StoreMsg{RequestID: 7, Record: reducer.Record{Key: "submission/" + jobA, Value: []byte{0xff}}}) {
		if s, ok := c.(scheduler.StoredCmd); ok {
			got = append(got, s.Result)
		}
	}
	if diff := cmp.Diff([]scheduler.StoreResult{scheduler.StoreInvalid}, got); diff != "" {
		t.Errorf("results (-want +got):\n%s", diff)
	}
}

package scheduler_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/scheduler"
	"daisyhead/internal/workload/tabulator"
)

// settled returns a small fleet whose term is held.
func settled(t *testing.T) *world {
	t.Helper()
	w := newWorld(t, 1, 3)
	w.addWorkers(2, 3)
	w.startAll()
	w.run(3000)
	if w.holder() == nil {
		t.Fatal("nobody decides 3 s after the start")
	}
	return w
}

func (w *world) check(t *testing.T, want map[string]tabulator.State) {
	t.Helper()
	got := map[string]tabulator.State{}
	for id := range want {
		got[id] = w.state(id)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("states (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]string(nil), w.judge.broken); diff != "" {
		t.Errorf("broken promises:\n%s", diff)
	}
}

// TestAdvisedQueueRunsOnPermittedWorkersOnly lets a service outside permit one
// worker of the second rack.
func TestAdvisedQueueRunsOnPermittedWorkersOnly(t *testing.T) {
	w := settled(t)
	w.permitted = map[string]bool{"w1-1": true}
	w.submit("advised", "a", jobA, tasks(3, 8, 2000))
	w.run(20000)
	w.check(t, map[string]tabulator.State{jobA: tabulator.StateCompleted})
	if w.judge.unpermitted > 0 {
		t.Errorf("%d starts without a permit", w.judge.unpermitted)
	}
}

// earlyMS is how much before its time an occurrence may start at most.
const earlyMS = 250

// TestScheduledJobStartsWhenDue runs three occurrences, the holder killed before
// the last one.
func TestScheduledJobStartsWhenDue(t *testing.T) {
	w := settled(t)
	due := []int64{6000, 8000, 10000}
	w.submitJob(describer.Job{
		ID: jobA, Queue: "render", Workspace: "a", Steps: []describer.Step{tasks(1, 1, 500)},
		Schedule: describer.Schedule{Count: 3, FirstMS: wallStartMS + due[0], IntervalMS: 2000},
	})
	w.run(9000)
	if got := w.state(jobA); got == tabulator.StateCompleted {
		t.Error("the job is completed before its last occurrence")
	}
	w.holder().kill()
	w.run(20000)
	w.check(t, map[string]tabulator.State{jobA: tabulator.StateCompleted})
	starts := w.judge.submitted[jobA].startsMS
	if len(starts) != len(due) {
		t.Fatalf("%d starts, want %d", len(starts), len(due))
	}
	for i, at := range starts {
		if at < due[i]-earlyMS {
			t.Errorf("occurrence %d is due at %d ms and starts at %d", i, due[i], at)
		}
	}
}

// TestPerpetualTaskIsStartedAgain ends a task that should run until the job is
// cancelled, by itself, by a failure and with its worker.
func TestPerpetualTaskIsStartedAgain(t *testing.T) {
	w := settled(t)
	step := tasks(1, 1, 2000)
	step.Perpetual = true
	w.submit("render", "a", jobA, step)
	w.run(12000)
	v := w.judge.submitted[jobA]
	if len(v.startsMS) < 4 {
		t.Errorf("%d starts in 9 s of a task that ends after 2 s", len(v.startsMS))
	}
	v.fails = true
	w.run(20000)
	if got := w.state(jobA); got != tabulator.StateRunning {
		t.Errorf("the job is %s after failures, want Running", got)
	}
	w.cancel(jobA)
	w.run(30000)
	w.check(t, map[string]tabulator.State{jobA: tabulator.StateCancelled})
}

// TestFillingTasksStayApartFromServingOnes offers a task that uses idle processor
// time and one that serves users under a latency target to an empty fleet.
func TestFillingTasksStayApartFromServingOnes(t *testing.T) {
	w := settled(t)
	serving := tasks(2, 1, 60000)
	serving.Perpetual, serving.LatencyTargetMS = true, 50
	filling := tasks(10, 0, 5000)
	filling.FillsIdle = true
	w.submit("render", "a", jobA, serving)
	w.submit("batch", "b", jobB, filling)
	w.run(6000)
	for id, f := range w.workers {
		kinds := map[bool]int{}
		for _, r := range f.sorted() {
			kinds[w.judge.step(r.ref).FillsIdle]++
		}
		if kinds[true] > 0 && kinds[false] > 0 {
			t.Errorf("worker %s runs %d filling and %d serving tasks", id, kinds[true], kinds[false])
		}
	}
	w.run(30000)
	w.check(t, map[string]tabulator.State{jobA: tabulator.StateRunning, jobB: tabulator.StateCompleted})
}

// TestTasksOfAStepSpread bounds the tasks of a step on one worker.
func TestTasksOfAStepSpread(t *testing.T) {
	w := settled(t)
	step := tasks(12, 1, 4000)
	step.MaxPerWorker = 2
	w.submit("batch", "b", jobB, step)
	w.run(5000)
	total := 0
	for id, f := range w.workers {
		total += len(f.runs)
		if len(f.runs) > step.MaxPerWorker {
			t.Errorf("worker %s runs %d tasks, at most %d may", id, len(f.runs), step.MaxPerWorker)
		}
	}
	if total == 0 {
		t.Error("nothing runs")
	}
	w.run(30000)
	w.check(t, map[string]tabulator.State{jobB: tabulator.StateCompleted})
}

// TestLabelledStepWaitsForItsWorkers asks for a label that one rack has.
func TestLabelledStepWaitsForItsWorkers(t *testing.T) {
	w := settled(t)
	step := tasks(4, 8, 2000)
	step.RequireLabel = "r1"
	w.submit("render", "a", jobA, step)
	w.run(3500)
	for id, f := range w.workers {
		if f.spec.Rack != "r1" && len(f.runs) > 0 {
			t.Errorf("worker %s without the label runs a task", id)
		}
	}
	w.run(20000)
	w.check(t, map[string]tabulator.State{jobA: tabulator.StateCompleted})
}

// TestUnreadableSubmissionIsRefused hands the holder a submission of a form that it does
// not know.
func TestUnreadableSubmissionIsRefused(t *testing.T) {
	w := settled(t)
	h := w.holder()
	at := scheduler.Instant{MonoMS: w.nowMS - h.startMS, WallMS: wallStartMS + w.nowMS}
	var got []scheduler.StoreResult
	for _, c := range h.model.Update(at, scheduler.StoreMsg{Ticket: 7, Record: tabulator.Record{Key: "submission/" + jobA, Value: []byte{0xff}}}) {
		if s, ok := c.(scheduler.StoredCmd); ok {
			got = append(got, s.Result)
		}
	}
	if diff := cmp.Diff([]scheduler.StoreResult{scheduler.StoreInvalid}, got); diff != "" {
		t.Errorf("results (-want +got):\n%s", diff)
	}
}

package scheduler_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"daisyhead/internal/workload/scheduler"
)

// waitReports collects the steps that any instance reports as waiting.
func (sim *simulation) waitReports() *[]map[string]any {
	var reports []map[string]any
	sim.trace = func(_ string, e scheduler.EventCmd) {
		if e.Name != "StepWaits" {
			return
		}
		fields := map[string]any{}
		for i := 0; i < len(e.Fields); i += 2 {
			fields[e.Fields[i].(string)] = e.Fields[i+1]
		}
		reports = append(reports, fields)
	}
	return &reports
}

// TestLongWaitIsExplained lets a step wait for the only workers with its label, one of
// which drains while the other is full. The log must say so.
func TestLongWaitIsExplained(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.addWorkers(2, 2)
	sim.startAll()
	sim.run(3000)
	reports := sim.waitReports()
	full := independentTasks(1, 8, 60000)
	full.RequireLabel = "r1"
	sim.submit("render", "b", jobB, full)
	sim.run(3500)
	for _, f := range sim.workers {
		f.spec.Draining = f.spec.Rack == "r1" && len(f.runs) == 0
		f.spec.RemainingMS = 60000
	}
	sim.run(4000)
	labelled := independentTasks(2, 8, 2000)
	labelled.RequireLabel = "r1"
	sim.submit("render", "a", jobA, labelled)
	sim.run(4000 + 3*2000)
	want := map[string]any{
		"Job": jobA, "Occurrence": 0, "Step": 0, "Reason": "ClosedWorkers", "Width": 2, "CPU": 1000, "MemoryMB": 1000, "Accelerators": 8,
		"Units": map[string]int{"Waiting": 2}, "FailedWorkers": 0, "FitTasks": 0, "FitTasksInRack": 0, "FitTasksInHeadroom": 0,
		"Workers": 4, "Closed": map[string]int{"Draining": 1}, "IdleSteps": 1,
	}
	if len(*reports) == 0 {
		t.Fatal("the wait is not reported")
	}
	got := (*reports)[0]
	if waited := got["WaitsMS"].(int64); waited < 2000 || waited > 4000 {
		t.Errorf("first report after %d ms, want 2000 to 4000", waited)
	}
	delete(got, "WaitsMS")
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("report (-want +got):\n%s", diff)
	}
}

// TestWaitReportsAreBounded lets many jobs wait. Few of them may be logged at a time,
// among them the one that waits for another reason than capacity.
func TestWaitReportsAreBounded(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.addWorkers(2, 2)
	special := &sim.workers["w1-1"].spec
	special.Labels, special.Room.Accelerators, special.Draining = []string{"special"}, 0, true
	sim.startAll()
	sim.run(3000)
	reports := sim.waitReports()
	sim.submit("urgent", "b", jobB, independentTasks(3, 8, 60000))
	sim.run(3500)
	for n := range 30 {
		sim.submit("batch", "a", fmt.Sprintf("ba%014x", n), independentTasks(4, 1, 2000))
	}
	sim.run(6000)
	labelled := independentTasks(1, 0, 2000)
	labelled.RequireLabel = "special"
	sim.submit("batch", "a", jobA, labelled)
	sim.run(16500)
	explained := false
	for _, r := range *reports {
		explained = explained || r["Job"] == jobA && r["Reason"] == "ClosedWorkers"
	}
	if limit := 5 * (16500 - 3500) / 2000; len(*reports) == 0 || len(*reports) > limit {
		t.Errorf("%d steps were reported, want 1 to %d", len(*reports), limit)
	}
	if !explained {
		t.Error("the job that waits for closed workers was not reported")
	}
}

// TestWaitForLateStartsIsExplained guards against a wait whose cause and end can't be found in
// the log, also after a change of the holder.
func TestWaitForLateStartsIsExplained(t *testing.T) {
	sim := newSmallFleet(t)
	reports := sim.waitReports()
	h := sim.holdUpStarts(jobA, 0, everyStart, 14900)
	sim.submit("render", "a", jobA, independentTasks(1, 8, 2000))
	sim.run(6000)
	h.max = h.sent
	for _, term := range []uint64{1, 2} {
		*reports = nil
		sim.run(sim.nowMS + 5000)
		if len(*reports) == 0 {
			t.Fatalf("at %d ms: the wait is not reported", sim.nowMS)
		}
		got := (*reports)[len(*reports)-1]
		waits, _ := got["LateStarts"].([]scheduler.LateStartWait)
		if got["Reason"] != "LateStarts" || len(waits) != 1 {
			t.Fatalf("at %d ms: report %v, want one late start as the reason", sim.nowMS, got)
		}
		forMS := waits[0].ForMS
		waits[0].ForMS = 0
		want := scheduler.LateStartWait{Unit: jobA + ".0.0.0", Run: 1, Worker: h.worker.id, StartTerm: 1}
		if diff := cmp.Diff(want, waits[0]); diff != "" {
			t.Errorf("in term %d (-want +got):\n%s", term, diff)
		}
		if forMS <= 0 || forMS > 15500 {
			t.Errorf("in term %d the start may be executed for %d ms, want up to 15500", term, forMS)
		}
		sim.holder().kill()
	}
}

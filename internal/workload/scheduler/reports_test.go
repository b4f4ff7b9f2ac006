package scheduler_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"daisyhead/internal/workload/scheduler"
)

// findHold returns the hold for a worker among the commands.
func findHold(cmds []scheduler.Command, worker string) (found scheduler.HoldCmd, ok bool) {
	for _, c := range cmds {
		if h, isHold := c.(scheduler.HoldCmd); isHold && h.Worker == worker {
			return h, true
		}
	}
	return found, false
}

// TestReportOfTheMillisecondOfAStart sends the holder a report that was requested in the
// millisecond in which a start was answered. The worker may have written the report before
// the start, so a run that is missing from it must not be taken for lost.
func TestReportOfTheMillisecondOfAStart(t *testing.T) {
	sim := newSmallFleet(t)
	sim.submit("render", "a", jobA, independentTasks(1, 1, 60000))
	sim.run(3500)
	h := sim.holder()
	var f *fakeWorker
	for _, name := range sim.workerIDs {
		if len(sim.workers[name].runs) > 0 {
			f = sim.workers[name]
		}
	}
	if f == nil {
		t.Fatal("the task does not run")
	}
	ref := f.sortedRuns()[0].ref
	// From here on the simulation stands still, and only this test sends messages to the
	// model.
	now := sim.nowMS
	var hold scheduler.HoldCmd
	removed := false
	send := func(msg scheduler.Msg) {
		cmds := h.model.Update(scheduler.Instant{MonoMS: now - h.startMS, WallMS: wallStartMS + now}, msg)
		if c, ok := findHold(cmds, f.id); ok {
			hold = c
		}
		for _, c := range cmds {
			e, ok := c.(scheduler.EventCmd)
			removed = removed || ok && e.Name == "RunGone"
		}
	}
	report := scheduler.WorkerReport{IncarnationMS: f.incarnationStartMS, ClockMS: f.clockMS(), Running: []scheduler.RunReport{{Task: workerRef(ref)}}}
	// The sequence number of the hold in flight is not known here. Answers with other
	// numbers are ignored.
	for sequence := range uint64(100) {
		send(scheduler.HeldMsg{Term: 1, Worker: f.id, Sequence: sequence, Result: scheduler.OrderDone, Report: report})
	}
	if hold.Sequence == 0 {
		t.Fatal("no hold was sent")
	}
	send(scheduler.StartedMsg{Term: 1, Worker: f.id, Task: ref, Result: scheduler.OrderDone})
	report.Running = nil
	now++
	send(scheduler.HeldMsg{Term: 1, Worker: f.id, Sequence: hold.Sequence, Result: scheduler.OrderDone, Report: report})
	if removed {
		t.Error("the run was taken for lost")
	}
}

// TestOverlapIsLogged guards against two runs of one task that leave no line in the log: a
// worker reports a run that was given up while another run of the task is present elsewhere.
func TestOverlapIsLogged(t *testing.T) {
	sim := newSmallFleet(t)
	events := map[string]int{}
	sim.trace = func(_ string, e scheduler.EventCmd) { events[e.Name]++ }
	sim.submit("render", "a", jobA, independentTasks(1, 1, 60000))
	sim.run(4000)
	var current *fakeRun
	idle := ""
	for _, id := range sim.workerIDs {
		if runs := sim.workers[id].sortedRuns(); len(runs) > 0 {
			current = runs[0]
		} else {
			idle = id
		}
	}
	if current == nil {
		t.Fatal("the task does not run")
	}
	ref := current.ref
	ref.Run--
	sim.workers[idle].crash(100)
	sim.run(7000)
	sim.workers[idle].runs[ref] = &fakeRun{ref: ref, startMS: sim.nowMS, workSinceMS: -1}
	sim.run(12000)
	want := map[string]int{"WorkerRestarted": 1, "StrayRun": 1, "RunsOverlap": 1}
	got := map[string]int{"WorkerRestarted": events["WorkerRestarted"], "StrayRun": events["StrayRun"], "RunsOverlap": events["RunsOverlap"]}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("events (-want +got):\n%s", diff)
	}
}

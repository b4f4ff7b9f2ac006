package scheduler_test

import (
	"testing"

	"daisyhead/internal/workload/scheduler"
)

// holdTo returns the hold that the commands hold for a worker.
func findHold(cmds []scheduler.Command, worker string) (found scheduler.HoldCmd, ok bool) {
	for _, c := range cmds {
		if h, isHold := c.(scheduler.HoldCmd); isHold && h.Worker == worker {
			return h, true
		}
	}
	return found, false
}

// TestReportOfTheMillisecondOfAStart gives the holder a report that was asked for
// in the millisecond in which a start was answered. The worker may have written it
// before the start, so a run that it does not show is not lost.
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
	// Until the next hold, only this test speaks to the model.
	now := sim.nowMS
	var hold scheduler.HoldCmd
	dropped := false
	send := func(msg scheduler.Msg) {
		cmds := h.model.Update(scheduler.Instant{MonoMS: now - h.startMS, WallMS: wallStartMS + now}, msg)
		if c, ok := findHold(cmds, f.id); ok {
			hold = c
		}
		for _, c := range cmds {
			e, ok := c.(scheduler.EventCmd)
			dropped = dropped || ok && e.Name == "RunGone"
		}
	}
	report := scheduler.WorkerReport{BornMS: f.incarnationStartMS, ClockMS: f.clockMS(), Running: []scheduler.RunReport{{Task: workerRef(ref)}}}
	for sequence := range uint64(100) {
		send(scheduler.HeldMsg{Worker: f.id, Sequence: sequence, Result: scheduler.OrderDone, Report: report})
	}
	if hold.Sequence == 0 {
		t.Fatal("no hold was sent")
	}
	send(scheduler.StartedMsg{Worker: f.id, Task: ref, Result: scheduler.OrderDone})
	report.Running = nil
	now++
	send(scheduler.HeldMsg{Worker: f.id, Sequence: hold.Sequence, Result: scheduler.OrderDone, Report: report})
	if dropped {
		t.Error("the run was given up")
	}
}

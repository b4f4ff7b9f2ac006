package scheduler_test

import (
	"testing"

	"daisyhead/internal/workload/scheduler"
)

// holdTo returns the hold that the commands hold for a worker.
func holdTo(cmds []scheduler.Command, worker string) (found scheduler.HoldCmd, ok bool) {
	for _, c := range cmds {
		if h, is := c.(scheduler.HoldCmd); is && h.Worker == worker {
			return h, true
		}
	}
	return found, false
}

// TestReportOfTheMillisecondOfAStart gives the holder a report that was asked for
// in the millisecond in which a start was answered. The worker may have written it
// before the start, so a run that it does not show is not lost.
func TestReportOfTheMillisecondOfAStart(t *testing.T) {
	w := settled(t)
	w.submit("render", "a", jobA, tasks(1, 1, 60000))
	w.run(3500)
	h := w.holder()
	var f *fakeWorker
	for _, name := range w.names {
		if len(w.workers[name].runs) > 0 {
			f = w.workers[name]
		}
	}
	if f == nil {
		t.Fatal("the task does not run")
	}
	ref := f.sorted()[0].ref
	// Until the next hold, only this test speaks to the model.
	now := w.nowMS
	var hold scheduler.HoldCmd
	gone := false
	send := func(msg scheduler.Msg) {
		cmds := h.model.Update(scheduler.Instant{MonoMS: now - h.startMS, WallMS: wallStartMS + now}, msg)
		if c, ok := holdTo(cmds, f.id); ok {
			hold = c
		}
		for _, c := range cmds {
			e, ok := c.(scheduler.EventCmd)
			gone = gone || ok && e.Name == "RunGone"
		}
	}
	report := scheduler.WorkerReport{BornMS: f.bornMS, ClockMS: f.clock(), Running: []scheduler.RunReport{{Task: wire(ref)}}}
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
	if gone {
		t.Error("the run was given up")
	}
}

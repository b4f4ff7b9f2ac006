package scheduler_test

import (
	"testing"

	"daisyhead/internal/workload/scheduler"
	"daisyhead/internal/workload/tabulator"
)

// TestCompletedInAnOutage lets a job end while the ledger is down. Callers see that it is
// completed, and it is not run again, whatever is lost before the ledger is back.
func TestCompletedInAnOutage(t *testing.T) {
	for _, c := range []struct {
		name string
		lose func(w *world)
	}{
		{"nothing is lost", func(*world) {}},
		{"the holder is lost", func(w *world) { w.holder().kill() }},
		{"the holder and all workers are lost", func(w *world) {
			w.holder().kill()
			for _, f := range w.workers {
				f.crash(100)
			}
		}},
		{"the holder is cut off for good", func(w *world) { w.holder().cutOff = true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := settled(t)
			w.traceJob(*traced)
			w.submit("urgent", "a", jobA, gang(2, 8, 2500))
			w.after(1500, func() { w.ledger.down = true })
			w.run(7000)
			q, _ := w.config.Queue("urgent")
			v := w.judge.submitted[jobA]
			if objective := int64(q.Stretch*2500) + q.ObjectiveMS; v.shownMS == 0 || v.shownMS-v.submittedMS > objective {
				t.Errorf("shown as completed after %d ms, the objective is %d", v.shownMS-v.submittedMS, objective)
			}
			c.lose(w)
			w.run(8000)
			w.ledger.down = false
			w.run(30000)
			w.check(t, map[string]tabulator.State{jobA: tabulator.StateCompleted})
			if starts := len(v.startsMS); starts != 2 {
				t.Errorf("%d starts, want 2: the job was run again", starts)
			}
		})
	}
}

// TestNotCompletedWithoutWitnesses lets a job end at a holder that nobody can be told by.
func TestNotCompletedWithoutWitnesses(t *testing.T) {
	w := settled(t)
	w.submit("urgent", "a", jobA, gang(2, 8, 2500))
	w.after(1500, func() {
		w.ledger.down = true
		for _, i := range w.instances {
			if i != w.holder() {
				i.frozen = true
			}
		}
	})
	w.run(9000)
	if at := w.judge.submitted[jobA].shownMS; at > 0 {
		t.Errorf("shown as completed at %d without a witness", at)
	}
}

// TestWitnessRecordsWhatTheHolderDoesNot gives an instance that does not decide an outcome
// whose holder never records it. The job ends all the same, and nothing of it runs on.
func TestWitnessRecordsWhatTheHolderDoesNot(t *testing.T) {
	w := settled(t)
	w.submit("render", "a", jobA, tasks(2, 8, 20000))
	w.run(4000)
	for _, i := range w.instances {
		if i != w.holder() {
			i.send(scheduler.WitnessMsg{Outcome: tabulator.OutcomeRecord(jobA, tabulator.Outcome{State: tabulator.StateCompleted})})
			break
		}
	}
	w.run(8000)
	if got := w.state(jobA); got != tabulator.StateCompleted {
		t.Errorf("the job is %s, want %s", got, tabulator.StateCompleted)
	}
	for _, f := range w.workers {
		if len(f.runs) > 0 {
			t.Errorf("worker %s still runs %d tasks", f.id, len(f.runs))
		}
	}
}

// TestHolderEndsAWitnessedJob tells the holder itself of an outcome that an earlier one
// knew: it ends the job before any instance has recorded it.
func TestHolderEndsAWitnessedJob(t *testing.T) {
	w := settled(t)
	w.submit("render", "a", jobA, tasks(2, 8, 20000))
	w.run(4000)
	w.holder().send(scheduler.WitnessMsg{Outcome: tabulator.OutcomeRecord(jobA, tabulator.Outcome{State: tabulator.StateCompleted})})
	w.run(4000 + 2*appendMS)
	if got := w.state(jobA); got != tabulator.StateCompleted {
		t.Errorf("the job is %s, want %s", got, tabulator.StateCompleted)
	}
}

package scheduler_test

import (
	"testing"

	"daisyhead/internal/workload/reducer"
	"daisyhead/internal/workload/scheduler"
)

// TestCompletedInAnOutage lets a job end while the ledger is down. Callers must see it as
// completed in time, and it must not run again, whatever is lost before the ledger is back.
func TestCompletedInAnOutage(t *testing.T) {
	for _, c := range []struct {
		name string
		lose func(sim *simulation)
	}{
		{"nothing is lost", func(*simulation) {}},
		{"the holder is lost", func(sim *simulation) { sim.holder().kill() }},
		{"the holder and all workers are lost", func(sim *simulation) {
			sim.holder().kill()
			for _, f := range sim.workers {
				f.crash(100)
			}
		}},
		{"the holder is cut off for good", func(sim *simulation) { sim.holder().ledgerUnreachable = true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := newSmallFleet(t)
			sim.traceJob(*tracedJob)
			sim.submit("urgent", "a", jobA, gangStep(2, 8, 2500))
			sim.after(1500, func() { sim.ledger.down = true })
			sim.run(7000)
			q, _ := sim.config.Queue("urgent")
			job := sim.checker.jobs[jobA]
			if objective := int64(q.Stretch*2500) + q.ObjectiveMS; job.shownCompletedMS == 0 || job.shownCompletedMS-job.submittedMS > objective {
				t.Errorf("shown as completed after %d ms, the objective is %d ms", job.shownCompletedMS-job.submittedMS, objective)
			}
			c.lose(sim)
			sim.run(8000)
			sim.ledger.down = false
			sim.run(30000)
			sim.checkJobStates(t, map[string]reducer.State{jobA: reducer.StateCompleted})
			if starts := len(job.startTimesMS); starts != 2 {
				t.Errorf("%d starts, want 2: the job was run again", starts)
			}
		})
	}
}

// TestNotCompletedWithoutWitnesses lets a job end while the ledger is down and no
// other instance answers the holder. Callers must not see the job as completed, since a
// loss of the holder would make it run again.
func TestNotCompletedWithoutWitnesses(t *testing.T) {
	sim := newSmallFleet(t)
	sim.submit("urgent", "a", jobA, gangStep(2, 8, 2500))
	sim.after(1500, func() {
		sim.ledger.down = true
		for _, i := range sim.instances {
			if i != sim.holder() {
				i.frozen = true
			}
		}
	})
	sim.run(9000)
	if at := sim.checker.jobs[jobA].shownCompletedMS; at > 0 {
		t.Errorf("shown as completed at %d ms without a witness", at)
	}
}

// TestWitnessRecordsWhatTheHolderDoesNot sends an outcome to an instance that doesn't hold
// the term, and the holder never records it. The instance must record it, so that the job
// ends and its tasks are stopped.
func TestWitnessRecordsWhatTheHolderDoesNot(t *testing.T) {
	sim := newSmallFleet(t)
	sim.submit("render", "a", jobA, independentTasks(2, 8, 20000))
	sim.run(4000)
	for _, i := range sim.instances {
		if i != sim.holder() {
			i.send(scheduler.RememberOutcomeMsg{Outcome: reducer.OutcomeRecord(jobA, reducer.Outcome{State: reducer.StateCompleted})})
			break
		}
	}
	sim.run(8000)
	if got := sim.jobState(jobA); got != reducer.StateCompleted {
		t.Errorf("the job is %s, want %s", got, reducer.StateCompleted)
	}
	for _, f := range sim.workers {
		if len(f.runs) > 0 {
			t.Errorf("worker %s still runs %d tasks", f.id, len(f.runs))
		}
	}
}

// TestHolderEndsAWitnessedJob sends the holder itself an outcome of an earlier holder. It
// must end the job itself, before another instance records the outcome.
func TestHolderEndsAWitnessedJob(t *testing.T) {
	sim := newSmallFleet(t)
	sim.submit("render", "a", jobA, independentTasks(2, 8, 20000))
	sim.run(4000)
	sim.holder().send(scheduler.RememberOutcomeMsg{Outcome: reducer.OutcomeRecord(jobA, reducer.Outcome{State: reducer.StateCompleted})})
	sim.run(4000 + 2*appendLatencyMS)
	if got := sim.jobState(jobA); got != reducer.StateCompleted {
		t.Errorf("the job is %s, want %s", got, reducer.StateCompleted)
	}
}

// TestLoneHolderTellsOnlyWhatIsDurable completes a job in an outage of the ledger while no
// other instance is there to remember it. Callers must not be told before the outcome is
// durable: the only process and the worker may be lost together.
func TestLoneHolderTellsOnlyWhatIsDurable(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.addWorkers(1, 3)
	sim.startAll()
	sim.run(3000)
	sim.submit("render", "a", jobA, independentTasks(1, 8, 1000))
	sim.run(3500)
	sim.ledger.down = true
	sim.run(6000)
	model := sim.holder().model
	told := func() reducer.State {
		j, _ := model.Table.Lookup(jobA)
		return model.StateOf(j)
	}
	if got := told(); got != reducer.StateRunning {
		t.Errorf("the job is shown as %s in the outage, want %s", got, reducer.StateRunning)
	}
	sim.ledger.down = false
	sim.run(9000)
	if got := told(); got != reducer.StateCompleted {
		t.Errorf("the job is shown as %s after the outage, want %s", got, reducer.StateCompleted)
	}
	sim.expectNoViolations(t)
}

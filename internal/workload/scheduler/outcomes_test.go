package scheduler_test

import (
	"testing"

	"daisyhead/internal/workload/reducer"
	"daisyhead/internal/workload/scheduler"
)

const (
	// shownAfterOutageMS is the time after an outage in which the holder retries an append and
	// all instances read its record.
	shownAfterOutageMS = 500
	// shownBySuccessorMS is the same with a new holder, which has to ask the workers first.
	shownBySuccessorMS = 3000
)

// TestOutcomeInAnOutage guards against a job that is run again after callers saw it as
// completed, whatever is lost in the outage in which it ended.
//
// Callers must not see the job as completed before that is durable, and must see it soon after
// the outage. It is run again only if its workers are lost too.
func TestOutcomeInAnOutage(t *testing.T) {
	for _, c := range []struct {
		name        string
		lose        func(sim *simulation)
		withinMS    int64
		startsAgain bool
	}{
		{"nothing is lost", func(*simulation) {}, shownAfterOutageMS, false},
		{"the holder is lost", func(sim *simulation) { sim.holder().kill() }, shownBySuccessorMS, false},
		{"the holder is cut off for good", func(sim *simulation) { sim.holder().ledgerUnreachable = true }, shownBySuccessorMS, false},
		{"all instances are lost", func(sim *simulation) { sim.restartAll(500) }, shownBySuccessorMS, false},
		{"the holder and all workers are lost", func(sim *simulation) {
			sim.holder().kill()
			for _, f := range sim.workers {
				f.crash(100)
			}
		}, 0, true},
		{"all instances and workers are lost", func(sim *simulation) {
			sim.restartAll(500)
			for _, f := range sim.workers {
				f.crash(100)
			}
		}, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := newSmallFleet(t)
			sim.traceJob(*tracedJob)
			sim.submit("urgent", "a", jobA, gangStep(2, 8, 2500))
			sim.after(1500, func() { sim.ledger.down = true })
			sim.run(7000)
			c.lose(sim)
			sim.run(8000)
			job := sim.checker.jobs[jobA]
			if job.shownCompletedMS > 0 {
				t.Errorf("shown as completed at %d ms, before the end of the outage", job.shownCompletedMS)
			}
			sim.ledger.down = false
			sim.run(30000)
			sim.checkJobStates(t, map[string]reducer.State{jobA: reducer.StateCompleted})
			if got := job.shownCompletedMS - 8000; c.withinMS > 0 && got > c.withinMS {
				t.Errorf("shown as completed %d ms after the outage, want at most %d ms", got, c.withinMS)
			}
			if again := len(job.startTimesMS) > 2; again != c.startsAgain {
				t.Errorf("%d starts, run again: %t, want %t", len(job.startTimesMS), again, c.startsAgain)
			}
			sim.expectNoViolations(t)
		})
	}
}

// TestCutOffHolderRelaysOutcomes guards against a completed job that is shown as running until
// the term has changed hands, although other instances reach the ledger.
func TestCutOffHolderRelaysOutcomes(t *testing.T) {
	const withinMS = 350
	sim := newSmallFleet(t)
	sim.traceJob(*tracedJob)
	sim.submit("urgent", "a", jobA, gangStep(2, 8, 2500))
	for sim.checker.jobs[jobA].lastDoneMS == 0 && sim.nowMS < 20000 {
		sim.run(sim.nowMS + 10)
		if len(sim.checker.jobs[jobA].startTimesMS) == 2 && sim.nowMS-sim.checker.jobs[jobA].firstStartMS >= 2400 {
			sim.holder().ledgerUnreachable = true
		}
	}
	endedMS := sim.nowMS
	sim.run(endedMS + withinMS)
	if got := sim.jobState(jobA); got != reducer.StateCompleted {
		t.Errorf("%d ms after its end the job is recorded as %s, want %s", withinMS, got, reducer.StateCompleted)
	}
	sim.run(endedMS + 20000)
	if starts := len(sim.checker.jobs[jobA].startTimesMS); starts != 2 {
		t.Errorf("%d starts, want 2: the job was run again", starts)
	}
	sim.expectNoViolations(t)
}

// TestSlowLedgerRelaysNothing guards against relayed outcomes that queue in a slow ledger before
// the holder's own appends, so that ends are not confirmed for seconds.
func TestSlowLedgerRelaysNothing(t *testing.T) {
	sim := newSmallFleet(t)
	relays := 0
	sim.trace = func(_ string, e scheduler.EventCmd) {
		if e.Name == "OutcomesRelayed" {
			relays++
		}
	}
	sim.submit("urgent", "a", jobA, gangStep(2, 8, 2500))
	sim.run(4000)
	sim.ledger.slowMS = 3000
	sim.run(12000)
	sim.ledger.slowMS = 0
	sim.run(20000)
	if relays > 0 {
		t.Errorf("outcomes were relayed %d times, want none", relays)
	}
	sim.checkJobStates(t, map[string]reducer.State{jobA: reducer.StateCompleted})
}

// TestNotCompletedWithoutPeers lets a job end while the ledger is down and no other instance
// answers the holder. Callers must not see the job as completed, since a loss of the holder
// would make it run again.
func TestNotCompletedWithoutPeers(t *testing.T) {
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
		t.Errorf("shown as completed at %d ms, before that was durable", at)
	}
}

// TestRelayedOutcomeIsWritten relays an outcome to an instance that doesn't hold the term, and
// the holder never records it. The instance must write it, so that the job ends and its tasks
// are stopped.
func TestRelayedOutcomeIsWritten(t *testing.T) {
	sim := newSmallFleet(t)
	sim.submit("render", "a", jobA, independentTasks(2, 8, 20000))
	sim.run(4000)
	for _, i := range sim.instances {
		if i != sim.holder() {
			i.send(scheduler.OutcomesMsg{Outcomes: []reducer.Record{reducer.OutcomeRecord(jobA, reducer.Outcome{State: reducer.StateCompleted})}})
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

// TestHolderEndsARelayedJob relays an outcome to an instance that has become the holder. It must
// end the job itself.
func TestHolderEndsARelayedJob(t *testing.T) {
	sim := newSmallFleet(t)
	sim.submit("render", "a", jobA, independentTasks(2, 8, 20000))
	sim.run(4000)
	sim.holder().send(scheduler.OutcomesMsg{Outcomes: []reducer.Record{reducer.OutcomeRecord(jobA, reducer.Outcome{State: reducer.StateCompleted})}})
	sim.run(4000 + 2*appendLatencyMS)
	if got := sim.jobState(jobA); got != reducer.StateCompleted {
		t.Errorf("the job is %s, want %s", got, reducer.StateCompleted)
	}
}

// TestLoneHolderTellsOnlyWhatIsDurable completes a job in an outage of the ledger while there
// is no other instance. Callers must not be told before the outcome is durable: the only
// process and the worker may be lost together.
func TestLoneHolderTellsOnlyWhatIsDurable(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.addWorkers(1, 3)
	sim.startAll()
	sim.run(3000)
	sim.submit("render", "a", jobA, independentTasks(1, 8, 1000))
	sim.run(3500)
	sim.ledger.down = true
	sim.run(6000)
	told := func() reducer.State {
		j, _ := sim.holder().model.Table.Lookup(jobA)
		return j.State()
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

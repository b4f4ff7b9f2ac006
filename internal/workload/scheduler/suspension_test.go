package scheduler_test

import (
	"testing"

	"daisyhead/internal/workload/scheduler"
)

// suspendInCutOffDomain runs a gang and suspends the holder while it and the gang's worker are
// cut off from the ledger and from all others. Resumed, the holder must not extend the lease
// beyond what its successor waits for.
func suspendInCutOffDomain(t *testing.T, atMS int64, disturb func(*instance)) {
	t.Helper()
	const suspensionMS = 3500
	sim := newSimulation(t, 1, 3)
	sim.addWorkers(1, 5)
	sim.traceJob(*tracedJob)
	sim.startAll()
	sim.ledger.slowMS = 40
	sim.run(10000)
	sim.submit("render", "a", jobA, gangStep(2, 4, 60000))
	sim.run(atMS)
	f := sim.workerRunning(t, jobA)
	h := sim.holder()
	h.suspend(suspensionMS)
	h.ledgerUnreachable = true
	for _, g := range sim.workers {
		if g == f {
			g.reachedBy = h
		} else {
			g.hiddenFrom = h
		}
	}
	disturb(h)
	sim.run(40000)
	sim.expectNoViolations(t)
}

// TestAppendAnsweredAfterSuspension guards against two runs of a gang at a time.
//
// A holder is suspended while an append is in flight. The answer, which it reads when it
// resumes, must not count as a recent confirmation of its term.
func TestAppendAnsweredAfterSuspension(t *testing.T) {
	for atMS := int64(12000); atMS < 12300; atMS += 20 {
		suspendInCutOffDomain(t, atMS, func(*instance) {})
	}
}

// TestReadAnsweredAfterSuspension guards against two runs of a gang at a time.
//
// A holder is suspended while a read of the ledger is in flight. The answer, which it reads when
// it resumes, must not count as a recent confirmation of its term.
func TestReadAnsweredAfterSuspension(t *testing.T) {
	suspendInCutOffDomain(t, 12000, func(h *instance) {
		h.send(scheduler.LedgerReadMsg{From: h.nextOffset, AsOfMS: h.monoMS(), CaughtUp: true})
	})
}

// TestClockStepHidesSuspension guards against two runs of a gang at a time.
//
// The wall clock of a suspended holder is set back by as much as the suspension takes.
func TestClockStepHidesSuspension(t *testing.T) {
	suspendInCutOffDomain(t, 12000, func(h *instance) { h.wallOffsetMS = -3500 })
}

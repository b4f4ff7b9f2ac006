package scheduler_test

import (
	"fmt"
	"strings"
	"testing"

	"daisyhead/internal/workload/reducer"
	"daisyhead/internal/workload/scheduler"
)

// appendClosing executes an AppendClosingCmd. Like the record of a caller, it is stored whatever
// the term is.
func (i *instance) appendClosing(c scheduler.AppendClosingCmd) {
	sim := i.sim
	if sim.ledger.down || i.ledgerUnreachable {
		i.reply(requestTimeoutMS, func() scheduler.Msg {
			return scheduler.ClosingAppendedMsg{Term: c.Term, Err: "the ledger is unreachable"}
		})
		return
	}
	sim.after(sim.ledger.appendMS(), func() {
		sim.ledger.records = append(sim.ledger.records, c.Record)
		sim.noteClosing(c.Record)
	})
	i.reply(sim.ledger.appendMS(), func() scheduler.Msg { return scheduler.ClosingAppendedMsg{Term: c.Term} })
}

// storedClosing is a closing record and when it was stored.
type storedClosing struct {
	reducer.Closing
	atMS int64
}

// noteClosing remembers a closing record that was stored.
func (sim *simulation) noteClosing(r reducer.Record) {
	t := reducer.New()
	if err := t.Apply(0, r); err != nil {
		sim.t.Fatal(err)
	}
	if sim.closings == nil {
		sim.closings = map[uint64]storedClosing{}
	}
	for term, c := range t.Closings {
		sim.closings[term] = storedClosing{Closing: c, atMS: sim.nowMS}
	}
}

// checkClosed checks that no start of a term begins a run that its closing record rules out.
func (sim *simulation) checkClosed(c scheduler.Command) {
	start, ok := c.(scheduler.StartCmd)
	if !ok {
		return
	}
	if closing, closed := sim.closings[start.Term]; closed && sim.nowMS > closing.atMS+closing.Waits[start.Task.Unit.String()] {
		sim.checker.addViolation("at %d ms: a start of %s begins a run although term %d is closed since %d ms, with a wait of %d ms", sim.nowMS, start.Task.Unit, start.Term, closing.atMS, closing.Waits[start.Task.Unit.String()])
	}
}

// TestEndsAreConfirmedOnceTermIsClosed guards against ends that wait for 15.5 s after a takeover
// although the predecessor knows that all starts of their units were answered.
func TestEndsAreConfirmedOnceTermIsClosed(t *testing.T) {
	watch, h := takeoverWatch(t)
	h.ledgerUnreachable = false
	watch.run(30000)
	if got := watch.longestMS[jobA]; got > confirmedWithinMS {
		t.Errorf("ends of answered starts are confirmed after %d ms, want %d at most", got, confirmedWithinMS)
	}
	// The start of job B was sent 0.9 s before those of job A.
	if got := watch.longestMS[jobB]; got < 5000 {
		t.Errorf("the end of a start without an answer is confirmed after %d ms, before the start can't be executed any more", got)
	}
	watch.sim.expectNoViolations(t)
}

// TestEndsAreConfirmedWhileFormerHolderIsCutOff guards against ends that wait because the process
// that knows which starts were answered can't reach the ledger.
func TestEndsAreConfirmedWhileFormerHolderIsCutOff(t *testing.T) {
	watch, _ := takeoverWatch(t)
	watch.run(30000)
	watch.sim.expectStepDone(t, jobA)
	if got := watch.longestMS[jobA]; got > confirmedWithinMS {
		t.Errorf("the ends are confirmed after %d ms, want %d at most", got, confirmedWithinMS)
	}
	watch.sim.expectNoViolations(t)
}

// TestEndsByWayOfTakeover guards against ways to lose the term after which ends wait for 15.5 s
// although the former holder lives, and against ends that are confirmed early after the others.
func TestEndsByWayOfTakeover(t *testing.T) {
	for _, c := range []struct {
		name   string
		lose   func(*simulation, *instance)
		closed bool
	}{
		{"the holder leaves", func(sim *simulation, h *instance) { sim.shutDown(h, 20000) }, true},
		{"the holder stands still", func(sim *simulation, h *instance) { h.frozen = true; sim.after(3000, h.thaw) }, true},
		{"the holder's machine is suspended", func(_ *simulation, h *instance) { h.suspend(3000) }, true},
		{"the holder can't reach the ledger", func(sim *simulation, h *instance) {
			h.ledgerUnreachable = true
			sim.after(3000, func() { h.ledgerUnreachable = false })
		}, true},
		{"the holder is killed", func(_ *simulation, h *instance) { h.kill() }, false},
		{"the holder's process is restarted", func(sim *simulation, h *instance) { h.kill(); sim.after(500, h.start) }, false},
		{"all processes are restarted", func(sim *simulation, _ *instance) { sim.restartAll(500) }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim, h := answeredStarts(t)
			watch := newEndWatch(sim)
			c.lose(sim, h)
			watch.run(30000)
			sim.expectStepDone(t, jobA)
			if got := watch.longestMS[jobA]; c.closed != (got <= confirmedWithinMS) {
				t.Errorf("the ends are confirmed after %d ms, want %d at most: %t", got, confirmedWithinMS, c.closed)
			} else {
				t.Logf("the ends are confirmed after %d ms", got)
			}
			sim.expectNoViolations(t)
		})
	}
}

// TestForeignClosingHasNoEffect guards against closing records of processes that did not hold the
// term, and of earlier terms, that cut the wait for starts short.
func TestForeignClosingHasNoEffect(t *testing.T) {
	for name, closing := range map[string]func(*instance, uint64) reducer.Closing{
		"another process": func(h *instance, term uint64) reducer.Closing {
			return reducer.Closing{Term: term, Holder: fmt.Sprintf("%s/%d", h.name, h.incarnation+1)}
		},
		"no holder": func(_ *instance, term uint64) reducer.Closing { return reducer.Closing{Term: term} },
		"an earlier term": func(h *instance, term uint64) reducer.Closing {
			return reducer.Closing{Term: term - 1, Holder: fmt.Sprintf("%s/%d", h.name, h.incarnation)}
		},
		"a process that never took over": func(h *instance, term uint64) reducer.Closing {
			return reducer.Closing{Term: term, Holder: fmt.Sprintf("%s/%d", h.name, h.incarnation), Inactive: true}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			watch, h := takeoverWatch(t)
			r, _ := reducer.ClosingRecord(closing(h, h.model.Table.Term.Number))
			h.kill()
			watch.sim.ledger.records = append(watch.sim.ledger.records, r)
			watch.run(30000)
			if got := watch.longestMS[jobA]; got < 8000 {
				t.Errorf("ends are confirmed after %d ms, want the whole wait", got)
			}
		})
	}
}

// TestClosingBeforeGapHasNoEffect guards against a closing record that cuts the wait for starts
// short although a later holder was lost and may have sent starts.
func TestClosingBeforeGapHasNoEffect(t *testing.T) {
	watch, h := takeoverWatch(t)
	sim := watch.sim
	closed := false
	sim.trace = func(_ string, e scheduler.EventCmd) { closed = closed || e.Name == "TermClosed" }
	second := sim.holder()
	second.kill()
	for sim.holder() == nil || sim.holder() == second {
		watch.run(sim.nowMS + 20)
	}
	h.ledgerUnreachable = false
	watch.run(35000)
	if got := watch.longestMS[jobA]; got < 8000 {
		t.Errorf("ends are confirmed after %d ms, want the whole wait", got)
	}
	if !closed {
		t.Error("no closing record was written, so the test shows nothing")
	}
	sim.expectNoViolations(t)
}

// TestEndsAreConfirmedDespiteUnusedTerm guards against ends that wait because an instance has
// claimed a term and lost it before it could take over.
func TestEndsAreConfirmedDespiteUnusedTerm(t *testing.T) {
	sim, h := answeredStarts(t)
	watch, epoch := newEndWatch(sim), sim.ledger.epoch
	h.ledgerUnreachable = true
	for sim.ledger.epoch == epoch {
		watch.run(sim.nowMS + 20)
	}
	var claimant *instance
	for _, i := range sim.instances {
		if strings.Contains(string(sim.ledger.records[len(sim.ledger.records)-1].Value), i.name+"/") {
			claimant = i
		}
	}
	claimant.frozen = true
	for o := sim.holder(); o == nil || o == h || o == claimant; o = sim.holder() {
		watch.run(sim.nowMS + 20)
	}
	h.ledgerUnreachable = false
	claimant.thaw()
	watch.run(30000)
	if got := watch.longestMS[jobA]; got == 0 || got > confirmedWithinMS {
		t.Errorf("the ends are confirmed after %d ms, want more than 0 and %d at most", got, confirmedWithinMS)
	}
	sim.expectNoViolations(t)
}

// TestClosingListsStartsOfEarlierTerms guards against a closing record that leaves out a start
// without an answer which an earlier holder sent, for a task that was already done.
func TestClosingListsStartsOfEarlierTerms(t *testing.T) {
	sim := newSmallFleet(t)
	sim.traceJob(*tracedJob)
	watch := newEndWatch(sim)
	held := sim.holdUpStarts(jobA, 0, 1, 14500)
	sim.submit("render", "a", jobA, smallTasks(1, 500), smallTasks(1, 20000))
	for sim.recordOf(t, jobA).Phase != reducer.PhaseDone {
		watch.run(sim.nowMS + 20)
	}
	first := sim.holder()
	first.kill()
	sim.after(3000, first.start)
	watch.run(9000)
	second := sim.holder()
	if second == nil || second == first {
		t.Fatal("no other instance has taken over")
	}
	second.send(scheduler.ShutdownMsg{})
	held.worker.restartAt(14000)
	watch.run(13800)
	if ends := held.worker.ends; len(ends) == 0 {
		t.Error("the end is confirmed although a start of its task may still be executed")
	}
	sim.run(30000)
	sim.expectNoViolations(t)
}

// TestEndsOfSettledJobAreConfirmed guards against ends that wait for 15.5 s after the loss of the
// holder although the job had ended and none of its starts was without an answer.
func TestEndsOfSettledJobAreConfirmed(t *testing.T) {
	sim := newSmallFleet(t)
	sim.traceJob(*tracedJob)
	watch := newEndWatch(sim)
	sim.submit("render", "a", jobA, smallTasks(4, 1000))
	for sim.jobState(jobA) != reducer.StateCompleted {
		sim.run(sim.nowMS + 1)
	}
	sim.holder().kill()
	watch.run(25000)
	if got := watch.longestMS[jobA]; got == 0 || got > confirmedWithinMS {
		t.Errorf("the ends are confirmed after %d ms, want more than 0 and %d at most", got, confirmedWithinMS)
	}
	sim.expectNoViolations(t)
}

// TestScheduleWithClosedTerms guards against runs that overlap, or start again after their
// confirmed end, because a closing record says that a start is answered that is executed late.
// The holder changes often in ways that close its term, and workers restart under their IDs.
func TestScheduleWithClosedTerms(t *testing.T) {
	testLateSchedules(t, changeHolder, expectNoOverlaps)
}

// changeHolder restarts the worker, or lets the holder lose the ledger for a while, stand still,
// or leave.
func changeHolder(sim *simulation, f *fakeWorker) {
	h, span := sim.holder(), 500+sim.rng.Int64N(4000)
	switch sim.rng.IntN(8) {
	case 0:
		if h != nil && !h.ledgerUnreachable {
			h.ledgerUnreachable = true
			sim.after(span, func() { h.ledgerUnreachable = false })
		}
	case 1:
		if h != nil && !h.frozen {
			h.frozen = true
			sim.after(span, h.thaw)
		}
	case 2:
		if h != nil {
			sim.shutDown(h, span)
		}
	case 3, 4, 5:
		restartWorker(sim, f)
	}
}

package scheduler_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/scheduler"
)

// confirmedWithinMS is the time within which the ends of a stable platform are confirmed.
const confirmedWithinMS = 4000

// endWatch notes for how long the ends of each job's tasks are listed.
type endWatch struct {
	sim       *simulation
	sinceMS   map[string]int64
	longestMS map[string]int64
}

func newEndWatch(sim *simulation) *endWatch {
	return &endWatch{sim: sim, sinceMS: map[string]int64{}, longestMS: map[string]int64{}}
}

// run runs the simulation until the given time.
func (e *endWatch) run(untilMS int64) {
	for e.sim.nowMS < untilMS {
		e.sim.run(e.sim.nowMS + 20)
		for _, id := range e.sim.workerIDs {
			for _, end := range e.sim.workers[id].ends {
				key := fmt.Sprintf("%s/%d", id, end.Number)
				if _, seen := e.sinceMS[key]; !seen {
					e.sinceMS[key] = e.sim.nowMS
				}
				job := end.Task.Unit.Job
				e.longestMS[job] = max(e.longestMS[job], e.sim.nowMS-e.sinceMS[key])
			}
		}
	}
}

// smallTasks returns tasks that leave room for others on their workers.
func smallTasks(count int, ms int64) describer.Step {
	s := independentTasks(count, 0, ms)
	s.MaxPerWorker = 1
	return s
}

// answeredStarts runs tasks of job A whose starts are all answered and not yet recorded as
// settled.
func answeredStarts(t *testing.T) (*simulation, *instance) {
	t.Helper()
	sim := newSmallFleet(t)
	sim.traceJob(*tracedJob)
	sim.run(3900)
	h := sim.holder()
	sim.submitAnswered()
	return sim, h
}

// submitAnswered submits job A and runs the simulation until its tasks have started.
func (sim *simulation) submitAnswered() {
	step := smallTasks(5, 5000)
	step.Need.Accelerators = 4
	sim.submit("render", "a", jobA, step)
	for len(sim.checker.jobs[jobA].startTimesMS) < 5 {
		sim.run(sim.nowMS + 20)
	}
}

// takeoverWatch runs tasks of job A whose starts are all answered, and one of job B on a worker
// of its own whose first start gets no answer. Then the holder can't reach the ledger for a
// while, before it has recorded any unit as settled.
func takeoverWatch(t *testing.T) (*endWatch, *instance) {
	t.Helper()
	sim := newSmallFleet(t)
	sim.traceJob(*tracedJob)
	watch := newEndWatch(sim)
	held := false
	sim.lateOrder = func(_ string, c scheduler.Command) (delayMS int64, late bool) {
		start, ok := c.(scheduler.StartCmd)
		if !ok || held || start.Task.Unit.Job != jobB {
			return 0, false
		}
		held = true
		return maxOrderDelayMS, true
	}
	full := smallTasks(1, 5000)
	full.Need.Accelerators = 8
	sim.submit("render", "b", jobB, full)
	watch.run(3900)
	h := sim.holder()
	sim.submitAnswered()
	h.ledgerUnreachable = true
	for sim.holder() == nil || sim.holder() == h {
		watch.run(sim.nowMS + 20)
	}
	if u := sim.recordOf(t, jobA); u.Settled {
		t.Fatalf("the unit is settled in the ledger, so the test shows nothing")
	}
	return watch, h
}

// TestEndsWaitAfterKill guards against ends that are confirmed early although nobody knows which
// starts of the predecessor were answered.
func TestEndsWaitAfterKill(t *testing.T) {
	watch, h := takeoverWatch(t)
	h.kill()
	watch.run(30000)
	if got := watch.longestMS[jobA]; got < 8000 {
		t.Errorf("ends are confirmed after %d ms, want the whole wait for the starts of the lost holder", got)
	}
	watch.sim.expectNoViolations(t)
}

// TestUnconfirmedEndsAreLogged guards against ends that wait without a trace in the log, or with
// the wrong cause.
func TestUnconfirmedEndsAreLogged(t *testing.T) {
	causes := func(prepare func(*testing.T) *endWatch) (got []string) {
		watch := prepare(t)
		watch.sim.trace = func(_ string, e scheduler.EventCmd) {
			if e.Name != "EndsUnconfirmed" {
				return
			}
			if c := fmt.Sprint(e.Fields[slices.Index(e.Fields, any("Cause"))+1]); !slices.Contains(got, c) {
				got = append(got, c)
			}
		}
		watch.run(30000)
		return got
	}
	got := map[string][]string{
		"lost holder": causes(func(t *testing.T) *endWatch {
			watch, h := takeoverWatch(t)
			h.kill()
			return watch
		}),
		"late start": causes(func(t *testing.T) *endWatch {
			sim := newSmallFleet(t)
			sim.holdUpStarts(jobA, 0, 1, 12000)
			sim.submit("render", "a", jobA, smallTasks(1, 1000))
			return newEndWatch(sim)
		}),
		"no store": causes(func(t *testing.T) *endWatch {
			sim := newSmallFleet(t)
			sim.submit("render", "a", jobA, smallTasks(1, 1000))
			sim.run(3500)
			sim.ledger.down = true
			return newEndWatch(sim)
		}),
	}
	want := map[string][]string{"lost holder": {"EarlierTerm"}, "late start": {"LateStart"}, "no store": {"NotDurable"}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("causes (-want +got):\n%s", diff)
	}
}

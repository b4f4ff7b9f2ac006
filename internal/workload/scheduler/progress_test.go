package scheduler_test

import (
	"testing"

	"daisyhead/internal/workload/scheduler"
)

// runsOn returns a worker that runs a task of the job.
func (sim *simulation) workerRunning(t *testing.T, job string) *fakeWorker {
	t.Helper()
	for _, name := range sim.workerIDs {
		for _, r := range sim.workers[name].sortedRuns() {
			if r.ref.Unit.Job == job {
				return sim.workers[name]
			}
		}
	}
	t.Fatalf("nothing of job %s runs", job)
	return nil
}

// expectInTime holds a job against the time after which its end is worth nothing.
func (sim *simulation) expectEndInTime(t *testing.T, id, queue string, estimateMS int64) {
	t.Helper()
	q, _ := sim.config.Queue(queue)
	limit := maxOverrunFactor * (int64(q.Stretch*float64(estimateMS)) + q.ObjectiveMS)
	job := sim.checker.jobs[id]
	if took := job.lastDoneMS - job.submittedMS; job.lastDoneMS == 0 || took > limit {
		t.Errorf("job %s took %d ms, it is worth nothing after %d", id, took, limit)
	}
}

// TestWorkMovesOffAHungWorker lets the work on one worker of an urgent gang stand still
// for longer than the job has.
func TestWorkMovesOffAHungWorker(t *testing.T) {
	sim := newSmallFleet(t)
	sim.submit("urgent", "a", jobA, gangStep(2, 8, 2500))
	sim.run(3700)
	sim.workerRunning(t, jobA).hang(60000)
	sim.run(20000)
	sim.expectEndInTime(t, jobA, "urgent", 2500)
	sim.expectNoViolations(t)
}

// TestWorkMovesOffASlowWorker lets a worker become eight times as slow in the middle of
// a task.
func TestWorkMovesOffASlowWorker(t *testing.T) {
	sim := newSmallFleet(t)
	sim.submit("urgent", "a", jobA, independentTasks(1, 8, 4000))
	sim.run(4500)
	f := sim.workerRunning(t, jobA)
	f.slowdown = 8
	for _, r := range f.sortedRuns() {
		r.totalWorkMS, r.doneWorkMS = r.totalWorkMS*8, f.progressMS(r)*8
		f.restartWorkTimer(r)
	}
	sim.run(30000)
	sim.expectEndInTime(t, jobA, "urgent", 4000)
	sim.expectNoViolations(t)
}

// TestLongWorkStaysOnAHungWorker has more to lose by a new start than by waiting.
func TestLongWorkStaysOnAHungWorker(t *testing.T) {
	sim := newSmallFleet(t)
	sim.submit("render", "a", jobA, independentTasks(1, 8, 20000))
	sim.run(18000)
	sim.workerRunning(t, jobA).hang(5000)
	sim.run(40000)
	if starts := len(sim.checker.jobs[jobA].startTimesMS); starts != 1 {
		t.Errorf("%d starts, want 1: 15 s of work were thrown away for 5 s", starts)
	}
	sim.expectEndInTime(t, jobA, "render", 20000)
}

// leave lets a worker drain and go for good after a while.
func (sim *simulation) drainAndRemove(f *fakeWorker, afterMS int64) {
	f.spec.Draining, f.spec.RemainingMS = true, afterMS
	sim.after(afterMS, func() {
		f.unlisted = true
		f.crash(600000)
	})
}

// TestWorkMovesOffALeavingWorker takes a worker away at short notice: what can't end
// before is started elsewhere within the notice, what can is left alone.
func TestWorkMovesOffALeavingWorker(t *testing.T) {
	const noticeMS = 2500
	for _, c := range []struct {
		name   string
		workMS int64
		starts int
	}{
		{"work that ends in time", 2000, 1},
		{"work that does not", 8000, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := newSmallFleet(t)
			sim.submit("render", "a", jobA, independentTasks(1, 8, c.workMS))
			sim.run(3500)
			sim.drainAndRemove(sim.workerRunning(t, jobA), noticeMS)
			sim.run(3500 + noticeMS)
			if starts := len(sim.checker.jobs[jobA].startTimesMS); starts != c.starts {
				t.Errorf("%d starts within the notice, want %d", starts, c.starts)
			}
			sim.run(30000)
			sim.expectEndInTime(t, jobA, "render", c.workMS)
			sim.expectNoViolations(t)
		})
	}
}

// TestBookedRoomIsKept lets an urgent gang stop small tasks while many more wait: the
// room must not go to them, nor more tasks be stopped than the gang needs. It holds
// without bookings as well: the case in which they are needed is not reproduced here.
func TestBookedCapacityIsNotReused(t *testing.T) {
	sim := newSimulation(t, 1, 3)
	sim.addWorkers(2, 4)
	sim.startAll()
	sim.run(3000)
	sim.submitBacklog(20)
	sim.run(5000)
	wide := gangStep(4, 8, 1500)
	wide.SameRack = false
	sim.submit("urgent", "a", jobA, wide)
	sim.run(5000 + startTargetMS)
	sim.expectStartedWithin(t, jobA, startTargetMS)
	stopped := 0
	for _, f := range sim.workers {
		stopped += f.stoppedTasks
	}
	if need := wide.Count * wide.Need.Accelerators; stopped > need {
		t.Errorf("%d tasks with one accelerator each were stopped for a gang that needs %d", stopped, need)
	}
	sim.expectNoViolations(t)
}

// TestTakeOverSuspectsNobody kills the holder in the middle of some work. Its successor
// sees the work for the first time when most of it is done, which is no measure of speed.
func TestTakeOverSuspectsNoWorker(t *testing.T) {
	sim := newSmallFleet(t)
	suspected := 0
	sim.trace = func(_ string, e scheduler.EventCmd) {
		if e.Name == "WorkerSluggish" {
			suspected++
		}
	}
	sim.submit("urgent", "a", jobA, gangStep(2, 8, 20000))
	sim.submit("render", "b", jobB, independentTasks(3, 2, 20000))
	sim.run(15000)
	sim.holder().kill()
	sim.run(40000)
	sim.checkJobStates(t, bothCompleted())
	if suspected > 0 {
		t.Errorf("%d workers were suspected", suspected)
	}
	if starts := sim.checker.starts; starts != 5 {
		t.Errorf("%d starts, want 5", starts)
	}
}

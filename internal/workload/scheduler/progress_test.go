package scheduler_test

import (
	"testing"

	"daisyhead/internal/workload/scheduler"
)

// workerRunning returns a worker that runs a task of the job.
func (sim *simulation) workerRunning(t *testing.T, job string) *fakeWorker {
	t.Helper()
	for _, name := range sim.workerIDs {
		for _, r := range sim.workers[name].sortedRuns() {
			if r.ref.Unit.Job == job {
				return sim.workers[name]
			}
		}
	}
	t.Fatalf("no task of job %s runs", job)
	return nil
}

// expectEndInTime checks that a job has ended before its result became worthless.
func (sim *simulation) expectEndInTime(t *testing.T, id, queue string, estimateMS int64) {
	t.Helper()
	q, _ := sim.config.Queue(queue)
	limit := maxOverrunFactor * (int64(q.Stretch*float64(estimateMS)) + q.ObjectiveMS)
	job := sim.checker.jobs[id]
	if took := job.lastDoneMS - job.submittedMS; job.lastDoneMS == 0 || took > limit {
		t.Errorf("job %s took %d ms, its result is worthless after %d ms", id, took, limit)
	}
}

// TestWorkMovesOffAHungWorker stops the progress on one worker of an urgent gang for
// longer than the job can wait. The gang must be restarted elsewhere.
func TestWorkMovesOffAHungWorker(t *testing.T) {
	sim := newSmallFleet(t)
	sim.submit("urgent", "a", jobA, gangStep(2, 8, 2500))
	sim.run(3700)
	sim.workerRunning(t, jobA).hang(60000)
	sim.run(20000)
	sim.expectEndInTime(t, jobA, "urgent", 2500)
	sim.expectNoViolations(t)
}

// TestWorkMovesOffASlowWorker makes a worker eight times as slow in the middle of a task.
// The task must be restarted elsewhere.
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

// TestLongWorkStaysOnAHungWorker stops the progress of a task that has run for long. It
// must stay, since a restart loses more time than the hang.
func TestLongWorkStaysOnAHungWorker(t *testing.T) {
	sim := newSmallFleet(t)
	sim.submit("render", "a", jobA, independentTasks(1, 8, 20000))
	sim.run(18000)
	sim.workerRunning(t, jobA).hang(5000)
	sim.run(40000)
	if starts := len(sim.checker.jobs[jobA].startTimesMS); starts != 1 {
		t.Errorf("%d starts, want 1: 15 s of work were discarded because of a hang of 5 s", starts)
	}
	sim.expectEndInTime(t, jobA, "render", 20000)
}

// drainAndRemove drains a worker and removes it for good after the given time.
func (sim *simulation) drainAndRemove(f *fakeWorker, afterMS int64) {
	f.spec.Draining, f.spec.RemainingMS = true, afterMS
	sim.after(afterMS, func() {
		f.unlisted = true
		f.crash(600000)
	})
}

// TestWorkMovesOffADrainingWorker drains a worker and removes it at short notice. A task
// that can't end by then must be restarted elsewhere within the notice; one that can must
// stay.
func TestWorkMovesOffADrainingWorker(t *testing.T) {
	const noticeMS = 2500
	for _, c := range []struct {
		name   string
		workMS int64
		starts int
	}{
		{"task that ends within the notice", 2000, 1},
		{"task that does not", 8000, 2},
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

// TestReservedCapacityIsNotReused lets an urgent gang preempt small tasks while many
// others wait. The freed capacity must not go to the waiting tasks, and no more tasks may
// be preempted than the gang needs. The test passes without reservations as well: it does
// not reproduce the case in which they are needed.
func TestReservedCapacityIsNotReused(t *testing.T) {
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

// TestTakeOverQuarantinesNobody kills the holder while tasks run. Its successor first
// sees the tasks when most of their work is done. It must not take this for the tasks'
// speed and then quarantine the workers as slow.
func TestTakeOverQuarantinesNobody(t *testing.T) {
	sim := newSmallFleet(t)
	quarantined := 0
	sim.trace = func(_ string, e scheduler.EventCmd) {
		if e.Name == "WorkerSluggish" {
			quarantined++
		}
	}
	sim.submit("urgent", "a", jobA, gangStep(2, 8, 20000))
	sim.submit("render", "b", jobB, independentTasks(3, 2, 20000))
	sim.run(15000)
	sim.holder().kill()
	sim.run(40000)
	sim.checkJobStates(t, bothCompleted())
	if quarantined > 0 {
		t.Errorf("%d workers were quarantined as slow", quarantined)
	}
	if starts := sim.checker.starts; starts != 5 {
		t.Errorf("%d starts, want 5", starts)
	}
}

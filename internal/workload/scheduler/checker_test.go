package scheduler_test

import (
	"fmt"

	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/scheduler"
)

// verdict is what the judge saw of one job.
type observedJob struct {
	steps        []describer.Step
	queue        describer.Queue
	submittedMS  int64
	cancelledMS  int64
	firstStartMS int64
	startTimesMS []int64
	lastDoneMS   int64
	// shownMS is when callers first saw the job as completed.
	shownCompletedMS int64
	// fails lets all of its tasks fail.
	fails bool
	// took replaces the estimates as the true time of work.
	actualWorkMS int64
}

// judge watches the workers and counts broken promises.
type invariantChecker struct {
	jobs    map[string]*observedJob
	running map[string]int
	// confirmedDone are tasks whose end was confirmed.
	confirmedDone map[string]bool
	endedDone     map[string]bool
	violations    []string
	// wastedMS is the accelerator time of runs that did not end as done.
	wastedAcceleratorMS int64
	starts              int
	gangTimeouts        int
	// unpermitted counts starts that were refused for want of a permit.
	refusedStarts int
	// late is set while an order is carried out late: bounds in time don't hold
	// for those, all others do.
	executingLate bool
}

func newInvariantChecker() *invariantChecker {
	return &invariantChecker{jobs: map[string]*observedJob{}, running: map[string]int{}, confirmedDone: map[string]bool{}, endedDone: map[string]bool{}}
}

func (c *invariantChecker) step(ref scheduler.TaskRef) describer.Step {
	job, ok := c.jobs[ref.Unit.Job]
	if !ok {
		return describer.Step{}
	}
	return job.steps[ref.Unit.Step]
}

func (c *invariantChecker) workMS(ref scheduler.TaskRef) int64 {
	if actual := c.jobs[ref.Unit.Job].actualWorkMS; actual > 0 {
		return actual
	}
	return c.step(ref).EstimateMS
}

func (c *invariantChecker) alwaysFails(ref scheduler.TaskRef) bool { return c.jobs[ref.Unit.Job].fails }

func (c *invariantChecker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

func (c *invariantChecker) taskKey(ref scheduler.TaskRef) string {
	return fmt.Sprintf("%s.%d.%d.%d", ref.Unit.Job, ref.Unit.Occurrence, ref.Unit.Step, ref.Member)
}

// cancelMS is the time in which starts of a cancelled job must have stopped.
const cancelDeadlineMS = 3000

// began judges the start of a run.
func (c *invariantChecker) checkStart(f *fakeWorker, run *fakeRun) {
	key, now := c.taskKey(run.ref), f.sim.nowMS
	job, ok := c.jobs[run.ref.Unit.Job]
	if !ok {
		c.addViolation("%d: %s was never submitted", now, key)
		return
	}
	c.starts++
	if job.firstStartMS == 0 {
		job.firstStartMS = now
	}
	if c.running[key] > 0 {
		c.addViolation("%d: %s runs twice, run %d on %s", now, key, run.ref.Run, f.id)
	}
	if c.confirmedDone[key] {
		c.addViolation("%d: %s is started after its end was confirmed", now, key)
	}
	if job.shownCompletedMS > 0 && !c.executingLate {
		c.addViolation("%d: %s is started after the job was shown as completed at %d", now, key, job.shownCompletedMS)
	}
	if !c.executingLate && job.cancelledMS > 0 && now > job.cancelledMS+cancelDeadlineMS {
		c.addViolation("%d: %s of a job cancelled at %d is started", now, key, job.cancelledMS)
	}
	for _, a := range job.steps[run.ref.Unit.Step].After {
		if !c.stepDone(run.ref.Unit.Job, a) {
			c.addViolation("%d: %s starts before step %d has ended", now, key, a)
		}
	}
	c.running[key]++
	job.startTimesMS = append(job.startTimesMS, now)
	used := c.step(run.ref).Need
	for _, r := range f.runs {
		used = used.Add(c.step(r.ref).Need)
	}
	if !f.spec.Room.Fits(used) {
		c.addViolation("%d: %s is overfull with %s", now, f.id, key)
	}
}

func (c *invariantChecker) stepDone(job string, step int) bool {
	for i := range c.jobs[job].steps[step].Count {
		if !c.endedDone[fmt.Sprintf("%s.0.%d.%d", job, step, i)] {
			return false
		}
	}
	return true
}

// shownCompleted judges that callers see a job as completed.
func (c *invariantChecker) checkShownCompleted(nowMS int64, id string) {
	job := c.jobs[id]
	if job.shownCompletedMS > 0 {
		return
	}
	job.shownCompletedMS = nowMS
	for step := range job.steps {
		if !c.stepDone(id, step) {
			c.addViolation("%d: job %s is shown as completed, step %d is not", nowMS, id, step)
		}
	}
}

func (c *invariantChecker) recordEnd(f *fakeWorker, run *fakeRun, kind scheduler.EndKind) {
	key := c.taskKey(run.ref)
	c.running[key]--
	if kind == scheduler.EndAlone {
		c.gangTimeouts++
	}
	if kind != scheduler.EndDone {
		c.wastedAcceleratorMS += (f.sim.nowMS - run.startMS) * int64(c.step(run.ref).Need.Accelerators)
		return
	}
	c.endedDone[key] = true
	c.jobs[run.ref.Unit.Job].lastDoneMS = f.sim.nowMS
}

func (c *invariantChecker) recordLoss(f *fakeWorker, run *fakeRun) {
	c.running[c.taskKey(run.ref)]--
	c.wastedAcceleratorMS += (f.sim.nowMS - run.startMS) * int64(c.step(run.ref).Need.Accelerators)
}

func (c *invariantChecker) recordConfirmation(e scheduler.EndReport, _ *fakeWorker) {
	if e.Kind == scheduler.EndDone && !c.step(e.Task).Perpetual {
		c.confirmedDone[c.taskKey(e.Task)] = true
	}
}

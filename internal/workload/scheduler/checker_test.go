package scheduler_test

import (
	"fmt"
	"slices"
	"strings"

	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/reducer"
	"daisyhead/internal/workload/scheduler"
)

// observedJob is what the checker has observed of one job.
type observedJob struct {
	steps        []describer.Step
	queue        describer.Queue
	workspace    string
	submittedMS  int64
	cancelledMS  int64
	firstStartMS int64
	startTimesMS []int64
	lastDoneMS   int64
	// lastEndMS is when a run of the job last ended or was lost.
	lastEndMS int64
	// shownCompletedMS is when callers first saw the job as completed.
	shownCompletedMS int64
	// fails makes all of the job's tasks fail.
	fails bool
	// crashes lists the tasks that crash each worker which starts them, by their index in
	// the step.
	crashes []int
	// actualWorkMS, if set, replaces the estimate as the time that the work takes.
	actualWorkMS int64
}

// invariantChecker observes the workers and records violations of the scheduler's
// invariants, such as two concurrent runs of one task.
type invariantChecker struct {
	jobs map[string]*observedJob
	// running counts the concurrent runs of each task.
	running map[string]int
	// confirmedDone holds the tasks whose successful end was confirmed to the worker;
	// endedDone holds those that ended successfully.
	confirmedDone map[string]bool
	endedDone     map[string]bool
	// unconfirmedDone holds, for each worker, the successful ends that it lists.
	unconfirmedDone map[string][]*doneEnd
	violations      []string
	// wastedAcceleratorMS is the accelerator time of runs that did not end successfully.
	wastedAcceleratorMS int64
	starts              int
	// crashes counts, for each task, the workers that have crashed under it.
	// startsAfterCrashes counts its starts after maxTaskCrashes of them.
	crashes            map[string]int
	startsAfterCrashes map[string]int
	// gangTimeouts counts runs that ended because the rest of their gang did not start in
	// time.
	gangTimeouts int
	// refusedStarts counts starts that were refused because they had no permit.
	refusedStarts int
	// executingLate is set while an order is executed late. Time bounds don't apply to
	// such orders; all other invariants do.
	executingLate bool
	// executingSentMS is when the order that is being executed was sent.
	executingSentMS int64
	// limits are the limits of the workspaces over time.
	limits limitHistory
}

// doneEnd is a successful end that is not confirmed yet.
type doneEnd struct {
	ref scheduler.TaskRef
	// lapses is how many leases had lapsed on the worker before the end.
	lapses int
	// startedMS is when the task was first started after the end, 0 if it was not.
	startedMS int64
}

func newInvariantChecker() *invariantChecker {
	return &invariantChecker{unconfirmedDone: map[string][]*doneEnd{}, jobs: map[string]*observedJob{}, running: map[string]int{}, confirmedDone: map[string]bool{}, endedDone: map[string]bool{}, crashes: map[string]int{}, startsAfterCrashes: map[string]int{}}
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

// maxTaskCrashes is the number of workers that may crash under a task before its starts are
// limited. From then on, fewer than maxStartsAfterCrashes starts are allowed.
const (
	maxTaskCrashes        = 3
	maxStartsAfterCrashes = 3
)

// checkCrashes checks that a task which crashes its workers is not started again and again.
func (c *invariantChecker) checkCrashes(ref scheduler.TaskRef, nowMS int64) {
	key := c.taskKey(ref)
	if !c.crashesWorker(ref) || c.crashes[key] < maxTaskCrashes {
		return
	}
	if c.startsAfterCrashes[key]++; c.startsAfterCrashes[key] >= maxStartsAfterCrashes {
		c.addViolation("at %d ms: task %s was started %d times after %d workers had crashed under it", nowMS, key, c.startsAfterCrashes[key], maxTaskCrashes)
	}
}

// crashesWorker reports whether the task crashes the workers that start it.
func (c *invariantChecker) crashesWorker(ref scheduler.TaskRef) bool {
	return slices.Contains(c.jobs[ref.Unit.Job].crashes, ref.Member)
}

// cancelDeadlineMS is the time after a cancellation from which no task of the job may
// start, in milliseconds.
const cancelDeadlineMS = 3000

// underWayLimitMS is how long after a job was shown as completed a start may be executed that
// was sent before that.
const underWayLimitMS = 1000

// checkStart records the start of a run and checks the invariants of starts, among them
// that the tasks of a worker fit its capacity.
func (c *invariantChecker) checkStart(f *fakeWorker, run *fakeRun) {
	key, now := c.taskKey(run.ref), f.sim.nowMS
	job, ok := c.jobs[run.ref.Unit.Job]
	if !ok {
		c.addViolation("at %d ms: task %s of a job that was never submitted was started", now, key)
		return
	}
	c.starts++
	if job.firstStartMS == 0 {
		job.firstStartMS = now
	}
	if c.running[key] > 0 {
		c.addViolation("at %d ms: task %s runs twice at a time, run %d on worker %s", now, key, run.ref.Run, f.id)
	}
	for _, m := range f.sim.otherGangRuns(run.ref) {
		c.addViolation("at %d ms: gang %s run %d starts on %s while run %d is on %s", now, run.ref.Unit, run.ref.Run, f.id, m.run.ref.Run, m.worker.id)
	}
	if c.confirmedDone[key] {
		c.addViolation("at %d ms: task %s was started after its end was confirmed", now, key)
	}
	for _, ends := range c.unconfirmedDone {
		for _, e := range ends {
			if c.taskKey(e.ref) == key && e.startedMS == 0 {
				e.startedMS = now
			}
		}
	}
	underWay := c.executingSentMS < job.shownCompletedMS && now <= job.shownCompletedMS+underWayLimitMS
	if job.shownCompletedMS > 0 && !c.executingLate && !underWay {
		c.addViolation("at %d ms: task %s was started although its job was shown as completed at %d ms", now, key, job.shownCompletedMS)
	}
	if !c.executingLate && job.cancelledMS > 0 && now > job.cancelledMS+cancelDeadlineMS {
		c.addViolation("at %d ms: task %s was started although its job was cancelled at %d ms", now, key, job.cancelledMS)
	}
	for _, a := range job.steps[run.ref.Unit.Step].After {
		if !c.stepDone(run.ref.Unit.Job, a) {
			c.addViolation("at %d ms: task %s was started before step %d had ended", now, key, a)
		}
	}
	c.checkCrashes(run.ref, now)
	c.checkLimit(f, run)
	c.running[key]++
	job.startTimesMS = append(job.startTimesMS, now)
	if !f.fits(run.ref) {
		c.addViolation("at %d ms: the capacity of worker %s was exceeded by task %s", now, f.id, key)
	}
}

// stepDone reports whether all tasks of a step of the first occurrence have ended
// successfully.
func (c *invariantChecker) stepDone(job string, step int) bool {
	for i := range c.jobs[job].steps[step].Count {
		if !c.endedDone[fmt.Sprintf("%s.0.%d.%d", job, step, i)] {
			return false
		}
	}
	return true
}

// checkShownCompleted checks that all steps of a job have ended, and that the ledger says that
// it is completed, when callers first see it so.
func (c *invariantChecker) checkShownCompleted(sim *simulation, id string) {
	job, nowMS := c.jobs[id], sim.nowMS
	if job.shownCompletedMS > 0 {
		return
	}
	job.shownCompletedMS = nowMS
	if sim.jobState(id) != reducer.StateCompleted {
		c.addViolation("at %d ms: job %s was shown as completed before that was durable", nowMS, id)
	}
	for step := range job.steps {
		if !c.stepDone(id, step) {
			c.addViolation("at %d ms: job %s was shown as completed before step %d had ended", nowMS, id, step)
		}
	}
}

// recordEnd records an end that a worker lists.
func (c *invariantChecker) recordEnd(f *fakeWorker, run *fakeRun, kind scheduler.EndKind) {
	key := c.taskKey(run.ref)
	c.running[key]--
	c.jobs[run.ref.Unit.Job].lastEndMS = f.sim.nowMS
	if kind == scheduler.EndGangTimeout {
		c.gangTimeouts++
	}
	if kind != scheduler.EndDone {
		c.wastedAcceleratorMS += (f.sim.nowMS - run.startMS) * int64(c.step(run.ref).Need.Accelerators)
		return
	}
	c.endedDone[key] = true
	c.unconfirmedDone[f.id] = append(c.unconfirmedDone[f.id], &doneEnd{ref: run.ref, lapses: f.lapses})
	c.jobs[run.ref.Unit.Job].lastDoneMS = f.sim.nowMS
}

// recordLoss records a run that was lost in a crash of its worker.
func (c *invariantChecker) recordLoss(f *fakeWorker, run *fakeRun) {
	c.running[c.taskKey(run.ref)]--
	c.jobs[run.ref.Unit.Job].lastEndMS = f.sim.nowMS
	c.crashes[c.taskKey(run.ref)]++
	c.wastedAcceleratorMS += (f.sim.nowMS - run.startMS) * int64(c.step(run.ref).Need.Accelerators)
}

// recordConfirmation records that the holder has confirmed an end. A successful end counts
// from when it came, unless the worker's lease lapsed before the confirmation.
func (c *invariantChecker) recordConfirmation(e scheduler.EndReport, f *fakeWorker) {
	if e.Kind != scheduler.EndDone || c.step(e.Task).Perpetual {
		return
	}
	key := c.taskKey(e.Task)
	counts := true
	c.unconfirmedDone[f.id] = slices.DeleteFunc(c.unconfirmedDone[f.id], func(d *doneEnd) bool {
		confirmed := c.taskKey(d.ref) == key && d.ref.Run == e.Task.Run
		counts = counts && (!confirmed || d.lapses == f.lapses)
		if confirmed && d.startedMS > 0 && d.lapses == f.lapses {
			c.addViolation("at %d ms: task %s was started after the end of run %d on worker %s, which was confirmed at %d ms", d.startedMS, key, e.Task.Run, f.id, f.sim.nowMS)
		}
		return confirmed
	})
	c.confirmedDone[key] = c.confirmedDone[key] || counts
}

// mostCrashes returns the largest number of workers that have crashed under a task of the
// job.
func (c *invariantChecker) mostCrashes(id string) (most int) {
	for key, n := range c.crashes {
		if strings.HasPrefix(key, id) {
			most = max(most, n)
		}
	}
	return most
}

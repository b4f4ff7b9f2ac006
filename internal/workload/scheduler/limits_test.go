package scheduler_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/reducer"
	"daisyhead/internal/workload/scheduler"
)

const (
	limitTolerance = 0.1
	// configDeadlineMS is how long a configuration that was replaced still counts.
	configDeadlineMS = 1500
)

// limitHistory holds the limits of the workspaces over time.
type limitHistory []limitVersion

// limitVersion is one version of the limits, in force from sinceMS on.
type limitVersion struct {
	sinceMS int64
	maximum map[string]describer.Resources
}

// replace adds the limits of a configuration that has just been stored.
func (h *limitHistory) replace(nowMS int64, c *describer.Configuration) {
	v := limitVersion{sinceMS: nowMS, maximum: map[string]describer.Resources{}}
	for _, w := range c.Workspaces {
		v.maximum[w.Name] = w.Maximum
	}
	*h = append(*h, v)
}

// highest returns the highest limits of the workspace that were in force at any time from sinceMS
// on, and false if it had none.
func (h limitHistory) highest(workspace string, sinceMS int64) (highest describer.Resources, limited bool) {
	for i, v := range h {
		if i+1 < len(h) && h[i+1].sinceMS+configDeadlineMS < sinceMS {
			continue
		}
		maximum, ok := v.maximum[workspace]
		if !ok || maximum == (describer.Resources{}) {
			return describer.Resources{}, false
		}
		highest = describer.Resources{
			CPU: max(highest.CPU, maximum.CPU), MemoryMB: max(highest.MemoryMB, maximum.MemoryMB), Accelerators: max(highest.Accelerators, maximum.Accelerators),
		}
	}
	return highest, len(h) > 0
}

// checkLimit checks that a start does not bring what its workspace has running above its limit,
// with the tolerance, by more than the task itself. For an order that is executed late, the limits
// from when it was sent count too.
func (c *invariantChecker) checkLimit(f *fakeWorker, run *fakeRun) {
	workspace, need := c.jobs[run.ref.Unit.Job].workspace, c.step(run.ref).Need
	maximum, limited := c.limits.highest(workspace, min(c.executingSentMS, f.sim.nowMS))
	if !limited {
		return
	}
	used := f.sim.runningIn(workspace)
	for _, r := range []struct {
		name                string
		maximum, used, need int
	}{
		{"accelerators", maximum.Accelerators, used.Accelerators, need.Accelerators},
		{"CPU", maximum.CPU, used.CPU, need.CPU},
		{"memory", maximum.MemoryMB, used.MemoryMB, need.MemoryMB},
	} {
		if r.maximum > 0 && float64(r.used) > float64(r.maximum)*(1+limitTolerance) {
			c.addViolation("at %d ms: task %s on worker %s exceeds the limit of workspace %s: %d %s are running, %d are allowed", f.sim.nowMS, c.taskKey(run.ref), f.id, workspace, r.used+r.need, r.name, r.maximum)
		}
	}
}

// runningIn returns what the workspace has running on all workers.
func (sim *simulation) runningIn(workspace string) (used describer.Resources) {
	for _, f := range sim.workers {
		for _, r := range f.runs {
			if sim.checker.jobs[r.ref.Unit.Job].workspace == workspace {
				used = used.Add(sim.checker.step(r.ref).Need)
			}
		}
	}
	return used
}

// setMaximum publishes a configuration with a limit on the accelerators of a workspace.
func (sim *simulation) setMaximum(workspace string, accelerators int) {
	sim.changeWorkspace(workspace, func(w *describer.Workspace) { w.Maximum.Accelerators = accelerators })
}

// changeWorkspace publishes a configuration in which a workspace has changed.
func (sim *simulation) changeWorkspace(name string, change func(*describer.Workspace)) {
	next := *sim.config
	next.Version++
	next.Workspaces = append([]describer.Workspace{}, next.Workspaces...)
	for i := range next.Workspaces {
		if next.Workspaces[i].Name == name {
			change(&next.Workspaces[i])
		}
	}
	next.BuildIndex()
	sim.configure(&next, true)
}

func exceedsLimit(violation string) bool { return strings.Contains(violation, "exceeds the limit") }

// limitFault injects one of the faults under which the limits have to hold: the loss of the
// holder, late starts, lost answers, workers out of reach or replaced, and new limits.
func (sim *simulation) limitFault(span int64) {
	f := sim.workers[sim.workerIDs[sim.rng.IntN(len(sim.workerIDs))]]
	h := sim.holder()
	switch sim.rng.IntN(12) {
	case 0, 1:
		if h != nil {
			h.kill()
			// The next process is not suspended, even if this one was.
			h.frozen = false
			sim.after(500, h.start)
		}
	case 2:
		sim.lateOrderRate = 0.3
		sim.after(span, func() { sim.lateOrderRate = 0 })
	case 3:
		sim.lostOrderRate = 0.4
		sim.after(span, func() { sim.lostOrderRate = 0 })
	case 4:
		f.unreachable = true
		sim.after(span, func() { f.unreachable = false })
	case 5:
		if h != nil {
			h.ledgerUnreachable = true
			sim.after(span, func() { h.ledgerUnreachable = false })
		}
	case 6:
		sim.lostAnswerRate = 0.4
		sim.after(span, func() { sim.lostAnswerRate = 0 })
	case 7:
		if h != nil && !h.frozen {
			h.suspend(span)
		}
	case 8:
		if !f.replaced {
			f.returnsAsAnother = true
			f.crash(span / 2)
		}
	default:
		sim.setMaximum([]string{"a", "b"}[sim.rng.IntN(2)], 16+8*sim.rng.IntN(4))
	}
}

// TestLimitsHold guards against workspaces that run more than their limit after a loss of the
// holder, late starts, lost answers or a change of the limit. It also checks that all work ends
// nevertheless.
func TestLimitsHold(t *testing.T) {
	for n := range *seedCount {
		seed := *firstSeed + n
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(t, seed, 3)
			sim.addWorkers(3, 4)
			sim.traceJob(*tracedJob)
			sim.startAll()
			sim.setMaximum("a", 24)
			sim.setMaximum("b", 40)
			sim.run(3000)
			for n := range 60 {
				id := fmt.Sprintf("%016x", n+1)
				sim.after(sim.rng.Int64N(30000), func() { sim.submitLimitedJob(id) })
			}
			for range 14 {
				sim.after(sim.rng.Int64N(30000), func() { sim.limitFault(500 + sim.rng.Int64N(6000)) })
			}
			// The last fault ends at 39.5 s, and a change of the holder may follow.
			sim.run(42000)
			sim.checkIdleWaits()
			limitWaits := sim.limitWaits()
			sim.run(randomScheduleMS)
			sim.expectNoneOf(t, func(v string) bool { return exceedsLimit(v) || limitWaits(v) })
			sim.expectFinalStates(t)
			sim.expectConsistentHolder(t)
		})
	}
}

// limitWaits returns a function that reports whether a violation is a job that could run and waits for
// the limit of its workspace. Other waits, such as that of a unit for its own late starts, are not
// the matter of the limits.
func (sim *simulation) limitWaits() (judge func(violation string) bool) {
	type wait struct {
		job          string
		fromMS, toMS int64
	}
	var waits []wait
	before := sim.trace
	sim.trace = func(instance string, e scheduler.EventCmd) {
		if before != nil {
			before(instance, e)
		}
		if e.Name == "StepWaits" && eventField(e, "Reason") == limitReason {
			waits = append(waits, wait{eventField(e, "Job").(string), sim.nowMS - eventField(e, "WaitsMS").(int64), sim.nowMS})
		}
	}
	return func(violation string) bool {
		var atMS int64
		if n, _ := fmt.Sscanf(violation, "at %d ms: step", &atMS); n == 0 || !strings.Contains(violation, "could run and has not") {
			return false
		}
		return slices.ContainsFunc(waits, func(w wait) bool {
			return strings.Contains(violation, w.job) && w.fromMS < atMS && atMS <= w.toMS+2000
		})
	}
}

// submitLimitedJob submits a random job that fits into every limit of the schedule.
func (sim *simulation) submitLimitedJob(id string) {
	step := independentTasks(1+sim.rng.IntN(16), []int{1, 2, 4}[sim.rng.IntN(3)], 500+sim.rng.Int64N(4000))
	if sim.rng.IntN(2) == 0 {
		step = gangStep(2+sim.rng.IntN(3), []int{1, 2, 4}[sim.rng.IntN(3)], 500+sim.rng.Int64N(4000))
	}
	sim.submit([]string{"urgent", "render", "batch"}[sim.rng.IntN(3)], []string{"a", "b"}[sim.rng.IntN(2)], id, step)
	sim.checker.jobs[id].fails = sim.rng.IntN(10) == 0
}

// newLimitedFleet returns a fleet of 96 accelerators in which workspace a may use 32.
func newLimitedFleet(t *testing.T) *simulation {
	t.Helper()
	sim := newSimulation(t, 1, 3)
	sim.addWorkers(3, 4)
	sim.startAll()
	sim.setMaximum("a", 32)
	sim.run(3000)
	return sim
}

// countReasons counts the events with the name and, unless reason is empty, the reason.
func (sim *simulation) countReasons(name, reason string) *int {
	count, before := new(int), sim.trace
	sim.trace = func(instance string, e scheduler.EventCmd) {
		if before != nil {
			before(instance, e)
		}
		if e.Name == name && (reason == "" || slices.Contains(e.Fields, any(reason))) {
			*count++
		}
	}
	return count
}

const limitReason = "the limit of the workspace"

// TestLimitInBurst guards against a burst of one workspace that exceeds its limit, that does not
// use all of it, or that keeps another workspace from its own.
func TestLimitInBurst(t *testing.T) {
	sim := newLimitedFleet(t)
	waits := sim.countReasons("JobWaits", limitReason)
	stepWaits := sim.countReasons("StepWaits", limitReason)
	want := map[string]reducer.State{jobB: reducer.StateCompleted}
	for n := range 10 {
		id := fmt.Sprintf("aa%014x", n)
		sim.submit("batch", "a", id, independentTasks(24, 1, 2000))
		want[id] = reducer.StateCompleted
	}
	sim.run(4000)
	if used := sim.runningIn("a").Accelerators; used != 32 {
		t.Errorf("workspace a has %d accelerators running, want 32", used)
	}
	sim.submit("batch", "b", jobB, independentTasks(40, 1, 2000))
	sim.run(8000)
	sim.expectStartedWithin(t, jobB, 300)
	// 240 tasks of 2 s in waves of 32 take 16 s.
	sim.run(24000)
	sim.checkJobStates(t, want)
	sim.expectNoViolations(t)
	if *waits == 0 || *stepWaits == 0 {
		t.Errorf("%d JobWaits and %d StepWaits name the limit", *waits, *stepWaits)
	}
}

// TestLimitChangesInBurst guards against starts beyond a limit that was lowered while placements
// were being recorded, against work that is stopped for that, and against a raised limit that is
// not used soon.
func TestLimitChangesInBurst(t *testing.T) {
	sim := newLimitedFleet(t)
	sim.submit("batch", "a", jobA, independentTasks(10, 1, 8000))
	sim.run(3500)
	sim.ledger.slowMS = 1000
	sim.submit("batch", "a", jobB, independentTasks(200, 1, 3000))
	sim.run(3600)
	sim.setMaximum("a", 20)
	sim.run(5500)
	sim.ledger.slowMS = 0
	for _, step := range []struct{ maximum, untilMS int }{{20, 9000}, {8, 13500}, {60, 15000}} {
		sim.setMaximum("a", step.maximum)
		sim.run(int64(step.untilMS))
		if used := sim.runningIn("a").Accelerators; used != step.maximum {
			t.Errorf("workspace a has %d accelerators running at %d ms, want %d", used, step.untilMS, step.maximum)
		}
	}
	if started := sim.startsBefore(jobB, 6000); started > 10 {
		t.Errorf("%d tasks have started beside 10 under a limit of 20", started)
	}
	sim.run(60000)
	sim.checkJobStates(t, bothCompleted())
	sim.expectNoViolations(t)
	if sim.checker.wastedAcceleratorMS > 0 {
		t.Errorf("%d accelerator-milliseconds of work were lost", sim.checker.wastedAcceleratorMS)
	}
}

// startsBefore counts the starts of the job before the given time.
func (sim *simulation) startsBefore(id string, ms int64) (count int) {
	for _, at := range sim.checker.jobs[id].startTimesMS {
		if at < ms {
			count++
		}
	}
	return count
}

// TestLimitLoweredBelowNeed guards against a job that fails, or starts, after its limit was lowered
// below its need, and against a gang above the limit and within the tolerance that never starts.
func TestLimitLoweredBelowNeed(t *testing.T) {
	sim := newLimitedFleet(t)
	sim.submit("batch", "a", jobA, independentTasks(1, 4, 1000))
	sim.submit("batch", "a", jobB, gangStep(4, 8, 1000))
	sim.run(3010)
	sim.setMaximum("a", 28)
	sim.run(20000)
	if got := sim.jobState(jobB); got != reducer.StateQueued {
		t.Errorf("a gang of 32 accelerators under a limit of 28 is %s, want %s", got, reducer.StateQueued)
	}
	sim.setMaximum("a", 30)
	sim.run(24000)
	sim.checkJobStates(t, bothCompleted())
	sim.expectNoViolations(t)
}

// TestGangAtLimitIsNotOvertaken guards against a gang that waits for as long as smaller units of its
// workspace keep coming, and against other workspaces that wait with it.
func TestGangAtLimitIsNotOvertaken(t *testing.T) {
	sim := newLimitedFleet(t)
	for n := range 150 {
		sim.after(int64(100*n), func() { sim.submit("batch", "a", fmt.Sprintf("aa%014x", n), independentTasks(2, 1, 2000)) })
	}
	sim.after(5000, func() { sim.submit("batch", "a", jobA, gangStep(2, 8, 2000)) })
	sim.after(6500, func() { sim.submit("batch", "b", jobB, independentTasks(16, 1, 2000)) })
	sim.run(60000)
	// 1 s until the limit is held, and 2 s until running tasks have ended.
	sim.expectStartedWithin(t, jobA, 3500)
	sim.expectStartedWithin(t, jobB, 300)
	sim.checkJobStates(t, bothCompleted())
	sim.expectNoViolations(t)
}

// TestClaimWithinLimit guards against urgent work within its guarantee that has to wait because other
// work of its workspace uses up the limit, and against more preemption than that needs.
func TestClaimWithinLimit(t *testing.T) {
	for _, c := range []struct {
		name  string
		fill  int
		claim describer.Step
	}{
		{"capacity is free", 0, gangStep(2, 8, 1000)}, {"the fleet is full", 64, gangStep(2, 8, 1000)},
		{"tasks", 0, independentTasks(16, 1, 1000)}, {"tasks in a full fleet", 64, independentTasks(16, 1, 1000)},
	} {
		t.Run(c.name, func(t *testing.T) {
			fill := c.fill
			sim := newLimitedFleet(t)
			stopped := sim.countReasons("UnitPreempted", "")
			sim.submit("batch", "a", jobA, independentTasks(32, 1, 20000))
			if fill > 0 {
				sim.submit("batch", "b", jobB, independentTasks(fill, 1, 20000))
			}
			sim.run(8000)
			sim.submit("urgent", "a", "cc00000000000001", c.claim)
			sim.run(15000)
			sim.expectStartedWithin(t, "cc00000000000001", reclaimMS)
			sim.expectNoViolations(t)
			if *stopped < 16 || fill == 0 && *stopped > 16 {
				t.Errorf("%d units were preempted, want 16", *stopped)
			}
		})
	}
}

// TestImpossibleClaimAtLimit guards against work that is stopped, or kept from its workspace's limit, for
// units that no worker can take.
func TestImpossibleClaimAtLimit(t *testing.T) {
	sim := newLimitedFleet(t)
	stopped := sim.countReasons("UnitPreempted", "")
	sim.submit("batch", "a", jobA, independentTasks(60, 1, 10000))
	sim.run(4000)
	impossible := gangStep(2, 8, 60000)
	impossible.RequireLabel = "none"
	sim.submit("urgent", "a", "cc00000000000001", impossible)
	sim.submit("render", "a", "dd00000000000001", impossible)
	sim.run(20000)
	if used := sim.runningIn("a").Accelerators; used != 28 {
		t.Errorf("workspace a has %d accelerators running, want the last 28 tasks", used)
	}
	if *stopped > 0 {
		t.Errorf("%d units were preempted", *stopped)
	}
	sim.expectNoViolations(t)
}

// TestLimitBelowGuarantee guards against claims that exceed a limit below the guarantee, and against
// work that is stopped for them in vain.
func TestLimitBelowGuarantee(t *testing.T) {
	sim := newLimitedFleet(t)
	sim.setMaximum("a", 16)
	stopped := sim.countReasons("UnitPreempted", "")
	sim.submit("urgent", "a", jobA, gangStep(2, 8, 6000))
	sim.run(5000)
	sim.submit("urgent", "a", jobB, gangStep(2, 8, 1000))
	sim.run(8000)
	if sim.startDelayMS(jobB) >= 0 {
		t.Error("a claim has exceeded the limit")
	}
	sim.run(14000)
	sim.checkJobStates(t, bothCompleted())
	sim.expectNoViolations(t)
	if *stopped > 0 {
		t.Errorf("%d units were preempted", *stopped)
	}
}

// TestShareOrdersBurst guards against a workspace that gets more than its share of a full fleet by
// submitting more jobs: the jobs of the other one that are within its share go first.
func TestShareOrdersBurst(t *testing.T) {
	sim := newSimulation(t, 1, 3)
	sim.addWorkers(3, 4)
	sim.startAll()
	for _, name := range []string{"a", "b"} {
		sim.changeWorkspace(name, func(w *describer.Workspace) { w.Weight = 2 })
	}
	sim.run(3000)
	for n := range 40 {
		sim.submit("batch", "a", fmt.Sprintf("aa%014x", n), independentTasks(8, 1, 1000))
	}
	sim.run(3100)
	sim.submit("batch", "b", jobB, independentTasks(8, 1, 1000))
	sim.run(20000)
	sim.expectStartedWithin(t, jobB, 2000)
	sim.expectNoViolations(t)
}

// TestLimitAfterTakeover guards against a holder that starts work before it knows what its
// predecessor had started: runs on unreachable workers, and those of a failed job, whose records are
// removed. It also guards against unreachable workers that block all workspaces.
func TestLimitAfterTakeover(t *testing.T) {
	for name, fails := range map[string]bool{"runs": false, "runs of a failed job": true} {
		t.Run(name, func(t *testing.T) {
			sim := newLimitedFleet(t)
			next := *sim.config
			next.Version++
			next.Queues = slices.Clone(next.Queues)
			for i := range next.Queues {
				next.Queues[i].Attempts = 1
			}
			next.BuildIndex()
			sim.configure(&next, true)
			sim.submit("batch", "a", jobA, independentTasks(32, 1, 30000))
			sim.run(3500)
			used := sim.usedWorkers()
			for _, f := range used[:2] {
				f.unreachable = true
			}
			if fails {
				used[2].endRun(used[2].sortedRuns()[0], scheduler.EndFailed)
			}
			sim.run(4000)
			sim.holder().kill()
			sim.submit("batch", "a", jobB, independentTasks(64, 1, 500))
			sim.submit("batch", "b", "cc00000000000001", independentTasks(8, 1, 500))
			sim.run(9000)
			if got := sim.jobState(jobA); (got == reducer.StateFailed) != fails {
				t.Errorf("job %s is %s", jobA, got)
			}
			sim.expectStartedWithin(t, "cc00000000000001", 3000)
			if fails {
				// Half of the limit is not in use.
				sim.expectStartedWithin(t, jobB, 3000)
			}
			sim.run(60000)
			sim.expectNoViolations(t)
			if got := sim.jobState(jobB); got != reducer.StateCompleted {
				t.Errorf("job %s is %s at the end", jobB, got)
			}
		})
	}
}

// usedWorkers returns the workers that run tasks.
func (sim *simulation) usedWorkers() (used []*fakeWorker) {
	for _, id := range sim.workerIDs {
		if f := sim.workers[id]; len(f.runs) > 0 {
			used = append(used, f)
		}
	}
	return used
}

// TestLimitWithLateStarts guards against work that is started while starts of removed runs may still
// be executed: two workers get their starts 11 s late, after they have restarted, and are out of
// reach meanwhile, under the same holder and under a successor.
func TestLimitWithLateStarts(t *testing.T) {
	for name, takeover := range map[string]bool{"the same holder": false, "a successor": true} {
		t.Run(name, func(t *testing.T) {
			sim := newLimitedFleet(t)
			var late []*fakeWorker
			sim.lateOrder = func(worker string, c scheduler.Command) (delayMS int64, isLate bool) {
				start, ok := c.(scheduler.StartCmd)
				f := sim.workers[worker]
				if !ok || start.Task.Unit.Job != jobA || !slices.Contains(late, f) && len(late) == 2 {
					return 0, false
				}
				if !slices.Contains(late, f) {
					late = append(late, f)
				}
				return 11000, true
			}
			sim.submit("batch", "a", jobA, independentTasks(32, 1, 6000))
			sim.run(3200)
			for _, f := range late {
				f.unreachable = true
				f.crash(4000)
			}
			sim.run(10000)
			if takeover {
				sim.holder().kill()
			}
			sim.submit("batch", "a", jobB, independentTasks(64, 1, 10000))
			sim.run(25000)
			if !slices.Contains(sim.lateResults, scheduler.OrderDone) {
				t.Errorf("no start was executed late: %v", sim.lateResults)
			}
			for _, f := range late {
				f.unreachable = false
			}
			sim.expectNoneOf(t, exceedsLimit)
			sim.run(120000)
			sim.expectNoneOf(t, exceedsLimit)
			if got := sim.jobState(jobB); got != reducer.StateCompleted {
				t.Errorf("job %s is %s at the end", jobB, got)
			}
		})
	}
}

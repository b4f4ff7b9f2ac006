package scheduler_test

import (
	"fmt"
	"testing"

	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/reducer"
	"daisyhead/internal/workload/scheduler"
)

// Service targets that the tests under load check.
const (
	// startTargetMS is the time in which an urgent job within its workspace's guarantee
	// must have started, in milliseconds.
	startTargetMS = 2700
	// evacuationTargetMS is the time after which no task may start in a closed failure
	// domain, in milliseconds.
	evacuationTargetMS = 5000
	// maxOverrunFactor times its objective is the time after which a job's result is
	// worthless.
	maxOverrunFactor = 3
)

// submitBacklog submits batch jobs of 24 tasks each. The callers submit more tasks than
// their fleet can run at a time.
func (sim *simulation) submitBacklog(jobs int) {
	for n := range jobs {
		sim.submit("batch", []string{"a", "b"}[n%2], fmt.Sprintf("ba%014x", n), independentTasks(24, 1, 6000))
	}
}

// startDelayMS returns how long a job waited until its first task started, or -1 if none
// has.
func (sim *simulation) startDelayMS(id string) int64 {
	job := sim.checker.jobs[id]
	if job.firstStartMS == 0 {
		return -1
	}
	return job.firstStartMS - job.submittedMS
}

func (sim *simulation) expectStartedWithin(t *testing.T, id string, withinMS int64) {
	t.Helper()
	if waited := sim.startDelayMS(id); waited < 0 || waited > withinMS {
		t.Errorf("job %s started after %d ms, the target is %d ms", id, waited, withinMS)
	}
}

func (sim *simulation) expectNoViolations(t *testing.T) {
	t.Helper()
	for _, v := range sim.checker.violations {
		t.Error(v)
	}
}

// TestBacklogAndUrgentWave submits urgent gangs, within the guarantees of their
// workspaces, to a fleet that is full of small tasks. Each gang must start in time.
func TestBacklogAndUrgentWave(t *testing.T) {
	sim := newSimulation(t, 1, 3)
	sim.addWorkers(4, 4)
	sim.startAll()
	sim.run(3000)
	sim.submitBacklog(12)
	sim.run(5000)
	var urgent []string
	for n := range 10 {
		at := int64(n) * 1200
		id := fmt.Sprintf("aa%014x", n)
		urgent = append(urgent, id)
		sim.after(at, func() { sim.submit("urgent", []string{"a", "b"}[n%2], id, gangStep(2, 8, 1500)) })
	}
	sim.run(60000)
	for _, id := range urgent {
		sim.expectStartedWithin(t, id, startTargetMS)
	}
	sim.expectNoViolations(t)
}

// TestUrgentBurstUsesHeadroom submits one small urgent gang at a time to a full fleet.
// The headroom that is kept free for urgent jobs must suffice, so that no task is
// preempted.
func TestUrgentBurstUsesHeadroom(t *testing.T) {
	sim := newSimulation(t, 1, 3)
	sim.addWorkers(4, 4)
	sim.startAll()
	sim.run(3000)
	sim.submitBacklog(12)
	sim.run(5000)
	before := sim.checker.wastedAcceleratorMS
	for n := range 5 {
		id := fmt.Sprintf("aa%014x", n)
		sim.after(int64(n)*2500, func() { sim.submit("urgent", "a", id, gangStep(2, 8, 1500)) })
	}
	sim.run(18000)
	if wasted := sim.checker.wastedAcceleratorMS - before; wasted > 0 {
		t.Errorf("%d accelerator-milliseconds of work were lost", wasted)
	}
	sim.expectNoViolations(t)
}

// TestUrgentBeyondItsGuarantee submits a wide urgent gang of a workspace without a
// guarantee to a fleet that is full of small tasks. They may be preempted only if little
// of their work is lost.
func TestUrgentBeyondItsGuarantee(t *testing.T) {
	for _, c := range []struct {
		name  string
		ranMS int64
		waits bool
	}{
		{"tasks that have just started are preempted", 300, false},
		{"tasks that have run for long are not", 15000, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := newSimulation(t, 1, 3)
			sim.addWorkers(2, 4)
			sim.config.Workspaces[0].GuaranteedAccelerators = 0
			sim.startAll()
			sim.run(3000)
			sim.submit("batch", "b", jobB, independentTasks(64, 1, 60000))
			sim.run(3000 + c.ranMS)
			sim.submit("urgent", "a", jobA, gangStep(4, 8, 1500))
			sim.run(3000 + c.ranMS + startTargetMS)
			if waits := sim.startDelayMS(jobA) < 0; waits != c.waits {
				t.Errorf("the urgent job waits: %t, want %t", waits, c.waits)
			}
			sim.expectNoViolations(t)
		})
	}
}

// TestHeadroomStarvesNobody submits a gang that needs the only rack without scattered
// small tasks. Part of that rack is headroom for urgent jobs, but most of the fleet is
// idle, so the gang must start. A perpetual task must start even in a fuller fleet.
func TestHeadroomStarvesNobody(t *testing.T) {
	sim := newSimulation(t, 1, 3)
	sim.addWorkers(2, 4)
	sim.startAll()
	sim.run(3000)
	scattered := independentTasks(4, 1, 60000)
	scattered.RequireLabel, scattered.MaxPerWorker = "r1", 1
	sim.submit("batch", "b", jobB, scattered)
	sim.run(4000)
	sim.submit("render", "a", jobA, gangStep(4, 8, 2000))
	sim.run(4000 + startTargetMS)
	sim.expectStartedWithin(t, jobA, startTargetMS)
	sim.run(20000)
	sim.submit("batch", "b", "cccccccccccccccc", independentTasks(40, 1, 60000))
	sim.run(21000)
	perpetual := independentTasks(1, 8, 60000)
	perpetual.Perpetual = true
	sim.submit("render", "a", "dddddddddddddddd", perpetual)
	sim.run(21000 + startTargetMS)
	sim.expectStartedWithin(t, "dddddddddddddddd", startTargetMS)
	sim.expectNoViolations(t)
}

// TestWideGangAmongSmallTasks submits a gang that needs a whole rack while small tasks
// keep arriving and fill each gap. The gang must end before its result is worthless.
func TestWideGangAmongSmallTasks(t *testing.T) {
	sim := newSimulation(t, 1, 3)
	sim.addWorkers(4, 4)
	sim.startAll()
	sim.run(3000)
	for n := range 60 {
		id := fmt.Sprintf("ba%014x", n)
		sim.after(int64(n)*500, func() { sim.submit("batch", "b", id, independentTasks(16, 1, 3000)) })
	}
	sim.run(6000)
	wide := gangStep(4, 8, 5000)
	sim.submit("render", "a", jobA, wide)
	sim.run(90000)
	q, _ := sim.config.Queue("render")
	limit := maxOverrunFactor * (int64(q.Stretch*float64(wide.EstimateMS)) + q.ObjectiveMS)
	job := sim.checker.jobs[jobA]
	if took := job.lastDoneMS - job.submittedMS; job.lastDoneMS == 0 || took > limit {
		t.Errorf("the wide gang took %d ms, its result is worthless after %d ms", took, limit)
	}
	sim.expectNoViolations(t)
}

// TestCancelWave cancels half of the jobs of a full fleet at once.
func TestCancelWave(t *testing.T) {
	sim := newSimulation(t, 1, 3)
	sim.addWorkers(4, 4)
	sim.startAll()
	sim.run(3000)
	sim.submitBacklog(20)
	sim.run(5000)
	for n := range 10 {
		sim.cancel(fmt.Sprintf("ba%014x", n))
	}
	sim.run(5000 + cancelDeadlineMS + stopDurationMS)
	for _, f := range sim.workers {
		for _, r := range f.sortedRuns() {
			if sim.checker.jobs[r.ref.Unit.Job].cancelledMS > 0 {
				t.Errorf("%s of a cancelled job still runs on %s", r.ref.Unit, f.id)
			}
		}
	}
	sim.run(60000)
	for n := range 20 {
		want := reducer.StateCompleted
		if n < 10 {
			want = reducer.StateCancelled
		}
		if got := sim.jobState(fmt.Sprintf("ba%014x", n)); got != want {
			t.Errorf("job %d is %s, want %s", n, got, want)
		}
	}
	sim.expectNoViolations(t)
}

// TestFailingJobsLeaveEnoughWorkers runs jobs that fail on every worker. Their failures
// must not put many workers into quarantine: an urgent gang that needs whole workers must
// still start in time.
func TestFailingJobsLeaveEnoughWorkers(t *testing.T) {
	sim := newSimulation(t, 1, 3)
	sim.addWorkers(2, 4)
	sim.startAll()
	sim.run(3000)
	for n := range 12 {
		id := fmt.Sprintf("fa%014x", n)
		sim.submit("render", "a", id, independentTasks(2, 1, 500))
		sim.checker.jobs[id].fails = true
	}
	sim.run(6000)
	sim.submit("urgent", "a", jobA, gangStep(4, 8, 1000))
	sim.run(6000 + startTargetMS)
	sim.expectStartedWithin(t, jobA, startTargetMS)
	sim.run(30000)
	for n := range 12 {
		if got := sim.jobState(fmt.Sprintf("fa%014x", n)); got != reducer.StateFailed {
			t.Errorf("job %d, which always fails, is %s", n, got)
		}
	}
	sim.expectNoViolations(t)
}

// TestDomainOutAndBack closes a failure domain under load and opens it again. From
// evacuationTargetMS after the closing, no task may start there, and tasks must start
// there once it is open again.
func TestDomainOutAndBack(t *testing.T) {
	sim := newSimulation(t, 1, 3)
	sim.addWorkers(3, 4)
	sim.startAll()
	sim.run(3000)
	sim.submitBacklog(30)
	sim.run(6000)
	sim.configure(sim.config.Apply(describer.Change{Domain: "d0", Closed: true}))
	sim.run(20000)
	if late := sim.startsInDomain("d0", 6000+evacuationTargetMS); late > 0 {
		t.Errorf("%d tasks started in the closed domain", late)
	}
	sim.configure(sim.config.Apply(describer.Change{Domain: "d0"}))
	sim.run(20000 + startTargetMS)
	if sim.startsInDomain("d0", 20000) == 0 {
		t.Error("no task has started in the reopened domain")
	}
	sim.expectNoViolations(t)
}

// configure puts a configuration into force on all instances.
func (sim *simulation) configure(c *describer.Configuration, _ bool) {
	sim.checker.limits.replace(sim.nowMS, c)
	sim.config = c
	for _, i := range sim.instances {
		i.send(scheduler.ConfiguredMsg{Configuration: c})
	}
}

// startsInDomain counts the starts in a domain after the given time.
func (sim *simulation) startsInDomain(domain string, afterMS int64) (count int) {
	for _, f := range sim.workers {
		if f.spec.Domain == domain {
			count += f.countStartsAfter(afterMS)
		}
	}
	return count
}

// countStartsAfter counts the starts on this worker after the given time.
func (f *fakeWorker) countStartsAfter(ms int64) (count int) {
	for _, at := range f.startTimesMS {
		if at > ms {
			count++
		}
	}
	return count
}

// TestGangAvoidsAWorkerThatHasFailed lets the only task of one worker fail. A gang that
// fits elsewhere must not be placed there: the gang is lost if one of its tasks fails.
func TestGangAvoidsAWorkerThatHasFailed(t *testing.T) {
	sim := newSmallFleet(t)
	sim.submit("batch", "a", jobA, independentTasks(1, 1, 1000))
	sim.run(3500)
	failedWorker := sim.workerRunning(t, jobA)
	failedWorker.fails = true
	for _, r := range failedWorker.sortedRuns() {
		failedWorker.restartWorkTimer(r)
	}
	sim.run(4500)
	if starts, ends := len(failedWorker.startTimesMS), failedWorker.lastEndNumber; starts != 1 || ends != 1 {
		t.Fatalf("the worker has started %d tasks, of which %d have ended; want 1, which has failed", starts, ends)
	}
	before := len(failedWorker.startTimesMS)
	for n := range 5 {
		id := fmt.Sprintf("aa%014x", n)
		sim.after(int64(n)*1500, func() { sim.submit("render", "a", id, gangStep(2, 4, 1000)) })
	}
	sim.run(15000)
	if more := len(failedWorker.startTimesMS) - before; more > 0 {
		t.Errorf("%d tasks of gangs were started on a worker whose only task had failed", more)
	}
	sim.expectNoViolations(t)
}

// TestHeadroomIgnoresDrainingWorkers drains half of the fleet and submits a gang that
// needs the last whole rack, which is headroom for urgent jobs. The gang may use it only
// if a large part of the fleet is idle; draining workers must not count as part of the
// fleet then, or the gang has to wait.
func TestHeadroomIgnoresDrainingWorkers(t *testing.T) {
	sim := newSimulation(t, 1, 3)
	sim.addWorkers(4, 4)
	sim.startAll()
	sim.run(3000)
	for _, f := range sim.workers {
		f.spec.Draining = f.spec.Rack == "r2" || f.spec.Rack == "r3"
	}
	scattered := independentTasks(4, 1, 60000)
	scattered.RequireLabel, scattered.MaxPerWorker = "r1", 1
	sim.submit("batch", "b", jobB, scattered)
	sim.run(4000)
	sim.submit("render", "a", jobA, gangStep(4, 8, 2000))
	sim.run(4000 + startTargetMS)
	sim.expectStartedWithin(t, jobA, startTargetMS)
	sim.expectNoViolations(t)
}

// TestWaveOfStarts submits 400 jobs at once on a path to the workers whose latency grows
// with the orders in flight. Sent together, most starts would get no answer and be
// repeated, which makes the path slower still.
func TestWaveOfStarts(t *testing.T) {
	sim := newSimulation(t, 1, 3)
	sim.orderCongestionMS = 5
	sim.addWorkers(10, 12)
	sim.startAll()
	sim.run(4000)
	for i := range 400 {
		sim.submit("render", "a", fmt.Sprintf("job%d", i), independentTasks(1, 2, 5000))
	}
	sim.run(7000)
	for i := range 400 {
		sim.expectStartedWithin(t, fmt.Sprintf("job%d", i), 3000)
	}
	if sim.unansweredOrders*20 > sim.checker.starts {
		t.Errorf("%d orders got no answer for %d starts, want at most one in 20", sim.unansweredOrders, sim.checker.starts)
	}
	sim.expectNoViolations(t)
}

// TestSlowPassesLeaveTimeForOrders gives the holder a backlog that it can't place and
// passes that take 50 ms. Passes must take up no more than half of its time.
func TestSlowPassesLeaveTimeForOrders(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.passMS = 50
	sim.addWorkers(2, 4)
	sim.startAll()
	sim.submitBacklog(40)
	sim.run(3000)
	sim.passes = 0
	sim.run(13_000)
	if sim.passes == 0 || int64(sim.passes)*sim.passMS*2 > 10_000 {
		t.Errorf("%d passes of %d ms in 10 s, want at least one and at most half of the time", sim.passes, sim.passMS)
	}
	sim.expectNoViolations(t)
}

// TestIdleWorkersAreNotTakenForLost submits jobs after the fleet has been idle for longer
// than any lease. A worker whose last lease has ended, and to which a task is placed but
// not yet sent, must not be taken for lost.
func TestIdleWorkersAreNotTakenForLost(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.addWorkers(5, 12)
	lost := 0
	sim.trace = func(_ string, e scheduler.EventCmd) {
		if e.Name == "WorkerLost" {
			lost++
		}
	}
	sim.startAll()
	sim.run(30_000)
	for n := range 50 {
		sim.after(int64(n*7), func() {
			sim.submit("render", "a", fmt.Sprintf("job%d", n), independentTasks(1, 8, 3000))
		})
	}
	sim.run(36_000)
	if lost > 0 {
		t.Errorf("%d workers were taken for lost", lost)
	}
	for n := range 50 {
		sim.expectStartedWithin(t, fmt.Sprintf("job%d", n), 300)
	}
	sim.expectNoViolations(t)
}

// TestUrgentGangsAmongSlowWorkers runs batch tasks on a fleet in which work takes twice as
// long on every third worker, and then urgent gangs that fit onto the other workers. They
// must end within their objective, which they can't on slow workers.
func TestUrgentGangsAmongSlowWorkers(t *testing.T) {
	sim := newUnevenFleet(t)
	sim.expectUrgentGangsInTime(t, 20)
	sim.expectNoViolations(t)
}

// TestSuccessorKnowsSlowWorkers kills the holder after it has learned which workers are
// slow. The urgent gangs of the first seconds of the next term must end in time too.
func TestSuccessorKnowsSlowWorkers(t *testing.T) {
	sim := newUnevenFleet(t)
	sim.holder().kill()
	sim.runUntilDecided(5000)
	sim.expectUrgentGangsInTime(t, 5)
	sim.expectNoViolations(t)
}

// newUnevenFleet returns a fleet in which work takes twice as long on every third worker,
// after it has run batch tasks on all of them for a while.
func newUnevenFleet(t *testing.T) *simulation {
	sim := newSimulation(t, 1, 3)
	sim.addWorkers(4, 6)
	for i, id := range sim.workerIDs {
		if i%3 == 0 {
			sim.workers[id].slowdown = 2
		}
	}
	sim.startAll()
	sim.run(3000)
	for n := range 12 {
		id := fmt.Sprintf("ba%014x", n)
		sim.after(int64(n)*1000, func() { sim.submit("batch", "b", id, independentTasks(90, 1, 2000)) })
	}
	sim.run(30_000)
	return sim
}

// expectUrgentGangsInTime submits urgent gangs one after the other and checks that each
// one ends within its objective.
func (sim *simulation) expectUrgentGangsInTime(t *testing.T, gangs int) {
	t.Helper()
	gang := gangStep(3, 8, 2000)
	q, _ := sim.config.Queue("urgent")
	limit := int64(q.Stretch*float64(gang.EstimateMS)) + q.ObjectiveMS
	late := 0
	for n := range gangs {
		id := fmt.Sprintf("aa%014x", n)
		sim.submit("urgent", "a", id, gang)
		sim.run(sim.nowMS + 3000)
		if job := sim.checker.jobs[id]; job.lastDoneMS == 0 || job.lastDoneMS-job.submittedMS > limit {
			late++
		}
	}
	if late > 0 {
		t.Errorf("%d of %d urgent gangs ended late", late, gangs)
	}
}

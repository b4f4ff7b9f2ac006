package scheduler_test

import (
	"fmt"
	"testing"

	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/scheduler"
	"daisyhead/internal/workload/tabulator"
)

// Targets of the users, in milliseconds.
const (
	// reclaimMS is the time in which urgent work within a guarantee has begun.
	startTargetMS = 2700
	// evacuateMS is the time after which nothing starts in a closed domain.
	evacuationTargetMS = 5000
	// lateFactor times its objective is when a job's end is worth nothing.
	maxOverrunFactor = 3
)

// backlog hands in more batch work than the fleet holds.
func (sim *simulation) submitBacklog(jobs int) {
	for n := range jobs {
		sim.submit("batch", []string{"a", "b"}[n%2], fmt.Sprintf("ba%014x", n), independentTasks(24, 1, 6000))
	}
}

// begun returns how long a job waited for its first task, or -1.
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
		t.Errorf("job %s began after %d ms, the target is %d", id, waited, withinMS)
	}
}

func (sim *simulation) expectNoViolations(t *testing.T) {
	t.Helper()
	for _, b := range sim.checker.violations {
		t.Error(b)
	}
}

// TestBacklogAndUrgentWave sends urgent gangs into a fleet that is full of small
// tasks, within the guarantees of their workspaces.
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

// TestUrgentBurstUsesKeptRoom sends one small urgent gang at a time: room that is
// kept free must be enough, so that nothing has to stop.
func TestUrgentBurstUsesKeptRoom(t *testing.T) {
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
		t.Errorf("%d ms of accelerators were thrown away", wasted)
	}
	sim.expectNoViolations(t)
}

// TestUrgentBeyondItsGuarantee lets a wide urgent gang of a workspace without a
// guarantee meet small tasks: they give way if little of their work is lost.
func TestUrgentBeyondItsGuarantee(t *testing.T) {
	for _, c := range []struct {
		name  string
		ranMS int64
		waits bool
	}{
		{"work that has just begun gives way", 300, false},
		{"work that has run for long does not", 15000, true},
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

// TestKeptRoomStarvesNobody lets a gang need the only rack without scattered small
// tasks, part of which is kept for urgent work, while most of the fleet is idle. A
// perpetual task must find room in any case.
func TestKeptRoomStarvesNobody(t *testing.T) {
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

// TestWideGangAmongSmallTasks offers a gang that needs a whole rack while small
// tasks keep coming.
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
		t.Errorf("the wide gang took %d ms, it is worth nothing after %d", took, limit)
	}
	sim.expectNoViolations(t)
}

// TestCancelWave cancels half of a full fleet's jobs at once.
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
		want := tabulator.StateCompleted
		if n < 10 {
			want = tabulator.StateCancelled
		}
		if got := sim.jobState(fmt.Sprintf("ba%014x", n)); got != want {
			t.Errorf("job %d is %s, want %s", n, got, want)
		}
	}
	sim.expectNoViolations(t)
}

// TestImpossibleJobsDoNotCondemnWorkers runs jobs that fail wherever they run and
// looks whether others still find their room.
func TestImpossibleJobsDoNotCondemnWorkers(t *testing.T) {
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
		if got := sim.jobState(fmt.Sprintf("fa%014x", n)); got != tabulator.StateFailed {
			t.Errorf("impossible job %d is %s", n, got)
		}
	}
	sim.expectNoViolations(t)
}

// TestDomainOutAndBack closes a failure domain under load and opens it again.
func TestDomainOutAndBack(t *testing.T) {
	sim := newSimulation(t, 1, 3)
	sim.addWorkers(3, 4)
	sim.startAll()
	sim.run(3000)
	sim.submitBacklog(30)
	sim.run(6000)
	sim.configure(sim.config.With(describer.Change{Domain: "d0", Closed: true}))
	starts := sim.startsInDomain("d0", 6000+evacuationTargetMS)
	sim.run(20000)
	if late := sim.startsInDomain("d0", 6000+evacuationTargetMS) - starts; late > 0 {
		t.Errorf("%d tasks started in the closed domain", late)
	}
	sim.configure(sim.config.With(describer.Change{Domain: "d0"}))
	sim.run(20000 + startTargetMS)
	if sim.startsInDomain("d0", 20000) == 0 {
		t.Error("nothing starts in the domain that is back")
	}
	sim.expectNoViolations(t)
}

func (sim *simulation) configure(c *describer.Configuration, _ bool) {
	sim.config = c
	for _, i := range sim.instances {
		i.send(scheduler.ConfiguredMsg{Configuration: c})
	}
}

// startsIn counts the tasks that run in a domain and were started after a time.
func (sim *simulation) startsInDomain(domain string, afterMS int64) (count int) {
	for _, f := range sim.workers {
		if f.spec.Domain == domain {
			count += f.countStartsAfter(afterMS)
		}
	}
	return count
}

func (f *fakeWorker) countStartsAfter(ms int64) (count int) {
	for _, at := range f.startTimesMS {
		if at > ms {
			count++
		}
	}
	return count
}

// TestGangAvoidsAWorkerThatHasFailed lets one worker fail a single task. A gang that has
// room elsewhere must not be put at risk there.
func TestGangAvoidsAWorkerThatHasFailed(t *testing.T) {
	sim := newSmallFleet(t)
	sim.submit("batch", "a", jobA, independentTasks(1, 1, 1000))
	sim.run(3500)
	bad := sim.workerRunning(t, jobA)
	bad.fails = true
	for _, r := range bad.sortedRuns() {
		bad.restartWorkTimer(r)
	}
	sim.run(4500)
	if len(bad.ends) == 0 && len(bad.startTimesMS) != 1 {
		t.Fatalf("the worker has started %d tasks, want 1 that has failed", len(bad.startTimesMS))
	}
	before := len(bad.startTimesMS)
	for n := range 5 {
		id := fmt.Sprintf("aa%014x", n)
		sim.after(int64(n)*1500, func() { sim.submit("render", "a", id, gangStep(2, 4, 1000)) })
	}
	sim.run(15000)
	if more := len(bad.startTimesMS) - before; more > 0 {
		t.Errorf("%d tasks of gangs were started on a worker that has failed its only task", more)
	}
	sim.expectNoViolations(t)
}

// TestKeptRoomOfAShrunkenFleet lets half of the fleet leave. What has left must not count
// when a gang needs the last whole rack, which is kept for urgent work.
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

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
	reclaimMS = 2700
	// evacuateMS is the time after which nothing starts in a closed domain.
	evacuateMS = 5000
	// lateFactor times its objective is when a job's end is worth nothing.
	lateFactor = 3
)

// backlog hands in more batch work than the fleet holds.
func (w *world) backlog(jobs int) {
	for n := range jobs {
		w.submit("batch", []string{"a", "b"}[n%2], fmt.Sprintf("ba%014x", n), tasks(24, 1, 6000))
	}
}

// begun returns how long a job waited for its first task, or -1.
func (w *world) begun(id string) int64 {
	v := w.judge.submitted[id]
	if v.startedMS == 0 {
		return -1
	}
	return v.startedMS - v.submittedMS
}

func (w *world) expectBegun(t *testing.T, id string, withinMS int64) {
	t.Helper()
	if waited := w.begun(id); waited < 0 || waited > withinMS {
		t.Errorf("job %s began after %d ms, the target is %d", id, waited, withinMS)
	}
}

func (w *world) expectKept(t *testing.T) {
	t.Helper()
	for _, b := range w.judge.broken {
		t.Error(b)
	}
}

// TestBacklogAndUrgentWave sends urgent gangs into a fleet that is full of small
// tasks, within the guarantees of their workspaces.
func TestBacklogAndUrgentWave(t *testing.T) {
	w := newWorld(t, 1, 3)
	w.addWorkers(4, 4)
	w.startAll()
	w.run(3000)
	w.backlog(12)
	w.run(5000)
	var urgent []string
	for n := range 10 {
		at := int64(n) * 1200
		id := fmt.Sprintf("aa%014x", n)
		urgent = append(urgent, id)
		w.after(at, func() { w.submit("urgent", []string{"a", "b"}[n%2], id, gang(2, 8, 1500)) })
	}
	w.run(60000)
	for _, id := range urgent {
		w.expectBegun(t, id, reclaimMS)
	}
	w.expectKept(t)
}

// TestUrgentBurstUsesKeptRoom sends one small urgent gang at a time: room that is
// kept free must be enough, so that nothing has to stop.
func TestUrgentBurstUsesKeptRoom(t *testing.T) {
	w := newWorld(t, 1, 3)
	w.addWorkers(4, 4)
	w.startAll()
	w.run(3000)
	w.backlog(12)
	w.run(5000)
	before := w.judge.wastedMS
	for n := range 5 {
		id := fmt.Sprintf("aa%014x", n)
		w.after(int64(n)*2500, func() { w.submit("urgent", "a", id, gang(2, 8, 1500)) })
	}
	w.run(18000)
	if wasted := w.judge.wastedMS - before; wasted > 0 {
		t.Errorf("%d ms of accelerators were thrown away", wasted)
	}
	w.expectKept(t)
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
			w := newWorld(t, 1, 3)
			w.addWorkers(2, 4)
			w.config.Workspaces[0].GuaranteedAccelerators = 0
			w.startAll()
			w.run(3000)
			w.submit("batch", "b", jobB, tasks(64, 1, 60000))
			w.run(3000 + c.ranMS)
			w.submit("urgent", "a", jobA, gang(4, 8, 1500))
			w.run(3000 + c.ranMS + reclaimMS)
			if waits := w.begun(jobA) < 0; waits != c.waits {
				t.Errorf("the urgent job waits: %t, want %t", waits, c.waits)
			}
			w.expectKept(t)
		})
	}
}

// TestKeptRoomStarvesNobody lets a gang need the only rack without scattered small
// tasks, part of which is kept for urgent work, while most of the fleet is idle. A
// perpetual task must find room in any case.
func TestKeptRoomStarvesNobody(t *testing.T) {
	w := newWorld(t, 1, 3)
	w.addWorkers(2, 4)
	w.startAll()
	w.run(3000)
	scattered := tasks(4, 1, 60000)
	scattered.RequireLabel, scattered.MaxPerWorker = "r1", 1
	w.submit("batch", "b", jobB, scattered)
	w.run(4000)
	w.submit("render", "a", jobA, gang(4, 8, 2000))
	w.run(4000 + reclaimMS)
	w.expectBegun(t, jobA, reclaimMS)
	w.run(20000)
	w.submit("batch", "b", "cccccccccccccccc", tasks(40, 1, 60000))
	w.run(21000)
	perpetual := tasks(1, 8, 60000)
	perpetual.Perpetual = true
	w.submit("render", "a", "dddddddddddddddd", perpetual)
	w.run(21000 + reclaimMS)
	w.expectBegun(t, "dddddddddddddddd", reclaimMS)
	w.expectKept(t)
}

// TestWideGangAmongSmallTasks offers a gang that needs a whole rack while small
// tasks keep coming.
func TestWideGangAmongSmallTasks(t *testing.T) {
	w := newWorld(t, 1, 3)
	w.addWorkers(4, 4)
	w.startAll()
	w.run(3000)
	for n := range 60 {
		id := fmt.Sprintf("ba%014x", n)
		w.after(int64(n)*500, func() { w.submit("batch", "b", id, tasks(16, 1, 3000)) })
	}
	w.run(6000)
	wide := gang(4, 8, 5000)
	w.submit("render", "a", jobA, wide)
	w.run(90000)
	q, _ := w.config.Queue("render")
	limit := lateFactor * (int64(q.Stretch*float64(wide.EstimateMS)) + q.ObjectiveMS)
	v := w.judge.submitted[jobA]
	if took := v.doneMS - v.submittedMS; v.doneMS == 0 || took > limit {
		t.Errorf("the wide gang took %d ms, it is worth nothing after %d", took, limit)
	}
	w.expectKept(t)
}

// TestCancelWave cancels half of a full fleet's jobs at once.
func TestCancelWave(t *testing.T) {
	w := newWorld(t, 1, 3)
	w.addWorkers(4, 4)
	w.startAll()
	w.run(3000)
	w.backlog(20)
	w.run(5000)
	for n := range 10 {
		w.cancel(fmt.Sprintf("ba%014x", n))
	}
	w.run(5000 + cancelMS + stopTimeMS)
	for _, f := range w.workers {
		for _, r := range f.sorted() {
			if w.judge.submitted[r.ref.Unit.Job].cancelledMS > 0 {
				t.Errorf("%s of a cancelled job still runs on %s", r.ref.Unit, f.id)
			}
		}
	}
	w.run(60000)
	for n := range 20 {
		want := tabulator.StateCompleted
		if n < 10 {
			want = tabulator.StateCancelled
		}
		if got := w.state(fmt.Sprintf("ba%014x", n)); got != want {
			t.Errorf("job %d is %s, want %s", n, got, want)
		}
	}
	w.expectKept(t)
}

// TestImpossibleJobsDoNotCondemnWorkers runs jobs that fail wherever they run and
// looks whether others still find their room.
func TestImpossibleJobsDoNotCondemnWorkers(t *testing.T) {
	w := newWorld(t, 1, 3)
	w.addWorkers(2, 4)
	w.startAll()
	w.run(3000)
	for n := range 12 {
		id := fmt.Sprintf("fa%014x", n)
		w.submit("render", "a", id, tasks(2, 1, 500))
		w.judge.submitted[id].fails = true
	}
	w.run(6000)
	w.submit("urgent", "a", jobA, gang(4, 8, 1000))
	w.run(6000 + reclaimMS)
	w.expectBegun(t, jobA, reclaimMS)
	w.run(30000)
	for n := range 12 {
		if got := w.state(fmt.Sprintf("fa%014x", n)); got != tabulator.StateFailed {
			t.Errorf("impossible job %d is %s", n, got)
		}
	}
	w.expectKept(t)
}

// TestDomainOutAndBack closes a failure domain under load and opens it again.
func TestDomainOutAndBack(t *testing.T) {
	w := newWorld(t, 1, 3)
	w.addWorkers(3, 4)
	w.startAll()
	w.run(3000)
	w.backlog(30)
	w.run(6000)
	w.configure(w.config.With(describer.Change{Domain: "d0", Closed: true}))
	starts := w.startsIn("d0", 6000+evacuateMS)
	w.run(20000)
	if late := w.startsIn("d0", 6000+evacuateMS) - starts; late > 0 {
		t.Errorf("%d tasks started in the closed domain", late)
	}
	w.configure(w.config.With(describer.Change{Domain: "d0"}))
	w.run(20000 + reclaimMS)
	if w.startsIn("d0", 20000) == 0 {
		t.Error("nothing starts in the domain that is back")
	}
	w.expectKept(t)
}

func (w *world) configure(c *describer.Configuration, _ bool) {
	w.config = c
	for _, i := range w.instances {
		i.send(scheduler.ConfiguredMsg{Configuration: c})
	}
}

// startsIn counts the tasks that run in a domain and were started after a time.
func (w *world) startsIn(domain string, afterMS int64) (count int) {
	for _, f := range w.workers {
		if f.spec.Domain == domain {
			count += f.startsAfter(afterMS)
		}
	}
	return count
}

func (f *fakeWorker) startsAfter(ms int64) (count int) {
	for _, at := range f.startsMS {
		if at > ms {
			count++
		}
	}
	return count
}

// TestGangAvoidsAWorkerThatHasFailed lets one worker fail a single task. A gang that has
// room elsewhere must not be put at risk there.
func TestGangAvoidsAWorkerThatHasFailed(t *testing.T) {
	w := settled(t)
	w.submit("batch", "a", jobA, tasks(1, 1, 1000))
	w.run(3500)
	bad := w.runsOn(t, jobA)
	bad.fails = true
	for _, r := range bad.sorted() {
		bad.plan(r)
	}
	w.run(4500)
	if len(bad.ends) == 0 && len(bad.startsMS) != 1 {
		t.Fatalf("the worker has started %d tasks, want 1 that has failed", len(bad.startsMS))
	}
	before := len(bad.startsMS)
	for n := range 5 {
		id := fmt.Sprintf("aa%014x", n)
		w.after(int64(n)*1500, func() { w.submit("render", "a", id, gang(2, 4, 1000)) })
	}
	w.run(15000)
	if more := len(bad.startsMS) - before; more > 0 {
		t.Errorf("%d tasks of gangs were started on a worker that has failed its only task", more)
	}
	w.expectKept(t)
}

// TestKeptRoomOfAShrunkenFleet lets half of the fleet leave. What has left must not count
// when a gang needs the last whole rack, which is kept for urgent work.
func TestKeptRoomOfAShrunkenFleet(t *testing.T) {
	w := newWorld(t, 1, 3)
	w.addWorkers(4, 4)
	w.startAll()
	w.run(3000)
	for _, f := range w.workers {
		f.spec.Draining = f.spec.Rack == "r2" || f.spec.Rack == "r3"
	}
	scattered := tasks(4, 1, 60000)
	scattered.RequireLabel, scattered.MaxPerWorker = "r1", 1
	w.submit("batch", "b", jobB, scattered)
	w.run(4000)
	w.submit("render", "a", jobA, gang(4, 8, 2000))
	w.run(4000 + reclaimMS)
	w.expectBegun(t, jobA, reclaimMS)
	w.expectKept(t)
}

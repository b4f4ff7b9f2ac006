package scheduler_test

import (
	"fmt"
	"testing"

	"daisyhead/internal/workload/describer"
)

// TestOverloadDelaysLargeJobs guards against an order that makes most jobs late because the
// capacity does not suffice for a few of them.
func TestOverloadDelaysLargeJobs(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.addWorkers(2, 4)
	sim.startAll()
	sim.run(3000)
	var small []string
	for n := range 120 {
		id := fmt.Sprintf("5a%014x", n)
		small = append(small, id)
		sim.after(int64(n)*150, func() { sim.submit("render", "a", id, independentTasks(4, 1, 1500)) })
		if n%15 == 0 {
			sim.after(int64(n)*150, func() {
				sim.submit("render", "a", fmt.Sprintf("1a%014x", n), independentTasks(96, 1, 4000))
			})
		}
	}
	sim.run(60_000)
	inTime := 0
	for _, id := range small {
		job := sim.checker.jobs[id]
		if end := sim.endOf(id); end > 0 && end <= job.submittedMS+3*1500+1000 {
			inTime++
		}
	}
	if inTime < 100 {
		t.Errorf("%d of %d small jobs ended in time, want at least 100", inTime, len(small))
	}
	sim.expectNoViolations(t)
}

// endOf returns when the job was completed, or 0.
func (sim *simulation) endOf(id string) int64 {
	t, ok := sim.holder().model.Table.Lookup(id)
	if !ok || t.Outcome == nil {
		return 0
	}
	return t.Outcome.AtMS - wallStartMS
}

// TestPartlyDoneJobKeepsItsTime guards against the last step of a job being delayed as if all of
// the job were still to do.
func TestPartlyDoneJobKeepsItsTime(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.addWorkers(2, 4)
	sim.startAll()
	sim.run(3000)
	// The whole critical path has 3.1 s of slack, so after 4 s in the first step it could not
	// end in time any more. The last step could wait for 3.1 s.
	first, last := independentTasks(1, 1, 4000), independentTasks(1, 1, 200)
	last.After = []int{0}
	q := &sim.config.Queues[1]
	q.Stretch, q.ObjectiveMS = 1.5, 1000
	sim.config.BuildIndex()
	sim.submit("render", "a", jobA, first, last)
	for n := range 300 {
		sim.after(int64(n)*50, func() { sim.submit("render", "a", fmt.Sprintf("bb%014x", n), independentTasks(4, 1, 1500)) })
	}
	sim.run(20_000)
	job := sim.checker.jobs[jobA]
	if end := sim.endOf(jobA); end == 0 || end > job.submittedMS+7300 {
		t.Errorf("the job ended after %d ms, want at most 7300", end-job.submittedMS)
	}
}

// TestHolderLearnsEstimates guards against a critical path that stays too short although all
// tasks of a queue take three times as long as their callers estimate.
func TestHolderLearnsEstimates(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.addWorkers(2, 4)
	for _, f := range sim.workers {
		f.slowdown = 3
	}
	sim.startAll()
	sim.run(3000)
	for n := range 20 {
		steps := []describer.Step{independentTasks(4, 1, 2000), gangStep(2, 1, 2000)}
		sim.submit("batch", "b", fmt.Sprintf("ba%014x", n), steps[n%2])
	}
	sim.run(25_000)
	h := sim.holder().model
	// 20 steps count for 20 / (20 + 8) of the ratio, as a power.
	if got := h.EstimateFactorForTest("batch"); got < 2 || got > 3 {
		t.Errorf("factor %.2f for a queue with tasks that take 3 times as long, want 2 to 3", got)
	}
	if got := h.EstimateFactorForTest("render"); got != 1 {
		t.Errorf("factor %.2f for a queue without tasks, want 1", got)
	}
}

// TestWaitNamesPlaceInOrder guards against a wait for capacity whose place in the order, or the
// job before it, the log doesn't tell.
func TestWaitNamesPlaceInOrder(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.addWorkers(2, 4)
	sim.startAll()
	sim.run(3000)
	reports := sim.waitReports()
	for n := range 6 {
		sim.submit("render", "a", fmt.Sprintf("bb%014x", n), independentTasks(48, 1, 20_000))
	}
	sim.run(6500)
	named := 0
	for _, r := range *reports {
		position, ok := r["Position"].(int)
		after, _ := r["After"].(string)
		aheadMS, _ := r["AheadMS"].(int64)
		if !ok {
			continue
		}
		named++
		if position < 1 || position > 5 || after == "" || after == r["Job"] || aheadMS <= 0 || r["Class"] == "" {
			t.Errorf("a wait is reported as %v", r)
		}
	}
	if named == 0 {
		t.Errorf("none of %d reports names a place", len(*reports))
	}
}

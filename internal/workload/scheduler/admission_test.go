package scheduler_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/reducer"
	"daisyhead/internal/workload/scheduler"
)

// submitToHolder submits a job to the holder alone and returns its answer.
func (sim *simulation) submitToHolder(queue, workspace, id string, steps ...describer.Step) (answer scheduler.StoredCmd) {
	h := sim.holder()
	q, _ := sim.config.Queue(queue)
	j := describer.Job{ID: id, Workspace: workspace, Queue: queue, Spec: "x", Steps: steps}
	sim.checker.jobs[id] = &observedJob{steps: steps, submittedMS: sim.nowMS, queue: q, workspace: workspace}
	r := reducer.SubmissionRecord(reducer.Submission{Job: j, Queue: q, AcceptedMS: wallStartMS + sim.nowMS})
	for _, c := range h.model.Update(scheduler.Instant{MonoMS: h.monoMS(), WallMS: wallStartMS + sim.nowMS}, scheduler.StoreMsg{RequestID: 7, Record: r}) {
		if s, ok := c.(scheduler.StoredCmd); ok {
			answer = s
			continue
		}
		h.execute(c)
	}
	return answer
}

// TestHopelessJobIsRefused guards against jobs that are accepted although they can't end
// before they are worthless, and against a refusal of any other job.
func TestHopelessJobIsRefused(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.addWorkers(2, 4)
	sim.startAll()
	sim.run(9000)
	if got := sim.submitToHolder("render", "a", jobA, independentTasks(4, 1, 1500)); got.Result == scheduler.StoreRefused {
		t.Error("a job was refused although the fleet is idle")
	}
	for n := range 100 {
		sim.submit("render", "b", fmt.Sprintf("bb%014x", n), independentTasks(24, 1, 4000))
	}
	sim.run(9500)
	// There is capacity for one more such job in time, in place of others with less value.
	if got := sim.submitToHolder("render", "b", "cb00000000000000", independentTasks(96, 1, 4000)); got.Result == scheduler.StoreRefused {
		t.Error("a job that can end in time was refused")
	}
	var refusals []scheduler.StoreResult
	var lastMS int64
	for n := range 3 {
		got := sim.submitToHolder("render", "b", fmt.Sprintf("cc%014x", n), independentTasks(96, 1, 4000))
		refusals = append(refusals, got.Result)
		if got.RetryAfterMS < 1000 || got.RetryAfterMS > 30_000 || got.RetryAfterMS < 30_000 && got.RetryAfterMS <= lastMS {
			t.Errorf("retry after %d ms, then %d ms; want more each time, from 1000 to 30000", lastMS, got.RetryAfterMS)
		}
		lastMS = got.RetryAfterMS
	}
	if diff := cmp.Diff([]scheduler.StoreResult{scheduler.StoreRefused, scheduler.StoreRefused, scheduler.StoreRefused}, refusals); diff != "" {
		t.Errorf("results (-want +got):\n%s", diff)
	}
	for _, c := range []struct{ name, queue, id string }{
		{"urgent work within its guarantee", "urgent", "dd00000000000000"},
		{"a small job that goes before the others", "render", "dd00000000000001"},
	} {
		if got := sim.submitToHolder(c.queue, "a", c.id, independentTasks(1, 1, 1000)); got.Result == scheduler.StoreRefused {
			t.Errorf("%s: refused, %s", c.name, got.Reason)
		}
	}
}

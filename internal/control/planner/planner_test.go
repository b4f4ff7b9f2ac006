package planner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"daisyhead/internal/control/planner"
	"daisyhead/internal/entry/specifier"
	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/ledger/reducer"
)

// newSmallSimulator has two domains with one rack of two workers each. Workspace a
// is guaranteed one rack. Workspace b is guaranteed one worker and has a quota of
// 16 accelerators.
func newSmallSimulator() *simulator {
	t := specifier.Ticket{Number: 1, Operator: "op", Workspaces: []specifier.Workspace{
		{Name: "a", Guarantees: []specifier.Guarantee{{Name: "rack", Tasks: 2, Accelerators: 8, Within: specifier.WithinRack, Count: 1}}},
		{Name: "b", QuotaAccelerators: 16, Guarantees: []specifier.Guarantee{{Name: "one", Tasks: 1, Accelerators: 8, Within: specifier.WithinWorker, Count: 1}}},
		{Name: "c"},
	}}
	for d := range 2 {
		domain := fmt.Sprintf("d%d", d)
		t.Domains = append(t.Domains, specifier.Domain{Name: domain, Region: "r", State: specifier.DomainIn})
		g := specifier.WorkerGroup{Name: domain, Domain: domain, Rack: domain}
		for w := range 2 {
			g.Workers = append(g.Workers, specifier.Worker{Name: fmt.Sprintf("%s-w%d", domain, w), Address: fmt.Sprintf("10.0.%d.%d:1", d, w+1), Processors: 8, MemoryMB: 8000, Accelerators: 8})
		}
		t.WorkerGroups = append(t.WorkerGroups, g)
	}
	return newSimulator(workload{fleet: t, badWorkers: map[string]bool{}}, planner.Plan)
}

// submitJob submits a job whose tasks take a whole worker each, and returns its ID.
func (sim *simulator) submitJob(name, workspace string, tasks int, change func(*specifier.Job)) string {
	j := specifier.Job{Key: name, Name: name, Workspace: workspace, Tasks: tasks, Processors: 8, MemoryMB: 8000, Accelerators: 8, Within: specifier.WithinRack, RunTime: specifier.Duration(time.Hour)}
	if change != nil {
		change(&j)
	}
	sim.submit(jobArrival{actualRunMS: 1 << 40, spec: j.Normalize()})
	return j.ID()
}

// planSummary makes a planning pass and returns its decisions as text.
func (sim *simulator) planSummary() []string {
	x := planner.Plan(planner.Input{State: sim.state, NowMS: sim.nowMS, Ready: sim.ready(), Holds: sim.holds})
	name := func(id string) string { return sim.state.Jobs[id].Spec.Name }
	var lines []string
	for _, s := range x.Starts {
		lines = append(lines, fmt.Sprintf("start %s claim=%s on %s", name(s.Job), s.Claim, s.Placements[0].Worker))
	}
	for _, s := range x.Stops {
		lines = append(lines, fmt.Sprintf("stop %s %s", name(s.Job), s.Cause))
	}
	for _, r := range x.Refusals {
		lines = append(lines, "refuse "+name(r.Job))
	}
	for _, w := range x.WaitReasons {
		lines = append(lines, fmt.Sprintf("note %s: %s", name(w.Job), w.Reason))
	}
	return lines
}

func nonIdempotent(j *specifier.Job)  { j.NonIdempotent = true }
func checkpointable(j *specifier.Job) { j.Checkpointable = true }

// TestPlan sets up a small fleet and checks the decisions of the next pass.
func TestPlan(t *testing.T) {
	tests := []struct {
		name  string
		setup func(sim *simulator)
		want  []string
	}{
		{"non-idempotent work is not placed on workers that guarantees need", func(sim *simulator) {
			sim.submitJob("x", "c", 1, nonIdempotent)
			sim.step()
			sim.submitJob("y", "c", 1, nonIdempotent)
		}, []string{"note y: free workers are kept for guarantees, and this job could not be stopped for them: 1 x 8 accelerators, 8 processors and 8000 MB within Rack"}},
		{"a claim stops the borrower that loses the least work", func(sim *simulator) {
			sim.submitJob("old", "c", 2, nil)
			sim.step()
			sim.nowMS += 60000
			sim.submitJob("young", "c", 2, nil)
			sim.step()
			sim.nowMS += 1000
			sim.submitJob("claim", "a", 2, nil)
		}, []string{"stop young Reclaim", "note claim: borrowed workers are being reclaimed for guarantee rack#0"}},
		{"urgent work stops borrowers without waiting for a checkpoint", func(sim *simulator) {
			for n := range 4 {
				sim.submitJob(fmt.Sprint("x", n), "c", 1, checkpointable)
			}
			sim.step()
			sim.nowMS += 1000
			sim.submitJob("now", "b", 1, func(j *specifier.Job) { j.Urgent = true })
		}, []string{"stop x2 Urgent", "note now: borrowed workers are being reclaimed for guarantee one#0"}},
		{"a claim stops borrowers of its own workspace when the quota is used up", func(sim *simulator) {
			sim.applyInTerm(encoder.Entry{TicketReceived: &encoder.TicketReceived{ConfigOffset: sim.state.ConfigNext, Ticket: specifier.Ticket{
				Number: 5, Operator: "op", Workspaces: []specifier.Workspace{{Name: "a"}},
			}}})
			sim.submitJob("own", "b", 2, nil)
			sim.step()
			sim.nowMS += 1000
			sim.submitJob("claim", "b", 1, nil)
		}, []string{"stop own Reclaim", "note claim: borrowed work of the same workspace is being stopped, since its quota is used up"}},
		{"a job avoids the worker on which it failed", func(sim *simulator) {
			id := sim.submitJob("x", "c", 1, nil)
			sim.step()
			a := sim.running[id]
			if a.places[0].Worker != "d1-w1" {
				panic("the first attempt is on " + a.places[0].Worker)
			}
			sim.end(id, a.number, encoder.ResultFailed, a.places[0].Worker, false)
		}, []string{"start x claim= on d0-w0"}},
		{"non-idempotent work returns to workers whose last failure is old", func(sim *simulator) {
			for n, worker := range []string{"d0-w0", "d0-w1", "d1-w0", "d1-w1"} {
				id := sim.submitJob(fmt.Sprint("bad", n), "c", 1, nil)
				sim.applyInTerm(encoder.Entry{AttemptCommitted: &encoder.AttemptCommitted{ID: id, Attempt: 1, Placements: []encoder.Placement{{Worker: worker, Tasks: 1}}}})
				sim.applyInTerm(encoder.Entry{AttemptEnded: &encoder.AttemptEnded{ID: id, Attempt: 1, Result: encoder.ResultFailed, Worker: worker}})
				sim.cancel(id)
			}
			sim.nowMS += planner.AvoidAfterFailureMS
			sim.submitJob("x", "c", 1, nonIdempotent)
		}, []string{"start x claim= on d1-w1"}},
		{"checkpointable work leaves an out-of-service domain as soon as it fits elsewhere", func(sim *simulator) {
			sim.submitJob("x", "c", 1, checkpointable)
			sim.submitJob("y", "c", 1, nil)
			sim.step()
			sim.setDomain("d1", 2, specifier.DomainOut, time.Minute)
		}, []string{"stop x Drain"}},
		{"other work is stopped at the deadline of an out-of-service domain", func(sim *simulator) {
			sim.submitJob("x", "c", 1, nil)
			sim.step()
			sim.setDomain("d1", 2, specifier.DomainOut, time.Minute)
			sim.nowMS += 60000
		}, []string{"stop x Drain"}},
		{"an unchanged reason is not noted again", func(sim *simulator) {
			for n := range 4 {
				sim.submitJob(fmt.Sprint("x", n), "c", 1, nil)
			}
			sim.step()
			id := sim.submitJob("y", "c", 2, nil)
			sim.applyInTerm(encoder.Entry{JobNoted: &encoder.JobNoted{ID: id, Reason: "no place is free for 2 x 8 accelerators, 8 processors and 8000 MB within Rack"}})
		}, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			sim := newSmallSimulator()
			test.setup(sim)
			if diff := cmp.Diff(test.want, sim.planSummary()); diff != "" {
				t.Errorf("decisions differ (-want +got):\n%s", diff)
				for _, id := range reducer.SortedKeys(sim.state.Jobs) {
					t.Log(sim.state.Jobs[id].Spec.Name, sim.state.Jobs[id].Status, sim.running[id].places)
				}
			}
			if len(sim.monitor.violations) > 0 {
				t.Errorf("violations: %v", sim.monitor.violations)
			}
		})
	}
}

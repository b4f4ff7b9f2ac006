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

// small is a fleet of two domains with a rack of two workers each. Workspace a
// is guaranteed one rack, workspace b has a quota of 16 and one worker.
func small() *driver {
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
	return newDriver(workload{fleet: t, bad: map[string]bool{}}, planner.Plan)
}

// add submits a job of whole workers and returns its ID.
func (d *driver) add(name, workspace string, tasks int, change func(*specifier.Job)) string {
	j := specifier.Job{Key: name, Name: name, Workspace: workspace, Tasks: tasks, Processors: 8, MemoryMB: 8000, Accelerators: 8, Within: specifier.WithinRack, RunTime: specifier.Duration(time.Hour)}
	if change != nil {
		change(&j)
	}
	d.submit(plannedJob{trueMS: 1 << 40, spec: j.Normalize()})
	return j.ID()
}

// summary names what a pass decided, by the names of the jobs.
func (d *driver) summary() []string {
	x := planner.Plan(planner.Input{State: d.s, NowMS: d.nowMS, Ready: d.ready(), Holds: d.holds})
	name := func(id string) string { return d.s.Jobs[id].Spec.Name }
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
	for _, n := range x.Notes {
		lines = append(lines, fmt.Sprintf("note %s: %s", name(n.Job), n.Reason))
	}
	return lines
}

func once(j *specifier.Job)  { j.NonIdempotent = true }
func saved(j *specifier.Job) { j.Checkpointable = true }

func TestPlan(t *testing.T) {
	tests := []struct {
		name  string
		setup func(d *driver)
		want  []string
	}{
		{"work that may run only once stays off what guarantees need", func(d *driver) {
			d.add("x", "c", 1, once)
			d.step()
			d.add("y", "c", 1, once)
		}, []string{"note y: free workers are kept for guarantees, and this job could not be stopped for them: 1 x 8 accelerators, 8 processors and 8000 MB within Rack"}},
		{"a claim stops the borrower with the least to lose", func(d *driver) {
			d.add("old", "c", 2, nil)
			d.step()
			d.nowMS += 60000
			d.add("young", "c", 2, nil)
			d.step()
			d.nowMS += 1000
			d.add("claim", "a", 2, nil)
		}, []string{"stop young Reclaim", "note claim: borrowed workers are being reclaimed for guarantee rack#0"}},
		{"urgent work waits for no checkpoint", func(d *driver) {
			for n := range 4 {
				d.add(fmt.Sprint("x", n), "c", 1, saved)
			}
			d.step()
			d.nowMS += 1000
			d.add("now", "b", 1, func(j *specifier.Job) { j.Urgent = true })
		}, []string{"stop x2 Urgent", "note now: borrowed workers are being reclaimed for guarantee one#0"}},
		{"a claim goes past its own workspace's borrowers", func(d *driver) {
			d.decide(encoder.Entry{TicketReceived: &encoder.TicketReceived{ConfigOffset: d.s.ConfigNext, Ticket: specifier.Ticket{
				Number: 5, Operator: "op", Workspaces: []specifier.Workspace{{Name: "a"}},
			}}})
			d.add("own", "b", 2, nil)
			d.step()
			d.nowMS += 1000
			d.add("claim", "b", 1, nil)
		}, []string{"stop own Reclaim", "note claim: borrowed work of the same workspace is being stopped, since its quota is used up"}},
		{"a job keeps away from the worker where it failed", func(d *driver) {
			id := d.add("x", "c", 1, nil)
			d.step()
			a := d.active[id]
			if a.places[0].Worker != "d1-w1" {
				panic("the first attempt is on " + a.places[0].Worker)
			}
			d.end(id, a.number, encoder.ResultFailed, a.places[0].Worker, false)
		}, []string{"start x claim= on d0-w0"}},
		{"work that may run only once returns to workers whose failure is long past", func(d *driver) {
			for n, worker := range []string{"d0-w0", "d0-w1", "d1-w0", "d1-w1"} {
				id := d.add(fmt.Sprint("bad", n), "c", 1, nil)
				d.decide(encoder.Entry{AttemptCommitted: &encoder.AttemptCommitted{ID: id, Attempt: 1, Placements: []encoder.Placement{{Worker: worker, Tasks: 1}}}})
				d.decide(encoder.Entry{AttemptEnded: &encoder.AttemptEnded{ID: id, Attempt: 1, Result: encoder.ResultFailed, Worker: worker}})
				d.cancel(id)
			}
			d.nowMS += planner.DoubtMS
			d.add("x", "c", 1, once)
		}, []string{"start x claim= on d1-w1"}},
		{"work moves out of a domain that is out as soon as it has a place", func(d *driver) {
			d.add("x", "c", 1, saved)
			d.add("y", "c", 1, nil)
			d.step()
			d.setDomain("d1", 2, specifier.DomainOut, time.Minute)
		}, []string{"stop x Drain"}},
		{"what can't move is stopped at the domain's last moment", func(d *driver) {
			d.add("x", "c", 1, nil)
			d.step()
			d.setDomain("d1", 2, specifier.DomainOut, time.Minute)
			d.nowMS += 60000
		}, []string{"stop x Drain"}},
		{"a reason that is known already is not noted again", func(d *driver) {
			for n := range 4 {
				d.add(fmt.Sprint("x", n), "c", 1, nil)
			}
			d.step()
			id := d.add("y", "c", 2, nil)
			d.decide(encoder.Entry{JobNoted: &encoder.JobNoted{ID: id, Reason: "no place is free for 2 x 8 accelerators, 8 processors and 8000 MB within Rack"}})
		}, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := small()
			test.setup(d)
			if diff := cmp.Diff(test.want, d.summary()); diff != "" {
				t.Errorf("decisions differ (-want +got):\n%s", diff)
				for _, id := range reducer.SortedKeys(d.s.Jobs) {
					t.Log(d.s.Jobs[id].Spec.Name, d.s.Jobs[id].Status, d.active[id].places)
				}
			}
			if len(d.watch.violations) > 0 {
				t.Errorf("violations: %v", d.watch.violations)
			}
		})
	}
}

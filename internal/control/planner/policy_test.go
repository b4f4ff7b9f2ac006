package planner_test

import (
	"slices"
	"testing"

	"daisyhead/internal/control/placer"
	"daisyhead/internal/control/planner"
	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/ledger/reducer"
)

// firstComeFirstServed is the baseline policy: first come, first served with first
// fit and no preemption. The head of the queue blocks the other jobs.
func firstComeFirstServed(in planner.Input) planner.Decision {
	var d planner.Decision
	f := in.State.Fleet()
	free, closed := f.Totals(), in.State.NodesOutOfService(f)
	for i, n := range f.Nodes {
		health := in.State.Workers[n.Worker]
		closed[i] = closed[i] || !in.Ready[n.Worker] || health.UntilMS > in.NowMS
	}
	var waiting []*reducer.Job
	for _, id := range reducer.SortedKeys(in.State.Jobs) {
		j := in.State.Jobs[id]
		if a := j.ActiveAttempt(); a != nil {
			for _, p := range a.Placements {
				i := f.Index(p.Worker)
				free[i] = free[i].Minus(placer.ForJob(j.Spec).PerTask.Times(p.Tasks))
			}
		}
		if j.Status == reducer.JobWaiting {
			waiting = append(waiting, j)
		}
	}
	slices.SortStableFunc(waiting, func(a, b *reducer.Job) int { return int(a.SubmittedMS - b.SubmittedMS) })
	for _, j := range waiting {
		if reason := in.State.UnschedulableReason(j); reason != "" {
			d.Refusals = append(d.Refusals, planner.Refusal{Job: j.ID, Reason: reason})
			continue
		}
		places := firstFit(f, free, closed, j)
		if places == nil {
			return d
		}
		free.Allocate(places)
		s := planner.Start{Job: j.ID, Attempt: j.LastAttempt + 1}
		for _, p := range places {
			s.Placements = append(s.Placements, encoder.Placement{Worker: f.Nodes[p.Node].Worker, Tasks: p.Tasks})
		}
		d.Starts = append(d.Starts, s)
	}
	return d
}

// firstFit returns the first nodes of the first adjacency group that holds the gang.
func firstFit(f *placer.Fleet, free placer.Free, closed []bool, j *reducer.Job) []placer.NodeTasks {
	perTask := placer.ForJob(j.Spec).PerTask
	for first := range f.Nodes {
		var places []placer.NodeTasks
		left := j.Spec.Tasks
		for i, inGroup := range f.SameGroup(first, j.Spec.Within) {
			if !inGroup || closed[i] {
				continue
			}
			fit := 0
			for remaining := free[i].Minus(perTask); fit < left && remaining.Processors >= 0 && remaining.MemoryMB >= 0 && remaining.Accelerators >= 0; remaining = remaining.Minus(perTask) {
				fit++
			}
			if fit > 0 {
				places = append(places, placer.NodeTasks{Node: i, Tasks: fit, PerTask: perTask})
				left -= fit
			}
		}
		if left == 0 {
			return places
		}
	}
	return nil
}

// result holds the measurements of one simulation.
type result struct {
	slowdowns, urgentS, reclaimS []float64
	makespanS                    float64
	unfinished                   int
	monitor                      *monitor
}

// simulate runs a workload under a policy and returns the measurements.
func simulate(w workload, p policy) result {
	sim := newSimulator(w, p)
	begin := sim.nowMS
	sim.run()
	r := result{monitor: sim.monitor}
	for _, id := range reducer.SortedKeys(sim.state.Jobs) {
		r.add(sim, sim.state.Jobs[id], begin)
	}
	return r
}

// add adds the measurements of one job.
func (r *result) add(sim *simulator, j *reducer.Job, begin int64) {
	if !j.Status.Terminal() {
		r.unfinished++
	}
	if started, ok := sim.monitor.startedMS[j.ID]; ok {
		wait := float64(started-j.SubmittedMS) / 1000
		if j.Spec.Urgent {
			r.urgentS = append(r.urgentS, wait)
		}
		if len(j.Attempts) > 0 && j.Attempts[0].Claim != "" {
			r.reclaimS = append(r.reclaimS, wait)
		}
	}
	if j.Status == reducer.JobFinished {
		r.slowdowns = append(r.slowdowns, float64(j.EndedMS-j.SubmittedMS)/float64(max(sim.actualRunMS[j.ID], 10000)))
		r.makespanS = max(r.makespanS, float64(j.EndedMS-begin)/1000)
	}
}

func mean(list []float64) float64 {
	if len(list) == 0 {
		return 0
	}
	sum := 0.0
	for _, x := range list {
		sum += x
	}
	return sum / float64(len(list))
}

// percentile returns the given quantile of the list, with p from 0 to 1.
func percentile(list []float64, p float64) float64 {
	if len(list) == 0 {
		return 0
	}
	list = slices.Sorted(slices.Values(list))
	return list[min(int(p*float64(len(list))), len(list)-1)]
}

// policySeeds are the seeds of the workloads on which policies are compared.
var policySeeds = []uint64{1, 2, 3, 4, 5}

// BenchmarkPolicy compares the planner with the baseline on each site.
func BenchmarkPolicy(b *testing.B) {
	policies := []struct {
		name string
		run  policy
	}{{"baseline", firstComeFirstServed}, {"daisyhead", planner.Plan}}
	for _, s := range sites {
		for _, p := range policies {
			b.Run(s.name+"/"+p.name, func(b *testing.B) {
				for range b.N {
					reportPolicy(b, s, p.run)
				}
			})
		}
	}
}

// reportPolicy simulates a policy on all seeds and reports the means.
func reportPolicy(b *testing.B, s site, p policy) {
	var slowdowns, p99, makespan, fragmentation, domain, lost, urgent, reclaim []float64
	violations, open := 0, 0
	for _, seed := range policySeeds {
		r := simulate(s.generate(seed), p)
		slowdowns = append(slowdowns, mean(r.slowdowns))
		p99 = append(p99, percentile(r.slowdowns, 0.99))
		makespan = append(makespan, r.makespanS)
		fragmentation = append(fragmentation, 100*r.monitor.weightedFragmentation/max(r.monitor.fragmentationMS, 1))
		domain = append(domain, 100*r.monitor.outageDoneMS/max(r.monitor.outageAllowedMS, 1))
		lost = append(lost, 100*r.monitor.lostMS/max(r.monitor.ranMS, 1))
		urgent = append(urgent, percentile(r.urgentS, 0.99))
		reclaim = append(reclaim, mean(r.reclaimS))
		violations += len(r.monitor.violations)
		open += r.unfinished
		for _, v := range r.monitor.violations[:min(3, len(r.monitor.violations))] {
			b.Log(v)
		}
	}
	for _, m := range []struct {
		unit  string
		value float64
	}{
		{"meanSlowdown", mean(slowdowns)}, {"p99Slowdown", mean(p99)}, {"makespanS", mean(makespan)}, {"fragPct", mean(fragmentation)},
		{"domainWorkPct", mean(domain)}, {"lostWorkPct", mean(lost)}, {"urgentStartS", mean(urgent)}, {"reclaimS", mean(reclaim)},
		{"violations", float64(violations)}, {"openJobs", float64(open)},
	} {
		b.ReportMetric(m.value, m.unit)
	}
}

// TestPolicyKeepsInvariants simulates one workload of each small site. All jobs
// have to end, and the monitor must find no violation.
func TestPolicyKeepsInvariants(t *testing.T) {
	for _, s := range sites[:2] {
		t.Run(s.name, func(t *testing.T) {
			r := simulate(s.generate(1), planner.Plan)
			if len(r.monitor.violations) > 0 || r.unfinished > 0 {
				t.Errorf("%d jobs unfinished, violations: %v", r.unfinished, r.monitor.violations)
			}
			if len(r.slowdowns) == 0 {
				t.Error("no job finished")
			}
		})
	}
}

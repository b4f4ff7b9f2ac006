package planner_test

import (
	"slices"
	"testing"

	"daisyhead/internal/control/placer"
	"daisyhead/internal/control/planner"
	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/ledger/reducer"
)

// baseline is first come, first served, first fit, with no reclaim: the head
// of the queue blocks the others.
func baseline(in planner.Input) planner.Decision {
	var d planner.Decision
	f := in.State.Fleet()
	free, closed := f.Totals(), in.State.ClosedNodes(f)
	for i, n := range f.Nodes {
		h := in.State.Workers[n.Worker]
		closed[i] = closed[i] || !in.Ready[n.Worker] || h.UntilMS > in.NowMS
	}
	var waiting []*reducer.Job
	for _, id := range reducer.SortedKeys(in.State.Jobs) {
		j := in.State.Jobs[id]
		if a := j.Active(); a != nil {
			for _, p := range a.Placements {
				i := f.Index(p.Worker)
				free[i] = free[i].Minus(placer.ForJob(j.Spec).Each.Times(p.Tasks))
			}
		}
		if j.Status == reducer.JobWaiting {
			waiting = append(waiting, j)
		}
	}
	slices.SortStableFunc(waiting, func(a, b *reducer.Job) int { return int(a.SubmittedMS - b.SubmittedMS) })
	for _, j := range waiting {
		if reason := in.State.NeverFits(j); reason != "" {
			d.Refusals = append(d.Refusals, planner.Refusal{Job: j.ID, Reason: reason})
			continue
		}
		places := firstFit(f, free, closed, j)
		if places == nil {
			return d
		}
		free.Take(places)
		s := planner.Start{Job: j.ID, Attempt: j.LastAttempt + 1}
		for _, p := range places {
			s.Placements = append(s.Placements, encoder.Placement{Worker: f.Nodes[p.Node].Worker, Tasks: p.Tasks})
		}
		d.Starts = append(d.Starts, s)
	}
	return d
}

// firstFit takes the first nodes of the first group that holds the gang.
func firstFit(f *placer.Fleet, free placer.Free, closed []bool, j *reducer.Job) []placer.Place {
	each := placer.ForJob(j.Spec).Each
	for first := range f.Nodes {
		var places []placer.Place
		left := j.Spec.Tasks
		for i, near := range f.Near(first, j.Spec.Within) {
			if !near || closed[i] {
				continue
			}
			fit := 0
			for room := free[i].Minus(each); fit < left && room.Processors >= 0 && room.MemoryMB >= 0 && room.Accelerators >= 0; room = room.Minus(each) {
				fit++
			}
			if fit > 0 {
				places = append(places, placer.Place{Node: i, Tasks: fit, Each: each})
				left -= fit
			}
		}
		if left == 0 {
			return places
		}
	}
	return nil
}

// result holds the measures of one run.
type result struct {
	slowdowns, urgentS, reclaimS []float64
	makespanS                    float64
	open                         int
	w                            *watcher
}

func simulate(w workload, p policy) result {
	d := newDriver(w, p)
	begin := d.nowMS
	d.run()
	r := result{w: d.watch}
	for _, id := range reducer.SortedKeys(d.s.Jobs) {
		r.add(d, d.s.Jobs[id], begin)
	}
	return r
}

func (r *result) add(d *driver, j *reducer.Job, begin int64) {
	if !j.Status.Final() {
		r.open++
	}
	if started, ok := d.watch.startedMS[j.ID]; ok {
		wait := float64(started-j.SubmittedMS) / 1000
		if j.Spec.Urgent {
			r.urgentS = append(r.urgentS, wait)
		}
		if len(j.Attempts) > 0 && j.Attempts[0].Claim != "" {
			r.reclaimS = append(r.reclaimS, wait)
		}
	}
	if j.Status == reducer.JobFinished {
		r.slowdowns = append(r.slowdowns, float64(j.EndedMS-j.SubmittedMS)/float64(max(d.trueMS[j.ID], 10000)))
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

func percentile(list []float64, p float64) float64 {
	if len(list) == 0 {
		return 0
	}
	list = slices.Sorted(slices.Values(list))
	return list[min(int(p*float64(len(list))), len(list)-1)]
}

// policySeeds are the days on which policies are compared.
var policySeeds = []uint64{1, 2, 3, 4, 5}

func BenchmarkPolicy(b *testing.B) {
	policies := []struct {
		name string
		run  policy
	}{{"baseline", baseline}, {"daisyhead", planner.Plan}}
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

// reportPolicy reports the means over all seeds.
func reportPolicy(b *testing.B, s site, p policy) {
	var slow, p99, makespan, frag, domain, lost, urgent, reclaim []float64
	violations, open := 0, 0
	for _, seed := range policySeeds {
		r := simulate(s.draw(seed), p)
		slow = append(slow, mean(r.slowdowns))
		p99 = append(p99, percentile(r.slowdowns, 0.99))
		makespan = append(makespan, r.makespanS)
		frag = append(frag, 100*r.w.fragSum/max(r.w.fragTime, 1))
		domain = append(domain, 100*r.w.doneInOut/max(r.w.allowed, 1))
		lost = append(lost, 100*r.w.lost/max(r.w.ran, 1))
		urgent = append(urgent, percentile(r.urgentS, 0.99))
		reclaim = append(reclaim, mean(r.reclaimS))
		violations += len(r.w.violations)
		open += r.open
		for _, v := range r.w.violations[:min(3, len(r.w.violations))] {
			b.Log(v)
		}
	}
	for _, m := range []struct {
		unit  string
		value float64
	}{
		{"meanSlowdown", mean(slow)}, {"p99Slowdown", mean(p99)}, {"makespanS", mean(makespan)}, {"fragPct", mean(frag)},
		{"domainWorkPct", mean(domain)}, {"lostWorkPct", mean(lost)}, {"urgentStartS", mean(urgent)}, {"reclaimS", mean(reclaim)},
		{"violations", float64(violations)}, {"openJobs", float64(open)},
	} {
		b.ReportMetric(m.value, m.unit)
	}
}

// TestPolicyKeepsPromises plays one day of each small site and holds the
// watcher's count of violations at zero.
func TestPolicyKeepsPromises(t *testing.T) {
	for _, s := range sites[:2] {
		t.Run(s.name, func(t *testing.T) {
			r := simulate(s.draw(1), planner.Plan)
			if len(r.w.violations) > 0 || r.open > 0 {
				t.Errorf("%d jobs open, violations: %v", r.open, r.w.violations)
			}
			if len(r.slowdowns) == 0 {
				t.Error("no job finished")
			}
		})
	}
}

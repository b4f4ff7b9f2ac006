package scheduler_test

import (
	"fmt"
	"slices"
	"testing"

	"daisyhead/internal/workload/accountant"
	"daisyhead/internal/workload/describer"
)

const (
	// idleCheckMS is the interval of the check for jobs that could run and don't.
	idleCheckMS = 100
	// perpetualRestartMS is the time after which a perpetual task that has ended counts as
	// waiting.
	perpetualRestartMS = 6000
)

// checkIdleWaits checks from now on that no job waits while it could run: it must not have
// a step that is ready and no task running for idleStartTargetMS, while the step fits twice
// over on usable workers and less than half of the service's capacity is in use. For
// perpetual tasks that holds however full the service is, from perpetualRestartMS after
// the last run of the step.
func (sim *simulation) checkIdleWaits() {
	sinceMS := map[string]int64{}
	var check func()
	check = func() {
		for id, job := range sim.checker.jobs {
			for k, s := range job.steps {
				key := fmt.Sprintf("%s.%d", id, k)
				if !sim.waitsIdle(id, k, s) {
					delete(sinceMS, key)
					continue
				}
				if _, ok := sinceMS[key]; !ok {
					sinceMS[key] = sim.nowMS
				}
				if sim.nowMS-sinceMS[key] == idleStartTargetMS {
					sim.checker.addViolation("at %d ms: step %s could run and has not for %d ms: %s of %+v", sim.nowMS, key, idleStartTargetMS, job.queue.Name, s)
				}
			}
		}
		sim.after(idleCheckMS, check)
	}
	check()
}

// waitsIdle reports whether a step is ready and could run, and its job has nothing running.
func (sim *simulation) waitsIdle(id string, k int, s describer.Step) bool {
	job := sim.checker.jobs[id]
	if h := sim.holder(); h != nil {
		if j, ok := h.model.Table.Lookup(id); ok && j.Outcome != nil {
			return false
		}
	}
	if s.Perpetual && sim.nowMS < job.lastEndMS+perpetualRestartMS {
		return false
	}
	if job.fails || job.cancelledMS > 0 || sim.checker.stepDone(id, k) {
		return false
	}
	for _, a := range s.After {
		if !sim.checker.stepDone(id, a) {
			return false
		}
	}
	if !sim.underHalfOfLimit(job.workspace, s) {
		return false
	}
	fitting, onStep := 0, 0
	var used, room describer.Resources
	for _, f := range sim.workers {
		if f.spec.Service != job.queue.Service {
			continue
		}
		var usedHere describer.Resources
		tasksHere := 0
		for _, r := range f.runs {
			usedHere = usedHere.Add(sim.checker.step(r.ref).Reserved())
			switch {
			case r.ref.Unit.Job != id:
			case !s.Perpetual:
				return false
			case r.ref.Unit.Step == k:
				tasksHere++
			}
		}
		onStep += tasksHere
		if f.down || f.unreachable || f.unlisted || f.spec.Draining || sim.config.Closed[f.spec.Domain] {
			continue
		}
		used, room = used.Add(usedHere), room.Add(f.spec.Room)
		if s.RequireLabel != "" && !slices.Contains(f.spec.Labels, s.RequireLabel) || job.queue.Advised && !sim.permittedWorkers[f.id] {
			continue
		}
		tasks := tasksThatFit(f.spec.Room.Sub(usedHere), s.Reserved())
		if s.MaxPerWorker > 0 {
			tasks = min(tasks, s.MaxPerWorker-tasksHere)
		}
		fitting += max(tasks, 0)
	}
	want := 1
	if s.Gang {
		want = s.Count
	}
	if fitting < 2*want || onStep >= s.Count {
		return false
	}
	return s.Perpetual || sim.underHalf(used, room)
}

// underHalfOfLimit reports whether the workspace uses less than half of its limit, and a unit of the
// step needs no more than the other half.
func (sim *simulation) underHalfOfLimit(workspace string, s describer.Step) bool {
	w, _ := sim.config.Workspace(workspace)
	used, need := sim.runningIn(workspace), accountant.UnitNeed(s)
	return !slices.ContainsFunc(accountant.Resources, func(r accountant.Resource) bool {
		maximum := r.Of(w.Maximum)
		return maximum > 0 && (2*r.Of(used) >= maximum || 2*r.Of(need) > maximum)
	})
}

// tasksThatFit returns how many tasks fit into the free resources.
func tasksThatFit(free, need describer.Resources) (count int) {
	for count < 64 && free.Fits(need) {
		free = free.Sub(need)
		count++
	}
	return count
}

// underHalf reports whether less than half is in use of each resource, or of any while no
// urgent jobs come. The platform was seen to count a service as idle in which most of the
// accelerators were in use, but only after the end of the traffic.
func (sim *simulation) underHalf(used, room describer.Resources) bool {
	cpu, memory, accelerators := 2*used.CPU < room.CPU, 2*used.MemoryMB < room.MemoryMB, 2*used.Accelerators < room.Accelerators
	for _, job := range sim.checker.jobs {
		if job.queue.Priority == 0 && sim.nowMS-job.submittedMS <= idleCheckMS {
			return cpu && memory && accelerators
		}
	}
	return cpu || memory || accelerators
}

// TestIdleFleetStartsWhatFits runs random jobs beside long tasks in fleets of which a part
// is closed or fails. No job may wait for seconds while it could run.
func TestIdleFleetStartsWhatFits(t *testing.T) {
	for n := range *seedCount {
		seed := *firstSeed + n
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			runIdleFleet(t, seed)
		})
	}
}

// TestIdleFleetOfFoundSeeds guards against the waits that the search has found while the
// preferences were being bounded in time: labels of workers in quarantine, permits that
// expire during the wait, tasks that fail and take the place of others for a moment.
func TestIdleFleetOfFoundSeeds(t *testing.T) {
	for _, seed := range []uint64{56, 127, 134, 189, 215, 272, 379, 452, 459} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			runIdleFleet(t, seed)
		})
	}
}

func runIdleFleet(t *testing.T, seed uint64) {
	sim := newSimulation(t, seed, 1)
	sim.addWorkers(2+sim.rng.IntN(4), 2+sim.rng.IntN(5))
	sim.permittedWorkers = map[string]bool{}
	for _, id := range sim.workerIDs {
		f := sim.workers[id]
		sim.permittedWorkers[id] = true
		switch sim.rng.IntN(15) {
		case 0:
			f.spec.Draining, f.spec.RemainingMS = true, 60000
		case 1:
			f.fails = true
		}
	}
	sim.config.Workspaces[0].GuaranteedAccelerators = 16 * sim.rng.IntN(2)
	if seed%2 == 1 {
		// Half of the seeds have limits, which are random without changing the rest of the seed.
		sim.config.Workspaces[0].Maximum.Accelerators = 8 + sim.platformRNG.IntN(60)
		sim.config.Workspaces[1].Maximum.Accelerators = 8 + sim.platformRNG.IntN(60)
		sim.checker.limits.replace(0, sim.config)
	}
	reports := sim.waitReports()
	sim.startAll()
	sim.run(3000)
	sim.checkIdleWaits()
	for n := range 25 {
		id := fmt.Sprintf("%016x", n+1)
		sim.after(sim.rng.Int64N(20000), func() { sim.submitIdleFleetJob(id) })
	}
	sim.run(45000)
	sim.expectNoViolations(t)
	if t.Failed() {
		for _, r := range *reports {
			t.Log(r)
		}
	}
}

// submitIdleFleetJob submits a random job, some of which run for very long.
func (sim *simulation) submitIdleFleetJob(id string) {
	s := describer.Step{
		Count: 1 + sim.rng.IntN(6), EstimateMS: 1000 + sim.rng.Int64N(4000),
		Need: describer.Resources{CPU: 1000 * (1 + sim.rng.IntN(30)), MemoryMB: 1000 * (1 + sim.rng.IntN(70)), Accelerators: 1 << sim.rng.IntN(4)},
	}
	queue := []string{"urgent", "render", "advised", "batch"}[sim.rng.IntN(4)]
	switch sim.rng.IntN(5) {
	case 0:
		s.Gang = true
	case 1, 2:
		s.Gang, s.SameRack = true, true
	case 3:
		s.Need.Accelerators, s.MaxPerWorker = 1, 1+sim.rng.IntN(2)
	}
	if sim.rng.IntN(6) == 0 {
		s.RequireLabel = "r1"
	}
	if queue != "urgent" && sim.rng.IntN(3) == 0 {
		s.EstimateMS = 60000
		s.Perpetual = !s.Gang && sim.rng.IntN(2) == 0
	}
	sim.submit(queue, []string{"a", "b"}[sim.rng.IntN(2)], id, s)
}

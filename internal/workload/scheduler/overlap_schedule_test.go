package scheduler_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"daisyhead/internal/workload/describer"
)

// mix selects the faults of an overlap schedule.
type mix struct {
	name string
	// lateOrders and lateHolds are the fractions that are executed late.
	lateOrders, lateHolds float64
	// lostOrders is the fraction of orders whose answers are lost all along.
	lostOrders float64
	// restarts lets workers restart under their own IDs, which takes up to maxRestartMS;
	// replacements under other IDs.
	restarts, replacements bool
	maxRestartMS           int64
	// totalLoss restarts all instances at the same time.
	totalLoss bool
	// latencyMS, if set, is the latency of an order. maxStopMS, if set, bounds the random
	// duration of a stop.
	latencyMS, maxStopMS int64
	// faults is the number of faults within 30 s.
	faults int
}

func mixes() []mix {
	return []mix{
		{name: "all faults", restarts: true, replacements: true, maxRestartMS: 3000, faults: 30},
		{name: "all faults, slow stops", restarts: true, replacements: true, maxRestartMS: 3000, faults: 30, maxStopMS: 4000},
		{name: "all faults, slow network", restarts: true, replacements: true, maxRestartMS: 3000, faults: 30, latencyMS: 120, maxStopMS: 300},
		{name: "all faults, total losses", restarts: true, replacements: true, totalLoss: true, maxRestartMS: 3000, faults: 30},
		{name: "no restarts", faults: 30, maxStopMS: 1500},
		{name: "late orders, no restarts", lateOrders: 0.3, faults: 30, maxStopMS: 1500},
		{name: "late orders and holds, no restarts", lateOrders: 0.3, lateHolds: 0.1, faults: 30, maxStopMS: 1500},
		{name: "late orders, replacements", lateOrders: 0.3, lateHolds: 0.1, replacements: true, faults: 30, maxStopMS: 300},
		{name: "lost answers only", lostOrders: 0.3},
		{name: "lost answers, no restarts", lostOrders: 0.3, faults: 30, maxStopMS: 1500},
		{name: "lost answers, restarts", lostOrders: 0.2, restarts: true, replacements: true, maxRestartMS: 3000, faults: 30, maxStopMS: 300},
		{name: "late holds, restarts", lateHolds: 0.2, restarts: true, maxRestartMS: 2000, faults: 40},
		{name: "quick restarts", restarts: true, maxRestartMS: 100, faults: 40},
		{name: "quick restarts, slow network", restarts: true, maxRestartMS: 100, faults: 40, latencyMS: 120},
	}
}

// TestScheduleOfGangsDoesNotOverlap runs gangs under faults of all kinds. No two runs of a
// gang or a task may overlap. Each mix runs with a tenth of the seeds.
func TestScheduleOfGangsDoesNotOverlap(t *testing.T) {
	for _, m := range mixes() {
		t.Run(m.name, func(t *testing.T) {
			for n := range (*seedCount + 9) / 10 {
				seed := *firstSeed + n
				t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
					t.Parallel()
					runOverlapSchedule(t, seed, m)
				})
			}
		})
	}
}

func runOverlapSchedule(t *testing.T, seed uint64, m mix) {
	sim := newSimulation(t, seed, 3)
	if m.latencyMS > 0 {
		sim.orderLatencyMS = m.latencyMS
	}
	sim.maxStopMS, sim.maxLatencyMS = m.maxStopMS, requestTimeoutMS
	sim.addWorkers(3, 4)
	for _, id := range sim.workerIDs {
		sim.workers[id].clockRate = 0.98 + 0.04*sim.rng.Float64()
	}
	sim.traceJob(*tracedJob)
	sim.startAll()
	sim.run(3000)
	sim.lateOrderRate, sim.lateHoldRate, sim.lostOrderRate = m.lateOrders, m.lateHolds, m.lostOrders
	for n := range 50 {
		id := fmt.Sprintf("%016x", n+1)
		sim.after(sim.rng.Int64N(30000), func() { sim.submitGangs(id) })
	}
	for n := range 3 {
		sim.after(sim.rng.Int64N(30000), func() { sim.submitBurst(n) })
	}
	for range m.faults {
		sim.after(sim.rng.Int64N(30000), func() { sim.injectOverlapFault(m) })
	}
	sim.after(45000, func() { sim.lateOrderRate, sim.lateHoldRate, sim.lostOrderRate = 0, 0, 0 })
	sim.run(100000)
	if diff := cmp.Diff([]string(nil), sim.checker.violations); diff != "" {
		t.Errorf("invariant violations:\n%s", diff)
	}
}

// submitBurst submits wide urgent gangs, which preempt other work.
func (sim *simulation) submitBurst(n int) {
	for i := range 3 {
		sim.submit("urgent", []string{"a", "b"}[i%2], fmt.Sprintf("bb%06x%08x", n, i), gangStep(2+sim.rng.IntN(3), 8, 1000+sim.rng.Int64N(1500)))
	}
}

// submitGangs submits a random job, in most cases of gangs. Some have several steps or
// occurrences, run until they are cancelled, or are cancelled early.
func (sim *simulation) submitGangs(id string) {
	queue := []string{"urgent", "render", "render", "batch", "batch"}[sim.rng.IntN(5)]
	j := describer.Job{ID: id, Workspace: []string{"a", "b"}[sim.rng.IntN(2)], Queue: queue, Spec: "x"}
	step := gangStep(2+sim.rng.IntN(5), []int{1, 2, 4, 8}[sim.rng.IntN(4)], 300+sim.rng.Int64N(8000))
	step.Gang = sim.rng.IntN(4) > 0
	step.SameRack = sim.rng.IntN(2) == 0
	step.Checkpoints = sim.rng.IntN(3) == 0
	j.Steps = []describer.Step{step}
	cancelMS := int64(-1)
	if sim.rng.IntN(8) == 0 {
		cancelMS = sim.rng.Int64N(8000)
	}
	switch sim.rng.IntN(6) {
	case 0:
		next := step
		next.After = []int{0}
		j.Steps = append(j.Steps, next)
	case 1:
		j.Schedule = describer.Schedule{Count: 2 + sim.rng.IntN(2), FirstMS: wallStartMS + sim.nowMS + sim.rng.Int64N(2000), IntervalMS: 500 + sim.rng.Int64N(3000)}
	case 2:
		if sim.rng.IntN(2) == 0 {
			j.Steps[0].Perpetual = true
			cancelMS = 60000 - sim.nowMS
		}
	}
	sim.submitJob(j)
	sim.checker.jobs[id].fails = sim.rng.IntN(20) == 0 && !j.Steps[0].Perpetual
	if cancelMS >= 0 {
		sim.after(cancelMS, func() { sim.cancel(id) })
	}
}

// injectOverlapFault injects a random fault of the mix.
func (sim *simulation) injectOverlapFault(m mix) {
	span := 500 + sim.rng.Int64N(10000)
	f := sim.workers[sim.workerIDs[sim.rng.IntN(len(sim.workerIDs))]]
	h := sim.holder()
	if h == nil {
		h = sim.instances[sim.rng.IntN(len(sim.instances))]
	}
	if m.restarts && sim.rng.IntN(3) == 0 {
		sim.injectRestart(f, m, span)
		return
	}
	switch sim.rng.IntN(20) {
	case 0, 1:
		f.unreachable = true
		sim.after(span, func() { f.unreachable = false })
	case 2:
		for _, id := range sim.workerIDs {
			if g := sim.workers[id]; sim.rng.IntN(2) == 0 {
				g.unreachable = true
				sim.after(span+sim.rng.Int64N(2000), func() { g.unreachable = false })
			}
		}
	case 3:
		f.answersLost = true
		sim.after(span, func() { f.answersLost = false })
	case 4:
		if h.frozen {
			return
		}
		if sim.rng.IntN(2) == 0 {
			h.suspend(span)
			return
		}
		h.frozen = true
		sim.after(span, h.thaw)
	case 5:
		h.kill()
		sim.after(span, func() {
			if !h.alive {
				h.start()
			}
		})
	case 6:
		h.ledgerUnreachable = true
		sim.after(span, func() { h.ledgerUnreachable = false })
	case 7:
		h.cutOff = true
		sim.after(span, func() { h.cutOff = false })
	case 8:
		h.cutOff, h.ledgerUnreachable = true, true
		sim.after(span, func() { h.cutOff, h.ledgerUnreachable = false, false })
	case 9:
		f.unlisted = !f.replaced
		sim.after(span, func() { f.unlisted = f.replaced })
	case 10:
		f.refuses = true
		sim.after(span, func() { f.refuses = false })
	case 11:
		sim.orderCongestionMS = float64(20 + sim.rng.IntN(150))
		sim.after(span, func() { sim.orderCongestionMS = 0 })
	case 12:
		sim.ledger.down = true
		sim.after(span, func() { sim.ledger.down = false })
	case 13:
		sim.ledger.slowMS = 400
		sim.after(span, func() { sim.ledger.slowMS = 0 })
	case 14:
		sim.lostAnswerRate = 0.4
		sim.after(span, func() { sim.lostAnswerRate = 0 })
	case 15:
		f.hang(span)
	case 16:
		f.fails = true
		sim.after(span, func() { f.fails = false })
	case 17:
		domain := fmt.Sprintf("d%d", sim.rng.IntN(3))
		sim.configure(sim.config.Apply(describer.Change{Domain: domain, Closed: true}))
		sim.after(span, func() { sim.configure(sim.config.Apply(describer.Change{Domain: domain})) })
	case 18:
		if m.totalLoss {
			sim.restartAll(min(span, 3000))
			return
		}
		sim.instances[sim.rng.IntN(len(sim.instances))].suspend(span)
	case 19:
		if m.replacements && !f.replaced {
			f.returnsAsAnother = true
			f.crash(100 + sim.rng.Int64N(3000))
			return
		}
		sim.shutDown(h, span)
	}
}

// injectRestart restarts a worker in place, in some cases with a cut on both sides of it.
func (sim *simulation) injectRestart(f *fakeWorker, m mix, span int64) {
	if f.returnsAsAnother || f.replaced {
		return
	}
	f.crash(10 + sim.rng.Int64N(m.maxRestartMS))
	if sim.rng.IntN(2) == 0 {
		from := sim.rng.Int64N(6000)
		sim.after(from, func() { f.unreachable = true })
		sim.after(from+span, func() { f.unreachable = false })
	}
}

package planner_test

import (
	"fmt"
	"slices"

	"daisyhead/internal/control/placer"
	"daisyhead/internal/control/planner"
	"daisyhead/internal/entry/specifier"
	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/ledger/reducer"
)

// monitor measures a simulation and checks the scheduling invariants. It uses
// only the starts and ends of attempts, not the state of the planner.
type monitor struct {
	sim              *simulator
	usedAccelerators map[string]int
	startedMS        map[string]int64
	attempts         map[string]int
	// outSinceMS holds the failure domains that are out of service, and since when.
	outSinceMS map[string]int64
	violations []string

	// Sums in accelerator milliseconds; weightedFragmentation and fragmentationMS are
	// in milliseconds.
	ranMS, lostMS                          float64
	weightedFragmentation, fragmentationMS float64
	outageAllowedMS, outageDoneMS          float64
}

func newMonitor(sim *simulator) *monitor {
	return &monitor{sim: sim, usedAccelerators: map[string]int{}, startedMS: map[string]int64{}, attempts: map[string]int{}, outSinceMS: map[string]int64{}}
}

func (m *monitor) addViolation(text string) { m.violations = append(m.violations, text) }

func (m *monitor) node(worker string) placer.Node {
	f := m.sim.state.Fleet()
	return f.Nodes[f.Index(worker)]
}

// attemptStarted checks the placement of a start and accounts for it.
func (m *monitor) attemptStarted(s planner.Start) {
	j := m.sim.state.Jobs[s.Job]
	tasks := 0
	var groups []string
	for _, p := range s.Placements {
		n := m.node(p.Worker)
		tasks += p.Tasks
		m.usedAccelerators[p.Worker] += p.Tasks * j.Spec.Accelerators
		if m.usedAccelerators[p.Worker] > n.Total.Accelerators {
			m.addViolation(fmt.Sprintf("worker %s uses %d accelerators, more than it has", p.Worker, m.usedAccelerators[p.Worker]))
		}
		if m.outSinceMS[n.Domain] > 0 || m.sim.down[p.Worker] {
			m.addViolation("start on a worker that is down or in an out-of-service domain: " + n.Domain)
		}
		groups = append(groups, adjacencyGroup(n, j.Spec.Within))
	}
	slices.Sort(groups)
	if tasks != j.Spec.Tasks || len(slices.Compact(groups)) != 1 {
		m.addViolation("a gang is incomplete or not adjacent: " + s.Job)
	}
	m.attempts[s.Job]++
	if j.Spec.NonIdempotent && m.attempts[s.Job] > 1 && j.ProgressMS == 0 {
		m.addViolation("non-idempotent job started again: " + s.Job)
	}
	if _, ok := m.startedMS[s.Job]; !ok {
		m.startedMS[s.Job] = m.sim.nowMS
	}
}

// adjacencyGroup names the node's worker, rack or domain, as the adjacency asks.
func adjacencyGroup(n placer.Node, within specifier.Adjacency) string {
	switch within {
	case specifier.WithinWorker:
		return n.Worker
	case specifier.WithinRack:
		return n.Rack
	case specifier.WithinDomain:
		return n.Domain
	}
	return ""
}

// attemptEnded adds the work that an attempt did and the part of it that is lost.
func (m *monitor) attemptEnded(j *reducer.Job, a runningAttempt, e *encoder.AttemptEnded) {
	for _, p := range a.places {
		m.usedAccelerators[p.Worker] -= p.Tasks * j.Spec.Accelerators
	}
	accelerators := float64(j.Spec.TotalAccelerators())
	m.ranMS += accelerators * float64(e.RunMS)
	switch {
	case e.Result == encoder.ResultFinished:
	case e.Checkpointed:
		m.lostMS += accelerators * float64(e.RunMS-(e.ProgressMS-j.ProgressMS))
	default:
		m.lostMS += accelerators * float64(e.RunMS)
	}
}

// advance accounts for a time span in which nothing changed.
func (m *monitor) advance(spanMS int64) {
	if spanMS <= 0 {
		return
	}
	span := float64(spanMS)
	f := m.sim.state.Fleet()
	free, openTotal, busy := f.Totals(), 0, 0
	for i, n := range f.Nodes {
		busy += m.usedAccelerators[n.Worker]
		free[i].Accelerators -= m.usedAccelerators[n.Worker]
		if m.outSinceMS[n.Domain] > 0 || m.sim.down[n.Worker] {
			free[i] = placer.Resources{}
			continue
		}
		openTotal += n.Total.Accelerators
	}
	m.measureFragmentation(f, free, span)
	if len(m.outSinceMS) > 0 {
		m.measureOutage(openTotal, busy, span)
	}
}

// measureFragmentation adds the share of the free accelerators that copies of the
// largest waiting or guaranteed gang can't use.
func (m *monitor) measureFragmentation(f *placer.Fleet, free placer.Free, span float64) {
	largest, ok := m.largestGang()
	total := 0
	for _, r := range free {
		total += r.Accelerators
	}
	if !ok || total == 0 {
		return
	}
	usable := 0
	for {
		places, ok := f.Place(free, largest, placer.Options{})
		if !ok {
			break
		}
		free.Allocate(places)
		usable += largest.Tasks * largest.PerTask.Accelerators
	}
	m.weightedFragmentation += span * float64(total-usable) / float64(total)
	m.fragmentationMS += span
}

// largestGang returns the waiting or guaranteed gang with the most accelerators.
func (m *monitor) largestGang() (largest placer.Request, ok bool) {
	consider := func(r placer.Request) {
		if r.Tasks*r.PerTask.Accelerators > largest.Tasks*largest.PerTask.Accelerators {
			largest, ok = r, true
		}
	}
	for _, s := range m.sim.state.GuaranteedGangs() {
		r := s.Request
		r.Proportional = false
		consider(r)
	}
	for _, j := range m.sim.state.Jobs {
		if j.Status == reducer.JobWaiting {
			r := placer.ForJob(j.Spec)
			r.PerTask.Processors, r.PerTask.MemoryMB = 0, 0
			consider(r)
		}
	}
	return largest, ok
}

// measureOutage adds the work that was done while a failure domain is out of
// service, and the work that the rest of the fleet would have allowed.
func (m *monitor) measureOutage(openTotal, busy int, span float64) {
	demand := 0
	for _, j := range m.sim.state.Jobs {
		if !j.Status.Terminal() {
			demand += j.Spec.TotalAccelerators()
		}
	}
	m.outageAllowedMS += span * float64(min(openTotal, demand))
	m.outageDoneMS += span * float64(min(busy, min(openTotal, demand)))
}

package scheduler

import (
	"slices"
	"strings"

	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/packer"
	"daisyhead/internal/workload/reducer"
)

// Some tasks crash every worker that starts them. A lost worker is therefore counted
// against the units whose tasks may have been present there, beside the attempts that a
// task may use up by failing itself. The counts are part of the units' records, since a
// unit may crash workers under several holders.
//
// Most units on a crashed worker did not cause the crash. A unit that had run there for a
// while is an unlikely cause. One that had just started is a suspect, and its next runs
// start apart from other work, so that another crash tells which unit is the cause.

const (
	// provenAfterMS is how long a unit has to have run on a worker until a crash of that
	// worker is probably not its fault.
	provenAfterMS = 1000
	// convictingCrashes is the number of confirmed crashes with a task as a likely cause after
	// which its unit is given up, if the task was the only one at least once.
	convictingCrashes = 2
	// suspectCrashes is that number if it was never the only one.
	suspectCrashes = 4
	// maxCrashes is the number of crashes of any kind after which a unit is given up.
	// Operators accept two more starts after the third crash.
	maxCrashes = 5
	// crashMemoryMS is how long a crash counts that the unit is not suspected of. A task that
	// runs for long meets any number of them.
	crashMemoryMS = 10 * 60 * 1000
	// maxIsolationWaitMS is how long a unit that could be placed waits for a worker on which
	// a suspect starts alone. It is less than the 3 s in which the platform requires that
	// work starts which fits.
	maxIsolationWaitMS = 2000
)

// noteAnswer notes that the worker was alive when it answered an order. Once a hold has
// failed, only a report shows whether it is still the same incarnation.
func (w *worker) noteAnswer(result OrderResult, nowMS int64) {
	if !w.answered || w.holdFailures > 0 {
		return
	}
	switch result {
	case OrderUnknown, OrderNotSent, OrderOtherIncarnation:
	default:
		w.heardMS = nowMS
	}
}

// proven reports whether the worker is known to have lived for a while with the unit's
// tasks at work.
func (w *worker) proven(u *unit) bool {
	return u.runningSinceMS > 0 && w.heardMS-u.runningSinceMS >= provenAfterMS
}

// suspicion returns how likely it is that a crash of the worker is the unit's fault, apart
// from what else had just started there.
func (w *worker) suspicion(u *unit) reducer.Suspicion {
	switch {
	case w.proven(u):
		return reducer.SuspicionLow
	case u.runningSinceMS > 0:
		return reducer.SuspicionHigh
	}
	return reducer.SuspicionUnknown
}

// suspected reports whether the unit may have caused a crash. A nil unit has not.
func (u *unit) suspected() bool {
	return u != nil && slices.ContainsFunc(u.record.Crashes, func(c reducer.Crash) bool { return c.Suspicion > reducer.SuspicionLow })
}

// mayHaveCrashed reports whether the run may have been present on its lost worker, has not
// ended there, and was not counted before.
func (r *run) mayHaveCrashed() bool {
	return r.unit != nil && !r.crashCounted && r.state != runPlanned && r.unit.state != unitDone && !r.unit.step.job.ended
}

// countCrash counts the loss of a worker against the units with runs there. It is
// confirmed if another process has answered in the worker's place; the runs that it lists are
// its own. A draining worker leaves on purpose.
func (m *Model) countCrash(w *worker, confirmed bool, listed map[TaskRef]bool) {
	if w.Draining {
		return
	}
	var units []*unit
	crashes := map[*unit]*reducer.Crash{}
	justStarted := 0
	for _, r := range w.runs.list {
		if !r.mayHaveCrashed() || listed[r.ref] {
			continue
		}
		r.crashCounted = true
		c := crashes[r.unit]
		if c == nil {
			c = &reducer.Crash{Worker: w.ID, Incarnation: r.incarnation, Unconfirmed: !confirmed, Suspicion: w.suspicion(r.unit)}
			crashes[r.unit], units = c, append(units, r.unit)
			if c.Suspicion == reducer.SuspicionHigh {
				justStarted++
			}
		}
		c.Members = append(c.Members, r.ref.Member)
	}
	for _, u := range units {
		c := crashes[u]
		if c.Suspicion == reducer.SuspicionHigh && justStarted == 1 {
			c.Suspicion = reducer.SuspicionSole
		}
		m.addCrash(u, *c)
	}
}

// countCrashBefore counts a crash against an adopted run that is missing because its
// worker has restarted since the run was placed.
func (m *Model) countCrashBefore(r *run) {
	if r.state != runAdopted || r.incarnation == 0 || r.incarnation == r.worker.incarnation || !r.mayHaveCrashed() {
		return
	}
	m.addCrash(r.unit, reducer.Crash{Worker: r.worker.ID, Incarnation: r.incarnation, Members: []int{r.ref.Member}, Suspicion: reducer.SuspicionUnknown})
}

// addCrash adds a crash to the unit's record, which is proposed once the unit has stopped.
func (m *Model) addCrash(u *unit, c reducer.Crash) {
	c.AtMS = m.now.WallMS
	recent := slices.DeleteFunc(slices.Clone(u.record.Crashes), func(o reducer.Crash) bool {
		return o.Suspicion == reducer.SuspicionLow && c.AtMS-o.AtMS > crashMemoryMS
	})
	u.record.Crashes = append(recent, c)
	m.event("CrashCounted", "Job", u.id.Job, "Unit", u.id.String(), "Run", u.record.Run, "Worker", c.Worker, "Tasks", len(c.Members),
		"Confirmed", !c.Unconfirmed, "Suspicion", c.Suspicion.String(), "Crashes", len(u.record.Crashes))
	m.watchUnconfirmedCrashes(u)
}

// watchUnconfirmedCrashes remembers a unit with an unconfirmed crash.
func (m *Model) watchUnconfirmedCrashes(u *unit) {
	unconfirmed := slices.ContainsFunc(u.record.Crashes, func(c reducer.Crash) bool { return c.Unconfirmed })
	if unconfirmed && !slices.Contains(m.unconfirmedCrashes, u) {
		m.unconfirmedCrashes = append(m.unconfirmedCrashes, u)
	}
}

// resolveCrashes confirms or withdraws the unconfirmed crashes of a worker once the worker,
// or another process in its place, has answered. Incarnation is that of the worker, or 0 for
// another process. The same incarnation was only out of reach.
func (m *Model) resolveCrashes(worker string, incarnation int64) {
	var convicted []*unit
	m.unconfirmedCrashes = slices.DeleteFunc(m.unconfirmedCrashes, func(u *unit) bool {
		var kept []reducer.Crash
		unconfirmed := false
		for _, c := range u.record.Crashes {
			if c.Unconfirmed && c.Worker == worker {
				if c.Incarnation != 0 && c.Incarnation == incarnation {
					m.event("CrashWithdrawn", "Job", u.id.Job, "Unit", u.id.String(), "Worker", worker)
					continue
				}
				c.Unconfirmed = c.Incarnation == 0 && incarnation != 0
			}
			unconfirmed = unconfirmed || c.Unconfirmed
			kept = append(kept, c)
		}
		u.record.Crashes = kept
		if u.state == unitWaiting {
			convicted = append(convicted, u)
		}
		return !unconfirmed || u.step.job.ended
	})
	for _, u := range convicted {
		m.giveUpIfCrashing(u)
	}
}

// giveUpIfCrashing fails the unit's job if one of the unit's tasks crashes its workers.
func (m *Model) giveUpIfCrashing(u *unit) (givenUp bool) {
	workers := u.crashedWorkers()
	if len(workers) == 0 || u.step.job.cancelled || u.step.job.ended {
		return false
	}
	u.setState(unitFailed, m.now.MonoMS)
	m.failJob(u.step.job, "unit "+u.id.String()+" crashed its workers "+strings.Join(workers, ", "))
	return true
}

// crashTally counts the crashes under one task: all, and the workers of the confirmed ones of
// which it is a likely cause. Sole is set if it is the only one for some of them.
type crashTally struct {
	all    int
	likely map[string]bool
	sole   bool
}

// add counts a crash.
func (t *crashTally) add(c reducer.Crash) {
	t.all++
	if c.Suspicion < reducer.SuspicionHigh || c.Unconfirmed {
		return
	}
	if t.likely == nil {
		t.likely = map[string]bool{}
	}
	t.likely[c.Worker] = true
	t.sole = t.sole || c.Suspicion == reducer.SuspicionSole
}

// convicts reports whether the task has crashed its workers, as far as can be told. A worker
// that crashes again and again proves nothing against a task.
func (t *crashTally) convicts() bool {
	return t.sole && len(t.likely) >= convictingCrashes || len(t.likely) >= suspectCrashes || t.all >= maxCrashes
}

// crashedWorkers returns the workers that one of the unit's tasks has crashed if the unit is
// to be given up for it, and nil otherwise.
func (u *unit) crashedWorkers() (workers []string) {
	tallies := map[int]*crashTally{}
	for _, c := range u.record.Crashes {
		for _, member := range c.Members {
			if tallies[member] == nil {
				tallies[member] = &crashTally{}
			}
			tallies[member].add(c)
		}
	}
	for _, c := range u.record.Crashes {
		convicted := slices.ContainsFunc(c.Members, func(member int) bool { return tallies[member].convicts() })
		if convicted && !slices.Contains(workers, c.Worker) {
			workers = append(workers, c.Worker)
		}
	}
	return workers
}

// clearSuspect ends the suspicion against a unit that is proven on all of its workers. The
// crashes still count towards maxCrashes.
func (m *Model) clearSuspect(u *unit) {
	if !u.suspected() || slices.ContainsFunc(u.runs, func(r *run) bool { return !r.worker.proven(u) }) {
		return
	}
	u.record.Crashes = slices.Clone(u.record.Crashes)
	for i := range u.record.Crashes {
		u.record.Crashes[i].Suspicion = reducer.SuspicionLow
	}
	m.event("SuspectCleared", "Job", u.id.Job, "Unit", u.id.String(), "Run", u.record.Run, "Crashes", len(u.record.Crashes))
}

// onTrial reports whether a suspect has just started on the worker.
func (w *worker) onTrial() bool {
	return slices.ContainsFunc(w.runs.list, func(r *run) bool { return r.unit.suspected() && !w.proven(r.unit) })
}

// risk is what a suspect would put at risk on a worker: the work that a crash would lose, and
// the doubt about work that has just started.
type risk struct {
	loss     float64
	unproven bool
}

// riskOn returns the risk on a worker.
func (m *Model) riskOn(p *plan, i int) risk {
	if p.risks == nil {
		p.risks = make([]*risk, len(p.workers))
	}
	if p.risks[i] == nil {
		p.risks[i] = &risk{}
		w := p.workers[i]
		for _, r := range w.runs.list {
			if r.unit == nil || r.unit.state == unitStopping {
				continue
			}
			p.risks[i].loss += m.runLoss(r)
			p.risks[i].unproven = p.risks[i].unproven || !w.proven(r.unit)
		}
	}
	return *p.risks[i]
}

// startsApart reports whether the unit has to start apart from other work: a suspect from all
// that has just started, and any other unit that isn't urgent from suspects.
func (m *Model) startsApart(p *plan, u *unit, urgent bool) bool {
	waited := u.heldBackSinceMS > 0 && m.now.MonoMS-u.heldBackSinceMS >= maxIsolationWaitMS
	return !waited && (u.suspected() || len(p.trials) > 0 && !urgent)
}

// isolate returns the nodes as a unit sees them that may have to start apart from other work.
// The workers that it must not share are full. To a suspect, workers are costly by the work
// of others that would be lost with them.
func (m *Model) isolate(p *plan, nodes []packer.Node, u *unit, urgent bool) []packer.Node {
	apart := m.startsApart(p, u, urgent)
	if !apart && !u.suspected() {
		return nodes
	}
	nodes = slices.Clone(nodes)
	if !u.suspected() {
		for i := range p.trials {
			nodes[i].Free = describer.Resources{}
		}
		return nodes
	}
	for i := range nodes {
		risk := m.riskOn(p, i)
		nodes[i].Cost += risk.loss
		if apart && risk.unproven {
			nodes[i].Free = describer.Resources{}
		}
	}
	for _, c := range u.record.Crashes {
		if i, ok := p.index[m.workers[c.Worker]]; ok && apart {
			nodes[i].Free = describer.Resources{}
		}
	}
	return nodes
}

// holdBack notes since when the unit waits for a place apart from other work.
func (m *Model) holdBack(u *unit) {
	if u.heldBackSinceMS == 0 {
		u.heldBackSinceMS = m.now.MonoMS
	}
}

// notePlaced notes what was placed on the workers for the rest of the pass.
func (p *plan) notePlaced(places []int, u *unit) {
	for _, i := range places {
		if p.risks != nil && p.risks[i] != nil {
			p.risks[i].unproven = true
		}
		if u.suspected() {
			p.trials[i] = true
		}
	}
}

package scheduler

import (
	"cmp"
	"slices"

	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/packer"
)

const (
	// waitReportMS is how long a step waits before it is reported, and the interval
	// between two reports.
	waitReportMS = 2000
	// maxWaitReports limits the steps in one report, maxExplainedWaits those that are
	// looked at for it.
	maxWaitReports    = 5
	maxExplainedWaits = 40
)

// Reasons for a wait, as the log names them.
const (
	// waitOrders: no unit waits for a placement.
	waitOrders = "Orders"
	// waitLateStarts: no unit waits for a placement, and at least one waits until its
	// unanswered starts can't be executed any more.
	waitLateStarts = "LateStarts"
	// waitPass: the step fits as it is, but no pass has placed it yet.
	waitPass = "Pass"
	// waitTrial: it would fit where other work has just started that it must not join, since
	// one of them is a suspect.
	waitTrial = "Trial"
	// waitBackfill: it would fit on capacity that is kept for a gang of a higher rank.
	waitBackfill = "Backfill"
	// waitFailedWorkers, waitHeadroom and waitRack: the step would fit on workers where
	// it has failed, on the headroom for urgent work, or across racks.
	waitFailedWorkers = "FailedWorkers"
	waitHeadroom      = "Headroom"
	waitRack          = "Rack"
	// waitPreferences: it would fit if none of these were avoided.
	waitPreferences = "Preferences"
	// waitClosedWorkers: it would fit on workers that get no new tasks at present.
	waitClosedWorkers = "ClosedWorkers"
	// waitCapacity: there is not enough free capacity.
	waitCapacity = "Capacity"
)

// stepWait describes why a step that is ready has no task running.
type stepWait struct {
	step   *step
	units  map[string]int
	reason string
	// failedWorkers counts the workers on which its first waiting unit has failed.
	failedWorkers int
	// tasks is how many tasks fit into the capacity as the step sees it, rackTasks how
	// many of them in one rack, and headroomTasks how many in the headroom.
	tasks, rackTasks, headroomTasks int
	// lateStarts describes the starts for which units of the step wait.
	lateStarts []LateStartWait
	// limit are the fields that explain a wait for the limit of the workspace.
	limit []any
	// keptFor are the jobs of the gangs for which capacity is kept from the step.
	keptFor []string
}

// LateStartWait describes in the log the wait for a start that may still be executed.
type LateStartWait struct {
	Unit   string
	Run    int
	Worker string
	// StartTerm is the latest term in which the start may have been sent.
	StartTerm uint64
	// ForMS is for how much longer it may be executed. From then on the unit waits for a
	// report of the worker or the end of its lease.
	ForMS int64
}

// maxLateStartWaits limits the waits for late starts in the report of one step.
const maxLateStartWaits = 8

// lateStartWaits describes the starts for which units of the step wait.
func (m *Model) lateStartWaits(s *step) (waits []LateStartWait) {
	for _, r := range m.lateStarts {
		if u := r.blocked; u != nil && u.step == s && u.awaiting && len(waits) < maxLateStartWaits {
			waits = append(waits, LateStartWait{Unit: u.id.String(), Run: r.ref.Run, Worker: r.worker.ID, StartTerm: u.record.Term, ForMS: max(r.lateStartUntilMS-m.now.MonoMS, 0)})
		}
	}
	return waits
}

// reportWaits logs the steps that have been ready for a while and have no task running:
// those first that wait for another reason than capacity, then those that wait longest.
func (m *Model) reportWaits() {
	if m.now.MonoMS-m.waitsReportedMS < waitReportMS {
		return
	}
	m.waitsReportedMS = m.now.MonoMS
	idle := m.idleSteps()
	if len(idle) == 0 {
		return
	}
	slices.SortStableFunc(idle, func(a, b *step) int { return cmp.Compare(a.idleSinceMS, b.idleSinceMS) })
	p := m.newPlan()
	p.reserveHeadroom()
	var waits, forCapacity []stepWait
	for _, s := range idle[:min(len(idle), maxExplainedWaits)] {
		w := m.explainWait(p, s)
		if w.reason == waitCapacity {
			forCapacity = append(forCapacity, w)
			continue
		}
		waits = append(waits, w)
	}
	waits = append(waits, forCapacity...)
	closed := m.closedWorkers()
	for _, w := range waits[:min(len(waits), maxWaitReports)] {
		s := w.step
		fields := []any{
			"Job", s.job.id, "Occurrence", s.occurrence.number, "Step", s.index, "WaitsMS", m.now.MonoMS - s.idleSinceMS, "Reason", w.reason,
			"Width", s.spec.Count, "CPU", s.spec.Reserved().CPU, "MemoryMB", s.spec.Need.MemoryMB, "Accelerators", s.spec.Need.Accelerators,
			"Units", w.units, "FailedWorkers", w.failedWorkers, "FitTasks", w.tasks, "FitTasksInRack", w.rackTasks, "FitTasksInHeadroom", w.headroomTasks,
			"Workers", len(m.fleet), "Closed", closed, "IdleSteps", len(idle),
		}
		if len(w.lateStarts) > 0 {
			fields = append(fields, "LateStarts", w.lateStarts)
		}
		if place := s.occurrence.place; place.before != "" {
			fields = append(fields, "Position", place.position, "After", place.before, "AheadMS", place.aheadMS, "Class", place.class.String())
		}
		if len(w.keptFor) > 0 {
			fields = append(fields, "RoomKeptFor", w.keptFor)
		}
		if b := m.backfillOf(s.firstWaiting()); b != nil {
			fields = append(fields, "RoomKeptOn", workerIDs(slices.Compact(slices.Clone(b.workers))), "RoomExpectedInMS", b.readyMS-m.now.MonoMS)
		}
		m.event("StepWaits", append(fields, w.limit...)...)
	}
}

// idleSteps returns the steps that have been ready for waitReportMS without a running
// task, and notes for each step since when.
func (m *Model) idleSteps() (idle []*step) {
	for _, j := range m.liveJobs {
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				running := slices.ContainsFunc(s.units, func(u *unit) bool { return u.state == unitRunning })
				switch {
				case j.cancelled || s.unfinishedUnits == 0 || running || !s.ready(m.now.WallMS):
					s.idleSinceMS = 0
				case s.idleSinceMS == 0:
					s.idleSinceMS = m.now.MonoMS
				case m.now.MonoMS-s.idleSinceMS >= waitReportMS:
					idle = append(idle, s)
				}
			}
		}
	}
	return idle
}

// explainWait finds out what keeps the step's first waiting unit from being placed.
func (m *Model) explainWait(p *plan, s *step) stepWait {
	w := stepWait{step: s, units: map[string]int{}, reason: waitOrders}
	var first *unit
	for _, u := range s.units {
		w.units[u.state.String()]++
		if first == nil && u.state == unitWaiting {
			first = u
		}
	}
	q := m.queue(s.job)
	r := m.requestFor(s, q)
	nodes, all := m.nodesFor(p, s, q), m.restrictNodes(p, p.nodes, s, q)
	w.tasks, w.rackTasks = packer.CountTasks(nodes, r)
	fitting, _ := packer.CountTasks(all, r)
	w.headroomTasks = fitting - w.tasks
	var left []packer.Node
	left, w.keptFor = m.withoutKept(p, nodes, s, q)
	w.lateStarts = m.lateStartWaits(s)
	if first == nil {
		if len(w.lateStarts) > 0 {
			w.reason = waitLateStarts
		}
		return w
	}
	w.failedWorkers = len(first.failedOn)
	if v := m.limitView(p, first.workspace()); v.limited {
		use := m.useBeside(v, first)
		if short, is := v.limit.Short(use, first.need()); is {
			w.reason, w.limit = waitLimit, limitFields(first, short, v.limit, use)
			return w
		}
	}
	spread := r
	spread.SameRack = false
	w.reason = waitCapacity
	if _, ok := packer.Place(m.reopened(p, s, q), spread); !ok {
		return w
	}
	for _, c := range []struct {
		reason  string
		nodes   []packer.Node
		request packer.Request
	}{
		{waitPass, m.isolate(p, m.excludeFailedWorkers(p, left, first, r), first, q.Priority == 0), r},
		{waitBackfill, m.isolate(p, m.excludeFailedWorkers(p, nodes, first, r), first, q.Priority == 0), r},
		{waitTrial, m.excludeFailedWorkers(p, nodes, first, r), r},
		{waitFailedWorkers, nodes, r},
		{waitHeadroom, m.excludeFailedWorkers(p, all, first, r), r},
		{waitRack, m.excludeFailedWorkers(p, nodes, first, r), spread},
		{waitPreferences, all, spread},
	} {
		if _, ok := packer.Place(c.nodes, c.request); ok {
			w.reason = c.reason
			return w
		}
	}
	w.reason = waitClosedWorkers
	return w
}

// reopened returns the nodes of the step's service as if none were closed.
func (m *Model) reopened(p *plan, s *step, q describer.Queue) []packer.Node {
	open := slices.Clone(p.nodes)
	for i := range open {
		open[i].Closed = false
	}
	return m.restrictNodes(p, open, s, q)
}

// closedWorkers counts the workers that get no new tasks, by cause.
func (m *Model) closedWorkers() map[string]int {
	count := map[string]int{}
	for _, w := range m.fleet {
		if cause := m.closedCause(w); cause != "" {
			count[cause]++
		}
	}
	return count
}

package scheduler

import (
	"cmp"
	"slices"

	"daisyhead/internal/workload/accountant"
	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/packer"
)

// The limits of workspaces: see docs/design/workspace-limits.md.

// waitLimit is the reason of a wait for the limit of the workspace, as the log names it.
const waitLimit = "the limit of the workspace"

// limitLogIntervalMS is the least time between two log entries about a job's wait for its limit:
// steps of one job may wait for different reasons, which would be logged with each pass.
const limitLogIntervalMS = 1000

// defaultShareWindowMS is Config.ShareWindowMS where that is 0.
const defaultShareWindowMS = 5000

// limit returns the limit of a workspace. It has no effect if the workspace has none.
func (m *Model) limit(workspace string) accountant.Limit {
	w, _ := m.Config.Workspace(workspace)
	return accountant.Limit{Maximum: w.Maximum, Tolerance: m.cfg.LimitTolerance}
}

// configured reports whether a configuration has been read. Without one, the limits are not known.
func (m *Model) configured() bool { return m.Config.Version > 0 }

// need returns what the unit counts towards its workspace's limit.
func (u *unit) need() describer.Resources { return accountant.UnitNeed(u.step.spec) }

// runClass returns the class in which a run on a worker's list counts.
func runClass(r *run) accountant.Class {
	switch r.state {
	case runPlanned:
		return accountant.Planned
	case runPresent:
		return accountant.Present
	case runStopping, runStopConfirmed:
		if r.bars {
			return accountant.Late
		}
		return accountant.Stopping
	}
	return accountant.Starting
}

// account updates the accounts for a run on a worker's list after it was added or its state has
// changed.
func (m *Model) account(r *run) { m.accountAs(r, runClass(r)) }

// accountAs updates the accounts for a run that counts in the given class from now on.
func (m *Model) accountAs(r *run, c accountant.Class) {
	if r.class != c {
		m.accounts.Move(r.workspace, r.class, c, r.quota)
		r.class = c
	}
}

// accountLateStart updates the accounts for a run in lateStarts. One whose worker rejects it, or
// has no process that is up, does not count: only a restart of the worker under its ID could
// execute it.
func (m *Model) accountLateStart(r *run) {
	c := accountant.Late
	if r.barredIn != 0 && r.barredIn == r.worker.incarnation && r.worker.answered || m.down(r.worker.ID) {
		c = accountant.Barred
	}
	m.accountAs(r, c)
}

// down reports whether no process of the worker was up as of the latest list.
func (m *Model) down(worker string) bool {
	w, known := m.workers[worker]
	if !known {
		// A worker that is neither listed nor has runs is forgotten.
		return m.listAsOfMS >= m.listSinceMS+relistGraceMS
	}
	return m.notUpSince(w, m.listAsOfMS-maxListingMS)
}

// reaccountLateStarts updates the accounts after the list of workers was read.
func (m *Model) reaccountLateStarts() {
	for _, r := range m.lateStarts {
		m.accountLateStart(r)
	}
}

// setQuota sets which workspace a run without a unit counts for, and how much.
func (m *Model) setQuota(r *run) {
	id := r.ref.Unit
	if j, live := m.jobs[id.Job]; live {
		r.workspace = j.submission.Job.Workspace
	} else if t, known := m.Table.Lookup(id.Job); known {
		r.workspace = t.Submission.Job.Workspace
	}
	if s, ok := m.stepOf(id); ok {
		r.quota = s.Need
	}
}

// limitView is a workspace's limit and use as a scheduling pass sees them.
type limitView struct {
	limit   accountant.Limit
	limited bool
	// reserved is what units of the workspace need that have a reservation, or for which other
	// work of the workspace is being stopped.
	reserved describer.Resources
	// stoppable caches, for units that claim their places and for others, which units may be
	// stopped for them. Some of these may have been stopped since.
	stoppable map[bool][]*unit
	// stuck is what is being stopped and should have ended by now, or has no unit. It is counted
	// once stoppable is set.
	stuck describer.Resources
	// placeable caches which steps fit into the fleet; see fitsOpenFleet.
	placeable map[*step]bool
	// held is set once a part of the limit is held for a unit that has waited for it.
	held bool
}

// limitView returns the view of a workspace.
func (m *Model) limitView(p *plan, workspace string) *limitView {
	v := p.limits[workspace]
	if v == nil {
		v = &limitView{limit: m.limit(workspace)}
		v.limited = v.limit.Limited()
		p.limits[workspace] = v
	}
	return v
}

// reserveLimit counts what the unit needs as reserved for it.
func (m *Model) reserveLimit(p *plan, u *unit) {
	v := m.limitView(p, u.workspace())
	v.reserved = v.reserved.Add(u.need())
}

// releaseLimit takes that back.
func (m *Model) releaseLimit(p *plan, u *unit) {
	v := m.limitView(p, u.workspace())
	v.reserved = v.reserved.Sub(u.need())
}

// useBeside returns what the unit's workspace uses beside a waiting unit.
func (m *Model) useBeside(v *limitView, u *unit) accountant.Use {
	use := m.accounts.Of(u.workspace()).With(accountant.Reserved, v.reserved)
	if u.reservation != nil {
		use = use.Without(accountant.Reserved, u.need())
	}
	return use
}

// withinLimit reports whether the limit of its workspace allows a waiting unit to start. If it does
// not, the job's wait is logged.
func (m *Model) withinLimit(p *plan, u *unit) bool {
	v := m.limitView(p, u.workspace())
	if !v.limited {
		return true
	}
	use := m.useBeside(v, u)
	short, is := v.limit.Short(use, u.need())
	if is {
		m.setLimitWait(u, short, v.limit, use)
	}
	return !is
}

// setLimitWait logs that the job waits for the limit of its workspace, unless that was the reason
// before.
func (m *Model) setLimitWait(u *unit, short accountant.Resource, l accountant.Limit, use accountant.Use) {
	j := u.step.job
	if j.waitReason == waitLimit || j.limitLoggedMS > 0 && m.now.MonoMS-j.limitLoggedMS < limitLogIntervalMS {
		return
	}
	j.waitReason, j.limitLoggedMS = waitLimit, m.now.MonoMS
	m.event("JobWaits", append([]any{"Job", j.id, "Reason", waitLimit, "Workers", len(m.workers)}, limitFields(u, short, l, use)...)...)
}

// limitFields are the fields of the log that explain a wait for the limit. Possible is false if the
// unit needs more than the workspace may ever have running.
func limitFields(u *unit, short accountant.Resource, l accountant.Limit, use accountant.Use) []any {
	return []any{
		"Workspace", u.workspace(), "Resource", short.Name, "Maximum", short.Of(l.Maximum), "Need", short.Of(u.need()),
		"InUse", short.Of(use.Firm()), "Uncertain", short.Of(use.Uncertain()), "Possible", l.Admits(u.need()),
	}
}

// claimLimit makes room in the limit of its workspace for an urgent unit within its guarantee, and
// reserves what the unit needs. It does nothing for other units, for one that no worker could take,
// and if stopping other work of the workspace can't make the unit fit. A limit below the guarantee takes
// precedence.
func (m *Model) claimLimit(p *plan, nodes []packer.Node, c candidate, u *unit, shape requestShape) (claimed bool) {
	if !shape.urgent || p.split == nil || !p.split.claiming[u] {
		return false
	}
	v := m.limitView(p, u.workspace())
	if u.reservation == nil && !v.fitsOpenFleet(nodes, u.step, shape.request) {
		return false
	}
	victims, ok := m.limitVictims(p, v, u, shape.claims)
	if !ok {
		return false
	}
	for _, o := range victims {
		m.event("UnitPreempted", "Job", o.id.Job, "Unit", o.id.String(), "For", u.id.Job, "LostCoreMS", int64(m.unitLoss(o)), "Claimed", true, "Borrowed", m.urgent(o), "Limit", true)
		m.stopUnit(o, "preempted for job "+u.id.Job)
	}
	if len(victims) > 0 {
		p.forgetPreemptions()
	}
	if u.reservation == nil {
		m.reservePlaces(p, nodes, c, u, shape)
	}
	if u.reservation == nil {
		m.reserveLimit(p, u)
	}
	return true
}

// limitHoldAfterMS is how long a unit waits for the limit of its workspace until work that ranks behind
// it no longer takes what becomes free. With the time until that has ended, it is a part of the 3 s in
// which the platform requires that work starts in a workspace that uses less than half of its limit.
const limitHoldAfterMS = 1000

// holdLimit holds, for the rest of the pass, what a unit needs that has waited for the limit: otherwise
// smaller units of its workspace would start before it again and again. One unit of a workspace at a
// time, and only one that needs up to half of the limit: for a larger one, work would have to wait in a
// workspace that uses less than half. A unit that no worker could take holds nothing.
func (m *Model) holdLimit(p *plan, nodes []packer.Node, u *unit, r packer.Request) {
	u.limitWait.extend(m.now.MonoMS)
	v := m.limitView(p, u.workspace())
	half := v.limit
	half.Maximum = describer.Resources{CPU: half.Maximum.CPU / 2, MemoryMB: half.Maximum.MemoryMB / 2, Accelerators: half.Maximum.Accelerators / 2}
	half.Tolerance = 0
	if v.held || m.now.MonoMS-u.limitWait.sinceMS < limitHoldAfterMS || !half.Admits(u.need()) || !v.fitsOpenFleet(nodes, u.step, r) {
		return
	}
	v.held = true
	m.reserveLimit(p, u)
}

// fitsOpenFleet reports whether a unit of the step would fit if the workers that get new tasks were
// empty.
func (v *limitView) fitsOpenFleet(nodes []packer.Node, s *step, r packer.Request) bool {
	fits, cached := v.placeable[s]
	if !cached {
		empty := slices.Clone(nodes)
		for i := range empty {
			empty[i].Free, empty[i].StepTasks = empty[i].Room, 0
		}
		_, fits = packer.Place(empty, r)
		if v.placeable == nil {
			v.placeable = map[*step]bool{}
		}
		v.placeable[s] = fits
	}
	return fits
}

// limitVictims returns the units to stop so that the limit allows the unit, beside those that are
// stopping already. ok is false if that is not enough.
func (m *Model) limitVictims(p *plan, v *limitView, u *unit, claims bool) (victims []*unit, ok bool) {
	if v.stoppable == nil {
		v.stoppable, v.stuck = map[bool][]*unit{}, m.stuckStops(u.workspace())
	}
	use := m.useBeside(v, u)
	missing := v.limit.Excess(use, u.need()).Sub(use[accountant.Stopping].Sub(v.stuck))
	if !exceeds(missing) {
		return nil, v.limit.Admits(u.need())
	}
	if !v.limit.Admits(u.need()) {
		return nil, false
	}
	for _, o := range m.stoppableFor(p, v, u.workspace(), claims) {
		if !exceeds(missing) {
			break
		}
		if m.mayStopFor(p, o, claims) && relieves(missing, o.need()) {
			victims = append(victims, o)
			missing = missing.Sub(o.need())
		}
	}
	if exceeds(missing) {
		return nil, false
	}
	// What was chosen last may make earlier, smaller ones needless.
	for i := len(victims) - 1; i >= 0; i-- {
		if without := missing.Add(victims[i].need()); !exceeds(without) {
			missing = without
			victims = slices.Delete(victims, i, i+1)
		}
	}
	return victims, true
}

// exceeds reports whether any amount is above 0.
func exceeds(r describer.Resources) bool { return max(r.CPU, r.MemoryMB, r.Accelerators) > 0 }

// relieves reports whether an amount reduces what is missing.
func relieves(missing, amount describer.Resources) bool {
	return slices.ContainsFunc(accountant.Resources, func(r accountant.Resource) bool { return r.Of(missing) > 0 && r.Of(amount) > 0 })
}

// stuckStops returns what the workspace's runs use that are being stopped and should have ended by
// now, or that have no unit.
func (m *Model) stuckStops(workspace string) (total describer.Resources) {
	if m.accounts.Of(workspace)[accountant.Stopping] == (describer.Resources{}) {
		return total
	}
	for _, w := range m.fleet {
		for _, r := range w.runs.list {
			if r.class == accountant.Stopping && r.workspace == workspace && (r.unit == nil || m.stopOverdue(r.unit)) {
				total = total.Add(r.quota)
			}
		}
	}
	return total
}

// stoppableFor returns the units of the workspace that may be stopped for another one, in ascending
// order of what that costs: those that are not urgent, and for a unit that claims its place also
// borrowed ones.
func (m *Model) stoppableFor(p *plan, v *limitView, workspace string, claims bool) []*unit {
	units, cached := v.stoppable[claims]
	if !cached {
		for _, j := range m.liveJobs {
			if j.submission.Job.Workspace != workspace {
				continue
			}
			for o := range j.units {
				if m.mayStopFor(p, o, claims) {
					units = append(units, o)
				}
			}
		}
		slices.SortStableFunc(units, func(a, b *unit) int { return cmp.Compare(m.stopCost(a), m.stopCost(b)) })
		v.stoppable[claims] = units
	}
	return units
}

// mayStopFor reports whether the unit may be stopped for another one of its workspace.
func (m *Model) mayStopFor(p *plan, u *unit, claims bool) bool {
	if !u.placed() || u.step.spec.MaxUnavailable > 0 && !(claims && u.spare()) {
		return false
	}
	return !m.urgent(u) || claims && m.borrowed(p, u)
}

// stopCost is preemptionCost for a unit.
func (m *Model) stopCost(u *unit) float64 {
	if m.urgent(u) {
		return m.unitLoss(u) + urgentPenalty
	}
	return m.unitLoss(u)
}

// startAllowed reports whether the limit of its workspace allows the start of a run now, beside all
// runs that may be present: the limit may have become lower since the unit was placed, or other runs
// may have turned up. Other units of which nothing was sent don't count.
func (m *Model) startAllowed(r *run) bool {
	u := r.unit
	limit := m.limit(u.workspace())
	if !limit.Limited() {
		return true
	}
	use := m.accounts.Of(u.workspace())
	if limit.Allows(use, describer.Resources{}) {
		// The use includes the whole unit.
		return true
	}
	use = use.Without(accountant.Planned, use[accountant.Planned])
	for _, o := range u.runs {
		if o.class != accountant.Planned {
			use = use.Without(o.class, o.quota)
		}
	}
	return limit.Allows(use, u.need())
}

// unsent reports whether no start of the unit's run was sent.
func (u *unit) unsent() bool {
	return !slices.ContainsFunc(u.runs, func(r *run) bool { return r.state != runPlanned })
}

// resetAccounts clears the accounts at the begin and at the end of a term.
func (m *Model) resetAccounts() {
	m.accounts.Reset()
	m.shares.Reset()
	m.left = nil
}

// beyondShare reports whether the job is beyond its workspace's share of new jobs.
func (m *Model) beyondShare(j *job) bool {
	w, _ := m.Config.Workspace(j.submission.Job.Workspace)
	return m.shares.Beyond(w.Name, j.submission.AcceptedMS, w.Weight, cmp.Or(m.cfg.ShareWindowMS, defaultShareWindowMS))
}

// WorkspaceUse is the use and the limit of one resource of a workspace.
type WorkspaceUse struct {
	Workspace, Resource string
	// Use includes all that counts towards Limit, which is 0 if the resource is not limited.
	Use, Limit int
}

// WorkspaceUses returns statistics for metrics. Only the holder has any.
func (m *Model) WorkspaceUses() (uses []WorkspaceUse) {
	if !m.deciding() {
		return nil
	}
	for _, w := range m.Config.Workspaces {
		use := m.accounts.Of(w.Name)
		for _, r := range accountant.Resources {
			uses = append(uses, WorkspaceUse{Workspace: w.Name, Resource: r.Name, Use: r.Of(use.Firm()) + r.Of(use.Uncertain()), Limit: r.Of(w.Maximum)})
		}
	}
	return uses
}

// Package accountant keeps the resource accounts of workspaces and decides what their limits
// allow. It is pure and reads no clock.
//
//	var a accountant.Accounts
//	a.Move("blue", accountant.None, accountant.Planned, need)
//	limit := accountant.Limit{Maximum: describer.Resources{Accelerators: 16}, Tolerance: 0.1}
//	ok := limit.Allows(a.Of("blue"), need)
package accountant

import (
	"slices"

	"daisyhead/internal/workload/describer"
)

// Class is what is known about a run that counts towards a limit.
type Class int

// The classes of runs.
const (
	// None is the class of runs that don't count.
	None Class = iota
	// Planned runs have a place, and no start was sent.
	Planned
	// Starting runs may have been started.
	Starting
	// Present runs are known to be present.
	Present
	// Stopping runs are being stopped, until it is known that they have ended.
	Stopping
	// Reserved is what units need that wait for other work to stop.
	Reserved
	// Late runs were removed, and may still be started.
	Late
	// Unrecorded runs may be present, and no record names their unit.
	Unrecorded
	// Barred runs are Late ones that their worker has confirmed to reject. Only a worker that
	// restarts under its ID could execute them, so they don't count.
	Barred
	classes
)

// String returns the name of the class.
func (c Class) String() string {
	return [...]string{"None", "Planned", "Starting", "Present", "Stopping", "Reserved", "Late", "Unrecorded", "Barred"}[c]
}

// firm are the classes that count against Limit.Maximum; uncertain those for which the tolerance
// is left.
var (
	firm      = []Class{Planned, Starting, Present, Stopping, Reserved}
	uncertain = []Class{Late, Unrecorded}
)

// Use is what a workspace uses, by class.
type Use [classes]describer.Resources

// With returns the use with an amount added to a class.
func (u Use) With(c Class, amount describer.Resources) Use {
	u[c] = u[c].Add(amount)
	return u
}

// Without returns the use with an amount removed from a class.
func (u Use) Without(c Class, amount describer.Resources) Use {
	u[c] = u[c].Sub(amount)
	return u
}

// Firm returns the sum of all runs that may be present, are planned or have a reservation.
func (u Use) Firm() describer.Resources { return u.sum(firm) }

// Uncertain returns the sum of the runs that are only not known to be absent.
func (u Use) Uncertain() describer.Resources { return u.sum(uncertain) }

func (u Use) sum(of []Class) (total describer.Resources) {
	for _, c := range of {
		total = total.Add(u[c])
	}
	return total
}

// Accounts holds the use of each workspace. The zero value is ready to use.
type Accounts struct{ byWorkspace map[string]*Use }

// Move moves an amount of a workspace from one class to another; None is no class.
func (a *Accounts) Move(workspace string, from, to Class, amount describer.Resources) {
	if a.byWorkspace == nil {
		a.byWorkspace = map[string]*Use{}
	}
	u := a.byWorkspace[workspace]
	if u == nil {
		u = &Use{}
		a.byWorkspace[workspace] = u
	}
	if from != None {
		*u = u.Without(from, amount)
	}
	if to != None {
		*u = u.With(to, amount)
	}
}

// Of returns the use of a workspace.
func (a *Accounts) Of(workspace string) (u Use) {
	if found := a.byWorkspace[workspace]; found != nil {
		u = *found
	}
	return u
}

// Reset removes all accounts.
func (a *Accounts) Reset() { a.byWorkspace = nil }

// Limit bounds what a workspace may have running.
type Limit struct {
	// Maximum is the bound. A resource that is 0 there is not limited.
	Maximum describer.Resources
	// Tolerance is the part of Maximum by which the sum may exceed it if it includes runs that
	// are only not known to be absent.
	Tolerance float64
}

// Limited reports whether any resource is limited.
func (l Limit) Limited() bool { return l.Maximum != describer.Resources{} }

// Allows reports whether a unit may start beside the use, which must not include the unit itself.
func (l Limit) Allows(u Use, need describer.Resources) bool {
	return l.Excess(u, need) == (describer.Resources{})
}

// Admits reports whether a unit can ever start.
func (l Limit) Admits(need describer.Resources) bool { return l.Allows(Use{}, need) }

// Excess returns how much of the use has to end before a unit may start, 0 for each resource that
// allows it. A unit that needs more than Maximum may start if the rest of the workspace uses none
// of the resource.
func (l Limit) Excess(u Use, need describer.Resources) describer.Resources {
	sure, unsure := u.Firm(), u.Uncertain()
	return describer.Resources{
		CPU:          l.excess(l.Maximum.CPU, sure.CPU, unsure.CPU, need.CPU),
		MemoryMB:     l.excess(l.Maximum.MemoryMB, sure.MemoryMB, unsure.MemoryMB, need.MemoryMB),
		Accelerators: l.excess(l.Maximum.Accelerators, sure.Accelerators, unsure.Accelerators, need.Accelerators),
	}
}

// excess is Excess for one resource.
func (l Limit) excess(maximum, sure, unsure, need int) int {
	if maximum <= 0 {
		return 0
	}
	tolerated := maximum + int(float64(maximum)*max(l.Tolerance, 0)+rounding)
	over := sure + unsure + need - tolerated
	if alone := sure == 0; !alone {
		over = max(over, sure+need-maximum)
	}
	return max(over, 0)
}

// Resource is one of the resources, by its name in logs and metrics.
type Resource struct {
	Name string
	// Of returns the amount of the resource.
	Of func(describer.Resources) int
}

// Resources lists the resources that a limit can name.
var Resources = []Resource{
	{"CPU", func(r describer.Resources) int { return r.CPU }},
	{"MemoryMB", func(r describer.Resources) int { return r.MemoryMB }},
	{"Accelerators", func(r describer.Resources) int { return r.Accelerators }},
}

// Short returns the first resource of which a unit is short beside the use, and false if none is.
func (l Limit) Short(u Use, need describer.Resources) (r Resource, short bool) {
	excess := l.Excess(u, need)
	i := slices.IndexFunc(Resources, func(r Resource) bool { return r.Of(excess) > 0 })
	if i < 0 {
		return Resource{}, false
	}
	return Resources[i], true
}

// UnitNeed returns what a unit of the step counts: a task, or all tasks of a gang.
func UnitNeed(s describer.Step) describer.Resources {
	n := 1
	if s.Gang {
		n = s.Count
	}
	return describer.Resources{CPU: n * s.Need.CPU, MemoryMB: n * s.Need.MemoryMB, Accelerators: n * s.Need.Accelerators}
}

// Impossible returns the first step of the job with a unit that can never start, with the resource
// of which it is short. ok is false if there is none.
func (l Limit) Impossible(j describer.Job) (step int, short Resource, ok bool) {
	for i, s := range j.Steps {
		if r, never := l.Short(Use{}, UnitNeed(s)); never {
			return i, r, true
		}
	}
	return 0, Resource{}, false
}

// rounding makes up for products such as 30 x 0.1, which are slightly too small in binary.
const rounding = 1e-6

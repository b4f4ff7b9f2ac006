package reducer

import (
	"fmt"

	"daisyhead/internal/control/placer"
	"daisyhead/internal/entry/specifier"
)

// Fleet returns the workers of all groups. The result is cached until Revision
// changes.
func (s *State) Fleet() *placer.Fleet {
	if s.fleet != nil && s.fleetRevision == s.Revision {
		return s.fleet
	}
	var nodes []placer.Node
	for _, name := range SortedKeys(s.WorkerGroups) {
		g := s.WorkerGroups[name].Spec
		for _, w := range g.Workers {
			nodes = append(nodes, placer.Node{
				Worker: w.Name, Rack: g.Rack, Domain: g.Domain, Region: s.Domains[g.Domain].Spec.Region,
				Total: placer.Resources{Processors: w.Processors, MemoryMB: w.MemoryMB, Accelerators: w.Accelerators},
			})
		}
	}
	s.fleet, s.fleetRevision = placer.NewFleet(nodes), s.Revision
	return s.fleet
}

// NodesOutOfService reports, by index in f.Nodes, whether the node's failure
// domain takes no new work.
func (s *State) NodesOutOfService(f *placer.Fleet) []bool {
	closed := make([]bool, len(f.Nodes))
	for i, n := range f.Nodes {
		closed[i] = !s.DomainInService(n.Domain)
	}
	return closed
}

// GuaranteedGangs returns the guaranteed gangs of all workspaces, in the order of
// the workspaces' names. A guarantee is repeated as often as its Count says.
func (s *State) GuaranteedGangs() []placer.GuaranteedGang {
	var gangs []placer.GuaranteedGang
	for _, name := range SortedKeys(s.Workspaces) {
		for _, g := range s.Workspaces[name].Spec.Guarantees {
			for range g.Count {
				gangs = append(gangs, placer.GuaranteedGang{Workspace: name, Guarantee: g.Name, Request: GuaranteeRequest(g)})
			}
		}
	}
	return gangs
}

// GuaranteeRequest returns the placement request for one gang of the guarantee.
func GuaranteeRequest(g specifier.Guarantee) placer.Request {
	return placer.Request{
		Tasks: g.Tasks, PerTask: placer.Resources{Accelerators: g.Accelerators}, Within: g.Within, Proportional: true,
	}
}

// UnplacedGuarantees describes the guarantees that find no place when all
// guarantees are placed at once on the fleet without any jobs. With onlyOpen, it
// uses only the workers whose domains are in service.
func (s *State) UnplacedGuarantees(onlyOpen bool) []string {
	f := s.Fleet()
	o := placer.Options{}
	if onlyOpen {
		o.Closed = s.NodesOutOfService(f)
	}
	packing := f.Pack(f.Totals(), s.GuaranteedGangs(), o)
	var names []string
	for i, places := range packing.Places {
		if places != nil {
			continue
		}
		gang := packing.Gangs[i]
		r := gang.Request
		names = append(names, fmt.Sprintf("%s/%s (%d x %d accelerators within %s)", gang.Workspace, gang.Guarantee, r.Tasks, r.PerTask.Accelerators, r.Within))
	}
	return names
}

// unschedulableReason explains why the job can't run even when no other job uses
// the fleet. It returns "" if the job can run.
func (s *State) unschedulableReason(j specifier.Job) string {
	if q := s.Workspaces[j.Workspace].Spec.QuotaAccelerators; q > 0 && j.TotalAccelerators() > q {
		return fmt.Sprintf("can never run: the gang needs %d accelerators, the quota of workspace %s is %d", j.TotalAccelerators(), j.Workspace, q)
	}
	f := s.Fleet()
	if _, ok := f.Place(f.Totals(), placer.ForJob(j), placer.Options{}); ok {
		return ""
	}
	return fmt.Sprintf("can never run: the whole fleet, empty, has no place for %s", describeGang(j))
}

// UnschedulableReason explains why a waiting job can't run on the fleet as
// currently configured, even without other jobs. It returns "" if the job can
// run.
func (s *State) UnschedulableReason(j *Job) string { return s.unschedulableReason(j.Spec) }

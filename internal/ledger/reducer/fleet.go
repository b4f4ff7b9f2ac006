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
	outOfService := make([]bool, len(f.Nodes))
	for i, n := range f.Nodes {
		outOfService[i] = !s.DomainInService(n.Domain)
	}
	return outOfService
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

// UnplacedGuarantees describes the guaranteed gangs that are left over when all of
// them are placed at once on the fleet without any jobs. With onlyInService, it uses
// only the workers whose domains are in service.
func (s *State) UnplacedGuarantees(onlyInService bool) []string {
	f := s.Fleet()
	o := placer.Options{}
	if onlyInService {
		o.Closed = s.NodesOutOfService(f)
	}
	packing := f.Pack(f.Totals(), s.GuaranteedGangs(), o)
	var unplaced []string
	for i, places := range packing.Places {
		if places != nil {
			continue
		}
		gang := packing.Gangs[i]
		r := gang.Request
		unplaced = append(unplaced, fmt.Sprintf("%s/%s (%d x %d accelerators within %s)", gang.Workspace, gang.Guarantee, r.Tasks, r.PerTask.Accelerators, r.Within))
	}
	return unplaced
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

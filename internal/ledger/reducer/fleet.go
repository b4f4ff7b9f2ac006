package reducer

import (
	"fmt"

	"daisyhead/internal/control/placer"
	"daisyhead/internal/entry/specifier"
)

// Fleet returns the workers of all groups, cached until the next accepted change.
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

// ClosedNodes marks the nodes whose failure domain takes no new work.
func (s *State) ClosedNodes(f *placer.Fleet) []bool {
	closed := make([]bool, len(f.Nodes))
	for i, n := range f.Nodes {
		closed[i] = !s.DomainOpen(n.Domain)
	}
	return closed
}

// GuaranteeShapes returns each instance of each guarantee, by workspace.
func (s *State) GuaranteeShapes() []placer.Shape {
	var shapes []placer.Shape
	for _, name := range SortedKeys(s.Workspaces) {
		for _, g := range s.Workspaces[name].Spec.Guarantees {
			for range g.Count {
				shapes = append(shapes, placer.Shape{Workspace: name, Guarantee: g.Name, Request: GuaranteeRequest(g)})
			}
		}
	}
	return shapes
}

// GuaranteeRequest returns the gang that the guarantee promises.
func GuaranteeRequest(g specifier.Guarantee) placer.Request {
	return placer.Request{
		Tasks: g.Tasks, Each: placer.Resources{Accelerators: g.Accelerators}, Within: g.Within, Proportional: true,
	}
}

// UnplacedGuarantees names the guarantees that can't all be placed at once on
// the empty fleet, or on the part of it whose domains are in service.
func (s *State) UnplacedGuarantees(onlyOpen bool) []string {
	f := s.Fleet()
	o := placer.Options{}
	if onlyOpen {
		o.Closed = s.ClosedNodes(f)
	}
	packing := f.Pack(f.Totals(), s.GuaranteeShapes(), o)
	var names []string
	for i, places := range packing.Places {
		if places != nil {
			continue
		}
		shape := packing.Shapes[i]
		r := shape.Request
		names = append(names, fmt.Sprintf("%s/%s (%d x %d accelerators within %s)", shape.Workspace, shape.Guarantee, r.Tasks, r.Each.Accelerators, r.Within))
	}
	return names
}

// neverFits explains why the job can't run on the whole fleet, or returns "".
func (s *State) neverFits(j specifier.Job) string {
	if q := s.Workspaces[j.Workspace].Spec.QuotaAccelerators; q > 0 && j.TotalAccelerators() > q {
		return fmt.Sprintf("can never run: the gang needs %d accelerators, the quota of workspace %s is %d", j.TotalAccelerators(), j.Workspace, q)
	}
	f := s.Fleet()
	if _, ok := f.Place(f.Totals(), placer.ForJob(j), placer.Options{}); ok {
		return ""
	}
	return fmt.Sprintf("can never run: the whole fleet, empty, has no place for %s", describeGang(j))
}

// NeverFits explains why a waiting job can't run on the fleet as it is now
// configured, or returns "".
func (s *State) NeverFits(j *Job) string { return s.neverFits(j.Spec) }

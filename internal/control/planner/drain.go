package planner

import (
	"daisyhead/internal/control/placer"
	"daisyhead/internal/entry/specifier"
	"daisyhead/internal/ledger/encoder"
)

// drainDomains stops the work in failure domains that are out of service.
// Checkpointable work is stopped as soon as it has a place elsewhere, or
// DrainMarginMS before the domain's stop deadline; other work at the deadline.
// Without a deadline, other work runs to its end.
func (p *pass) drainDomains() {
	for _, a := range p.allocations {
		if a.stopping || a.notStarted {
			continue
		}
		domain := p.outOfServiceDomain(a)
		if domain == "" {
			continue
		}
		p.drain(a, domain)
	}
}

// outOfServiceDomain returns the first out-of-service domain of an attempt, or "".
func (p *pass) outOfServiceDomain(a *allocation) string {
	for _, pl := range a.places {
		name := p.fleet.Nodes[pl.Node].Domain
		if p.in.State.Domains[name].Spec.State == specifier.DomainOut {
			return name
		}
	}
	return ""
}

// drain stops an attempt in the domain if it is due or can move elsewhere.
func (p *pass) drain(a *allocation, domain string) {
	status := p.in.State.Domains[domain]
	deadline := status.SinceMS + status.Spec.StopAfter.Milliseconds()
	hasDeadline := status.Spec.StopAfter > 0
	switch {
	case hasDeadline && p.in.NowMS >= deadline:
		p.stop(a, encoder.StopDrain, "domain "+domain+" is out and its time to stop has come")
	case !a.job.Spec.Checkpointable:
		return
	case hasDeadline && p.in.NowMS >= deadline-DrainMarginMS:
		p.stop(a, encoder.StopDrain, "domain "+domain+" is out, the work is checkpointed before the stop")
	default:
		p.moveElsewhere(a, domain)
	}
}

// moveElsewhere stops the attempt if it fits on free workers outside the domain, and
// takes these workers from the free resources of this pass.
func (p *pass) moveElsewhere(a *allocation, domain string) {
	places, ok := p.fleet.Place(p.free, placer.ForJob(a.job.Spec), placer.Options{Closed: p.closed})
	if !ok {
		return
	}
	p.free.Allocate(places)
	p.stop(a, encoder.StopDrain, "domain "+domain+" is out, the work moves by checkpoint")
}

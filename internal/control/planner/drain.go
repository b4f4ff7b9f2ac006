package planner

import (
	"daisyhead/internal/control/placer"
	"daisyhead/internal/entry/specifier"
	"daisyhead/internal/ledger/encoder"
)

// drainDomains moves work out of domains that are out of service: by checkpoint
// as soon as it has a place elsewhere, and at the latest before the domain's
// last moment.
func (p *pass) drainDomains() {
	for _, a := range p.actives {
		if a.stopping || a.pending {
			continue
		}
		domain := p.outDomain(a)
		if domain == "" {
			continue
		}
		p.drain(a, domain)
	}
}

func (p *pass) outDomain(a *active) string {
	for _, pl := range a.places {
		name := p.fleet.Nodes[pl.Node].Domain
		if p.in.State.Domains[name].Spec.State == specifier.DomainOut {
			return name
		}
	}
	return ""
}

func (p *pass) drain(a *active, domain string) {
	d := p.in.State.Domains[domain]
	deadline := d.SinceMS + d.Spec.StopAfter.Milliseconds()
	leaving := d.Spec.StopAfter > 0
	switch {
	case leaving && p.in.NowMS >= deadline:
		p.stop(a, encoder.StopDrain, "domain "+domain+" is out and its time to stop has come")
	case !a.job.Spec.Checkpointable:
		return
	case leaving && p.in.NowMS >= deadline-DrainMarginMS:
		p.stop(a, encoder.StopDrain, "domain "+domain+" is out, the work is checkpointed before the stop")
	default:
		p.drainToFree(a, domain)
	}
}

// drainToFree stops the attempt when a free place is left for it elsewhere.
func (p *pass) drainToFree(a *active, domain string) {
	places, ok := p.fleet.Place(p.free, placer.ForJob(a.job.Spec), placer.Options{Closed: p.closed})
	if !ok {
		return
	}
	p.free.Take(places)
	p.stop(a, encoder.StopDrain, "domain "+domain+" is out, the work moves by checkpoint")
}

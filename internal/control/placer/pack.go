package placer

import (
	"cmp"
	"slices"
)

// GuaranteedGang is one of the gangs that a guarantee reserves room for.
type GuaranteedGang struct {
	Workspace string
	Guarantee string
	Request   Request
}

// Packing holds a place for each gang, all of them at the same time. Places[i] is
// nil if Gangs[i] found no place; Unplaced counts those.
type Packing struct {
	Gangs    []GuaranteedGang
	Places   [][]NodeTasks
	Unplaced int
}

// Pack places all gangs at the same time, the largest first. It spreads them over
// the failure domains, so that the loss of a domain affects as few as possible.
// It packs densely instead if this places more gangs.
func (f *Fleet) Pack(free Free, gangs []GuaranteedGang, o Options) Packing {
	order := packingOrder(gangs)
	if o.Dense {
		return f.packDense(free.Clone(), gangs, order, o)
	}
	spread := f.packSpread(free.Clone(), gangs, order, o)
	if spread.Unplaced == 0 {
		return spread
	}
	dense := f.packDense(free.Clone(), gangs, order, o)
	if dense.Unplaced < spread.Unplaced {
		return dense
	}
	return spread
}

// packingOrder returns the indexes of the gangs by descending accelerators per
// task, then by descending accelerators in total.
func packingOrder(gangs []GuaranteedGang) []int {
	order := make([]int, len(gangs))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		x, y := gangs[a].Request, gangs[b].Request
		return cmp.Or(
			cmp.Compare(y.PerTask.Accelerators, x.PerTask.Accelerators),
			cmp.Compare(y.Tasks*y.PerTask.Accelerators, x.Tasks*x.PerTask.Accelerators),
		)
	})
	return order
}

// packDense places each gang by best fit on the whole fleet.
func (f *Fleet) packDense(free Free, gangs []GuaranteedGang, order []int, o Options) Packing {
	p := Packing{Gangs: gangs, Places: make([][]NodeTasks, len(gangs))}
	for _, i := range order {
		places, ok := f.Place(free, gangs[i].Request, o)
		p.record(free, i, places, ok)
	}
	return p
}

// packSpread places each gang within the failure domain that has the fewest
// packed accelerators so far and room for the gang, or else on the whole fleet.
func (f *Fleet) packSpread(free Free, gangs []GuaranteedGang, order []int, o Options) Packing {
	p := Packing{Gangs: gangs, Places: make([][]NodeTasks, len(gangs))}
	loads := f.domainLoads()
	for _, i := range order {
		places, ok := f.placeInLeastLoaded(free, gangs[i].Request, o, loads)
		if !ok {
			places, ok = f.Place(free, gangs[i].Request, o)
		}
		p.record(free, i, places, ok)
		loads.add(f, places)
	}
	return p
}

// record stores the place of gang i and allocates it, or counts it as unplaced.
func (p *Packing) record(free Free, i int, places []NodeTasks, ok bool) {
	if !ok {
		p.Unplaced++
		return
	}
	p.Places[i] = places
	free.Allocate(places)
}

// domainLoads counts the packed accelerators of each failure domain.
type domainLoads []domainLoad

type domainLoad struct {
	domain       string
	accelerators int
}

// domainLoads returns a load of zero for each failure domain of the fleet.
func (f *Fleet) domainLoads() domainLoads {
	var loads domainLoads
	for _, s := range f.spans[domainLevel] {
		loads = append(loads, domainLoad{domain: f.Nodes[s.from].Domain})
	}
	return loads
}

// placeInLeastLoaded finds a place within one failure domain. It tries the domains
// by ascending load and sorts loads in place.
func (f *Fleet) placeInLeastLoaded(free Free, r Request, o Options, loads domainLoads) ([]NodeTasks, bool) {
	slices.SortStableFunc(loads, func(a, b domainLoad) int { return cmp.Compare(a.accelerators, b.accelerators) })
	for _, load := range loads {
		o.Domain = load.domain
		if places, ok := f.Place(free, r, o); ok {
			return places, true
		}
	}
	return nil, false
}

// add adds the accelerators of the places to the loads of their domains.
func (l domainLoads) add(f *Fleet, places []NodeTasks) {
	for _, p := range places {
		for i := range l {
			if l[i].domain == f.Nodes[p.Node].Domain {
				l[i].accelerators += p.Tasks * p.PerTask.Accelerators
			}
		}
	}
}
